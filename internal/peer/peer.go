// Package peer carries messages between the system's own instances over gRPC.
// It decides nothing.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

const (
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	sendTimeout       = 2 * time.Second
	idleTimeout       = time.Minute
)

// ReceiveFunc receives the messages of other instances.
type ReceiveFunc func(*peerpb.Envelope)

// StatusFunc reports the state of this instance.
type StatusFunc func() *peerpb.StatusResponse

// SyncFunc answers another instance's pull.
type SyncFunc func(*peerpb.SyncRequest) *peerpb.SyncResponse

// ConfirmFunc confirms a plan on behalf of another instance.
type ConfirmFunc func(context.Context, *peerpb.ConfirmRequest) *peerpb.ConfirmResponse

// Handlers are the parts of an instance that answer its peers.
type Handlers struct {
	Receive ReceiveFunc
	Status  StatusFunc
	Sync    SyncFunc
	Confirm ConfirmFunc
}

// Network sends messages to other instances and receives theirs.
type Network struct {
	peerpb.UnimplementedPeerServer

	self     string
	creds    credentials.TransportCredentials
	handlers Handlers

	mu          sync.Mutex
	connections map[string]*connection // by IP:port
	fault       FaultFunc
}

// New returns a network for the named instance. Nil credentials mean plain
// text.
func New(self string, creds credentials.TransportCredentials, handlers Handlers) *Network {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Network{self: self, creds: creds, handlers: handlers, connections: map[string]*connection{}}
}

// Serve receives messages on the listener until the context ends. Nil server
// credentials mean plain text.
func (n *Network) Serve(ctx context.Context, listener net.Listener, creds credentials.TransportCredentials) error {
	options := []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	server := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(server, n)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return errors.Wrapf(err, "peer listener %s", listener.Addr())
}

// Deliver implements the peer service.
func (n *Network) Deliver(_ context.Context, e *peerpb.Envelope) (*peerpb.Acknowledgement, error) {
	n.handlers.Receive(e)
	return &peerpb.Acknowledgement{}, nil
}

// Status implements the peer service.
func (n *Network) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return n.handlers.Status(), nil
}

// Sync implements the peer service.
func (n *Network) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	return n.handlers.Sync(r), nil
}

// Confirm implements the peer service.
func (n *Network) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmResponse, error) {
	return n.handlers.Confirm(ctx, r), nil
}

// ConfirmAt asks the instance at an IP:port to confirm a plan. An error leaves
// it open whether the plan was accepted. The context should bound the wait.
func (n *Network) ConfirmAt(ctx context.Context, address, planID string) (*peerpb.ConfirmResponse, error) {
	var response *peerpb.ConfirmResponse
	err := n.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		response, err = client.Confirm(ctx, &peerpb.ConfirmRequest{PlanId: planID})
		return err
	})
	return response, errors.Wrapf(err, "confirm at %s", address)
}

// Pull asks the instance at an IP:port for what this one lacks. The context
// should bound the wait.
func (n *Network) Pull(ctx context.Context, address string, r *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	r.From = n.self
	var response *peerpb.SyncResponse
	err := n.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		response, err = client.Sync(ctx, r)
		return err
	})
	return response, errors.Wrapf(err, "pull from %s", address)
}

// Send delivers a message to the instance at an IP:port. An error leaves it
// open whether the message arrived.
func (n *Network) Send(ctx context.Context, address string, e *peerpb.Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	e.From = n.self
	err := n.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		_, err := client.Deliver(ctx, e)
		return err
	})
	return errors.Wrapf(err, "send to %s", address)
}

// StatusOf asks the instance at an IP:port for its state.
func (n *Network) StatusOf(ctx context.Context, address string) (*peerpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var response *peerpb.StatusResponse
	err := n.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		response, err = client.Status(ctx, &peerpb.StatusRequest{})
		return err
	})
	return response, errors.Wrapf(err, "status of %s", address)
}
