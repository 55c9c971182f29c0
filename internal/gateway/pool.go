package gateway

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

const (
	// dialTimeout bounds connecting to a target. It is several times the
	// longest round trip between regions.
	dialTimeout = 300 * time.Millisecond
	// maxIdle is how long an idle connection is kept. Targets close idle
	// connections after a few seconds; a request sent while the target closes
	// its connection fails although it may have been run.
	maxIdle = 4 * time.Second
	// maxIdleUnsafe is the limit for requests that must not be repeated, for
	// which such a failure cannot be retried.
	maxIdleUnsafe = time.Second
	// maxIdlePerTarget bounds the idle connections to one target, which runs
	// only a few requests at once.
	maxIdlePerTarget = 8
	// unackedTimeout is how long sent data may stay unacknowledged by the peer
	// before the connection is ended.
	unackedTimeout = 1500 * time.Millisecond
	// maxRequestsPerConn bounds the requests that a connection carries, as it
	// remembers all of them, in 8 bytes each.
	maxRequestsPerConn = 1024
	// readBufferSize and writeBufferSize are sizes in bytes; they hold the head
	// of a usual message.
	readBufferSize  = 4 << 10
	writeBufferSize = 2 << 10
)

// errLostWhileWriting is the error of reading from a connection that was lost before the
// request was written. It counts as an unexpected end of file, as its reader can't know how
// much of the response is missing.
var errLostWhileWriting = errors.Wrap(io.ErrUnexpectedEOF, "connection lost while the request was written")

// targetConn is a connection to a target.
type targetConn struct {
	net.Conn
	reader   *bufio.Reader
	unread   int64  // bytes that may still be read from the connection
	targetID string // id of the target
	started  int64  // identifies the target's process, see affinity.Target
	// carried holds a hash of the id of each request that it has carried, so
	// that it carries none twice: a response that echoes the request's id could
	// not be told from one that belongs to the earlier exchange.
	carried []uint64
	idleAt  time.Time // since when it has been idle
	// idleLimit is the idle time that the target allows, by its last response;
	// 0 if it named none.
	idleLimit time.Duration
	// requestWritten is set once the latest request has been written, all of it without an
	// error.
	requestWritten atomic.Bool
}

// pool keeps idle connections to targets for reuse. It is safe for concurrent
// use.
type pool struct {
	dialer net.Dialer
	seed   maphash.Seed // of the hashes of request ids
	mu     sync.Mutex
	idle   map[string][]*targetConn // by target id; the one used last is at the end
}

func newPool() *pool {
	return &pool{dialer: Dialer(dialTimeout), seed: maphash.MakeSeed(), idle: map[string][]*targetConn{}}
}

// Dialer returns a dialer whose connections fail within seconds after their
// peer has become silent.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Best effort: without it, the gateway's own timeouts still
				// apply.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
		},
	}
}

// get returns a connection to a target for one request: of the idle ones that
// have not carried a request with its id, the one that was used last, or a new
// one. A request without an id always gets a new one, on which the first response
// can only be its own. Connections that idled too long, lead to an earlier address or
// process of the target or were closed by it are closed on the way.
func (p *pool) get(ctx context.Context, target affinity.Target, requestID string, repeatable bool) (*targetConn, error) {
	limit := maxIdle
	if !repeatable {
		limit = maxIdleUnsafe
	}
	request := maphash.String(p.seed, requestID)
	for requestID != "" {
		c := p.takeIdle(target.ID, request)
		if c == nil {
			break
		}
		idle := time.Since(c.idleAt)
		if idle < limit && (c.idleLimit == 0 || idle < c.idleLimit/2) && c.started == target.Started && c.RemoteAddr().String() == target.Address && c.openAndEmpty() {
			c.carried = append(c.carried, request)
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp4", target.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c := newTargetConn(conn, target)
	c.carried = append(c.carried, request)
	return c, nil
}

func newTargetConn(conn net.Conn, target affinity.Target) *targetConn {
	c := &targetConn{Conn: conn, targetID: target.ID, started: target.Started}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// limit bounds what is read from the connection from now on, in bytes, without
// what is buffered already.
func (c *targetConn) limit(n int64) { c.unread = n }

// Read implements io.Reader for the buffered reader. It returns io.EOF only if the target has
// closed its side of the connection (FIN). The kernel reports a reset once: if a write of the
// request gets it, the read gets an end of file like that of a closed connection, which would
// end a response without a length.
func (c *targetConn) Read(p []byte) (int, error) {
	if c.unread <= 0 {
		return 0, errTooManyBytes
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.unread)])
	c.unread -= int64(n)
	if err == io.EOF && !c.requestWritten.Load() && !c.closedByTarget() {
		err = errLostWhileWriting
	}
	return n, err
}

// closedByTarget reports whether the target has closed its side of the connection, without
// a reset before or since. It returns false also if that can't be found out.
func (c *targetConn) closedByTarget() bool {
	state := uint8(0)
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err == nil && state == unix.BPF_TCP_CLOSE_WAIT
}

// takeIdle removes and returns the idle connection to a target that was used
// last and has not carried the request, or nil.
func (p *pool) takeIdle(id string, request uint64) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.carried, request) {
			p.idle[id] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put keeps a connection whose last response was read completely. It is closed
// if there are unread bytes, enough idle connections or no room for the ids of
// more requests.
func (p *pool) put(c *targetConn) {
	if c.reader.Buffered() > 0 || len(c.carried) >= maxRequestsPerConn {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.targetID]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.targetID] = append(p.idle[c.targetID], c)
}

// closeTarget closes the idle connections to a target.
func (p *pool) closeTarget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[id] {
		_ = c.Close()
	}
	delete(p.idle, id)
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

// openAndEmpty reports whether an idle connection is open and has no bytes to
// be read: bytes after a response belong to no request.
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
