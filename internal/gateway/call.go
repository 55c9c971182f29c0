package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/admission"
	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/callerserver"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/quota"
)

const (
	// defaultTimeout bounds every request; a route's timeout and the caller's
	// deadline can only shorten it.
	defaultTimeout = 30 * time.Second
	// responseTransit is subtracted from the time that the caller waits, so
	// that the response can reach the caller within it.
	responseTransit = 20 * time.Millisecond
	// maxAttemptedTargets bounds the targets that are tried for one request,
	// including those to which no connection could be made.
	maxAttemptedTargets = 4
	// minTimeForTarget is the least time that a target needs for a request; a
	// request with less time left is not sent.
	minTimeForTarget = 30 * time.Millisecond
	// maxWithdrawnTargets bounds the targets that are withdrawn between the choice and
	// the send of one request.
	maxWithdrawnTargets = 8
	// retryAfterNoTarget is the Retry-After of requests for which no target
	// could be used in time: queues may be shorter by then.
	retryAfterNoTarget = 300 * time.Millisecond
	// retryAfterStaleConfig is the Retry-After of requests refused because the
	// instance has no configuration or an outdated one, which it may have
	// obtained by then.
	retryAfterStaleConfig = 400 * time.Millisecond
	// retryAfterRejected is short: a target with free capacity rejects some
	// requests at random, and a target without is known to be full by the time
	// of the retry.
	retryAfterRejected = 30 * time.Millisecond
	// retryAfterDraining is short, because other instances serve the request.
	retryAfterDraining = 20 * time.Millisecond
)

var (
	// errWithdrawn is returned by send if, between the choice of a target and the send,
	// the deadline passed, another configuration came into force or API keys became
	// untrusted.
	errWithdrawn = errors.New("deadline passed, or configuration or API key withdrawn, before the request was sent")
	// errTargetWithdrawn is returned by send if, between the choice of a target and the
	// send, the target left, paused, restarted or moved or its availability zone was
	// closed.
	errTargetWithdrawn = errors.New("target withdrawn before the request was sent")
)

// refusal is an error response that the gateway itself gives. The request was
// not run by a target, unless the status is 502 or 504: then it may have been.
type refusal struct {
	status     int
	reason     string        // sent as the body, logged and counted
	retryAfter time.Duration // before jitter; 0 sends no Retry-After header
}

// call is the state of one caller's request from its arrival to its response.
type call struct {
	*Gateway
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	start   time.Time     // arrival of the request's first byte
	age     time.Duration // from then until the request was started
	// startSinceBoot is the arrival on a clock that counts suspensions.
	startSinceBoot time.Duration

	table     *config.RoutingTable
	route     *config.Route
	workspace *config.Workspace
	charged   string // workspace whose quota the request was taken from; "" if none
	// repeatable is set if the route's requests could be repeated in each
	// configuration that the request was resolved by.
	repeatable  bool
	homeRegions config.RegionSet // regions that may run the request
	id          string
	service     string
	deadline    time.Time // of the whole request, including retries

	// The request's body is either in bufferedBody or, if streamedBody is not
	// nil, read from there, which is possible only once.
	bufferedBody []byte
	streamedBody io.Reader

	grant              affinity.Grant
	pace               float64       // of the target at its last response; see affinity.Report
	counted            bool          // in the shares by which starving requests are found
	waited             time.Duration // for room at a target
	yield              admission.Yield
	attempts           int // targets tried, including unreachable ones
	withdrawnTargets   int // targets chosen but not tried
	possibleDeliveries int // sends that may have reached a target
	// unsentRetry is the service from whose budget a retry was taken that has not been
	// sent; empty if there is none.
	unsentRetry   string
	excluded      []string
	mayHaveRun    bool         // whether a target may have run the request
	callerLeft    bool         // whether the caller had left at the end of the last attempt
	exceededQuota quota.Status // state of the workspace's quota, if it refused the request; for the log
	unreadHeld    int          // bytes of the response that were held while the caller took none
	// errorResponse is a target's 5xx response that is kept while another
	// target is tried. It is returned to the caller if no other target gives a
	// response.
	errorResponse *exchange
	// bodyComplete is set once streamedBody was read to its end, possibly by a
	// goroutine that writes it to a target.
	bodyComplete atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.drainEnd.Load() != nil && callerserver.MayClose(r) {
		w.Header().Set("Connection", "close")
	}
	age := callerserver.Age(r)
	c := &call{Gateway: g, writer: w, request: r, age: age, startSinceBoot: clock.SinceBoot() - age, start: time.Now().Add(-age), id: r.Header.Get(g.HeaderNames.RequestID)}
	if refused := c.admit(); refused != nil {
		c.writeRefusal(*refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	if refused := c.readBody(); refused != nil {
		c.writeRefusal(*refused)
		return
	}
	defer callerserver.Hold(r, len(c.bufferedBody))()
	c.dispatch()
}

// RunsConcurrently reports whether a request may run at the same time as others of its
// connection, which are those that may be repeated.
func (g *Gateway) RunsConcurrently(r *http.Request) bool {
	t := g.Table()
	if t == nil {
		return false
	}
	route := t.Route(r.Host, r.URL.EscapedPath())
	return route != nil && route.Repeatable
}

// remaining returns the time until the deadline. Unlike package time, it counts the
// suspensions since the request's arrival.
func (c *call) remaining() time.Duration {
	return c.deadline.Sub(c.start) - (clock.SinceBoot() - c.startSinceBoot)
}

// stillAllowed reports whether the request may still be sent to some target. It repeats
// the checks whose result may have changed since the request was resolved.
func (c *call) stillAllowed() bool {
	// Read before the tables are compared: if the proof is a newer table's, that one
	// is in force by then.
	keysTrusted, configurationTrusted := c.keysTrusted(), c.configurationTrusted()
	return c.remaining() > 0 && c.Table() == c.table && (c.workspace == nil || keysTrusted) && (!c.homeRegions.Bound() || configurationTrusted)
}

// targetStillValid reports whether the request may still be sent to its target.
func (c *call) targetStillValid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.StillValid(c.grant)
}
