package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

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
		parseLoad(x.response.Header.Get(c.HeaderNames.Load), report)
		c.pace = report.Pace
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

// parseLoad reads a load header "running,waiting,slots" or "running,waiting,slots,pace" into
// a report. The pace is how long work takes at the target at this moment, in percent of
// what is usual. A header that cannot be read leaves the report as it is.
func parseLoad(s string, report *affinity.Report) {
	parts := strings.Split(s, ",")
	if len(parts) < 3 || len(parts) > 4 {
		return
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err1 != nil || err2 != nil || running < 0 || waiting < 0 || running+waiting < 0 {
		return
	}
	report.Load, report.HasLoad = running+waiting, true
	if len(parts) == 3 {
		return
	}
	if pace, err := strconv.Atoi(strings.TrimSpace(parts[3])); err == nil && pace > 0 && pace <= maxPace {
		report.Pace = float64(pace) / 100
	}
}

// maxPace is the largest pace that is believed, in percent.
const maxPace = 10_000
