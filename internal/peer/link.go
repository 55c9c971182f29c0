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
	// maxLinks bounds the connections to other instances.
	maxLinks = 128
	// maxTimeouts is the number of calls in a row without an answer after which
	// a connection is replaced: it may have gone silent while new ones work.
	maxTimeouts = 2
)

// ErrInjectedFault is the error of a call that a test's fault dropped.
var ErrInjectedFault = errors.New("dropped by a fault")

// FaultFunc delays or drops the calls to an IP:port. For tests.
type FaultFunc func(address string) (delay time.Duration, drop bool)

// SetFault sets the fault of all calls; nil means none.
func (n *Network) SetFault(f FaultFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// link is one connection with what is known of its health.
type link struct {
	conn     *grpc.ClientConn
	used     time.Time
	timeouts int // calls in a row without an answer
}

// call makes one call and replaces the connection if it seems silent.
func (n *Network) call(ctx context.Context, address string, f func(context.Context, peerpb.PeerClient) error) error {
	if err := n.suffer(ctx, address); err != nil {
		return err
	}
	l, err := n.link(address)
	if err != nil {
		return err
	}
	err = f(ctx, peerpb.NewPeerClient(l.conn))
	n.conclude(address, l, err)
	return err
}

// suffer waits for or fails by the fault that a test has set.
func (n *Network) suffer(ctx context.Context, address string) error {
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

func (n *Network) conclude(address string, l *link, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if status.Code(err) != codes.DeadlineExceeded {
		l.timeouts = 0
		return
	}
	l.timeouts++
	if l.timeouts >= maxTimeouts && n.links[address] == l {
		n.drop(address)
	}
}

func (n *Network) link(address string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[address]; l != nil {
		l.used = time.Now()
		return l, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(n.creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", address)
	}
	if len(n.links) >= maxLinks {
		n.drop(n.leastRecentlyUsed())
	}
	l := &link{conn: conn, used: time.Now()}
	n.links[address] = l
	return l, nil
}

func (n *Network) leastRecentlyUsed() string {
	var oldest string
	for address, l := range n.links {
		if oldest == "" || l.used.Before(n.links[oldest].used) {
			oldest = address
		}
	}
	return oldest
}

func (n *Network) drop(address string) {
	_ = n.links[address].conn.Close()
	delete(n.links, address)
}

// Close closes all connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address := range n.links {
		n.drop(address)
	}
}
