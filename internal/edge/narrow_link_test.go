package edge

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/changefeed"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

// lateListener passes each connection on after a time, as if packets waited in a queue.
type lateListener struct {
	net.Listener
	delay time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return c, err
}

// serveFleet serves other instances' calls on a loopback address.
func serveFleet(t *testing.T, s fleetpb.FleetServer, acceptDelay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	fleetpb.RegisterFleetServer(server, s)
	go func() { _ = server.Serve(lateListener{l, acceptDelay}) }() // ends with the server
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

// slowSource has a copy, which it sends in many parts.
type slowSource struct {
	fleetpb.UnimplementedFleetServer
	pause  time.Duration // before each part
	copies *atomic.Int64 // begun
}

const (
	slowSourceRevision = 7
	slowSourceParts    = 24
)

func (s slowSource) Follow(_ context.Context, r *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	return &fleetpb.FollowResponse{Revision: slowSourceRevision, List: r.GetAfter() < slowSourceRevision}, nil
}

func (s slowSource) Copy(_ *fleetpb.CopyRequest, to grpc.ServerStreamingServer[fleetpb.CopyPart]) error {
	s.copies.Add(1)
	data, err := proto.Marshal(&fleetpb.FollowResponse{Revision: slowSourceRevision, Changes: []*fleetpb.Change{
		{Key: "configuration", Value: make([]byte, 1<<20), Revision: 3},
	}})
	if err != nil {
		return err
	}
	part := len(data)/slowSourceParts + 1
	for begin := 0; begin < len(data); begin += part {
		time.Sleep(s.pause)
		if err := to.Send(&fleetpb.CopyPart{Data: data[begin:min(begin+part, len(data))], Size: uint64(len(data))}); err != nil {
			return err
		}
	}
	return nil
}

func TestConnectionOverABusyLinkGetsItsTimeout(t *testing.T) {
	t.Parallel()
	address := serveFleet(t, slowSource{}, 200*time.Millisecond)
	var conn peerConn
	defer conn.close()
	client, err := conn.client(address, changefeed.AskTimeout, &traffic.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), changefeed.AskTimeout)
	defer cancel()
	if _, err := client.Follow(ctx, &fleetpb.FollowRequest{}); err != nil {
		t.Errorf("not connected within %v: %v", changefeed.AskTimeout, err)
	}
}

func TestSlowCopyOfTheStoreIsWaitedForAndNotSentByOthersToo(t *testing.T) {
	t.Parallel()
	var copies atomic.Int64
	var seeds []string
	for range 6 {
		seeds = append(seeds, serveFleet(t, slowSource{pause: 100 * time.Millisecond, copies: &copies}, 0))
	}
	started := startBehind(t, seeds...)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	started.search(ctx, changefeed.StoreSource, searchAny)
	if got := started.revision(); got != slowSourceRevision {
		t.Errorf("the copy is of revision %d, want %d", got, slowSourceRevision)
	}
	if n := copies.Load(); n != 1 {
		t.Errorf("%d copies were sent", n)
	}
}
