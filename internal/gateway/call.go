package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
)

const (
	// defaultTimeout bounds a request whose route and caller give no limit.
	defaultTimeout = 30 * time.Second
	// returnWay is taken off a caller's deadline for the way of the answer.
	returnWay = 20 * time.Millisecond
	// maxTargets bounds the targets that one request tries, those that cannot be
	// reached included.
	maxTargets = 4
	// minTime is the time that a target needs at least; a request with less is
	// not sent.
	minTime = 30 * time.Millisecond
	// bufferedBody is the size in bytes up to which a request's body is read
	// before it is sent, so that it can be sent again.
	bufferedBody = 64 << 10
	// retryAfterFull and retryAfterStart are told to callers that may come back
	// when a queue has moved on and when an instance has its configuration.
	retryAfterFull  = 300 * time.Millisecond
	retryAfterStart = 400 * time.Millisecond
	// retryAfterRejected is short: a target that has room rejects some requests
	// at random, and one without is known to be full by then.
	retryAfterRejected = 30 * time.Millisecond
	// retryAfterLeaving is short: other instances serve.
	retryAfterLeaving = 20 * time.Millisecond
)

// errWithdrawn means that a decision does not hold any more.
var errWithdrawn = errors.New("the key or the target was withdrawn before the request was sent")

// refusal is an answer of our own: the request was not run, unless its status
// is 502 or 504.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// call is one request on its way.
type call struct {
	*Gateway
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	start   time.Time

	table     *config.Table
	route     *config.Route
	workspace *config.Workspace
	key       string
	id        string
	service   string
	deadline  time.Time

	buffered []byte
	streamed io.Reader

	grant    affinity.Grant
	attempts int // targets tried
	arrived  int // targets that the request may have reached
	excluded []string
	mayRun   bool         // a target may have run the request
	standing quota.Status // of a request beyond its quota
	// failure is a target's own failure, passed on if no other target does better.
	failure *exchange
	// whole says that the request's streamed body was read to its end.
	whole atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := &call{Gateway: g, writer: w, request: r, start: time.Now(), id: r.Header.Get(g.Dialect.RequestID)}
	if no := c.admit(); no != nil {
		c.refuse(*no)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	if no := c.readBody(); no != nil {
		c.refuse(*no)
		return
	}
	c.run()
}

// admit checks route, key and quota, in that order.
func (c *call) admit() *refusal {
	c.table = c.Table()
	if c.table == nil {
		return &refusal{http.StatusServiceUnavailable, "no-configuration", retryAfterStart}
	}
	if c.route = c.table.Route(c.request.Host, c.request.URL.EscapedPath()); c.route == nil {
		return &refusal{http.StatusNotFound, "no-route", 0}
	}
	if limit := c.table.Limits.BodyBytes; limit > 0 && c.request.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	}
	c.setDeadline()
	if d := c.leaving.Load(); d != nil && c.start.After(d.lastStart) && c.deadline.After(d.end) {
		return &refusal{http.StatusServiceUnavailable, "leaving", retryAfterLeaving}
	}
	if !c.table.Keyed || c.route.Open {
		return nil
	}
	if !c.keysFresh() {
		return &refusal{http.StatusServiceUnavailable, "keys-stale", retryAfterStart}
	}
	keys := c.request.Header[textproto.CanonicalMIMEHeaderKey(c.Dialect.Key)]
	if len(keys) != 1 {
		return &refusal{http.StatusUnauthorized, "one-key-needed", 0}
	}
	c.key = keys[0]
	if c.workspace = c.table.WorkspaceOf(c.key); c.workspace == nil {
		return &refusal{http.StatusUnauthorized, "unknown-key", 0}
	}
	c.mu.Lock()
	now := clock.SinceBoot()
	ok, wait := c.quotas.Take(c.workspace, now)
	if !ok {
		c.standing = c.quotas.Status(c.workspace, now)
	}
	c.mu.Unlock()
	if !ok {
		return &refusal{http.StatusTooManyRequests, "quota", wait}
	}
	return nil
}

func (c *call) setDeadline() {
	limit := defaultTimeout
	if t := c.route.Timeout(); t > 0 {
		limit = min(limit, t)
	}
	if ms, err := strconv.ParseInt(c.request.Header.Get(c.Dialect.Deadline), 10, 32); err == nil && ms > 0 {
		limit = min(limit, max(time.Duration(ms)*time.Millisecond-returnWay, time.Millisecond))
	}
	c.deadline = c.start.Add(limit)
}

// readBody reads a short body whole; a long one is streamed once.
func (c *call) readBody() *refusal {
	r := c.request
	if r.ContentLength == 0 {
		return nil
	}
	body := io.Reader(r.Body)
	if limit := c.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(c.writer, r.Body, limit)
	}
	if r.ContentLength > bufferedBody {
		c.streamed = body
		_ = http.NewResponseController(c.writer).EnableFullDuplex() // a server that cannot do it reads the body first
		return nil
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.deadline) // best effort: the caller has a time limit of its own
	var b bytes.Buffer
	_, err := io.CopyN(&b, body, bufferedBody+1)
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case err == io.EOF:
		c.buffered = b.Bytes()
		return nil
	case err != nil && !time.Now().Before(c.deadline):
		return &refusal{http.StatusRequestTimeout, "body-late", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "body-incomplete", 0}
	}
	c.streamed = io.MultiReader(&b, body)
	_ = controller.EnableFullDuplex() // a server that cannot do it reads the body first
	return nil
}

// copyBody writes a streamed body to a target.
func (c *call) copyBody(to io.Writer) {
	if c.request.ContentLength >= 0 {
		if _, err := io.Copy(to, c.streamed); err == nil {
			c.whole.Store(true)
		}
		return
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.streamed.Read(buffer)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buffer[:n]...), "\r\n"...)
			if _, err := to.Write(chunk); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				c.whole.Store(true)
				_, _ = io.WriteString(to, "0\r\n\r\n") // a failure shows when the answer is read
			}
			return
		}
	}
}

// stillAllowed repeats the checks that may have changed since the decision.
func (c *call) stillAllowed() bool {
	if time.Now().After(c.deadline) {
		return false
	}
	if c.workspace != nil {
		table := c.Table()
		if !c.keysFresh() || table != c.table && table.WorkspaceOf(c.key) == nil {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.StillValid(c.grant)
}

// run sends the request to one target after the other until one has answered.
func (c *call) run() {
	object := c.request.Header.Get(c.Dialect.Object)
	if object != "" {
		object = c.route.Name + "\x00" + object
	}
	c.mu.Lock()
	c.service = c.splits.Choose(c.route, object)
	c.retries.deposit(c.service)
	c.mu.Unlock()
	last := refusal{http.StatusServiceUnavailable, "no-target", retryAfterFull}
	for {
		if no := c.choose(object); no != nil {
			if c.attempts == 0 || !c.mayRun {
				last = *no
			}
			break
		}
		c.attempts++
		x, no := c.attempt()
		if no == nil {
			c.answer(x)
			return
		}
		last = *no
		if x.wrote {
			c.arrived++
		}
		if c.ctx.Err() != nil || c.streamed != nil && x.wrote || c.mayRun && !c.route.Repeatable || !c.mayRetry(x.wrote) {
			break
		}
	}
	if c.request.Context().Err() != nil {
		c.log("abandoned", 0, "caller left")
		panic(http.ErrAbortHandler)
	}
	if c.failure != nil {
		c.answer(c.failure)
		return
	}
	if c.mayRun && last.status == http.StatusServiceUnavailable {
		last = refusal{http.StatusBadGateway, last.reason, 0}
	}
	if !c.mayRun && c.workspace != nil {
		c.mu.Lock()
		c.quotas.Refund(c.workspace.Name)
		c.mu.Unlock()
	}
	c.refuse(last)
}

// choose takes a grant for the next send.
func (c *call) choose(object string) *refusal {
	if time.Until(c.deadline) < minTime {
		return &refusal{http.StatusServiceUnavailable, "deadline", retryAfterFull}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	grant, ok := c.balancer.Choose(affinity.Request{
		Service: c.service, Object: object, ID: c.id, HomeRegions: homes(c.route, c.workspace), Exclude: c.excluded,
		Route: c.route.Name, Objective: c.route.Objective, Urgent: c.priority() <= urgentPriority,
	}, clock.SinceBoot())
	c.grant = grant
	if !ok {
		return &refusal{http.StatusServiceUnavailable, string(grant.Reason), retryAfterFull}
	}
	return nil
}

// urgentPriority is the highest rank that still counts as urgent.
const urgentPriority = 1

// priority returns the request's rank; 0 is the highest.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// homes returns the regions that both route and workspace allow; nil means all.
func homes(route *config.Route, w *config.Workspace) []string {
	if w == nil || len(w.HomeRegions) == 0 {
		return route.HomeRegions
	}
	if len(route.HomeRegions) == 0 {
		return w.HomeRegions
	}
	both := []string{""} // no region has an empty name
	for _, r := range route.HomeRegions {
		for _, s := range w.HomeRegions {
			if r == s {
				both = append(both, r)
			}
		}
	}
	return both
}

// mayRetry tells whether one more send is allowed. One after a send that may
// have reached a target is taken from the budget.
func (c *call) mayRetry(wrote bool) bool {
	if c.arrived >= max(c.route.MaxAttempts, 1) || c.attempts >= maxTargets || time.Until(c.deadline) < minTime {
		return false
	}
	if !wrote {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.withdraw(c.service)
}

// attempt sends the request to the granted target. It returns the answer to
// pass on, or what to tell the caller if there is no other try.
func (c *call) attempt() (*exchange, *refusal) {
	sent := time.Now()
	x, err := c.send(c.ctx, c, c.grant.Target.ID, c.grant.Target.Address, c.head())
	report := affinity.Report{Elapsed: time.Since(sent)}
	no := c.judge(x, err, &report)
	c.mu.Lock()
	c.balancer.Done(c.grant, report, clock.SinceBoot())
	ejections := c.balancer.Ejections()
	c.mu.Unlock()
	c.logEjections(ejections)
	if no != nil {
		x.discard()
		if report.Outcome == affinity.Unreachable || report.Outcome == affinity.AddressReused || report.Outcome == affinity.TimedOut {
			// Others have failed by chance; the target still knows the object.
			c.excluded = append(c.excluded, c.grant.Target.ID)
		}
		c.Metrics.Add(metrics.Label("sends_failed_total", "reason", no.reason), 1)
		c.log("send-failed", 0, no.reason)
	}
	return x, no
}

// judge decides what an answer means for the caller and for the target.
func (c *call) judge(x *exchange, err error, report *affinity.Report) *refusal {
	switch {
	case errors.Is(err, errWithdrawn):
		report.Outcome = affinity.Abandoned
		return &refusal{http.StatusServiceUnavailable, "withdrawn", retryAfterFull}
	case err != nil && !x.wrote:
		report.Outcome = affinity.Unreachable
		if c.request.Context().Err() != nil {
			report.Outcome = affinity.Abandoned
		}
		return &refusal{http.StatusServiceUnavailable, "unreachable", retryAfterFull}
	case err != nil:
		c.mayRun = true
		switch {
		case c.request.Context().Err() != nil:
			report.Outcome = affinity.Abandoned
			return &refusal{http.StatusBadGateway, "caller-left", 0}
		case c.ctx.Err() != nil:
			report.Outcome = affinity.TimedOut
			return &refusal{http.StatusGatewayTimeout, "timeout", 0}
		}
		report.Outcome = affinity.Failed
		return &refusal{http.StatusBadGateway, "broken-answer", 0}
	}
	h, status := x.response.Header, x.response.StatusCode
	report.Load, report.HasLoad = parseLoad(h.Get(c.Dialect.Load))
	if h.Get(c.Dialect.NotRun) != "" || status == http.StatusMisdirectedRequest {
		report.Outcome = affinity.Rejected
		if status == http.StatusMisdirectedRequest {
			report.Outcome = affinity.AddressReused
		}
		if x.whole {
			x.finish(c.pool)
			x.conn = nil
		}
		return &refusal{http.StatusServiceUnavailable, "rejected", retryAfterRejected}
	}
	sealed, echoed := h.Get(c.Dialect.Proof) != "", h.Get(c.Dialect.RequestID) == c.id
	switch {
	case !echoed || !sealed && status < 300 || promisesNotRun(status):
		c.mayRun = true
		x.spoilt = true
		report.Outcome = affinity.Failed
		return &refusal{http.StatusBadGateway, "unproven-answer", 0}
	case status >= 500:
		report.Outcome = affinity.Failed
		if c.route.Repeatable && c.arrived+1 < c.route.MaxAttempts && time.Until(c.deadline) > c.route.Objective/2 && c.retryAllowed() {
			c.mayRun = true
			if x.whole {
				x.finish(c.pool)
				x.conn, c.failure = nil, x
			}
			return &refusal{http.StatusBadGateway, "target-error", 0}
		}
	}
	return nil
}

// retryAllowed tells whether the budget has a send left.
func (c *call) retryAllowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.allows(c.service)
}

// promisesNotRun tells whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// parseLoad reads running and waiting requests of "running,waiting,slots".
func parseLoad(s string) (int, bool) {
	parts := strings.Split(s, ",")
	if len(parts) != 3 {
		return 0, false
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	return running + waiting, err1 == nil && err2 == nil && running >= 0 && waiting >= 0 && running+waiting >= 0
}
