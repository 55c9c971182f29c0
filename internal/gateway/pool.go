package gateway

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds connecting to a target: several times the longest way
	// between regions and back.
	dialTimeout = 300 * time.Millisecond
	// maxIdle is how long a connection is kept without use. Targets close idle
	// ones after seconds; a request that crosses the close may have run.
	maxIdle = 4 * time.Second
	// maxIdleUnsafe is the same for requests that may not be repeated.
	maxIdleUnsafe = time.Second
	// maxIdlePerTarget bounds the kept connections; a target runs few requests
	// at once.
	maxIdlePerTarget = 8
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 1500 * time.Millisecond
	// readBufferSize and writeBuffer are sizes in bytes for heads of messages.
	readBufferSize  = 4 << 10
	writeBufferSize = 2 << 10
)

// targetConn is a connection to a target.
type targetConn struct {
	net.Conn
	reader   *bufio.Reader
	targetID string // id
	used     bool   // it carried a request before
	idleAt   time.Time
	// idleLimit is the target's own limit on idle time; 0 if it gave none.
	idleLimit time.Duration
}

// pool keeps idle connections to targets.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*targetConn
}

func newPool() *pool {
	return &pool{dialer: Dialer(dialTimeout), idle: map[string][]*targetConn{}}
}

// Dialer returns a dialer whose connections end soon after their peer fell
// silent.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Best effort: timeouts of our own hold without it.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
		},
	}
}

// get returns a connection to a target: the one used last, or a new one.
func (p *pool) get(ctx context.Context, id, address string, repeatable bool) (*targetConn, error) {
	limit := maxIdle
	if !repeatable {
		limit = maxIdleUnsafe
	}
	for {
		c := p.takeIdle(id)
		if c == nil {
			break
		}
		idle := time.Since(c.idleAt)
		if idle < limit && (c.idleLimit == 0 || idle < c.idleLimit/2) && c.RemoteAddr().String() == address && c.openAndEmpty() {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &targetConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), targetID: id}, nil
}

func (p *pool) takeIdle(id string) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// put keeps a connection whose last answer was read whole.
func (p *pool) put(c *targetConn) {
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.used, c.idleAt = true, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.targetID]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.targetID] = append(p.idle[c.targetID], c)
}

// closeExpired closes connections that were idle for too long.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleAt) < maxIdle {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}
}

// openAndEmpty tells whether an idle connection is open and no bytes wait on it. Bytes
// after an answer belong to no request.
func (c *targetConn) openAndEmpty() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = err == unix.EAGAIN
		return true
	})
	return err == nil && openAndEmpty
}
