package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
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
	start   time.Time
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
	if g.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := &call{Gateway: g, writer: w, request: r, startSinceBoot: clock.SinceBoot(), start: time.Now(), id: r.Header.Get(g.HeaderNames.RequestID)}
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
	case err != nil && c.remaining() <= 0:
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
		refused := c.followConfiguration(object)
		if refused == nil {
			refused = c.chooseTarget(object)
		}
		if refused != nil {
			if c.attempts == 0 || !c.mayHaveRun {
				last = *refused
			}
			break
		}
		x, refused := c.attempt()
		if refused == nil {
			c.writeResponse(x)
			return
		}
		last = *refused
		if x.mayHaveArrived {
			c.possibleDeliveries++
			c.unsentRetry = ""
		}
		if c.ctx.Err() != nil || c.streamedBody != nil && x.mayHaveArrived || c.mayHaveRun && !c.repeatable || !c.takeRetry(x.mayHaveArrived) {
			break
		}
	}
	if c.unsentRetry != "" {
		c.mu.Lock()
		c.retries.giveBack(c.unsentRetry)
		c.mu.Unlock()
	}
	if c.callerHasLeft() {
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
	if !c.mayHaveRun && c.charged != "" {
		c.mu.Lock()
		c.limiter.Refund(c.charged)
		c.mu.Unlock()
	}
	c.writeRefusal(last)
}

// callerHasLeft reports whether the caller has closed its connection. The request's context
// does not tell once the reading of a streamed body was interrupted, which ends it too.
func (c *call) callerHasLeft() bool {
	if c.streamedBody != nil && c.attempts > 0 {
		return c.callerLeft
	}
	return c.request.Context().Err() != nil
}

// chooseTarget asks the balancer for the target of the next attempt, and stores
// its grant. The object makes requests for the same object prefer the same
// target.
func (c *call) chooseTarget(object string) *refusal {
	if c.remaining() < minTimeForTarget {
		return &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	grant, ok := c.balancer.Choose(affinity.Request{
		Service: c.service, Object: object, ID: c.id, HomeRegions: c.homeRegions, Exclude: c.excluded,
		Route: c.route.Name, Objective: c.route.LatencyObjective, Urgent: c.priority() <= urgentPriority,
		TimeOfDay: time.Duration(time.Now().UnixNano()),
	}, clock.SinceBoot())
	c.grant = grant
	switch {
	case ok:
		return nil
	case grant.Reason == affinity.Unavailable:
		return &refusal{http.StatusServiceUnavailable, string(grant.Reason), retryAfterPause(grant.Wait, c.remaining())}
	}
	return &refusal{http.StatusServiceUnavailable, string(grant.Reason), retryAfterNoTarget}
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

// takeRetry reports whether one more attempt is allowed after one that failed.
// If the failed one may have reached a target, the next one is taken from the
// retry budget.
func (c *call) takeRetry(mayHaveArrived bool) bool {
	if c.possibleDeliveries >= max(c.route.MaxAttempts, 1) || c.attempts >= maxAttemptedTargets ||
		c.withdrawnTargets >= maxWithdrawnTargets || c.remaining() < minTimeForTarget {
		return false
	}
	if !mayHaveArrived {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retries.spend(c.service) {
		return false
	}
	c.unsentRetry = c.service
	return true
}

// attempt sends the request to the chosen target and reports the outcome to the
// balancer. It returns the response for the caller, or the refusal to give if
// no further attempt is made.
func (c *call) attempt() (*exchange, *refusal) {
	c.attempts++
	sent := time.Now()
	x, err := c.send(c.ctx, c, c.head())
	c.callerLeft = c.request.Context().Err() != nil
	report := affinity.Report{Elapsed: time.Since(sent)}
	refused := c.classify(x, err, &report)
	c.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.Done(c.grant, report, now) })
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
	if errors.Is(err, errTargetWithdrawn) {
		c.attempts-- // the target was not tried
		c.withdrawnTargets++
	}
	return x, refused
}

// verdict is what the head of a response makes of it.
type verdict int

const (
	distrusted verdict = iota // it may belong to another exchange or is no target's answer
	rejected                  // the target did not run the request
	answered                  // an answer for the caller
)

// verdict judges a response by its head. Without an id, a rejection is believed if
// it is the first response on its connection; an answer to a request that has an
// id is not.
func (c *call) verdict(x *exchange) verdict {
	h, status := x.response.Header, x.response.StatusCode
	saysRejected := h.Get(c.HeaderNames.NotRun) != "" || status == http.StatusMisdirectedRequest
	unsigned := status < http.StatusMultipleChoices && h.Get(c.HeaderNames.Signature) == ""
	switch {
	case x.evidence == unproven:
		return distrusted
	case saysRejected:
		return rejected
	case x.evidence == firstOnConn && c.id != "", unsigned, impliesNotRun(status):
		return distrusted
	}
	return answered
}

// classify decides whether the response, or the error, is returned to the
// caller, and fills in the outcome that the balancer learns from. It returns
// nil if the response is for the caller.
func (c *call) classify(x *exchange, err error, report *affinity.Report) *refusal {
	switch {
	case errors.Is(err, errWithdrawn), errors.Is(err, errTargetWithdrawn):
		report.Outcome = affinity.Abandoned
		if c.remaining() <= 0 {
			return &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
		}
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
	status := x.response.StatusCode
	if x.evidence != unproven {
		report.Load, report.HasLoad = parseLoad(x.response.Header.Get(c.HeaderNames.Load))
	}
	switch verdict := c.verdict(x); {
	case verdict == rejected:
		report.Outcome = affinity.Rejected
		if status == http.StatusMisdirectedRequest {
			report.Outcome = affinity.AddressReused
		}
		if x.bodyComplete {
			c.finish(x)
			x.conn = nil
		}
		if report.Outcome == affinity.AddressReused {
			return &refusal{http.StatusServiceUnavailable, "address-reused", retryAfterRejected}
		}
		return &refusal{http.StatusServiceUnavailable, "rejected", retryAfterRejected}
	case verdict == distrusted:
		c.mayHaveRun = true
		x.notReusable = true
		report.Outcome = affinity.Failed
		return &refusal{http.StatusBadGateway, "unproven-answer", 0}
	case status >= 500:
		report.Outcome = affinity.Failed
		if c.repeatable && c.possibleDeliveries+1 < c.route.MaxAttempts && c.remaining() > c.route.LatencyObjective/2 && c.retryBudgetLeft() {
			c.mayHaveRun = true
			if x.bodyComplete {
				c.finish(x)
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
