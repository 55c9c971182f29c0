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
	maxReceiveBytes  = 4 << 20
	watchProgress    = time.Second // interval of empty progress answers
	leaseSweepPeriod = 100 * time.Millisecond
)

// Faults are the failures that can be switched on in a running stand-in.
type Faults struct {
	// Down refuses every call and breaks watches.
	Down atomic.Bool
	// DropWriteResponses makes that many next writes take effect without an answer.
	DropWriteResponses atomic.Int64
	// DelayNanos is added to each call.
	DelayNanos atomic.Int64
}

// Calls counts the calls that the stand-in has received.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Server serves the stand-in over gRPC.
type Server struct {
	platformpb.UnimplementedPlatformServer
	Faults Faults
	Calls  Calls

	store *store

	mu        sync.Mutex
	instances []real.Instance
}

// New returns a stand-in with an empty store and the given instance list.
func New(instances []real.Instance) *Server {
	return &Server{store: newStore(time.Now), instances: instances}
}

// SetInstances replaces the instance list.
func (s *Server) SetInstances(instances []real.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append([]real.Instance(nil), instances...)
}

// Serve answers on the listener until the context ends.
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

func (s *Server) before(ctx context.Context, counter *atomic.Int64) error {
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

// after drops the answer of a write if that fault is switched on.
func (s *Server) after() error {
	if s.Faults.DropWriteResponses.Load() > 0 && s.Faults.DropWriteResponses.Add(-1) >= 0 {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

// Get implements the platform service.
func (s *Server) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if err := s.before(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	e, revision := s.store.get(r.GetKey())
	return &platformpb.GetResponse{Entry: toProto(e), StoreRevision: revision}, nil
}

// List implements the platform service.
func (s *Server) List(ctx context.Context, r *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	if err := s.before(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	entries, revision := s.store.list(r.GetPrefix())
	answer := &platformpb.ListResponse{StoreRevision: revision}
	for _, e := range entries {
		answer.Entries = append(answer.Entries, toProto(e))
	}
	return answer, nil
}

// CompareAndSwap implements the platform service.
func (s *Server) CompareAndSwap(ctx context.Context, r *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	if err := s.before(ctx, &s.Calls.Writes); err != nil {
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
	swapped, leaseOK, current, revision := s.store.swap(e, r.GetExpectedRevision(), r.GetDelete(), requires)
	if !leaseOK {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	if err := s.after(); err != nil {
		return nil, err
	}
	return &platformpb.CompareAndSwapResponse{Swapped: swapped, Entry: toProto(current), StoreRevision: revision}, nil
}

// GrantLease implements the platform service.
func (s *Server) GrantLease(ctx context.Context, r *platformpb.GrantLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.before(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	id := s.store.grant(time.Duration(r.GetTtlMs()) * time.Millisecond)
	return &platformpb.LeaseResponse{LeaseId: id, TtlMs: r.GetTtlMs()}, s.after()
}

// RenewLease implements the platform service.
func (s *Server) RenewLease(ctx context.Context, r *platformpb.RenewLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.before(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	ttl, ok := s.store.renew(r.GetLeaseId())
	if !ok {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	return &platformpb.LeaseResponse{LeaseId: r.GetLeaseId(), TtlMs: ttl.Milliseconds()}, s.after()
}

// RevokeLease implements the platform service.
func (s *Server) RevokeLease(ctx context.Context, r *platformpb.RevokeLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.before(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	if !s.store.revoke(r.GetLeaseId()) {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	return &platformpb.LeaseResponse{LeaseId: r.GetLeaseId()}, s.after()
}

// Watch implements the platform service.
func (s *Server) Watch(r *platformpb.WatchRequest, stream platformpb.Platform_WatchServer) error {
	if err := s.before(stream.Context(), &s.Calls.Watches); err != nil {
		return err
	}
	progress := time.NewTicker(watchProgress)
	defer progress.Stop()
	sweep := time.NewTicker(leaseSweepPeriod)
	defer sweep.Stop()
	after := r.GetAfterRevision()
	for {
		changes, revision, wake := s.store.since(r.GetPrefix(), after)
		if len(changes) > 0 {
			if err := stream.Send(watchAnswer(changes, revision)); err != nil {
				return err
			}
		}
		after = revision
		select {
		case <-wake:
		case <-sweep.C:
		case <-progress.C:
			if err := stream.Send(watchAnswer(nil, revision)); err != nil {
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

// ListInstances implements the platform service.
func (s *Server) ListInstances(ctx context.Context, _ *platformpb.ListInstancesRequest) (*platformpb.ListInstancesResponse, error) {
	if err := s.before(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &platformpb.ListInstancesResponse{}
	for _, in := range s.instances {
		state := platformpb.InstanceState_INSTANCE_STATE_LIVE
		if in.State == real.InstanceLeaving {
			state = platformpb.InstanceState_INSTANCE_STATE_LEAVING
		}
		answer.Instances = append(answer.Instances, &platformpb.Instance{
			Name: in.Name, AvailabilityZone: in.AvailabilityZone,
			Address: in.Address, PeerAddress: in.PeerAddress, State: state,
		})
	}
	return answer, nil
}

func watchAnswer(changes []change, revision uint64) *platformpb.WatchResponse {
	answer := &platformpb.WatchResponse{StoreRevision: revision}
	for _, c := range changes {
		answer.Changes = append(answer.Changes, &platformpb.Change{Entry: toProto(c.entry), Deleted: c.deleted})
	}
	return answer
}

func toProto(e entry) *platformpb.Entry {
	return &platformpb.Entry{Key: e.key, Value: e.value, Revision: e.revision, LeaseId: e.leaseID}
}
