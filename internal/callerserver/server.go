// Package callerserver is the HTTP/1 server of callers' connections. It is net/http, with
// one difference: requests that a caller sends before it has the response to an earlier one
// are read, and run at the same time where that is allowed. Responses leave in the order of
// the requests.
//
// A connection on which no bytes arrive before the response is served by net/http as it is.
// When some do, a goroutine takes over the reading. It cuts the stream into requests and
// serves each that may run ahead of its turn on a connection of its own within the process,
// whose output is kept until its turn.
package callerserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"github.com/turmericfield/turmericfield/internal/metrics"
)

const (
	// memoryShare is the part of the process's memory that may be held for callers'
	// connections beyond the request that each is served with.
	memoryShare = 8
	// defaultMemoryBytes is the memory of a process without a limit.
	defaultMemoryBytes = 512 << 20
	// defaultHeaderBytes is net/http's bound of a request's head without a configured one.
	defaultHeaderBytes = http.DefaultMaxHeaderBytes
	// minHold is the number of bytes from which on Hold counts.
	minHold = 4 << 10
	// nameInterval is the least time between two log lines that name the largest holder.
	nameInterval = time.Second
	// retryDelay is the time from when bytes are given back until connections that wanted
	// room for a further request try again.
	retryDelay = 20 * time.Millisecond
	// startBacklog bounds the requests that were started and not yet taken up.
	startBacklog = 256
)

// Options configure a server.
type Options struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration // of net/http
	MaxHeaderBytes    int           // of net/http
	// Concurrent reports whether the request may run at the same time as others of its
	// connection. It must not change the request or read its body.
	Concurrent  func(r *http.Request) bool
	MemoryBytes int64 // memory limit of the process; 0 for none
	// ResponseBytes is the most that Handler holds of a response when it begins to write it,
	// which it counts by Hold. So much is kept free for each request that runs ahead.
	ResponseBytes int
	// ConnState is told when a connection is new, active, idle and closed, as by net/http.
	ConnState func(net.Conn, http.ConnState)
	Metrics   *metrics.Set
	Log       *log.Logger // may be nil
}

// Server serves callers' connections.
type Server struct {
	Options
	http   http.Server
	ahead  *aheadListener
	once   sync.Once
	piping atomic.Int64 // connections whose requests are read ahead
	unsent atomic.Int64 // requests started ahead of their turn whose responses were not sent

	// ended is set once no further idle connection may be parked.
	ended atomic.Bool
	// stopping is set once no further request may start ahead of its turn.
	stopping atomic.Bool

	mu        sync.Mutex // guards the following; taken after a connection's lock
	budget    budget
	listeners []net.Listener
	conns     map[*conn]struct{} // open ones that net/http serves
	parked    map[*conn]struct{} // idle ones that net/http has let go of
	namedAt   time.Time          // when the largest holder was logged last
	wanting   map[*conn]struct{} // have a request that may start once there is room
	retrying  bool               // whether retry is due
}

// New returns a server that does not serve yet.
func New(o Options) *Server {
	memory := o.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	s := &Server{Options: o, ahead: &aheadListener{started: make(chan net.Conn, startBacklog), closed: make(chan struct{})}, budget: budget{limit: memory / memoryShare}, conns: map[*conn]struct{}{}, wanting: map[*conn]struct{}{}, parked: map[*conn]struct{}{}}
	s.http = http.Server{
		Handler: s, ReadHeaderTimeout: o.ReadHeaderTimeout, MaxHeaderBytes: o.MaxHeaderBytes, ConnState: s.onConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) },
	}
	o.Metrics.Gauge("caller_connections_read_ahead", s.piping.Load)
	o.Metrics.Gauge("caller_connections_parked", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(len(s.parked))
	})
	o.Metrics.Gauge("caller_bytes_held", s.held)
	o.Metrics.Gauge("caller_bytes_held_by_largest", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, bytes := s.largest()
		return bytes
	})
	return s
}

// Serve accepts connections until Shutdown; it then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.once.Do(func() { // both end with the server
		go func() { _ = s.http.Serve(s.ahead) }()
		go s.parkIdle()
	})
	l = &listener{Listener: l, server: s}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	err := s.http.Serve(l)
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops the server as http.Server.Shutdown does, after the requests that have been
// started ahead of their turn have been answered: from its call on, net/http closes each
// connection with the next response.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close() // closed again by net/http, which reports errors
	}
	s.mu.Unlock()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for s.unsent.Load() > 0 {
		select {
		case <-ctx.Done():
			s.closeParked()
			return errors.CombineErrors(ctx.Err(), s.http.Shutdown(ctx))
		case <-tick.C:
		}
	}
	s.closeParked()
	return s.http.Shutdown(ctx)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
		c.enter(r)
	}
	s.Handler.ServeHTTP(w, r)
}

type contextKey struct{}

// Age returns the time since the first byte of the request was read, which may have been
// long before its handler was called. It is 0 for requests of other servers.
func Age(r *http.Request) time.Duration {
	switch c := r.Context().Value(contextKey{}).(type) {
	case *conn:
		return time.Since(c.arrival())
	case *aheadConn:
		return time.Since(c.arrival)
	}
	return 0
}

// Ahead reports whether the request was started before an earlier one of its connection
// was answered.
func Ahead(r *http.Request) bool {
	_, ok := r.Context().Value(contextKey{}).(*aheadConn)
	return ok
}

// MayClose reports whether the response may close the connection without cutting off a
// request that has been started after this one. From then on, no further request of the
// connection starts ahead of its turn. It is true for requests of other servers.
func MayClose(r *http.Request) bool {
	switch c := r.Context().Value(contextKey{}).(type) {
	case *conn:
		return c.mayClose(nil)
	case *aheadConn:
		return c.conn.mayClose(c)
	}
	return true
}

// Hold counts bytes that a handler holds for the request, as of its body or response, against
// the bound of all callers until the returned function is called. Then less is read ahead,
// from the same connection first. Few bytes, and those of other servers, are not counted.
func Hold(r *http.Request, bytes int) (release func()) {
	c, _ := r.Context().Value(contextKey{}).(*conn)
	a, _ := r.Context().Value(contextKey{}).(*aheadConn)
	switch {
	case c == nil && a == nil || bytes < minHold:
		return func() {}
	case a != nil:
		a.holdFor(int64(bytes))
		return func() { a.holdFor(int64(-bytes)) }
	}
	c.holdFor(int64(bytes))
	return func() { c.holdFor(int64(-bytes)) }
}

// TryHold is Hold for bytes that need not be held: they are counted only if the connection
// may hold so many more. Those of other servers' requests may not.
func TryHold(r *http.Request, bytes int) (release func(), ok bool) {
	switch c := r.Context().Value(contextKey{}).(type) {
	case *conn:
		if c.reserveFor(int64(bytes)) {
			return func() { c.holdFor(int64(-bytes)) }, true
		}
	case *aheadConn:
		if c.tryHold(int64(bytes)) {
			return func() { c.holdFor(int64(-bytes)) }, true
		}
	}
	return nil, false
}

// Received returns how many bytes the caller's machine has acknowledged on the request's
// connection, of all its responses together, and whether some that were written are not
// acknowledged yet. If that is unknown it returns 0 and true.
func Received(r *http.Request) (bytes uint64, pending bool) {
	switch c := r.Context().Value(contextKey{}).(type) {
	case *conn:
		return acknowledged(c.Conn)
	case *aheadConn:
		return acknowledged(c.conn.Conn)
	}
	return 0, true
}

func acknowledged(c net.Conn) (bytes uint64, pending bool) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return 0, true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, true
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0, true // the connection has ended, or the system does not tell
	}
	return info.Bytes_acked, info.Unacked > 0 || info.Notsent_bytes > 0
}

func (s *Server) onConnState(c net.Conn, state http.ConnState) {
	switch c := c.(type) {
	case *conn:
		if state == http.StateClosed && c.mayPark() {
			s.park(c)
			return
		}
		s.track(c, state)
		c.onState(state)
	case *aheadConn:
		if state == http.StateIdle {
			c.end(false)
		}
	}
}

// track keeps the set of open connections.
func (s *Server) track(c *conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		delete(s.wanting, c)
	}
}

// changeHeld changes what a connection holds.
func (s *Server) changeHeld(c *conn, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.held += n
	s.budget.change(n)
	if n < 0 && len(s.wanting) > 0 {
		s.retrySoon()
	}
}

// wantRoom makes the connection try again to start a request once bytes are given back, as
// it was refused need bytes.
func (s *Server) wantRoom(c *conn, need int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanting[c] = struct{}{}
	if s.budget.allows(c.held, need) {
		s.retrySoon() // given back since it was refused
	}
}

// retrySoon makes retry run once. The caller holds the lock.
func (s *Server) retrySoon() {
	if !s.retrying {
		s.retrying = true
		time.AfterFunc(retryDelay, s.retry)
	}
}

// retry lets the connections that want room try again, in no order.
func (s *Server) retry() {
	s.mu.Lock()
	wanting := s.wanting
	s.wanting, s.retrying = map[*conn]struct{}{}, false
	s.mu.Unlock()
	for c := range wanting {
		c.mu.Lock()
		c.startAhead()
		c.mu.Unlock()
	}
}

// largest returns the connection for which the most is held, or nil, and how many bytes. The
// caller holds the lock.
func (s *Server) largest() (holder *conn, bytes int64) {
	for c := range s.conns {
		if c.held > bytes {
			holder, bytes = c, c.held
		}
	}
	return holder, bytes
}

// nameLargest logs the largest holder, which is the first that may hold no more.
func (s *Server) nameLargest(now time.Time) {
	s.mu.Lock()
	if s.Log == nil || !s.namedAt.IsZero() && now.Sub(s.namedAt) < nameInterval {
		s.mu.Unlock()
		return
	}
	s.namedAt = now
	c, bytes := s.largest()
	held, limit := s.budget.held, s.budget.limit
	s.mu.Unlock()
	if c != nil {
		s.Log.Warn().Str("caller", c.RemoteAddr().String()).Int64("bytes", bytes).Int64("held", held).Int64("limit", limit).
			Msg("callers: a connection may hold no more; largest holder")
	}
}

// held returns the bytes that are held for callers.
func (s *Server) held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.held
}

// listener makes net/http serve the connections it accepts by way of conn.
type listener struct {
	net.Listener
	server *Server
	once   sync.Once
	err    error // of Close
}

// Close implements net.Listener. Both Server.Shutdown and net/http call it.
func (l *listener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.server), nil
}

// aheadListener passes requests that start ahead of their turn to net/http.
type aheadListener struct {
	started chan net.Conn
	closed  chan struct{}
	mu      sync.Mutex // held while started is written to and while closed is closed
}

// start reports whether the connection was queued for Accept.
func (l *aheadListener) start(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.started <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener. Once the listener is closed, what was queued before is
// closed unserved.
func (l *aheadListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.started:
		return c, nil
	case <-l.closed:
	}
	for {
		select {
		case c := <-l.started:
			if resumed, ok := c.(*conn); ok {
				resumed.closeUnserved()
				continue
			}
			_ = c.Close() // never fails
		default:
			return nil, net.ErrClosed
		}
	}
}

func (l *aheadListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *aheadListener) Addr() net.Addr { return &net.TCPAddr{} }
