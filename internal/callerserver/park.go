package callerserver

import (
	"bytes"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// parkInterval is the interval at which idle connections are looked for. A connection that
// has been idle at two times in a row is parked.
const parkInterval = 500 * time.Millisecond

// parkIdle parks idle connections until the server ends: net/http, which keeps a
// goroutine with a large stack and two buffers for each connection, lets go of them until
// their next bytes.
func (s *Server) parkIdle() {
	tick := time.NewTicker(parkInterval)
	defer tick.Stop()
	var conns []*conn
	for !s.ended.Load() {
		<-tick.C
		s.mu.Lock()
		conns = conns[:0]
		for c := range s.conns {
			conns = append(conns, c)
		}
		s.mu.Unlock()
		for _, c := range conns {
			c.parkIfIdle()
		}
		clear(conns)
	}
}

// parkIfIdle makes the read of a connection that has been idle for an interval return. If
// requests have come ahead of a response, that ends the reading ahead; it is parked at
// the next time.
func (c *conn) parkIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closed || len(c.unread) > 0 || len(c.queue) > 0 {
		return
	}
	if !c.wasIdle {
		c.wasIdle = true
		return
	}
	if _, ok := c.Conn.(syscall.Conn); ok {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended, which the read tells
	}
}

// stopPump ends the reading ahead of a connection that is idle, and reports whether it has.
func (c *conn) stopPump() bool {
	if !c.idle || c.serving || c.framer.begun() || len(c.unread) > 0 || len(c.queue) > 0 || c.flushing || c.busyAhead || c.closeAtEnd || c.readErr != nil || c.order.running > 0 {
		return false
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.piping = false
	c.timer, c.wake, c.unread, c.marks, c.queue = nil, nil, nil, nil, nil
	c.readable.Broadcast()
	return true
}

// readOn is the read of a connection that nothing reads ahead. It returns parked if net/http
// is to let go of the connection. The caller holds the lock.
func (c *conn) readOn(p []byte) (n int, parked bool, err error) {
	c.mu.Unlock()
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.deadline) // as above
		if n == 0 && c.idle && !c.closed && isTimeout(err) {
			c.parking, c.idle = true, false
			return 0, true, nil
		}
	}
	if n > 0 {
		c.idle = false
	}
	return n, false, err
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

// park keeps a connection that net/http has let go of until its next bytes.
func (s *Server) park(c *conn) {
	s.mu.Lock()
	ended := s.ended.Load()
	if !ended {
		delete(s.conns, c)
		s.parked[c] = struct{}{}
	}
	s.mu.Unlock()
	go func() {
		resumed := !ended && c.awaitBytes()
		s.mu.Lock()
		delete(s.parked, c)
		s.mu.Unlock()
		if resumed && c.resume() {
			for !s.ended.Load() {
				if s.ahead.start(c) {
					return
				}
				time.Sleep(time.Millisecond) // too many are waiting to be served
			}
		}
		c.closeUnserved()
	}()
}

// closeUnserved closes a connection that net/http has let go of and does not serve again.
func (c *conn) closeUnserved() {
	c.mu.Lock()
	_ = c.finish() // nobody can be told of an error
	c.mu.Unlock()
	c.server.track(c, http.StateClosed)
	c.tellState(http.StateClosed)
}

// mayPark reports whether net/http has let go of the connection only for the time being.
func (c *conn) mayPark() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parking && !c.closed
}

// awaitBytes waits for the beginning of the connection's next request. It skips empty lines
// before it: net/http does so behind a body, but begins to wait for a head with them once it
// does not know of earlier requests. It returns false if the connection has ended.
func (c *conn) awaitBytes() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [64]byte
		for {
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			switch {
			case err == unix.EINTR:
				continue
			case err == unix.EAGAIN:
				return false
			case err != nil || n <= 0:
				return true
			}
			empty := n - len(bytes.TrimLeft(b[:n], "\r\n"))
			if empty == 0 {
				readable = true
				return true
			}
			if _, _, err := unix.Recvfrom(int(fd), b[:empty], unix.MSG_DONTWAIT); err != nil && err != unix.EINTR {
				return true
			}
		}
	})
	return err == nil && readable
}

// resume prepares a parked connection for net/http. It returns false if it was closed.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parking, c.letGo = false, false
	c.idle, c.serving, c.request, c.framer, c.order = false, false, nil, newFramer(), order{}
	return !c.closed
}

// closeParked closes the parked connections, and no more are parked.
func (s *Server) closeParked() {
	s.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.parked {
		_ = c.Conn.Close() // nobody can be told of an error
	}
}
