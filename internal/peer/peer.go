// Package peer carries messages between the instances of the fleet over gRPC. It
// hands what arrives to the Handlers and takes no decisions of its own.
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
	keepaliveInterval = 10 * time.Second // without traffic, until a gRPC keepalive ping is sent
	keepaliveTimeout  = 3 * time.Second  // until a connection without an answer to the ping is closed
	sendTimeout       = 2 * time.Second  // of each call but those of ConfirmAt
	idleTimeout       = time.Minute      // without calls, until a client connection is closed
	maxMessageBytes   = 4 << 20          // of one request or response
)

// ReceiveFunc takes a message of another instance. The message is acknowledged to its
// sender when the function returns.
type ReceiveFunc func(*peerpb.Envelope)

// StatusFunc returns the state of this instance for another instance.
type StatusFunc func() *peerpb.StatusResponse

// SyncFunc answers another instance's pull of configuration and seat tables.
type SyncFunc func(*peerpb.SyncRequest) *peerpb.SyncResponse

// ConfirmFunc confirms a plan on behalf of another instance.
type ConfirmFunc func(context.Context, *peerpb.ConfirmRequest) *peerpb.ConfirmResponse

// Handlers are the functions that handle the calls of other instances.
type Handlers struct {
	Receive ReceiveFunc
	Status  StatusFunc
	Sync    SyncFunc
	Confirm ConfirmFunc
}

// Network sends messages to other instances and receives theirs.
type Network struct {
	peerpb.UnimplementedPeerServer

	self     string // name of this instance, sent as the sender of messages
	creds    credentials.TransportCredentials
	handlers Handlers

	mu          sync.Mutex
	connections map[string]*connection // by IP:port
	fault       FaultFunc
}

// New returns a network for the instance named self. creds are those of the calls
// that it makes; nil means connections without TLS.
func New(self string, creds credentials.TransportCredentials, handlers Handlers) *Network {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Network{self: self, creds: creds, handlers: handlers, connections: map[string]*connection{}}
}

// Serve serves the calls of other instances on the listener until the context ends.
// creds are those of the server; nil means connections without TLS.
func (n *Network) Serve(ctx context.Context, listener net.Listener, creds credentials.TransportCredentials) error {
	options := []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
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

// Deliver implements peerpb.PeerServer.
func (n *Network) Deliver(_ context.Context, e *peerpb.Envelope) (*peerpb.Acknowledgement, error) {
	n.handlers.Receive(e)
	return &peerpb.Acknowledgement{}, nil
}

// Status implements peerpb.PeerServer.
func (n *Network) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return n.handlers.Status(), nil
}

// Sync implements peerpb.PeerServer.
func (n *Network) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	return n.handlers.Sync(r), nil
}

// Confirm implements peerpb.PeerServer.
func (n *Network) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmResponse, error) {
	return n.handlers.Confirm(ctx, r), nil
}

// ConfirmAt asks the instance at an IP:port to confirm a plan. After an error it is
// unknown whether the plan was confirmed. There is no timeout but that of the
// context.
func (n *Network) ConfirmAt(ctx context.Context, address, planID string) (*peerpb.ConfirmResponse, error) {
	var response *peerpb.ConfirmResponse
	err := n.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		response, err = client.Confirm(ctx, &peerpb.ConfirmRequest{PlanId: planID})
		return err
	})
	return response, errors.Wrapf(err, "confirm at %s", address)
}

// Pull asks the instance at an IP:port for the configuration and seat tables that this
// one lacks. It waits for at most sendTimeout.
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

// Send delivers a message to the instance at an IP:port. After an error it is unknown
// whether the message arrived.
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
