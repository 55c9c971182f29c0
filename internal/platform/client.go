package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/turmericfield/turmericfield/api/platformpb"
)

const (
	keepaliveInterval = 10 * time.Second // between pings while calls are open
	keepaliveTimeout  = 3 * time.Second  // without an answer the connection is closed
	maxReceiveBytes   = 16 << 20         // of one gRPC response or watch message
)

// Client calls the platform over gRPC. It connects at the first call, so that a
// process can start while the platform is down. Its errors are marked with those
// of this package (see errors.Is).
type Client struct {
	conn *grpc.ClientConn
	rpc  platformpb.PlatformClient
}

var (
	_ Store        = (*Client)(nil)
	_ InstanceList = (*Client)(nil)
)

// Dial returns a client of the platform at an IP:port. With nil credentials the
// connection is not encrypted. Calls are sent once, without retries by gRPC.
func Dial(address string, creds credentials.TransportCredentials) (*Client, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReceiveBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, errors.Wrapf(err, "platform address %q", address)
	}
	return &Client{conn: conn, rpc: platformpb.NewPlatformClient(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	response, err := c.rpc.Get(ctx, &platformpb.GetRequest{Key: key})
	if err != nil {
		return Entry{}, wrapReadError(err)
	}
	return entryFromProto(response.GetEntry()), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	response, err := c.rpc.List(ctx, &platformpb.ListRequest{Prefix: prefix})
	if err != nil {
		return nil, 0, wrapReadError(err)
	}
	entries := make([]Entry, len(response.GetEntries()))
	for i, e := range response.GetEntries() {
		entries[i] = entryFromProto(e)
	}
	return entries, response.GetStoreRevision(), nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (bool, Entry, error) {
	if len(w.Value) > MaxValueBytes {
		return false, Entry{}, errors.Wrapf(ErrValueTooLarge, "key %q, %d bytes", w.Key, len(w.Value))
	}
	request := &platformpb.CompareAndSwapRequest{
		Key: w.Key, ExpectedRevision: w.ExpectedRevision, Value: w.Value, LeaseId: w.LeaseID, Delete: w.Delete,
	}
	for _, r := range w.Requires {
		request.Requires = append(request.Requires, &platformpb.Condition{Key: r.Key, Revision: r.Revision})
	}
	response, err := c.rpc.CompareAndSwap(ctx, request)
	if err != nil {
		return false, Entry{}, classifyWriteError(err)
	}
	return response.GetSwapped(), entryFromProto(response.GetEntry()), nil
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	response, err := c.rpc.GrantLease(ctx, &platformpb.GrantLeaseRequest{TtlMs: ttl.Milliseconds()})
	if err != nil {
		return 0, classifyWriteError(err)
	}
	return response.GetLeaseId(), nil
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	_, err := c.rpc.RenewLease(ctx, &platformpb.RenewLeaseRequest{LeaseId: id})
	return classifyWriteError(err)
}

// RevokeLease ends a lease and deletes the keys written with it.
func (c *Client) RevokeLease(ctx context.Context, id uint64) error {
	_, err := c.rpc.RevokeLease(ctx, &platformpb.RevokeLeaseRequest{LeaseId: id})
	return classifyWriteError(err)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64, onChange func([]Change, uint64)) error {
	stream, err := c.rpc.Watch(ctx, &platformpb.WatchRequest{Prefix: prefix, AfterRevision: afterRevision})
	if err != nil {
		return wrapReadError(err)
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return wrapReadError(err)
		}
		changes := make([]Change, len(response.GetChanges()))
		for i, change := range response.GetChanges() {
			changes[i] = Change{Entry: entryFromProto(change.GetEntry()), Deleted: change.GetDeleted()}
		}
		onChange(changes, response.GetStoreRevision())
	}
}

// ListInstances implements InstanceList.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	response, err := c.rpc.ListInstances(ctx, &platformpb.ListInstancesRequest{})
	if err != nil {
		return nil, wrapReadError(err)
	}
	instances := make([]Instance, len(response.GetInstances()))
	for i, instance := range response.GetInstances() {
		instances[i] = Instance{
			Name: instance.GetName(), AvailabilityZone: instance.GetAvailabilityZone(),
			Address: instance.GetAddress(), PeerAddress: instance.GetPeerAddress(), State: InstanceLive,
		}
		if instance.GetState() == platformpb.InstanceState_INSTANCE_STATE_LEAVING {
			instances[i].State = InstanceLeaving
		}
	}
	return instances, nil
}

func entryFromProto(e *platformpb.Entry) Entry {
	return Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), LeaseID: e.GetLeaseId()}
}

// wrapReadError marks an error of a call that changes nothing as ErrUnavailable.
func wrapReadError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "read from platform"), ErrUnavailable)
}

// classifyWriteError marks an error of a write according to whether the write
// certainly had no effect. gRPC also reports Unavailable after the request was
// sent, so only explicit refusals by the store are certain; after all other errors
// the outcome is unknown.
func classifyWriteError(err error) error {
	if err == nil {
		return nil
	}
	switch status.Code(err) {
	case codes.NotFound:
		return errors.Mark(err, ErrLeaseExpired)
	case codes.InvalidArgument:
		return errors.Mark(err, ErrValueTooLarge)
	case codes.ResourceExhausted, codes.FailedPrecondition:
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(err, "write to platform"), ErrUnknownOutcome)
}
