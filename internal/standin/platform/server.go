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
	maxReceiveBytes       = 4 << 20
	watchProgressInterval = time.Second // interval of empty progress answers
	leaseSweepPeriod      = 100 * time.Millisecond
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

// finishWrite drops the answer of a write if that fault is switched on.
func (s *Server) finishWrite() error {
	if s.Faults.DropWriteResponses.Load() > 0 && s.Faults.DropWriteResponses.Add(-1) >= 0 {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

// Get implements the platform service.
func (s *Server) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Reads); err != nil {
		return nil, err
	}
	e, revision := s.store.get(r.GetKey())
	return &platformpb.GetResponse{Entry: entryToProto(e), StoreRevision: revision}, nil
}

// List implements the platform service.
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

// CompareAndSwap implements the platform service.
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

// GrantLease implements the platform service.
func (s *Server) GrantLease(ctx context.Context, r *platformpb.GrantLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	id := s.store.grantLease(time.Duration(r.GetTtlMs()) * time.Millisecond)
	return &platformpb.LeaseResponse{LeaseId: id, TtlMs: r.GetTtlMs()}, s.finishWrite()
}

// RenewLease implements the platform service.
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

// RevokeLease implements the platform service.
func (s *Server) RevokeLease(ctx context.Context, r *platformpb.RevokeLeaseRequest) (*platformpb.LeaseResponse, error) {
	if err := s.startCall(ctx, &s.Calls.Writes); err != nil {
		return nil, err
	}
	if !s.store.revokeLease(r.GetLeaseId()) {
		return nil, status.Error(codes.NotFound, "lease expired")
	}
	return &platformpb.LeaseResponse{LeaseId: r.GetLeaseId()}, s.finishWrite()
}

// Watch implements the platform service.
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

// ListInstances implements the platform service.
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
