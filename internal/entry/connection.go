package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// connectTimeout limits how long a connection to a target may take to open.
const connectTimeout = time.Second

// errConnectionLimit means that this instance already has as many connections to
// a target open as its share allows.
var errConnectionLimit = errors.New("this instance has reached its limit of connections to the target")

// errWritesBlocked means that a connection was discarded or that the deadline of
// its request has passed, so that nothing may be written to it.
var errWritesBlocked = errors.New("connection is discarded or its request's deadline has passed")

// limitedDialer opens connections to targets and limits how many may be open to
// each address.
type limitedDialer struct {
	dialer net.Dialer

	mu        sync.Mutex     // guards the fields below
	openCount map[string]int // open connections by address
	limits    map[string]int // allowed connections by address
}

func newLimitedDialer() *limitedDialer {
	return &limitedDialer{
		dialer:    net.Dialer{Timeout: connectTimeout},
		openCount: map[string]int{}, limits: map[string]int{},
	}
}

// setLimit sets how many connections to an address may be open at once.
func (c *limitedDialer) setLimit(address string, maxOpen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[address] = maxOpen
}

// atLimit reports whether no further connection to an address may be opened.
func (c *limitedDialer) atLimit(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount[address] >= c.limits[address]
}

// reserve counts one more open connection to an address, unless that would
// exceed the limit.
func (c *limitedDialer) reserve(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount[address] >= c.limits[address] {
		return false
	}
	c.openCount[address]++
	return true
}

// release counts one open connection to an address less.
func (c *limitedDialer) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount[address]--; c.openCount[address] <= 0 {
		delete(c.openCount, address)
	}
}

// dial opens a connection to an address, or returns errConnectionLimit. It is the
// DialContext of the transports.
func (c *limitedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !c.reserve(address) {
		return nil, errConnectionLimit
	}
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		c.release(address)
		return nil, err
	}
	return &targetConn{Conn: conn, release: func() { c.release(address) }}, nil
}

// targetConn is a connection to a target. It records whether anything was written
// to it and can block further writes, which together prove whether a request
// can have reached the target.
type targetConn struct {
	net.Conn
	release   func() // counts the connection as closed
	closeOnce sync.Once

	mu            sync.Mutex // guards the fields below
	writeDeadline time.Time  // deadline of the request that uses the connection
	written       bool       // a write was begun
	writesBlocked bool
}

// setRequestDeadline sets the deadline of the request that uses the connection
// next. Nothing is written after it: otherwise an instance whose process was
// paused could make a target run a request whose time is over.
func (c *targetConn) setRequestDeadline(writeDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = writeDeadline
}

// Write implements net.Conn.
func (c *targetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked || !c.writeDeadline.IsZero() && time.Now().After(c.writeDeadline) {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}

// discard blocks further writes and closes the connection. It reports whether
// anything was ever written to it.
func (c *targetConn) discard() (written bool) {
	c.mu.Lock()
	c.writesBlocked = true
	written = c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}
