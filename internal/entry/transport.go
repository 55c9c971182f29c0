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
	"github.com/turmericfield/turmericfield/internal/responsehead"
)

const (
	// idleConnTimeout is how long an unused connection to a target stays open.
	idleConnTimeout = 2 * time.Second
	// maxIdlePerTarget is the largest number of unused connections to a target.
	maxIdlePerTarget = 8
	// continueTimeout is how long a streamed body is held back for the target's
	// 100 Continue before it is sent anyway.
	continueTimeout = 500 * time.Millisecond
	// maxResponseHeaderBytes is the largest header of a target's response.
	maxResponseHeaderBytes = 64 << 10
)

// errHeaderTimeout ends a try whose response header did not arrive in time.
var errHeaderTimeout = errors.New("the target sent no response header in time")

// targetTransport sends requests to targets, over pooled connections or over a
// new connection for one request only. A request that may not run twice needs
// the latter: http.Transport resends a request by itself if a reused connection
// fails, but never one on a new connection. HTTP/2, where it resends on new
// connections as well, is switched off.
type targetTransport struct {
	dialer   *limitedDialer  // of both transports
	pooled   *http.Transport // reuses connections
	unpooled *http.Transport // opens a connection for each request
	// withoutTryID has the addresses whose latest response did not repeat the id of
	// the try. Nothing would tell responses on a reused connection to them apart.
	withoutTryID sync.Map
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

// roundTrip sends a request to a target, in the way that the decision says, and
// returns the response, with its body still to be read. The exchange is never
// nil and must be ended with finish or discard.
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
	if _, indistinguishable := t.withoutTryID.Load(r.URL.Host); d.NewConnection || indistinguishable {
		transport = t.unpooled
		if t.dialer.atLimit(r.URL.Host) {
			// Idle connections count against the limit.
			t.pooled.CloseIdleConnections()
		}
	}
	response, err := responsehead.Transport{Base: transport}.RoundTrip(r)
	if err != nil && errors.Is(context.Cause(ctx), errHeaderTimeout) {
		err = errors.Mark(err, errHeaderTimeout)
	}
	if err == nil {
		e.repeatsTryID = response.Header.Get(TryHeader) == r.Header.Get(TryHeader)
		if e.repeatsTryID {
			t.withoutTryID.Delete(r.URL.Host)
		} else {
			t.withoutTryID.Store(r.URL.Host, struct{}{})
		}
	}
	return response, e, err
}

// close closes all idle connections.
func (t *targetTransport) close() { t.pooled.CloseIdleConnections() }

// exchange is one request to a target and its response, with the connections that
// the transport used for it. It proves what the target can have received.
type exchange struct {
	cancel   context.CancelCauseFunc // ends the exchange's context
	deadline time.Time               // of the request
	// repeatsTryID says that the response has the id of the request's try.
	repeatsTryID bool

	mu        sync.Mutex  // guards the fields below
	conn      *targetConn // the latest; nil before the first
	reused    bool        // conn had carried a request before
	connCount int         // connections that the transport chose for the request
	anyReused bool        // one of them had carried a request before
}

// gotConn is called when the transport has chosen a connection for the request,
// and again for each connection on which it resends it.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, _ := info.Conn.(*targetConn)
	if conn != nil {
		conn.setRequestDeadline(e.deadline)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.reused = conn, info.Reused
	e.connCount++
	e.anyReused = e.anyReused || info.Reused
}

// onNewConnection reports whether the request used at most one connection, which
// no request had used before.
func (e *exchange) onNewConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connCount <= 1 && !e.anyReused
}

// onReusedConnection reports whether the connection that the request used last had
// carried another before.
func (e *exchange) onReusedConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reused
}

// replayed reports whether the transport has resent the request by itself.
func (e *exchange) replayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connCount > 1
}

// finish ends an exchange whose response has been read to its end. A pooled
// connection stays open for other requests if the response proved to be the one of
// this try.
func (e *exchange) finish() {
	if !e.repeatsTryID {
		_ = e.discard(nil)
	}
	e.cancel(nil)
}

// discard ends the exchange and closes its connection, so that no other request
// can use it. It returns what a try that failed with err proves.
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
