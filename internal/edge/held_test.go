package edge

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"weak"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/changefeed"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// servedFollower returns a follower that serves other instances on a loopback address.
func servedFollower(t *testing.T, memoryBytes int64) (*follower, string) {
	t.Helper()
	e := Provision(Settings{
		Name: "self", AvailabilityZone: "zone", Region: "region", MemoryBytes: memoryBytes,
		MaxRevocationDelay: 5 * time.Second, MaxConfigurationDelay: 2500 * time.Millisecond,
	}, plainAdapter{}, nil, io.Discard)
	t.Cleanup(func() { _ = e.logs.Close() })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go e.servePeers(t.Context(), l)
	return e.follower, l.Addr().String()
}

// dialFollower returns a client with a connection of its own.
func dialFollower(t *testing.T, address string) (client fleetpb.FleetClient, hangUp func()) {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(64<<10), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerResponseBytes)))
	if err != nil {
		t.Fatal(err)
	}
	hangUp = func() { _ = conn.Close() }
	return fleetpb.NewFleetClient(conn), hangUp
}

// askAndDoNotRead asks for a copy and reads nothing of it until it gives up, or until the
// context ends.
func askAndDoNotRead(ctx context.Context, t *testing.T, address string, forever bool) {
	client, hangUp := dialFollower(t, address)
	defer hangUp()
	if _, err := client.Copy(ctx, &fleetpb.CopyRequest{}); err != nil && ctx.Err() == nil {
		t.Error(err)
	}
	if forever {
		<-ctx.Done()
	}
	time.Sleep(copyPartTimeout)
}

// readWholeCopy reads a copy on a connection of its own, as followers do. It keeps the last
// part only, which has the copy's revision.
func readWholeCopy(ctx context.Context, t *testing.T, address string) (uint64, error) {
	client, hangUp := dialFollower(t, address)
	defer hangUp()
	stream, err := client.Copy(ctx, &fleetpb.CopyRequest{})
	if err != nil {
		return 0, err
	}
	last := []byte{}
	for {
		part, err := stream.Recv()
		if err == io.EOF {
			r, err := decodeCopy(last)
			return r.GetRevision(), err
		}
		if err != nil {
			return 0, err
		}
		last = part.GetData()
	}
}

// Large values that come one after another fill neither the log of changes nor the copies
// for followers, of which some do not read what they are sent.
func TestHeldBytesStayUnderTheLimitWhileFollowersAreStuck(t *testing.T) {
	const versions, valueBytes, followers, memoryBytes = 1000, 1 << 20, 64, 284 << 20
	const pause = 10 * time.Millisecond
	f, address := servedFollower(t, memoryBytes)
	if err := f.applyCopy(storeCopy(1)); err != nil {
		t.Fatal(err)
	}
	value := func(v uint64) []byte { return bytes.Repeat([]byte{byte(v)}, valueBytes) }
	f.applyCurrent([]platform.Change{{Entry: platform.Entry{Key: "configuration", Value: value(2), Revision: 2}}}, 2, now(), nil)

	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var reached [followers]atomic.Uint64 // revision that the follower has, even ones
	for i := range followers {
		if i%2 == 1 {
			running.Go(func() {
				for ctx.Err() == nil {
					askAndDoNotRead(ctx, t, address, i%4 == 3)
				}
			})
			continue
		}
		running.Go(func() {
			client, hangUp := dialFollower(t, address)
			defer hangUp()
			for ctx.Err() == nil {
				r, err := client.Follow(ctx, &fleetpb.FollowRequest{After: reached[i].Load(), WaitMs: 350})
				if err == nil && r.GetList() {
					if revision, err := readWholeCopy(ctx, t, address); err == nil {
						reached[i].Store(max(reached[i].Load(), revision))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	most, oldest, last := uint64(0), uint64(0), uint64(2)
	for last < versions+2 {
		last++
		f.applyCurrent([]platform.Change{{Entry: platform.Entry{Key: "configuration", Value: value(last), Revision: last}}}, last, now(), nil)
		time.Sleep(pause)
		f.mu.Lock()
		if held, limit := f.budget.Held(), f.budget.Limit(); held > limit || limit > memoryBytes/4 {
			t.Errorf("%d bytes held, at most %d may be", held, limit)
		}
		f.mu.Unlock()
		if last%50 != 0 {
			continue
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapAlloc)
		if last < versions/2 {
			continue
		}
		for i := 0; i < followers; i += 2 {
			oldest = max(oldest, last-reached[i].Load())
		}
	}
	// The heap also has the clients' buffers and the newest version.
	if most > memoryBytes/2 {
		t.Errorf("%d MiB in use, want %d at most", most>>20, memoryBytes>>21)
	}
	deadline := time.Now().Add(5 * time.Second)
	for i := 0; i < followers; i += 2 {
		for reached[i].Load() < last && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		if got := reached[i].Load(); got < last {
			t.Errorf("follower %d has revision %d, want %d", i, got, last)
		}
	}
	t.Logf("heap %d MiB at most; followers %d versions behind at most", most>>20, oldest)
}

// A follower that is refused is told so at once, and asks the store and other instances.
func TestRefusedFollowerAsksAnotherSource(t *testing.T) {
	f, address := servedFollower(t, 284<<20)
	if err := f.applyCopy(storeCopy(5, entryAt("targets/t", "s", 4))); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	free := f.budget.Limit() - f.budget.LogLimit()
	if !f.budget.Reserve(free) {
		t.Fatal("the budget is not free")
	}
	f.mu.Unlock()
	client, hangUp := dialFollower(t, address)
	defer hangUp()
	asked := time.Now()
	for name, err := range map[string]error{
		"copy":    second(readWholeCopy(t.Context(), t, address)),
		"changes": second(client.Follow(t.Context(), &fleetpb.FollowRequest{After: 4})),
	} {
		if status.Code(err) != codes.ResourceExhausted {
			t.Errorf("%s: got %v", name, err)
		}
		other := newTestFollower(t, 5)
		other.chooser.SetLiveInstances("self", []string{"parent", "self", "neighbour"}, []string{"far"}, nil)
		search := other.chooser.NewSearch(now())
		if names := search.Ask(now()); len(names) != 1 || names[0] != "parent" {
			t.Fatalf("asks %q first", names)
		}
		other.noteAnswer(search, answer{source: "parent"}, errors.Wrap(err, "follow"))
		if wait := search.Wait(now()); wait > changefeed.AskTimeout {
			t.Errorf("%s: asks others after %v", name, wait)
		}
		names := search.Ask(now() + changefeed.AskTimeout)
		if !slices.Contains(names, changefeed.StoreSource) || !slices.Contains(names, "neighbour") || !slices.Contains(names, "far") {
			t.Errorf("%s: asks %q next", name, names)
		}
	}
	if took := time.Since(asked); took > changefeed.AskTimeout {
		t.Errorf("refused after %v", took)
	}
	f.mu.Lock()
	f.budget.Release(free)
	f.mu.Unlock()
	if revision, err := readWholeCopy(t.Context(), t, address); err != nil || revision != 5 {
		t.Errorf("once there is room: revision %d, %v", revision, err)
	}
}

func second[T any](_ T, err error) error { return err }

// What is held for a connection is free again when it ends, in whatever state its calls are.
func TestNothingIsHeldForConnectionsThatEnded(t *testing.T) {
	f, address := servedFollower(t, 284<<20)
	big := platform.Entry{Key: "configuration", Value: make([]byte, 1<<20), Revision: 4}
	if err := f.applyCopy(storeCopy(5, big)); err != nil {
		t.Fatal(err)
	}
	f.applyCurrent([]platform.Change{{Entry: entryAt("targets/t", "s", 6)}}, 6, now(), nil)
	for range 3 {
		client, hangUp := dialFollower(t, address)
		if _, err := client.Copy(t.Context(), &fleetpb.CopyRequest{}); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Follow(t.Context(), &fleetpb.FollowRequest{After: 5}); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = client.Follow(t.Context(), &fleetpb.FollowRequest{After: 6, WaitMs: 300}) }()
		time.Sleep(50 * time.Millisecond)
		hangUp()
	}
	f.mu.Lock()
	if f.budget.Held() < 1<<20 {
		t.Errorf("only %d bytes held during a copy", f.budget.Held())
	}
	f.mu.Unlock()
	var held, logged int64
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		if f.serialized != nil && f.serialized.users == 0 {
			f.dropSerialized()
		}
		held, logged = f.budget.Held(), f.budget.Logged()
		f.mu.Unlock()
		if held == logged {
			return
		}
	}
	t.Errorf("%d bytes held, of which the log has %d", held, logged)
}

// An entry that stays in the log or the copy does not keep the answer that it came in, nor
// the large entries beside it.
func TestDecodedEntryDoesNotKeepTheAnswer(t *testing.T) {
	data := copyData(t, 5, &fleetpb.Change{Key: "big", Value: make([]byte, 1<<20), Revision: 4}, &fleetpb.Change{Key: "small", Value: []byte("v"), Revision: 5})
	answer := weak.Make(&data[0])
	r, err := decodeCopy(data)
	if err != nil {
		t.Fatal(err)
	}
	big, kept := weak.Make(&r.Changes[0].Value[0]), entryFromProto(r.Changes[1])
	data, r = nil, nil
	runtime.GC()
	runtime.GC()
	if answer.Value() != nil || big.Value() != nil {
		t.Errorf("the answer is kept: %v, the large value: %v", answer.Value() != nil, big.Value() != nil)
	}
	runtime.KeepAlive(kept)
}
