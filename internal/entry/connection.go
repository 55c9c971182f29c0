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
var errWritesBlocked = errors.New("connection is sealed")

// connections dials targets and counts the open connections to each address.
type limitedDialer struct {
	dialer net.Dialer

	mu        sync.Mutex
	openCount map[string]int
	limits    map[string]int
}

func newLimitedDialer() *limitedDialer {
	return &limitedDialer{
		dialer:    net.Dialer{Timeout: connectTimeout},
		openCount: map[string]int{}, limits: map[string]int{},
	}
}

// limit sets how many connections to an address may be open.
func (c *limitedDialer) setLimit(address string, maxOpen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[address] = maxOpen
}

// full tells whether no further connection to an address may be opened.
func (c *limitedDialer) atLimit(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount[address] >= c.limits[address]
}

func (c *limitedDialer) reserve(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount[address] >= c.limits[address] {
		return false
	}
	c.openCount[address]++
	return true
}

func (c *limitedDialer) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount[address]--; c.openCount[address] <= 0 {
		delete(c.openCount, address)
	}
}

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

// targetConn is a connection to a target that knows whether anything was
// written to it and can be sealed against writing.
type targetConn struct {
	net.Conn
	release   func()
	closeOnce sync.Once

	mu            sync.Mutex // guards the fields below
	writeDeadline time.Time  // deadline of the request that uses the connection
	written       bool
	writesBlocked bool
}

// use hands the connection to a request. Nothing is written after its
// deadline, so that a process that was paused does not run it late.
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

// discard ends the connection's use for good. It tells whether anything was
// ever written to it; afterwards nothing is.
func (c *targetConn) discard() (written bool) {
	c.mu.Lock()
	c.writesBlocked = true
	written = c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}
