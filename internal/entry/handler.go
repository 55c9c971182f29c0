// Package entry is the data path of an instance, an HTTP reverse proxy. It checks
// the key and the rate of each caller's request, chooses a target, and passes on
// the request and its response. Where there is no response, it tells the caller
// whether the request certainly did not run (not-run) or may have run (unknown).
package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/idempotency"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	"github.com/turmericfield/turmericfield/internal/steering"
)

// LookupPath is the URL path of the look-up service, which tells a caller which
// instances to use.
const LookupPath = "/.well-known/turmericfield/lookup"

// maxHeaderBytes is the largest header of a caller's request.
const maxHeaderBytes = 32 << 10

// Limiter enforces the rate limits of workspaces.
type Limiter interface {
	// Take decides whether a workspace may run one more request. The decision may
	// be pending; its Ticket then identifies it.
	Take(workspace string, now time.Time) ratelimit.Decision
}

// Placer chooses targets and counts the requests in flight on them.
type Placer interface {
	// Choose returns a grant to run one request on a target.
	Choose(r placement.Request, now time.Time) (placement.Grant, error)
	// Observe takes in what the target of a grant said in the head of a response. It
	// returns the target's availability before and after that.
	Observe(g placement.Grant, n availability.Notice, now time.Time) (before, after availability.State)
	// Done gives a grant back and says how its use ended.
	Done(g placement.Grant, outcome placement.Outcome, now time.Time)
}

// Claimer prevents a request from running twice if its caller sends it again,
// also through another instance.
type Claimer interface {
	// Claim records that the request with this id is about to run, or reports that
	// it was claimed before.
	Claim(ctx context.Context, workspace, id string) (idempotency.Claim, idempotency.Result)
	// Release gives back the claim of a request that was not run, so that its
	// caller may send it again.
	Release(ctx context.Context, claim idempotency.Claim)
}

// Options holds what a handler depends on.
type Options struct {
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Lookup returns the instances that a caller at this address should use.
	Lookup func(caller netip.Addr) steering.Answer
	// KeysFresh reports whether this instance's copy of the workspaces' keys is
	// recent enough to trust: an older one may lack the withdrawal of a key.
	KeysFresh func(now time.Time) bool
	Limiter   Limiter
	// AwaitLimiterDecision waits until a pending decision of the limiter is made or the
	// context ends. It may be nil if the limiter gives out no tickets.
	AwaitLimiterDecision func(ctx context.Context, workspace string, ticket uint64) ratelimit.Decision
	Placer               Placer
	// Claimer claims each request that may not be repeated and that carries an id
	// of its caller, before it runs. It is nil if callers never resend requests.
	Claimer Claimer
	// ConnectionShare returns how many of the maxConnections that all instances
	// together may have open to a target this instance may open; nil means all.
	ConnectionShare func(t config.Target, maxConnections int) int
	Invariants      *invariant.Recorder
	Metrics         *metrics.Set
	Log             *log.Logger
	Now             func() time.Time
}

// Handler is the HTTP handler of callers' requests.
type Handler struct {
	Options

	mu        sync.Mutex      // guards Limiter, Placer and budget
	budget    *attempt.Budget // limits the retries of all requests together
	transport *targetTransport
	// progressTimeout limits each read of a request body and each write of a
	// response.
	progressTimeout time.Duration

	inFlight           atomic.Int64
	keepAlivesDisabled atomic.Bool // see DisableKeepAlives
	draining           atomic.Bool // see Drain
}

// NewHandler returns a handler with the given dependencies.
func NewHandler(o Options) *Handler {
	return &Handler{Options: o, budget: attempt.NewBudget(), transport: newTargetTransport(), progressTimeout: defaultProgressTimeout}
}

// NewServer returns the HTTP server of the callers' listener, with limits on
// slow and oversized requests.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
	}
}

// InFlight returns the number of callers' requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// WithLock calls f with the current time while no request uses the limiter or the
// placer. Whoever else reads or changes these two must do so in f.
func (h *Handler) WithLock(f func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.Now())
}

// DisableKeepAlives makes the handler send "Connection: close" with each response
// from now on, so that callers do not reuse their connections to an instance
// that is about to stop.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// Drain makes the handler refuse new requests, with the outcome not-run, and
// disables keep-alives. Requests in flight go on.
func (h *Handler) Drain() {
	h.keepAlivesDisabled.Store(true)
	h.draining.Store(true)
}

// Close closes the idle connections to targets.
func (h *Handler) Close() { h.transport.close() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	// No deadline covers the whole response. progressWriter sets one for each
	// write, and the deferred call one for what the server still has buffered.
	_ = controller.SetWriteDeadline(time.Time{})
	defer func() { _ = controller.SetWriteDeadline(time.Now().Add(h.progressTimeout)) }()
	if h.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == LookupPath {
		h.serveLookup(w, r)
		return
	}
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if refused := h.precheck(r); refused != nil {
		h.refuse(w, r, *refused)
		return
	}
	snapshot := h.Snapshot()
	route, workspace, refused := h.admit(snapshot, r)
	if refused != nil {
		h.refuse(w, r, *refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r, route.Timeout()))
	defer cancel()
	c := &call{
		Handler: h, ctx: ctx, writer: w, request: r, route: route,
		service: snapshot.Services[route.Service], placementRequest: placement.Request{Route: route, Workspace: workspace, Bytes: max(0, r.ContentLength)},
	}
	defer func() { c.body.close() }()
	if refused := c.prepare(); refused != nil {
		h.refuse(w, r, *refused)
		return
	}
	if !route.Open && len(c.body.buffered) > 0 {
		// The key may have been withdrawn while the body was read.
		if _, refused := h.authenticate(h.Snapshot(), route, r); refused != nil {
			h.refuse(w, r, *refused)
			return
		}
	}
	start := h.Now()
	defer func() {
		h.Metrics.Add(metrics.Label("requests_total", "route", route.Name), 1)
		h.Metrics.Observe(metrics.Label("request", "class", string(route.Class)), h.Now().Sub(start))
	}()
	if c.claimNonRepeatable() {
		c.run()
	}
}

// precheck returns why a request is refused whatever its route is, or nil.
func (h *Handler) precheck(r *http.Request) *refusal {
	switch {
	case h.draining.Load():
		return &refusal{http.StatusServiceUnavailable, "leaving", "this instance is leaving", 0}
	case !r.ProtoAtLeast(1, 1):
		// HTTP/1.0 marks the end of a response of unknown length by closing the
		// connection, so such a caller would take a truncated one for whole.
		return &refusal{http.StatusHTTPVersionNotSupported, "protocol", "HTTP/1.1 or later is needed", 0}
	case r.ContentLength > maxBodyBytes:
		return &refusal{http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large", 0}
	case exposesKey(r.Header[KeyHeader], r.URL, r.Header):
		return &refusal{http.StatusBadRequest, "key-misplaced", "the key stands in the URL or in another header", 0}
	}
	return nil
}

// prepare sets the request's id, the caller's or a random one, and prepares its
// body.
func (c *call) prepare() *refusal {
	c.requestID = callerRequestID(c.request)
	if c.requestID == "" {
		c.requestID = rand.Text()
	}
	var err error
	deadline, _ := c.ctx.Deadline()
	if c.body, err = newRequestBody(c.writer, c.request, c.progressTimeout, deadline); err != nil {
		c.writer.Header().Set("Connection", "close")
		return &refusal{http.StatusBadRequest, "body-incomplete", "the body did not come whole or in time", 0}
	}
	return nil
}

// claimNonRepeatable claims a request that may not run twice and that carries an
// id by which the caller may send it again. It reports whether the request may
// run; if not, it has sent the error response.
func (c *call) claimNonRepeatable() bool {
	id := callerIdempotencyKey(c.request)
	if c.route.Repeatable || id == "" || c.Claimer == nil {
		return true
	}
	claim, result := c.Claimer.Claim(c.ctx, c.placementRequest.Workspace, id)
	switch result {
	case idempotency.Claimed:
		c.claim = &claim
		return true
	case idempotency.Duplicate:
		c.Log.Warn().Str("request", c.requestID).Str("route", c.route.Name).Msg("entry: refused a request that was sent before")
		writeErrorResponse(c.writer, http.StatusConflict, ErrorResponse{
			Outcome: attempt.Unknown, Reason: "duplicate", Message: "a request with this id was sent before and may have run",
		})
		return false
	}
	c.refuse(c.writer, c.request, refusal{http.StatusServiceUnavailable, "claims-unavailable", "whether this request ran before cannot be told now", time.Second})
	return false
}

// connectionShare returns how many connections this instance may open to a
// target.
func (h *Handler) connectionShare(t config.Target, service *config.Service) int {
	if h.ConnectionShare == nil {
		return service.MaxConnections
	}
	return h.ConnectionShare(t, service.MaxConnections)
}

// admit checks configuration, route, key and rate, in that order. It returns the
// route and the name of the workspace, which is empty for a route without keys,
// or why the request is refused.
func (h *Handler) admit(snapshot *config.Snapshot, r *http.Request) (*config.Route, string, *refusal) {
	if snapshot.Version == 0 {
		return nil, "", &refusal{http.StatusServiceUnavailable, "no-configuration", "this instance has no configuration yet", time.Second}
	}
	route := snapshot.Route(r.Method, r.URL.Path)
	if route == nil {
		return nil, "", &refusal{http.StatusNotFound, "no-route", "no route matches", 0}
	}
	if route.Open {
		return route, "", nil
	}
	workspace, refused := h.authenticate(snapshot, route, r)
	if refused != nil {
		return nil, "", refused
	}
	now := h.Now()
	h.mu.Lock()
	decision := h.Limiter.Take(workspace.Name, now)
	h.mu.Unlock()
	waited := decision.Ticket != 0
	if waited {
		ctx, cancel := context.WithTimeout(r.Context(), route.Timeout())
		decision = h.AwaitLimiterDecision(ctx, workspace.Name, decision.Ticket)
		cancel()
	}
	h.Metrics.Add(metrics.Label("limiter_decisions_total", "decision", limiterDecision(decision.Allowed, waited)), 1)
	if !decision.Allowed {
		return nil, "", &refusal{http.StatusTooManyRequests, "rate", "the workspace's rate is used up", decision.RetryAfter}
	}
	return route, workspace.Name, nil
}

// limiterDecision returns the name of a limiter's decision in metrics.
func limiterDecision(allowed, waited bool) string {
	switch {
	case !allowed:
		return "refused"
	case waited:
		return "admitted-after-wait"
	}
	return "admitted"
}

// authenticate returns the workspace of a request's key if it may use the route,
// or why the request is refused. It accepts a key only while the key table is
// fresh and the snapshot is still the one in force after that check: freshness
// of a newer table proves nothing about an older one.
func (h *Handler) authenticate(snapshot *config.Snapshot, route *config.Route, r *http.Request) (*config.Workspace, *refusal) {
	if !h.KeysFresh(h.Now()) || h.Snapshot() != snapshot {
		return nil, &refusal{http.StatusServiceUnavailable, "keys-stale", "this instance cannot tell whether the key is still valid", time.Second}
	}
	keys := r.Header[KeyHeader]
	if len(keys) > 1 {
		return nil, &refusal{http.StatusUnauthorized, "ambiguous-key", "the request has more than one key", 0}
	}
	workspace := snapshot.WorkspaceOf(r.Header.Get(KeyHeader))
	if workspace == nil {
		return nil, &refusal{http.StatusUnauthorized, "unknown-key", "the key is missing, wrong or withdrawn", 0}
	}
	if workspace.CutOff {
		return nil, &refusal{http.StatusForbidden, "cut-off", "the workspace is cut off", 0}
	}
	for _, name := range workspace.Routes {
		if name == route.Name {
			return workspace, nil
		}
	}
	return nil, &refusal{http.StatusForbidden, "route-not-allowed", "the workspace may not use this route", 0}
}
