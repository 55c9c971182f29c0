// Package entry is the data path: it checks each caller's key and rate, and
// runs the request on a target.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/limit"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/steering"
)

// Headers of the data path.
const (
	// KeyHeader carries a workspace's key as id.secret.
	KeyHeader = "Workspace-Key"
	// OutcomeHeader tells a caller what became of a request that has no answer
	// of a target: not-run or unknown.
	OutcomeHeader = "Turmericfield-Outcome"
	// RequestIDHeader identifies a request on its way to a target and back.
	RequestIDHeader = "X-Request-Id"
)

// LookupPath answers which instances a caller should use.
const LookupPath = "/.well-known/turmericfield/lookup"

// maxHeaderBytes bounds the header of a caller's request.
const maxHeaderBytes = 32 << 10

// Limiter decides whether a workspace may run one more request.
type Limiter interface {
	Take(workspace string, now time.Time) limit.Decision
}

// Placer chooses targets.
type Placer interface {
	Choose(r placement.Request, now time.Time) (placement.Grant, error)
	Done(g placement.Grant, outcome placement.Outcome, now time.Time)
}

// Options are the parts that a handler works with.
type Options struct {
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Lookup answers which instances a caller should use.
	Lookup func(caller netip.Addr) steering.Answer
	// KeysFresh tells whether this instance's view of keys is recent enough to
	// trust.
	KeysFresh  func(now time.Time) bool
	Limiter    Limiter
	Placer     Placer
	Invariants *invariant.Recorder
	Metrics    *metrics.Set
	Log        *log.Logger
	Now        func() time.Time
}

// Handler serves callers.
type Handler struct {
	Options

	mu        sync.Mutex // guards Limiter and Placer
	transport *targetTransport
	inFlight  atomic.Int64
	draining  atomic.Bool
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler {
	return &Handler{Options: o, transport: newTargetTransport()}
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

// Update lets the limiter and the placer take over a configuration while no
// request is being decided.
func (h *Handler) Update(update func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	update(h.Now())
}

// Drain makes the handler refuse new requests as not run.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == LookupPath {
		h.serveLookup(w, r)
		return
	}
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
		h.refuse(w, r, refusal{http.StatusServiceUnavailable, "leaving", "this instance is leaving", 0})
		return
	}
	snapshot := h.Snapshot()
	route, workspace, no := h.admit(snapshot, r)
	if no != nil {
		h.refuse(w, r, *no)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), route.Timeout())
	defer cancel()
	start := h.Now()
	h.run(ctx, w, r, route, workspace)
	h.Metrics.Add(metrics.Label("requests_total", "route", route.Name), 1)
	h.Metrics.Observe(metrics.Label("request", "class", string(route.Class)), h.Now().Sub(start))
}

// admit checks configuration, route, key and rate, in that order.
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
	workspace, no := h.authenticate(snapshot, route, r)
	if no != nil {
		return nil, "", no
	}
	now := h.Now()
	h.mu.Lock()
	decision := h.Limiter.Take(workspace.Name, now)
	h.mu.Unlock()
	if !decision.Allowed {
		return nil, "", &refusal{http.StatusTooManyRequests, "rate", "the workspace's rate is used up", decision.RetryAfter}
	}
	return route, workspace.Name, nil
}

func (h *Handler) authenticate(snapshot *config.Snapshot, route *config.Route, r *http.Request) (*config.Workspace, *refusal) {
	if !h.KeysFresh(h.Now()) || h.Snapshot() != snapshot {
		return nil, &refusal{http.StatusServiceUnavailable, "keys-stale", "this instance cannot tell whether the key is still valid", time.Second}
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

// callerRequestID returns the caller's own id if it is a plausible one.
func callerRequestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if len(id) > 128 || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return ""
	}
	return id
}
