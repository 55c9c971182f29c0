package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
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
