package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const connectTimeout = time.Second

// errConnectionLimit means that this instance uses its share of a target's
// connections.
var errConnectionLimit = errors.New("this instance's connections to the target are used up")

// errSealed means that nothing may be written to a connection any more.
var errSealed = errors.New("connection is sealed")

// connections dials targets and counts the open connections to each address.
type connections struct {
	dialer net.Dialer

	mu     sync.Mutex
	open   map[string]int
	limits map[string]int
}

func newConnections() *connections {
	return &connections{
		dialer: net.Dialer{Timeout: connectTimeout},
		open:   map[string]int{}, limits: map[string]int{},
	}
}

// limit sets how many connections to an address may be open.
func (c *connections) limit(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[address] = n
}

// full tells whether no further connection to an address may be opened.
func (c *connections) full(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[address] >= c.limits[address]
}

func (c *connections) reserve(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address] >= c.limits[address] {
		return false
	}
	c.open[address]++
	return true
}

func (c *connections) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address]--; c.open[address] <= 0 {
		delete(c.open, address)
	}
}

func (c *connections) dial(ctx context.Context, network, address string) (net.Conn, error) {
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

// targetConn is a connection to a target that knows whether anything was
// written to it and can be sealed against writing.
type targetConn struct {
	net.Conn
	release func()
	once    sync.Once

	mu       sync.Mutex // guards the fields below
	notAfter time.Time  // deadline of the request that uses the connection
	written  bool
	sealed   bool
}

// use hands the connection to a request. Nothing is written after its
// deadline, so that a process that was paused does not run it late.
func (c *targetConn) use(notAfter time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAfter = notAfter
}

// Write implements net.Conn.
func (c *targetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed || !c.notAfter.IsZero() && time.Now().After(c.notAfter) {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// discard ends the connection's use for good. It tells whether anything was
// ever written to it; afterwards nothing is.
func (c *targetConn) discard() (written bool) {
	c.mu.Lock()
	c.sealed = true
	written = c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}
