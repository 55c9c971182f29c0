package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/attempt"
)

const (
	idleTimeout     = 2 * time.Second
	idlePerTarget   = 8
	continueTimeout = 500 * time.Millisecond
	maxAnswerHeader = 64 << 10 // bytes
)

// errSilent ends a try whose answer did not begin in time.
var errSilent = errors.New("the target did not answer in time")

// targetTransport sends requests to targets, over pooled connections or over a
// connection of the request's own. http.Transport replays requests by itself
// only on connections that it has used before, and HTTP/2, which replays on
// new ones as well, is switched off.
type targetTransport struct {
	connections *connections
	pooled      *http.Transport
	single      *http.Transport
}

func newTargetTransport() *targetTransport {
	c := newConnections()
	pooled := &http.Transport{
		DialContext: c.dial, DisableCompression: true, Protocols: new(http.Protocols),
		TLSNextProto:    map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idlePerTarget,
		ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxAnswerHeader,
	}
	pooled.Protocols.SetHTTP1(true)
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &targetTransport{connections: c, pooled: pooled, single: single}
}

// roundTrip sends a request and returns its answer's header. The exchange must
// be finished or discarded.
func (t *targetTransport) roundTrip(r *http.Request, d attempt.Decision) (*http.Response, *exchange, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	e := &exchange{cancel: cancel}
	e.deadline, _ = ctx.Deadline()
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn}))
	if d.HeaderWait > 0 {
		timer := time.AfterFunc(d.HeaderWait, func() { cancel(errSilent) })
		defer timer.Stop()
	}
	transport := t.pooled
	if d.NewConnection {
		transport = t.single
		if t.connections.full(r.URL.Host) {
			t.pooled.CloseIdleConnections()
		}
	}
	response, err := transport.RoundTrip(r)
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		err = errors.Mark(err, errSilent)
	}
	return response, e, err
}

// close ends all idle connections.
func (t *targetTransport) close() { t.pooled.CloseIdleConnections() }

// exchange is one try on the wire.
type exchange struct {
	cancel   context.CancelCauseFunc
	deadline time.Time

	mu     sync.Mutex // guards the fields below
	conn   *targetConn
	conns  int  // connections that the transport has sent the request on
	reused bool // one of them had carried a request before
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, _ := info.Conn.(*targetConn)
	if conn != nil {
		conn.use(e.deadline)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = conn
	e.conns++
	e.reused = e.reused || info.Reused
}

// fresh tells whether the request went over at most one connection, which no
// request had used before.
func (e *exchange) fresh() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns <= 1 && !e.reused
}

// replayed tells whether the transport has sent the request more than once.
func (e *exchange) replayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns > 1
}

// finish ends an exchange whose answer has been read to its end.
func (e *exchange) finish() { e.cancel(nil) }

// discard ends the exchange and its connection, which no other request may use
// any more. It returns the event that a failure amounts to.
func (e *exchange) discard(err error) attempt.EventKind {
	defer e.cancel(nil)
	e.mu.Lock()
	conn, conns := e.conn, e.conns
	e.mu.Unlock()
	switch {
	case conn == nil:
		return attempt.DialFailed
	case !conn.discard() && conns == 1:
		return attempt.WroteNothing
	case errors.Is(err, errSilent):
		return attempt.HeaderTimeout
	}
	return attempt.ConnectionBroken
}
