package edge

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

// refusingStore refuses every call.
type refusingStore struct{ platform.Store }

func (refusingStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, errors.New("refused")
}

func (refusingStore) List(context.Context, string) ([]platform.Entry, uint64, error) {
	return nil, 0, errors.New("refused")
}

// startBehind returns an instance without a copy whose store refuses, with these seeds.
func startBehind(t *testing.T, seeds ...string) *follower {
	t.Helper()
	e := Provision(Settings{
		Name: "new", AvailabilityZone: "zone", Region: "region", MaxRevocationDelay: 5 * time.Second, MaxConfigurationDelay: 2500 * time.Millisecond,
		PeerSeeds: seeds,
	}, plainAdapter{}, refusingStore{}, io.Discard)
	t.Cleanup(func() { _ = e.logs.Close() })
	return e.follower
}

// A whole copy of registrations, which are much alike, takes a third of its bytes on the way
// at most, and is held compressed.
func TestWholeCopyIsCompressedOnItsWay(t *testing.T) {
	f, address := servedFollower(t, 0)
	var entries []platform.Entry
	size := 0
	for i := range 3000 {
		e := entryAt(fmt.Sprintf("targets/i-%08x", i*2654435761%(1<<32)), fmt.Sprintf(`{"service":"seye50a","address":"10.%d.64.%d:%d","zone":"bts-%c","version":%d,"state":"ready","slots":9}`, i%7, i%251, 8000+i%700, 'a'+i%2, i%3), uint64(i+1))
		entries, size = append(entries, e), size+len(e.Key)+len(e.Value)
	}
	if err := f.applyCopy(storeCopy(5000, entries...)); err != nil {
		t.Fatal(err)
	}
	started := startBehind(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	started.search(ctx, "", searchAny)
	if got, revision := started.feed.Entries(); len(got) != len(entries) || revision != 5000 {
		t.Fatalf("%d entries of revision %d", len(got), revision)
	}
	if n := started.meter(traffic.Copy, address).Bytes(); n == 0 || n > int64(size)/3 {
		t.Errorf("%d bytes for entries of %d bytes", n, size)
	}
	f.mu.Lock()
	held := f.serialized.held
	f.mu.Unlock()
	if held > int64(size)/3 {
		t.Errorf("%d bytes are held for entries of %d bytes", held, size)
	}
	// An instance of the release before asks for the plain form.
	if revision, err := readWholeCopy(t.Context(), t, address); err != nil || revision != 5000 {
		t.Errorf("plain: revision %d, %v", revision, err)
	}
}

func TestCompressedCopyThatIsNotWholeIsRefused(t *testing.T) {
	entries := copyData(t, 0)
	state := copyData(t, 5)
	whole := append(compressEntries(entries), state...)
	if data, err := decompressCopy(whole, maxCopyBytes); err != nil || string(data) != string(state) {
		t.Errorf("whole: %q, %v", data, err)
	}
	big := compressEntries(make([]byte, maxCopyBytes+1))
	for name, data := range map[string][]byte{"empty": nil, "plain": state, "cut": big[:len(big)/2], "too large": big} {
		if _, err := decompressCopy(data, maxCopyBytes); !errors.Is(err, errInvalidCopy) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
