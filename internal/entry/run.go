package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/idempotency"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/responsehead"
)

// call is one admitted request while it is tried on one target or several.
type call struct {
	*Handler
	ctx       context.Context
	writer    http.ResponseWriter
	request   *http.Request
	route     *config.Route
	service   *config.Service
	requestID string
	body      *requestBody
	claim     *idempotency.Claim // nil if the request was not claimed

	machine          *attempt.Machine // decides the next step after each event
	placementRequest placement.Request
	notRunRefusal    refusal // the response if no try ran
	// possibleRuns counts the tries for which nothing proves that the target did not
	// run the request.
	possibleRuns int

	// The fields below belong to the latest try, whose response may be passed on.
	response *http.Response
	exchange *exchange
	grant    placement.Grant
}

// run carries out the steps that the request's machine decides, until the caller
// has its response.
func (c *call) run() {
	d := c.start()
	for {
		switch d.Action {
		case attempt.Try:
			d = c.try(d)
		case attempt.Forward:
			d = c.forward()
		case attempt.ReplyNotRun:
			c.replyNotRun()
			return
		case attempt.ReplyUnknown:
			c.replyUnknown()
			return
		case attempt.Abort:
			panic(http.ErrAbortHandler)
		case attempt.Finish:
			return
		}
	}
}

// start returns the first step of the request.
func (c *call) start() attempt.Decision {
	c.notRunRefusal = refusal{http.StatusServiceUnavailable, "no-target", "no target took the request", retryAfterNoTarget}
	if c.body.streams() {
		// A target may respond before it has read the whole body. After
		// EnableFullDuplex, the server no longer reads the rest of the caller's body
		// before it sends a response, so each response needs
		// closeAfterResponseIfNeeded.
		_ = http.NewResponseController(c.writer).EnableFullDuplex()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine = attempt.New(c.route.Repeatable, c.budget)
	return c.machine.Start(c.remaining())
}

// handleEvent reports an event to the request's machine and returns the next step.
func (c *call) handleEvent(kind attempt.EventKind, bodyConsumed bool) attempt.Decision {
	event := attempt.Event{Kind: kind, BodyConsumed: bodyConsumed, RequestEnded: c.ctx.Err() != nil, Remaining: c.remaining()}
	c.mu.Lock()
	mayHaveRunBefore := c.machine.MayHaveRun()
	d := c.machine.Handle(event)
	c.mu.Unlock()
	c.Invariants.Check(d.Action != attempt.Try || c.route.Repeatable || !mayHaveRunBefore && c.possibleRuns == 0,
		invariant.AtMostOnce, "request %s goes to another target after one that may have run it", c.requestID)
	return d
}

// remaining returns the time to the request's deadline.
func (c *call) remaining() time.Duration {
	deadline, _ := c.ctx.Deadline()
	return time.Until(deadline)
}

// try chooses a target, sends the request to it, and returns the next step.
func (c *call) try(d attempt.Decision) attempt.Decision {
	grant, refused := c.acquireTarget()
	if refused != nil {
		c.notRunRefusal = *refused
		return c.handleEvent(attempt.NoTarget, false)
	}
	c.Log.Info().Str("request", c.requestID).Str("route", c.route.Name).Str("workspace", c.placementRequest.Workspace).
		Str("target", grant.Target.Name).Str("region", grant.Region).Str("reason", string(grant.Reason)).
		Int("try", c.machine.Tries()).Msg("placement: chose a target")
	c.Metrics.Add(metrics.Label("placements_total", "reason", string(grant.Reason)), 1)
	c.grant = grant
	kind := c.send(d)
	if kind == attempt.ResponseHeader {
		return c.handleEvent(kind, false)
	}
	c.Metrics.Add(metrics.Label("tries_failed_total", "event", kind.String()), 1)
	outcome := placement.NotRun
	if !kind.ProvesNotRun() {
		c.possibleRuns++
		outcome = placement.Unknown
	}
	c.releaseGrant(grant, outcome)
	c.placementRequest.Exclude = append(c.placementRequest.Exclude, grant.Target.Name)
	return c.handleEvent(kind, c.body.release())
}

// send sends the request to the chosen target and reads the response's header,
// and its body too if that is short. It returns what became of the try.
func (c *call) send(d attempt.Decision) attempt.EventKind {
	tryID := rand.Text()
	out := c.targetRequest(tryID)
	keys := c.request.Header[KeyHeader]
	if !c.Invariants.Check(out.Header[KeyHeader] == nil && !exposesKey(keys, out.URL, out.Header),
		invariant.KeyNotForwarded, "request %s", c.requestID) {
		return attempt.DialFailed // nothing was sent
	}
	c.transport.dialer.setLimit(c.grant.Target.Address, c.connectionShare(c.grant.Target, c.service))
	response, e, err := c.transport.roundTrip(out, d)
	c.Invariants.Check(c.route.Repeatable || e.onNewConnection(), invariant.AtMostOnce,
		"request %s may not be repeated but was sent on a used connection", c.requestID)
	if err != nil {
		return e.discard(err)
	}
	c.response, c.exchange = response, e
	kind := classify(response, c.requestID, tryID, e.onReusedConnection())
	if kind != attempt.WrongRequestID {
		c.observe(response)
	}
	if kind == attempt.ResponseHeader {
		if err := c.bufferSmallBody(); err != nil {
			_ = response.Body.Close()
			return e.discard(err)
		}
		return kind
	}
	if kind == attempt.Shed && e.replayed() {
		// The transport resent the request on a second connection. The target
		// refused that one only; it may have run what was sent on the first.
		kind = attempt.ConnectionBroken
	}
	if kind == attempt.Shed && readToEnd(response.Body) {
		e.finish()
		return kind
	}
	_ = response.Body.Close()
	_ = e.discard(nil)
	return kind
}

// readToEnd reads a short body to its end, so that its connection can be reused.
// It reports whether it reached the end.
func readToEnd(body io.ReadCloser) bool {
	_, err := io.CopyN(io.Discard, body, maxShedBodyBytes)
	_ = body.Close()
	return err == io.EOF
}

// maxShedBodyBytes bounds how much of a shed request's response is read so that
// its connection can be reused; with a longer one, the connection is closed.
const maxShedBodyBytes = 4 << 10

// targetRequest returns the request to send to the chosen target. A streamed body
// is sent only once the target asks for it (100 Continue) or continueTimeout has
// passed. A target can thus refuse the request before any of the body is read,
// and the request can still go to another target.
func (c *call) targetRequest(tryID string) *http.Request {
	u := *c.request.URL
	u.Scheme, u.Host = "http", c.grant.Target.Address
	out := &http.Request{
		Method: c.request.Method, URL: &u, Host: c.request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: requestHeader(c.request.Header), Body: c.body.open(), ContentLength: c.body.length,
	}
	out.Header[RequestIDHeader] = []string{c.requestID}
	out.Header[TryHeader] = []string{tryID}
	out.Header[DeadlineHeader] = []string{strconv.FormatInt(max(c.remaining().Milliseconds(), 0), 10)}
	if c.body.streams() {
		out.Header[expectHeader] = []string{expectContinue}
	}
	return out.WithContext(c.ctx)
}

// classify returns what the header of a response proves about the try. On a reused
// connection, a response without the id of the try may be that of an earlier
// sending of a request with the same id.
func classify(response *http.Response, requestID, tryID string, reused bool) attempt.EventKind {
	echo := response.Header.Get(TryHeader)
	switch {
	case response.Header.Get(RequestIDHeader) != requestID, echo != tryID && (echo != "" || reused):
		return attempt.WrongRequestID
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(OutcomeHeader) == string(attempt.NotRun):
		return attempt.Shed
	case !responsehead.HasDetectableEnd(response):
		return attempt.NoDetectableEnd
	}
	return attempt.ResponseHeader
}

// chooseTarget asks the placer for a grant on a target.
func (h *Handler) chooseTarget(request placement.Request) (placement.Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Placer.Choose(request, h.Now())
}

// releaseGrant gives a grant back to the placer.
func (h *Handler) releaseGrant(grant placement.Grant, outcome placement.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Placer.Done(grant, outcome, h.Now())
}

// replyNotRun responds that the request was not run, and gives back its claim so
// that the caller may send it again.
func (c *call) replyNotRun() {
	c.Invariants.Check(c.possibleRuns == 0, invariant.NotRunIsTrue, "request %s: %d tries may have run", c.requestID, c.possibleRuns)
	if c.claim != nil {
		c.Claimer.Release(context.WithoutCancel(c.ctx), *c.claim)
	}
	c.writer.Header().Set(RequestIDHeader, c.requestID)
	c.closeAfterResponseIfNeeded()
	c.refuse(c.writer, c.request, c.notRunRefusal)
}

// replyUnknown responds that the request may have run. It keeps the
// claim, so that the request is refused as a duplicate if the caller sends it
// again.
func (c *call) replyUnknown() {
	c.Metrics.Add("unknown_total", 1)
	c.Log.Warn().Str("request", c.requestID).Str("route", c.route.Name).Msg("entry: the outcome of a request is unknown")
	c.writer.Header().Set(RequestIDHeader, c.requestID)
	c.closeAfterResponseIfNeeded()
	status := http.StatusBadGateway
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	writeErrorResponse(c.writer, status, ErrorResponse{Outcome: attempt.Unknown, Reason: "no-answer", Message: "the target gave no whole answer; the request may have run"})
}

// closeAfterResponseIfNeeded makes the server close the caller's connection after
// the response if keep-alives are disabled or the request's body was not read to
// its end.
func (c *call) closeAfterResponseIfNeeded() {
	if c.keepAlivesDisabled.Load() || c.body.unread() {
		c.writer.Header().Set("Connection", "close")
	}
}

// placementRefusal returns the refusal for an error of the placer.
func placementRefusal(err error) refusal {
	reason, retryAfter := "no-target", retryAfterNoTarget
	var unavailable *placement.UnavailableError
	if errors.As(err, &unavailable) {
		reason, retryAfter = "unavailable", retryAfterPause(unavailable.Wait)
	} else if errors.Is(err, placement.ErrOverloaded) {
		reason = "overloaded"
	}
	return refusal{http.StatusServiceUnavailable, reason, err.Error(), retryAfter}
}
