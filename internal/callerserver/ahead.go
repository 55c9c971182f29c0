package callerserver

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// aheadConn is the connection, as net/http sees it, of one request that runs ahead of its
// turn. Its fields are guarded by the lock of the caller's connection.
type aheadConn struct {
	conn     *conn
	arrival  time.Time // when the request's first byte was read; does not change
	data     []byte    // of the request, not yet read
	readable sync.Cond
	writable sync.Cond
	deadline time.Time // of reads
	output   []byte    // of the response, until its turn
	held     int64     // bytes of the server's budget
	cost     int64     // part of held until the response is complete
	spare    int64     // kept free for what the handler will hold, until the response begins
	handler  int64     // bytes that the handler holds, by Hold
	waiting  int64     // bytes of a write that waits, which the handler may hold, too
	counted  int64     // part of held for spare, handler and waiting
	turn     bool      // whether output goes to the caller's connection
	ended    bool      // whether the response is complete or was broken off
	closes   bool      // whether the caller's connection ends after it
	dropped  bool      // whether the caller's connection has ended
}

// reserve changes what the request holds of the budget.
func (a *aheadConn) reserve(n int64) {
	a.held += n
	a.conn.hold(n)
}

// count adapts what is held of the budget to spare, handler and waiting, which overlap.
func (a *aheadConn) count() {
	now := max(a.spare, a.handler, a.waiting)
	a.reserve(now - a.counted)
	a.counted = now
}

// holdFor changes what the handler holds.
func (a *aheadConn) holdFor(n int64) {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.handler += n
	a.count()
}

// tryHold is holdFor for n more bytes, if the connection may hold them.
func (a *aheadConn) tryHold(n int64) bool {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	if a.dropped || !a.conn.reserve(n) {
		return false
	}
	a.handler += n
	a.held += n
	a.counted += n
	a.count() // gives back what overlaps
	return true
}

// wake makes reads and writes look again at what they wait for.
func (a *aheadConn) wake() {
	a.readable.Broadcast()
	a.writable.Broadcast()
}

// drop ends a request whose response cannot be sent.
func (a *aheadConn) drop() {
	a.dropped, a.output = true, nil
	a.spare, a.waiting = 0, 0
	a.count()
	a.reserve(a.counted - a.held) // the handler still holds the rest
	a.wake()
}

// Read implements net.Conn. After the request, it waits until the caller leaves or the
// response is complete.
func (a *aheadConn) Read(p []byte) (int, error) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case a.ended, a.dropped, len(a.data) == 0 && c.readErr != nil:
			return 0, io.EOF
		case !a.deadline.IsZero() && !time.Now().Before(a.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(a.data) > 0:
			n := copy(p, a.data)
			a.data = a.data[n:]
			return n, nil
		}
		a.readable.Wait()
	}
}

// Write implements net.Conn. Before the response's turn it keeps the bytes, or waits if the
// connection's part of the budget is used up.
func (a *aheadConn) Write(p []byte) (int, error) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.spare > 0 {
		a.spare = 0
		a.count()
		c.startAhead()
	}
	waits := false
	for !a.turn && !a.dropped {
		if !waits && c.reserve(int64(len(p))) {
			a.output = append(a.output, p...)
			a.held += int64(len(p))
			return len(p), nil
		}
		if !waits {
			waits = true
			a.waiting = int64(len(p))
			a.count()
			defer func() {
				a.waiting = 0
				a.count()
			}()
		}
		a.writable.Wait()
	}
	if a.dropped {
		return 0, errors.Wrap(net.ErrClosed, "caller left before the turn of its response")
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Write(p)
}

// end records that nothing follows of the response; closes says that the caller's connection
// ends with it.
func (a *aheadConn) end(closes bool) {
	c := a.conn
	c.mu.Lock()
	if a.ended {
		c.mu.Unlock()
		return
	}
	a.ended, a.closes = true, closes
	a.wake()
	if !a.dropped {
		a.reserve(-a.cost)
		a.spare = 0
		a.count()
		if closes {
			c.order.stopped = true
			c.dropFrom(slices.Index(c.queue, a) + 1)
		}
		c.advance()
	}
	c.mu.Unlock()
}

// ReadFrom implements io.ReaderFrom, by which net/http writes long bodies past its buffers.
func (a *aheadConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{a}, r)
}

// Close implements net.Conn. net/http calls it when the request has been answered; without
// the state idle before, the response is cut or closes the connection.
func (a *aheadConn) Close() error {
	a.end(true)
	return nil
}

// SetReadDeadline implements net.Conn. Only deadlines that have passed take effect while a
// read waits: the request has been read completely, so that no other one is needed.
func (a *aheadConn) SetReadDeadline(t time.Time) error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.deadline = t
	a.readable.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. Writes have no deadline.
func (a *aheadConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (a *aheadConn) SetDeadline(t time.Time) error { return a.SetReadDeadline(t) }

// LocalAddr implements net.Conn.
func (a *aheadConn) LocalAddr() net.Addr { return a.conn.Conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (a *aheadConn) RemoteAddr() net.Addr { return a.conn.Conn.RemoteAddr() }
