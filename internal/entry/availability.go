package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/notice"
)

// retryAfterNoTarget is the Retry-After of requests that no target took.
const retryAfterNoTarget = time.Second

// retryAfterPause returns the Retry-After of a request that was refused because all its
// targets leave or pause. wait is the time until the first pause ends, 0 if all leave.
// Callers return after that pause, spread over the time in which the target takes its
// requests back.
func retryAfterPause(wait time.Duration) time.Duration {
	if wait <= 0 {
		return retryAfterNoTarget
	}
	return wait + rand.N(availability.ReturnDuration)
}

// observe passes on to the placer what the head of a response says about its target. The
// body may take long to come, or break off.
func (c *call) observe(response *http.Response) {
	said := notice.Parse(response.StatusCode, response.Header, LeavingHeader)
	if said == (availability.Notice{}) {
		return
	}
	var before, after availability.State
	c.WithLock(func(now time.Time) { before, after = c.Placer.Observe(c.grant, said, now) })
	if before == after {
		return
	}
	pause := said.Pause
	if after != availability.Paused {
		pause = 0
	}
	c.Metrics.Add(metrics.Label("target_changes_total", "to", string(after)), 1)
	c.Log.Info().Str("target", c.grant.Target.Name).Str("service", c.route.Service).Str("from", string(before)).Str("to", string(after)).
		Str("source", string(availability.Response)).Int64("for_ms", pause.Milliseconds()).Msg("target: changed")
}
