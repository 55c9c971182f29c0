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
	idleConnTimeout        = 2 * time.Second
	maxIdlePerTarget       = 8
	continueTimeout        = 500 * time.Millisecond
	maxResponseHeaderBytes = 64 << 10 // bytes
)

// errSilent ends a try whose answer did not begin in time.
var errHeaderTimeout = errors.New("the target did not answer in time")

// targetTransport sends requests to targets, over pooled connections or over a
// connection of the request's own. http.Transport replays requests by itself
// only on connections that it has used before, and HTTP/2, which replays on
// new ones as well, is switched off.
type targetTransport struct {
	dialer   *limitedDialer
	pooled   *http.Transport
	unpooled *http.Transport
}

func newTargetTransport() *targetTransport {
	d := newLimitedDialer()
	pooled := &http.Transport{
		DialContext: d.dial, DisableCompression: true, Protocols: new(http.Protocols),
		TLSNextProto:    map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: maxIdlePerTarget,
		ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	pooled.Protocols.SetHTTP1(true)
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &targetTransport{dialer: d, pooled: pooled, unpooled: unpooled}
}

// roundTrip sends a request and returns its answer's header. The exchange must
// be finished or discarded.
func (t *targetTransport) roundTrip(r *http.Request, d attempt.Decision) (*http.Response, *exchange, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	e := &exchange{cancel: cancel}
	e.deadline, _ = ctx.Deadline()
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn}))
	if d.HeaderWait > 0 {
		timer := time.AfterFunc(d.HeaderWait, func() { cancel(errHeaderTimeout) })
		defer timer.Stop()
	}
	transport := t.pooled
	if d.NewConnection {
		transport = t.unpooled
		if t.dialer.atLimit(r.URL.Host) {
			t.pooled.CloseIdleConnections()
		}
	}
	response, err := transport.RoundTrip(r)
	if err != nil && errors.Is(context.Cause(ctx), errHeaderTimeout) {
		err = errors.Mark(err, errHeaderTimeout)
	}
	return response, e, err
}

// close ends all idle connections.
func (t *targetTransport) close() { t.pooled.CloseIdleConnections() }

// exchange is one try on the wire.
type exchange struct {
	cancel   context.CancelCauseFunc
	deadline time.Time

	mu        sync.Mutex // guards the fields below
	conn      *targetConn
	connCount int  // connections that the transport has sent the request on
	anyReused bool // one of them had carried a request before
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, _ := info.Conn.(*targetConn)
	if conn != nil {
		conn.setRequestDeadline(e.deadline)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = conn
	e.connCount++
	e.anyReused = e.anyReused || info.Reused
}

// fresh tells whether the request went over at most one connection, which no
// request had used before.
func (e *exchange) onNewConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connCount <= 1 && !e.anyReused
}

// replayed tells whether the transport has sent the request more than once.
func (e *exchange) replayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connCount > 1
}

// finish ends an exchange whose answer has been read to its end.
func (e *exchange) finish() { e.cancel(nil) }

// discard ends the exchange and its connection, which no other request may use
// any more. It returns the event that a failure amounts to.
func (e *exchange) discard(err error) attempt.EventKind {
	defer e.cancel(nil)
	e.mu.Lock()
	conn, connCount := e.conn, e.connCount
	e.mu.Unlock()
	switch {
	case conn == nil:
		return attempt.DialFailed
	case !conn.discard() && connCount == 1:
		return attempt.WroteNothing
	case errors.Is(err, errHeaderTimeout):
		return attempt.HeaderTimeout
	}
	return attempt.ConnectionBroken
}
