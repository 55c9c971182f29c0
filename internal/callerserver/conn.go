package callerserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cockroachdb/errors"
)

const (
	// maxAhead bounds the requests of one connection that run at the same time.
	maxAhead = 64
	// maxUnread bounds the bytes read from a connection that no request has taken yet.
	// Longer requests are served in their turn.
	maxUnread = 64 << 10
	// readSize is how many bytes are read at once.
	readSize = 4 << 10
	// requestCost is what a request that runs ahead of its turn holds beside its bytes:
	// the buffers and stacks of its goroutines, and its connection to a target.
	requestCost = 24 << 10
	// overlapTime is how long the next request may overlap with the end of a response that
	// its caller has received, without the connection counting as one with requests ahead.
	overlapTime = time.Millisecond
	// leaveInterval is the interval at which a connection that is not read is asked whether
	// its caller has closed it.
	leaveInterval = 200 * time.Millisecond
	// lingerTime is how long bytes of a caller are read and dropped after the last
	// response, since a close with unread bytes could destroy that on its way.
	lingerTime = 500 * time.Millisecond
)

const badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request"

// mark says when the bytes from an offset of the stream on were read.
type mark struct {
	offset int64
	at     time.Time
}

// conn is a caller's connection, as net/http sees it.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// readable wakes the reader of this conn.
	readable sync.Cond
	deadline time.Time // of reads
	timer    *time.Timer
	framer   framer    // of the request that net/http reads or serves
	serving  bool      // from the end of that request's head to the end of its response
	firstAt  time.Time // when its first byte was read
	request  *http.Request
	order    order
	queue    []*aheadConn // started ahead of their turn and not answered, in order

	piping       bool // whether pump reads the connection
	wake         chan struct{}
	unread       []byte // read and not yet taken by a request
	offset       int64  // in the stream, of the first byte of unread
	marks        []mark
	busyAhead    bool  // whether the connection is not idle only because of queue
	inOrder      bool  // whether the next request in unread waits for its turn
	readErr      error // end of the stream
	held         int64 // bytes of the server's budget; guarded by the server's lock
	flushing     bool  // whether output of queue[0] is being written
	closeAtEnd   bool  // whether to close once the queue is empty
	closed       bool
	hardClose    bool      // whether to close without waiting for the caller to take the response
	askedAt      time.Time // when waitForRoom last asked whether the caller has left; pump's own
	refusedCount bool      // whether the present refusal to read on was counted

	idle        bool // whether net/http waits for the first byte of a further request
	wasIdle     bool // whether it was when idle connections were looked for last
	interrupted bool // whether the read of an idle connection was made to return
	parking     bool // whether net/http is to let go of the connection, or has
	letGo       bool // whether net/http has, which closes it
}

func newConn(c net.Conn, s *Server) *conn {
	pc := &conn{Conn: c, server: s, framer: newFramer()}
	pc.readable.L = &pc.mu
	return pc
}

// arrival returns when the first byte of the request being served was read.
func (c *conn) arrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstAt
}

// enter is called with each request that net/http serves on this conn.
func (c *conn) enter(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = r
	c.start()
}

// start records the request that net/http serves on this conn in the order, once requests
// are read ahead.
func (c *conn) start() {
	if !c.piping || c.request == nil || !c.serving || c.order.running > 0 {
		return
	}
	kind := exclusive
	if !c.framer.hasBody() && !c.framer.lastOfConn && !c.framer.http10 && c.server.Concurrent(c.request) {
		kind = concurrent
	}
	c.order.start(kind)
	c.startAhead()
}

// onState follows net/http's states.
func (c *conn) onState(state http.ConnState) {
	c.mu.Lock()
	switch state {
	case http.StateActive:
		c.serving, c.idle = true, false
	case http.StateIdle:
		c.serving, c.request, c.framer = false, nil, newFramer()
		c.idle, c.wasIdle = true, false
		if c.order.running > 0 {
			c.order.answered(false)
			c.startAhead()
		}
		c.advance()
		if c.busyAhead = len(c.queue) > 0; c.busyAhead {
			c.mu.Unlock()
			return // idle only when all are answered, which Read tells
		}
	}
	c.mu.Unlock()
	c.tellState(state)
}

func (c *conn) tellState(state http.ConnState) {
	if c.server.ConnState != nil {
		c.server.ConnState(c, state)
	}
}

// Read implements net.Conn. It returns bytes of one request only. Once net/http has them
// all, its read waits until the caller leaves or the response is complete.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.piping {
		return c.readPiped(p)
	}
	return c.readPlain(p)
}

// readPlain is Read while nothing reads ahead.
func (c *conn) readPlain(p []byte) (int, error) {
	whole := c.framer.done()
	if whole && !c.serving {
		return 0, io.EOF // net/http expects more of the request than there is
	}
	early := 0
	if !whole && len(c.unread) > 0 && len(p) > 1 {
		c.idle = false
		early = copy(p, c.unread)
		c.firstAt = c.take(early)
	}
	n, parked, err := c.readOn(p[early:])
	if parked {
		return 0, io.EOF
	}
	if n += early; n == 0 {
		return n, err
	}
	now := time.Now()
	if whole {
		c.receive(p[:n], now)
		if c.responseEnds() {
			return 0, os.ErrDeadlineExceeded
		}
		c.takeOver(nil, now)
		return c.readPiped(p)
	}
	if !c.framer.lineBegun() && early == 0 {
		c.firstAt = now
	}
	used, malformed := c.framer.feed(p[:n])
	if malformed != nil {
		return 0, c.refuse()
	}
	if used < n {
		c.takeOver(p[used:n], now)
	}
	return used, err
}

// responseEnds waits for the end of the response and reports whether it came within
// overlapTime. net/http then ends the read that waits for the caller's leaving.
func (c *conn) responseEnds() bool {
	end := time.Now().Add(overlapTime)
	c.wakeAfter(overlapTime)
	defer c.timer.Stop()
	for {
		switch now := time.Now(); {
		case !c.deadline.IsZero() && !now.Before(c.deadline):
			return true
		case !now.Before(end) || c.closed:
			return false
		}
		c.readable.Wait()
	}
}

// refuse answers a request whose end is ambiguous, unless it is being served, and returns
// the error for net/http's read.
func (c *conn) refuse() error {
	if c.serving {
		return errMalformed
	}
	c.order.stopped = true
	c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, badRequest) // the caller may have left
	c.mu.Lock()
	return io.EOF
}

// takeOver makes pump read the connection, of which the given bytes were read beside those
// in unread.
func (c *conn) takeOver(p []byte, at time.Time) {
	c.piping = true
	c.wake = make(chan struct{}, 1)
	c.hold(int64(len(c.unread)))
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection has ended, which the read tells
	c.setTimer()
	if len(p) > 0 {
		c.receive(p, at)
	}
	c.server.piping.Add(1)
	c.start()
	go c.pump()
}

// receive appends bytes of the stream.
func (c *conn) receive(p []byte, at time.Time) {
	c.marks = append(c.marks, mark{c.offset + int64(len(c.unread)), at})
	c.unread = append(c.unread, p...)
	c.hold(int64(len(p)))
}

// take removes n bytes that a request has taken from the unread ones and returns when the
// first of them was read, without empty lines before it.
func (c *conn) take(n int) time.Time {
	begin := c.offset + int64(n-len(bytes.TrimLeft(c.unread[:n], "\r\n")))
	first, at := 0, c.marks[0].at
	for i, m := range c.marks {
		if m.offset <= c.offset {
			first = i
		}
		if m.offset <= begin {
			at = m.at
		}
	}
	c.marks = slices.Delete(c.marks, 0, first)
	c.offset += int64(n)
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.marks = c.marks[:0]
		if c.unread = c.unread[:0]; cap(c.unread) > readSize {
			c.unread = nil
		}
	}
	c.hold(int64(-n))
	c.poke()
	return at
}

// holdFor changes what the connection holds of the budget for the sake of a handler.
func (c *conn) holdFor(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.changeHeld(c, n)
}

// reserveFor holds n more bytes for the sake of a handler if that is allowed.
func (c *conn) reserveFor(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.reserve(n)
}

// hold changes what the connection holds of the budget once pump reads it.
func (c *conn) hold(n int64) {
	if !c.piping {
		return // at most a byte
	}
	c.server.changeHeld(c, n)
}

// allowed reports whether the connection may hold need more bytes.
func (c *conn) allowed(need int64) bool {
	c.server.mu.Lock()
	ok := c.server.budget.allows(c.held, need)
	c.server.mu.Unlock()
	c.noteAllowed(ok)
	return ok
}

// reserve holds need more bytes if that is allowed.
func (c *conn) reserve(need int64) bool {
	c.server.mu.Lock()
	ok := c.server.budget.allows(c.held, need)
	if ok {
		c.server.budget.change(need)
		c.held += need
	}
	c.server.mu.Unlock()
	c.noteAllowed(ok)
	return ok
}

// noteAllowed counts when the connection begins to be refused more.
func (c *conn) noteAllowed(ok bool) {
	if !ok && !c.refusedCount {
		c.server.Metrics.Add("caller_read_ahead_refused_total", 1)
		c.server.nameLargest(time.Now())
	}
	c.refusedCount = !ok
}

// poke makes pump look again whether it may read.
func (c *conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// readPiped is Read while pump reads the connection.
func (c *conn) readPiped(p []byte) (int, error) {
	for {
		if !c.piping {
			_ = c.Conn.SetReadDeadline(c.deadline) // fails only if the connection has ended, which the read tells
			return c.readPlain(p)
		}
		fresh := !c.framer.begun()
		switch {
		case c.closed, c.closeAtEnd, fresh && c.server.stopping.Load() && len(c.queue) == 0:
			return 0, io.EOF
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		case c.framer.done() && !c.serving:
			return 0, io.EOF // net/http expects more of the request than there is
		case c.readErr != nil && (c.framer.done() || len(c.unread) == 0 || fresh && !c.lastOfStream()):
			return 0, c.readErr // a caller that left gets no further requests served
		case !c.framer.done() && len(c.unread) > 0 && (!fresh || len(c.queue) == 0):
			n := copy(p, c.unread)
			first := !c.framer.lineBegun()
			used, malformed := c.framer.feed(p[:n])
			at := c.take(used)
			if first {
				c.firstAt = at
			}
			if fresh {
				c.inOrder, c.idle = false, false
			}
			if malformed != nil {
				return 0, c.refuse()
			}
			return used, nil
		}
		if c.busyAhead && len(c.queue) == 0 {
			c.busyAhead, c.wasIdle = false, false
			c.mu.Unlock()
			c.tellState(http.StateIdle)
			c.mu.Lock()
			continue
		}
		c.poke()
		c.readable.Wait()
	}
}

// lastOfStream reports whether the unread bytes are at most one request, before an orderly
// end of the stream. net/http serves such a request, whose caller may be reading still.
func (c *conn) lastOfStream() bool {
	f := newFramer()
	used, _ := f.feed(c.unread) // net/http reports errors
	return used == len(c.unread) && errors.Is(c.readErr, io.EOF)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.readable.Broadcast()
	if !c.piping {
		return c.Conn.SetReadDeadline(t)
	}
	c.setTimer()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// setTimer wakes the reader at its deadline.
func (c *conn) setTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
	if wait := time.Until(c.deadline); !c.deadline.IsZero() && wait > 0 {
		c.wakeAfter(wait)
	}
}

// wakeAfter wakes the reader once, unless the timer is set again or stopped before.
func (c *conn) wakeAfter(wait time.Duration) {
	if c.timer != nil {
		c.timer.Reset(wait)
		return
	}
	c.timer = time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readable.Broadcast()
	})
}

// ReadFrom implements io.ReaderFrom, by which net/http writes long bodies past its buffers.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }

// CloseWrite ends the stream to the caller.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that has not been sent, as net.TCPConn's does.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.hardClose = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. A connection that net/http takes for idle is closed only after
// the responses to the requests that run ahead of their turn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parking && !c.letGo {
		c.letGo = true
		return nil
	}
	if !c.serving && !c.closed && len(c.queue) > 0 {
		c.closeAtEnd, c.order.stopped = true, true
		c.readable.Broadcast()
		return nil
	}
	return c.finish()
}

// finish closes the connection and ends all its requests.
func (c *conn) finish() error {
	if c.closed {
		return nil
	}
	c.closed, c.order.stopped = true, true
	c.release()
	if !c.piping {
		return c.Conn.Close()
	}
	c.poke()
	if c.readErr != nil || c.hardClose {
		return c.Conn.Close()
	}
	_ = c.CloseWrite()                                        // fails only if the connection has ended
	return c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // pump closes it
}

// release ends the requests that run ahead of their turn, whose responses cannot be sent.
func (c *conn) release() {
	c.dropFrom(0)
	c.hold(-int64(len(c.unread)))
	c.unread, c.marks = nil, nil
	c.readable.Broadcast()
}

// dropFrom ends the requests from position i of the queue on.
func (c *conn) dropFrom(i int) {
	for _, a := range c.queue[i:] {
		a.drop()
		c.server.unsent.Add(-1)
	}
	c.queue = slices.Delete(c.queue, i, len(c.queue))
}

// pump reads the connection until it ends.
func (c *conn) pump() {
	defer c.server.piping.Add(-1)
	buffer := make([]byte, readSize)
	for {
		c.mu.Lock()
		c.startAhead()
		closed := c.closed
		// A request that is served in its turn is read as it is taken.
		mayRead := len(c.unread) == 0 || len(c.unread) < maxUnread && c.allowed(readSize)
		c.mu.Unlock()
		switch {
		case closed:
			_, _ = io.Copy(io.Discard, c.Conn) // until the caller closes or lingerTime has passed
			_ = c.Conn.Close()                 // nobody can be told of an error
			return
		case !mayRead:
			if c.waitForRoom() {
				continue
			}
			c.fail(io.EOF)
			return
		}
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		if c.interrupted && !c.closed {
			c.interrupted = false
			_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection has ended, which the read tells
			if n == 0 && isTimeout(err) {
				ended := c.stopPump()
				c.mu.Unlock()
				if ended {
					return
				}
				continue
			}
		}
		if n > 0 && !c.closed {
			c.receive(buffer[:n], time.Now())
			c.readable.Broadcast()
		}
		closed = c.closed
		c.mu.Unlock()
		if err != nil && !closed {
			c.fail(err)
			return
		}
	}
}

// fail ends the contexts of all requests of a caller that has left, or that has ended its
// stream, which net/http takes for the same.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr, c.order.stopped = err, true
	if !errors.Is(err, io.EOF) {
		c.dropFrom(0) // no response can be sent any more
	}
	if c.closed {
		_ = c.Conn.Close() // nobody can be told of an error
		return
	}
	for _, a := range c.queue {
		a.wake()
	}
	c.readable.Broadcast()
}

// waitForRoom waits until it may have become possible to read on. It returns false once the
// caller has closed the connection.
func (c *conn) waitForRoom() bool {
	// Being woken must not put the question off: it comes at a fixed interval.
	left := leaveInterval - time.Since(c.askedAt)
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-c.wake:
		if left > 0 {
			return true
		}
	case <-timer.C:
	}
	c.askedAt = time.Now()
	return !hasLeft(c.Conn)
}

// hasLeft reports whether the other end has closed the connection, also while bytes that it
// has sent before are unread.
func hasLeft(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil
}

// startAhead starts the requests that may run ahead of their turn.
func (c *conn) startAhead() {
	for len(c.unread) > 0 && !c.inOrder && !c.closed && c.readErr == nil && !c.server.stopping.Load() && c.order.mayStartAhead(concurrent, maxAhead) && c.framer.beginsNext(c.serving) {
		f := newFramer()
		size, err := f.feed(c.unread)
		if err == nil && !f.done() {
			return
		}
		if err != nil || !c.runsAhead(c.unread[:size], &f) {
			c.inOrder = true
			return
		}
		// The handler may hold the request's body beside its response.
		spare, cost := int64(size+c.server.ResponseBytes), requestCost+int64(size)
		if !c.reserve(cost + spare) {
			c.server.wantRoom(c, cost+spare)
			return
		}
		a := &aheadConn{conn: c, data: bytes.Clone(c.unread[:size]), held: cost + spare, cost: cost, spare: spare, counted: spare}
		a.readable.L, a.writable.L = &c.mu, &c.mu
		// Counted first: Shutdown looks at the number once it has said that it stops.
		c.server.unsent.Add(1)
		if c.server.stopping.Load() || !c.server.ahead.start(a) {
			c.server.unsent.Add(-1)
			c.hold(-a.held)
			return
		}
		a.arrival = c.take(size)
		c.queue = append(c.queue, a)
		c.order.start(concurrent)
		c.order.stopped = f.lastOfConn
		c.server.Metrics.Add("caller_requests_read_ahead_total", 1)
	}
}

// beginsNext reports whether the next bytes of the stream begin a request: the one that
// net/http serves is complete, or it waits for the next.
func (f *framer) beginsNext(serving bool) bool { return serving && f.done() || !serving && !f.begun() }

// runsAhead reports whether the complete request may run ahead of its turn. Those that
// net/http itself could answer with a close of the connection may not.
func (c *conn) runsAhead(data []byte, f *framer) bool {
	limit := c.server.MaxHeaderBytes
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	if f.http10 || f.headSize > limit {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil || r.Method == http.MethodConnect || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" || f.hosts != 1 || r.Host == "" || r.RequestURI[0] != '/' {
		return false
	}
	for _, b := range data[:f.headSize] {
		if b < ' ' && b != '\r' && b != '\n' && b != '\t' || b >= 0x7f {
			return false
		}
	}
	for _, b := range []byte(r.Host) {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '.' || b == '-' || b == ':') {
			return false
		}
	}
	return c.server.Concurrent(r)
}

// mayClose implements MayClose; a is nil for the request that net/http serves on this conn.
func (c *conn) mayClose(a *aheadConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.stopped = true
	return len(c.queue) == 0 || a != nil && c.queue[len(c.queue)-1] == a
}

// advance writes the responses whose turn it is.
func (c *conn) advance() {
	for !c.flushing && !c.serving && !c.closed && len(c.queue) > 0 {
		a := c.queue[0]
		if len(a.output) > 0 {
			output := a.output
			a.output, c.flushing = nil, true
			c.mu.Unlock()
			_, err := c.Conn.Write(output)
			c.mu.Lock()
			c.flushing = false
			if !a.dropped {
				a.reserve(-int64(len(output)))
			}
			if err != nil {
				_ = c.finish() // the connection has ended
				return
			}
			continue
		}
		a.turn = true
		a.wake()
		if !a.ended {
			return
		}
		c.queue = slices.Delete(c.queue, 0, 1)
		c.server.unsent.Add(-1)
		c.order.answered(a.closes)
		if a.closes || c.closeAtEnd && len(c.queue) == 0 {
			_ = c.finish() // nobody can be told of an error
			return
		}
		c.startAhead() // pump may wait for further bytes
		c.poke()
	}
	if len(c.queue) == 0 {
		c.readable.Broadcast()
		c.poke()
	}
}
