package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/metrics"
)

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
	c.done(report)
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
