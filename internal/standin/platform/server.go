package platform

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/turmericfield/turmericfield/api/platformpb"
	real "github.com/turmericfield/turmericfield/internal/platform"
)

const (
	maxReceiveBytes = 4 << 20 // of one gRPC request
	// watchProgressInterval is the time between two messages without changes
	// that a watch sends to tell the revision up to which it is complete.
	watchProgressInterval = time.Second
	// leaseSweepPeriod is how often a watch looks for expired leases. Leases are
	// otherwise removed only when the store is called, so without it a watch of an
	// idle store would not report that their keys are gone.
	leaseSweepPeriod = 100 * time.Millisecond
)

// Faults are the failures that can be injected into a running server.
type Faults struct {
	// Down makes every call fail as unavailable and ends open watches.
	Down atomic.Bool
	// DropWriteResponses is the number of next writes that take effect but are
	// answered with an error, as if the connection had broken.
	DropWriteResponses atomic.Int64
	// DelayNanos is the time in nanoseconds by which each call is delayed.
	DelayNanos atomic.Int64
}

// Calls counts the calls received, including those that failed. Lease calls are
// writes, and a watch counts once, when it starts.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Server serves the store and the instance list over gRPC.
type Server struct {
	platformpb.UnimplementedPlatformServer
	Faults Faults
	Calls  Calls

	store *store

	mu        sync.Mutex // guards instances
	instances []real.Instance
}

// New returns a server with an empty store and the given instance list.
func New(instances []real.Instance) *Server {
	return &Server{store: newStore(time.Now), instances: instances}
}

// SetInstances replaces the instance list.
func (s *Server) SetInstances(instances []real.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append([]real.Instance(nil), instances...)
}

// Serve answers calls on the listener until the context ends, which also ends
// open calls and watches.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxReceiveBytes))
	platformpb.RegisterPlatformServer(server, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) && ctx.Err() == nil {
		return err
	}
	return nil
}

// startCall counts a call and applies the faults Down and DelayNanos to it.
func (s *Server) startCall(ctx context.Context, counter *atomic.Int64) error {
	counter.Add(1)
	if s.Faults.Down.Load() {
		return status.Error(codes.Unavailable, "store is down")
	}
	if delay := time.Duration(s.Faults.DelayNanos.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	return nil
}

// finishWrite returns an error if the response to a write that took effect is to
// be dropped.
func (s *Server) finishWrite() error {
	if s.Faults.DropWriteResponses.Load() > 0 && s.Faults.DropWriteResponses.Add(-1) >= 0 {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

// Get implements platformpb.PlatformServer.
func (s *Server) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	e, revision := s.store.get(r.GetKey())
	return &platformpb.GetResponse{Entry: entryToProto(e), StoreRevision: revision}, nil
}

// List implements platformpb.PlatformServer.
func (s *Server) List(ctx context.Context, r *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	entries, revision := s.store.list(r.GetPrefix())
	response := &platformpb.ListResponse{StoreRevision: revision}
	for _, e := range entries {
		response.Entries = append(response.Entries, entryToProto(e))
	}
	return response, nil
}

// CompareAndSwap implements platformpb.PlatformServer.
func (s *Server) CompareAndSwap(ctx context.Context, r *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	if len(r.GetValue()) > real.MaxValueBytes {
		return nil, status.Errorf(codes.InvalidArgument, "value has %d bytes, more than %d", len(r.GetValue()), real.MaxValueBytes)
	}
	e := entry{key: r.GetKey(), value: r.GetValue(), leaseID: r.GetLeaseId()}
	var requires []real.Condition
	for _, c := range r.GetRequires() {
		requires = append(requires, real.Condition{Key: c.GetKey(), Revision: c.GetRevision()})
	}
	swapped, leaseOK, current, revision := s.store.compareAndSwap(e, r.GetExpectedRevision(), r.GetDelete(), requires)
	if !leaseOK {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	if err := s.finishWrite(); err != nil {
		return nil, err
	}
	return &platformpb.CompareAndSwapResponse{Swapped: swapped, Entry: entryToProto(current), StoreRevision: revision}, nil
}

// GrantLease implements platformpb.PlatformServer.
func (s *Server) GrantLease(ctx context.Context, r *platformpb.GrantLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	id := s.store.grantLease(time.Duration(r.GetTtlMs()) * time.Millisecond)
	return &platformpb.LeaseResponse{LeaseId: id, TtlMs: r.GetTtlMs()}, s.finishWrite()
}

// RenewLease implements platformpb.PlatformServer.
func (s *Server) RenewLease(ctx context.Context, r *platformpb.RenewLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	ttl, ok := s.store.renewLease(r.GetLeaseId())
	if !ok {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	return &platformpb.LeaseResponse{LeaseId: r.GetLeaseId(), TtlMs: ttl.Milliseconds()}, s.finishWrite()
}

// RevokeLease implements platformpb.PlatformServer.
func (s *Server) RevokeLease(ctx context.Context, r *platformpb.RevokeLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	if !s.store.revokeLease(r.GetLeaseId()) {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	return &platformpb.LeaseResponse{LeaseId: r.GetLeaseId()}, s.finishWrite()
}

// Watch implements platformpb.PlatformServer.
func (s *Server) Watch(r *platformpb.WatchRequest, stream platformpb.Platform_WatchServer) error {
	if err := s.startCall(stream.Context(), &s.Calls.Watches); err != nil {
		return err
	}
	progressTicker := time.NewTicker(watchProgressInterval)
	defer progressTicker.Stop()
	sweepTicker := time.NewTicker(leaseSweepPeriod)
	defer sweepTicker.Stop()
	delivered := r.GetAfterRevision()
	for {
		changes, revision, nextChange := s.store.changesSince(r.GetPrefix(), delivered)
		if len(changes) > 0 {
			if err := stream.Send(newWatchResponse(changes, revision)); err != nil {
				return err
			}
		}
		delivered = revision
		select {
		case <-nextChange:
		case <-sweepTicker.C:
		case <-progressTicker.C:
			if err := stream.Send(newWatchResponse(nil, revision)); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
		if s.Faults.Down.Load() {
			return status.Error(codes.Unavailable, "store is down")
		}
	}
}

// ListInstances implements platformpb.PlatformServer.
func (s *Server) ListInstances(ctx context.Context, _ *platformpb.ListInstancesRequest) (*platformpb.ListInstancesResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &platformpb.ListInstancesResponse{}
	for _, instance := range s.instances {
		state := platformpb.InstanceState_INSTANCE_STATE_LIVE
		if instance.State == real.InstanceLeaving {
			state = platformpb.InstanceState_INSTANCE_STATE_LEAVING
		}
		response.Instances = append(response.Instances, &platformpb.Instance{
			Name: instance.Name, AvailabilityZone: instance.AvailabilityZone,
			Address: instance.Address, PeerAddress: instance.PeerAddress, State: state,
		})
	}
	return response, nil
}

func newWatchResponse(changes []change, revision uint64) *platformpb.WatchResponse {
	response := &platformpb.WatchResponse{StoreRevision: revision}
	for _, c := range changes {
		response.Changes = append(response.Changes, &platformpb.Change{Entry: entryToProto(c.entry), Deleted: c.deleted})
	}
	return response
}

func entryToProto(e entry) *platformpb.Entry {
	return &platformpb.Entry{Key: e.key, Value: e.value, Revision: e.revision, LeaseId: e.leaseID}
}
