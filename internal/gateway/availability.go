package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/notice"
	"github.com/turmericfield/turmericfield/internal/quota"
)

const (
	// minRetryAfterPause is the least Retry-After of requests for which all targets
	// pause.
	minRetryAfterPause = 50 * time.Millisecond
	// maxRetryAfterShare is the share of its remaining time that a caller waits at most,
	// a third, divided by the greatest factor of jitter.
	maxRetryAfterShare = 0.25
)

// retryAfterPause returns the Retry-After, before jitter, of a request that was refused
// because all its targets leave or pause. wait is the time until the first pause ends,
// 0 if all leave, and left is the time until the request's deadline. Callers return
// after that pause, spread over the time in which the target takes its requests back,
// as far as they wait for it. A pause that is longer than they wait is told as it is:
// they cannot be served sooner, as far as this instance knows.
func retryAfterPause(wait, left time.Duration) time.Duration {
	if wait <= 0 {
		return retryAfterNoTarget
	}
	spread := min(wait+rand.N(availability.ReturnDuration), time.Duration(maxRetryAfterShare*float64(left)))
	return max(spread, wait, minRetryAfterPause)
}

// observe passes on to the balancer what the head of a response says about the target.
// The body may take long to come, or break off.
func (c *call) observe(x *exchange) {
	if x.evidence == unproven {
		return // it may belong to an earlier exchange
	}
	said := notice.Parse(x.response.StatusCode, x.response.Header, c.HeaderNames.Leaving)
	if said != (availability.Notice{}) {
		c.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.Observe(c.grant, said, now) })
	}
}

// targetLeaving reports whether a target is known to be leaving.
func (g *Gateway) targetLeaving(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Leaving(id, clock.SinceBoot())
}

// applyAvailability logs and counts changes of targets' availability and closes the idle
// connections to targets that have begun to leave.
func (g *Gateway) applyAvailability(changes []affinity.AvailabilityChange) {
	for _, c := range changes {
		if c.To == availability.Leaving {
			g.pool.closeTarget(c.Target)
		}
		line := g.Log.Info().Str("target", c.Target).Str("service", c.Service).Str("from", string(c.From)).Str("to", string(c.To)).
			Str("source", string(c.Source)).Int64("for_ms", c.For.Milliseconds())
		if c.Reason != "" {
			g.Metrics.Add(metrics.Label("ejections_total", "reason", string(c.Reason)), 1)
			line = line.Str("reason", string(c.Reason)).Int("failures", c.Failures).Float64("bad", round(c.FailureRate)).Float64("pace", round(c.RelativeLatency))
		}
		g.Metrics.Add(metrics.Label("target_changes_total", "to", string(c.To)), 1)
		line.Msg("target: changed")
	}
}

// addAvailabilityGauges adds gauges of the targets of each service that leave and that
// pause.
func (g *Gateway) addAvailabilityGauges(t *config.RoutingTable) {
	count := func(service string) affinity.AvailabilityCount {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.balancer.AvailabilityCounts(clock.SinceBoot())[service]
	}
	for name := range t.Services {
		g.Metrics.Gauge(metrics.Label("targets_leaving", "service", name), func() int64 { return int64(count(name).Leaving) })
		g.Metrics.Gauge(metrics.Label("targets_paused", "service", name), func() int64 { return int64(count(name).Paused) })
	}
}
