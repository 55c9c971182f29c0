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
	// maxBufferedRequestBody is the size in bytes up to which a request's body
	// is read completely before it is sent, so that it can be sent again to
	// another target. Longer bodies are streamed.
	maxBufferedRequestBody = 64 << 10
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

// errWithdrawn is returned by send if, between the choice of a target and the
// send, the deadline passed, the API key became invalid or untrusted, or the
// target left, restarted or moved or its availability zone was closed.
var errWithdrawn = errors.New("deadline passed, or API key or target withdrawn, before the request was sent")

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
	start   time.Time

	table     *config.RoutingTable
	route     *config.Route
	workspace *config.Workspace
	apiKey    string
	id        string
	service   string
	deadline  time.Time // of the whole request, including retries

	// The request's body is either in bufferedBody or, if streamedBody is not
	// nil, read from there, which is possible only once.
	bufferedBody []byte
	streamedBody io.Reader

	grant              affinity.Grant
	attempts           int // targets tried, including unreachable ones
	possibleDeliveries int // sends that may have reached a target
	excluded           []string
	mayHaveRun         bool         // whether a target may have run the request
	exceededQuota      quota.Status // state of the workspace's quota, if it refused the request; for the log
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
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := &call{Gateway: g, writer: w, request: r, start: time.Now(), id: r.Header.Get(g.HeaderNames.RequestID)}
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
	c.dispatch()
}

// admit checks, in this order, the configuration, route, body size, deadline,
// draining, API key and quota. The last two are skipped for open routes and on
// platforms without keys. It returns nil if the request may be sent.
func (c *call) admit() *refusal {
	c.table = c.Table()
	if c.table == nil {
		return &refusal{http.StatusServiceUnavailable, "no-configuration", retryAfterStaleConfig}
	}
	if c.route = c.table.Route(c.request.Host, c.request.URL.EscapedPath()); c.route == nil {
		return &refusal{http.StatusNotFound, "no-route", 0}
	}
	if limit := c.table.Limits.BodyBytes; limit > 0 && c.request.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	}
	c.setDeadline()
	if d := c.draining.Load(); d != nil && c.start.After(d.lastStart) && c.deadline.After(d.end) {
		return &refusal{http.StatusServiceUnavailable, "leaving", retryAfterDraining}
	}
	if !c.table.RequiresKey || c.route.Open {
		return nil
	}
	if !c.keysFresh() {
		return &refusal{http.StatusServiceUnavailable, "keys-stale", retryAfterStaleConfig}
	}
	keys := c.request.Header[textproto.CanonicalMIMEHeaderKey(c.HeaderNames.APIKey)]
	if len(keys) != 1 {
		return &refusal{http.StatusUnauthorized, "one-key-needed", 0}
	}
	c.apiKey = keys[0]
	if c.workspace = c.table.WorkspaceOf(c.apiKey); c.workspace == nil {
		return &refusal{http.StatusUnauthorized, "unknown-key", 0}
	}
	c.mu.Lock()
	now := clock.SinceBoot()
	ok, wait := c.limiter.Take(c.workspace, now)
	if !ok {
		c.exceededQuota = c.limiter.Status(c.workspace, now)
	}
	c.mu.Unlock()
	if !ok {
		return &refusal{http.StatusTooManyRequests, "quota", wait}
	}
	return nil
}

// setDeadline sets the deadline from the shortest of defaultTimeout, the
// route's timeout and the time that the caller waits.
func (c *call) setDeadline() {
	limit := defaultTimeout
	if t := c.route.Timeout(); t > 0 {
		limit = min(limit, t)
	}
	if ms, err := strconv.ParseInt(c.request.Header.Get(c.HeaderNames.Deadline), 10, 32); err == nil && ms > 0 {
		limit = min(limit, max(time.Duration(ms)*time.Millisecond-responseTransit, time.Millisecond))
	}
	c.deadline = c.start.Add(limit)
}

// readBody reads a body of up to maxBufferedRequestBody bytes completely and
// prepares a longer one for streaming.
func (c *call) readBody() *refusal {
	r := c.request
	if r.ContentLength == 0 {
		return nil
	}
	body := io.Reader(r.Body)
	if limit := c.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(c.writer, r.Body, limit)
	}
	if r.ContentLength > maxBufferedRequestBody {
		c.streamedBody = body
		_ = http.NewResponseController(c.writer).EnableFullDuplex() // if unsupported, the server reads the body before it writes the response
		return nil
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.deadline) // best effort: the caller stops waiting by itself
	var b bytes.Buffer
	_, err := io.CopyN(&b, body, maxBufferedRequestBody+1)
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case err == io.EOF:
		c.bufferedBody = b.Bytes()
		return nil
	case err != nil && !time.Now().Before(c.deadline):
		return &refusal{http.StatusRequestTimeout, "body-late", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "body-incomplete", 0}
	}
	c.streamedBody = io.MultiReader(&b, body)
	_ = controller.EnableFullDuplex() // if unsupported, the server reads the body before it writes the response
	return nil
}

// writeStreamedBody copies the streamed body to a target, in chunked encoding
// if its length is unknown.
func (c *call) writeStreamedBody(to io.Writer) {
	if c.request.ContentLength >= 0 {
		if _, err := io.Copy(to, c.streamedBody); err == nil {
			c.bodyComplete.Store(true)
		}
		return
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.streamedBody.Read(buffer)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buffer[:n]...), "\r\n"...)
			if _, err := to.Write(chunk); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				c.bodyComplete.Store(true)
				_, _ = io.WriteString(to, "0\r\n\r\n") // an error shows when the response is read
			}
			return
		}
	}
}

// stillAllowed reports whether the request may still be sent. It repeats the
// checks whose result may have changed since admission and the choice of the
// target.
func (c *call) stillAllowed() bool {
	if time.Now().After(c.deadline) {
		return false
	}
	if c.workspace != nil {
		table := c.Table()
		if !c.keysFresh() || table != c.table && table.WorkspaceOf(c.apiKey) == nil {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.StillValid(c.grant)
}

// dispatch sends the request to one target after another until one of them
// gives a response for the caller or no further attempt is allowed. If the
// request surely was not run, its quota is given back.
func (c *call) dispatch() {
	object := c.request.Header.Get(c.HeaderNames.Object)
	if object != "" {
		object = c.route.Name + "\x00" + object
	}
	c.mu.Lock()
	c.service = c.splitter.Choose(c.route, object)
	c.retries.earn(c.service)
	c.mu.Unlock()
	last := refusal{http.StatusServiceUnavailable, "no-target", retryAfterNoTarget}
	for {
		if refused := c.chooseTarget(object); refused != nil {
			if c.attempts == 0 || !c.mayHaveRun {
				last = *refused
			}
			break
		}
		c.attempts++
		x, refused := c.attempt()
		if refused == nil {
			c.writeResponse(x)
			return
		}
		last = *refused
		if x.mayHaveArrived {
			c.possibleDeliveries++
		}
		if c.ctx.Err() != nil || c.streamedBody != nil && x.mayHaveArrived || c.mayHaveRun && !c.route.Repeatable || !c.takeRetry(x.mayHaveArrived) {
			break
		}
	}
	if c.request.Context().Err() != nil {
		c.log("abandoned", 0, "caller left")
		panic(http.ErrAbortHandler)
	}
	if c.errorResponse != nil {
		c.writeResponse(c.errorResponse)
		return
	}
	if c.mayHaveRun && last.status == http.StatusServiceUnavailable {
		last = refusal{http.StatusBadGateway, last.reason, 0}
	}
	if !c.mayHaveRun && c.workspace != nil {
		c.mu.Lock()
		c.limiter.Refund(c.workspace.Name)
		c.mu.Unlock()
	}
	c.writeRefusal(last)
}

// chooseTarget asks the balancer for the target of the next attempt, and stores
// its grant. The object makes requests for the same object prefer the same
// target.
func (c *call) chooseTarget(object string) *refusal {
	if time.Until(c.deadline) < minTimeForTarget {
		return &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	grant, ok := c.balancer.Choose(affinity.Request{
		Service: c.service, Object: object, ID: c.id, HomeRegions: allowedRegions(c.route, c.workspace), Exclude: c.excluded,
		Route: c.route.Name, Objective: c.route.LatencyObjective, Urgent: c.priority() <= urgentPriority,
	}, clock.SinceBoot())
	c.grant = grant
	if !ok {
		return &refusal{http.StatusServiceUnavailable, string(grant.Reason), retryAfterNoTarget}
	}
	return nil
}

// urgentPriority is the largest priority value, and so the lowest priority,
// that counts as urgent.
const urgentPriority = 1

// priority returns the priority of the workspace if it has one, else that of
// the route; 0 is the highest.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// allowedRegions returns the regions that both route and workspace allow; an
// empty list means all regions.
func allowedRegions(route *config.Route, w *config.Workspace) []string {
	if w == nil || len(w.HomeRegions) == 0 {
		return route.HomeRegions
	}
	if len(route.HomeRegions) == 0 {
		return w.HomeRegions
	}
	common := []string{""} // matches no region; without it, a list without common regions would mean all
	for _, r := range route.HomeRegions {
		for _, s := range w.HomeRegions {
			if r == s {
				common = append(common, r)
			}
		}
	}
	return common
}

// takeRetry reports whether one more attempt is allowed after one that failed.
// If the failed one may have reached a target, the next one is taken from the
// retry budget.
func (c *call) takeRetry(mayHaveArrived bool) bool {
	if c.possibleDeliveries >= max(c.route.MaxAttempts, 1) || c.attempts >= maxAttemptedTargets || time.Until(c.deadline) < minTimeForTarget {
		return false
	}
	if !mayHaveArrived {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.spend(c.service)
}

// attempt sends the request to the chosen target and reports the outcome to the
// balancer. It returns the response for the caller, or the refusal to give if
// no further attempt is made.
func (c *call) attempt() (*exchange, *refusal) {
	sent := time.Now()
	x, err := c.send(c.ctx, c, c.grant.Target.ID, c.grant.Target.Address, c.head())
	report := affinity.Report{Elapsed: time.Since(sent)}
	refused := c.classify(x, err, &report)
	c.mu.Lock()
	c.balancer.Done(c.grant, report, clock.SinceBoot())
	ejections := c.balancer.Ejections()
	c.mu.Unlock()
	c.logEjections(ejections)
	if refused != nil {
		x.discard()
		if report.Outcome == affinity.Unreachable || report.Outcome == affinity.AddressReused || report.Outcome == affinity.TimedOut {
			// After other failures the target may be chosen again: those are by
			// chance, and it may still hold the object's data.
			c.excluded = append(c.excluded, c.grant.Target.ID)
		}
		c.Metrics.Add(metrics.Label("sends_failed_total", "reason", refused.reason), 1)
		c.log("send-failed", 0, refused.reason)
	}
	return x, refused
}

// classify decides whether the response, or the error, is returned to the
// caller, and fills in the outcome that the balancer learns from. It returns
// nil if the response is for the caller.
func (c *call) classify(x *exchange, err error, report *affinity.Report) *refusal {
	switch {
	case errors.Is(err, errWithdrawn):
		report.Outcome = affinity.Abandoned
		return &refusal{http.StatusServiceUnavailable, "withdrawn", retryAfterNoTarget}
	case err != nil && !x.mayHaveArrived:
		report.Outcome = affinity.Unreachable
		if c.request.Context().Err() != nil {
			report.Outcome = affinity.Abandoned
		}
		return &refusal{http.StatusServiceUnavailable, "unreachable", retryAfterNoTarget}
	case err != nil:
		c.mayHaveRun = true
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
	report.Load, report.HasLoad = parseLoad(h.Get(c.HeaderNames.Load))
	if h.Get(c.HeaderNames.NotRun) != "" || status == http.StatusMisdirectedRequest {
		report.Outcome = affinity.Rejected
		if status == http.StatusMisdirectedRequest {
			report.Outcome = affinity.AddressReused
		}
		if x.bodyComplete {
			x.finish(c.pool)
			x.conn = nil
		}
		return &refusal{http.StatusServiceUnavailable, "rejected", retryAfterRejected}
	}
	signed, echoed := h.Get(c.HeaderNames.Signature) != "", h.Get(c.HeaderNames.RequestID) == c.id
	switch {
	case !echoed || !signed && status < 300 || impliesNotRun(status):
		c.mayHaveRun = true
		x.notReusable = true
		report.Outcome = affinity.Failed
		return &refusal{http.StatusBadGateway, "unproven-answer", 0}
	case status >= 500:
		report.Outcome = affinity.Failed
		if c.route.Repeatable && c.possibleDeliveries+1 < c.route.MaxAttempts && time.Until(c.deadline) > c.route.LatencyObjective/2 && c.retryBudgetLeft() {
			c.mayHaveRun = true
			if x.bodyComplete {
				x.finish(c.pool)
				x.conn, c.errorResponse = nil, x
			}
			return &refusal{http.StatusBadGateway, "target-error", 0}
		}
	}
	return nil
}

// retryBudgetLeft reports whether the retry budget allows another retry,
// without taking it.
func (c *call) retryBudgetLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.allows(c.service)
}

// impliesNotRun reports whether callers take the status to mean that the
// request was not run. A response with such a status but without the NotRun
// header is not trusted and not returned to the caller.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// parseLoad returns the sum of running and waiting requests from a load header
// "running,waiting,slots". The second result is false if the header is invalid.
func parseLoad(s string) (int, bool) {
	parts := strings.Split(s, ",")
	if len(parts) != 3 {
		return 0, false
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	return running + waiting, err1 == nil && err2 == nil && running >= 0 && waiting >= 0 && running+waiting >= 0
}
