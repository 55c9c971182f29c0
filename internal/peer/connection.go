package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

const (
	// maxConnections bounds the open connections to other instances. Beyond it, the
	// least recently used one is closed.
	maxConnections = 128
	// maxConsecutiveTimeouts is the number of calls in a row without an answer after
	// which a connection is closed, so that the next call opens another one. A
	// connection can lose all packets while a new one to the same address works.
	maxConsecutiveTimeouts = 2
)

// ErrInjectedFault is the error of a call that FaultFunc dropped.
var ErrInjectedFault = errors.New("dropped by a fault")

// FaultFunc decides, in tests, for how long a call to an IP:port is delayed before it
// is sent, or whether it fails without being sent.
type FaultFunc func(address string) (delay time.Duration, drop bool)

// SetFault makes all calls from now on subject to f; nil ends that.
func (n *Network) SetFault(f FaultFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// connection is a connection to another instance.
type connection struct {
	conn                *grpc.ClientConn
	lastUsed            time.Time
	consecutiveTimeouts int // calls in a row that ended by their deadline
}

// call makes one call to an IP:port: f with a client for the connection to it.
func (n *Network) call(ctx context.Context, address string, f func(context.Context, peerpb.PeerClient) error) error {
	if err := n.applyFault(ctx, address); err != nil {
		return err
	}
	c, err := n.connectionTo(address)
	if err != nil {
		return err
	}
	err = f(ctx, peerpb.NewPeerClient(c.conn))
	n.recordResult(address, c, err)
	return err
}

// applyFault delays a call, or fails, as the FaultFunc of a test demands.
func (n *Network) applyFault(ctx context.Context, address string) error {
	n.mu.Lock()
	fault := n.fault
	n.mu.Unlock()
	if fault == nil {
		return nil
	}
	delay, drop := fault(address)
	if drop {
		return ErrInjectedFault
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordResult counts a call without an answer, and closes the connection after
// maxConsecutiveTimeouts of them.
func (n *Network) recordResult(address string, c *connection, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if status.Code(err) != codes.DeadlineExceeded {
		c.consecutiveTimeouts = 0
		return
	}
	c.consecutiveTimeouts++
	if c.consecutiveTimeouts >= maxConsecutiveTimeouts && n.connections[address] == c {
		n.closeConnection(address)
	}
}

// connectionTo returns the connection to an IP:port, which it makes if there is none.
func (n *Network) connectionTo(address string) (*connection, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.connections[address]; c != nil {
		c.lastUsed = time.Now()
		return c, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(n.creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", address)
	}
	if len(n.connections) >= maxConnections {
		n.closeConnection(n.leastRecentlyUsed())
	}
	c := &connection{conn: conn, lastUsed: time.Now()}
	n.connections[address] = c
	return c, nil
}

// leastRecentlyUsed returns the address of the least recently used connection. The
// caller must hold mu.
func (n *Network) leastRecentlyUsed() string {
	var oldest string
	for address, c := range n.connections {
		if oldest == "" || c.lastUsed.Before(n.connections[oldest].lastUsed) {
			oldest = address
		}
	}
	return oldest
}

// closeConnection closes and forgets the connection to an address. The caller must
// hold mu.
func (n *Network) closeConnection(address string) {
	_ = n.connections[address].conn.Close()
	delete(n.connections, address)
}

// Close closes all connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address := range n.connections {
		n.closeConnection(address)
	}
}
