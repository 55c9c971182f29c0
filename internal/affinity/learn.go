package affinity

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

// Done ends a grant and updates what is known of its target. It ignores a grant
// whose target has since been removed, restarted or moved.
func (b *Balancer) Done(g Grant, r Report, now time.Duration) {
	s := b.targets[g.Target.ID]
	if s == nil || s.Started != g.Target.Started || s.Address != g.Target.Address {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if r.HasLoad {
		s.reportedLoad, s.reportedAt, s.inFlightAtReport = r.Load, now, s.inFlight
		s.group.recordLoad(s.reportedOthers()/float64(max(s.Slots, 1)), now)
	}
	if r.Pace > 0 {
		s.pace, s.paceAt = r.Pace, now
	}
	// A target with more requests than slots rejects and delays requests although it
	// is healthy, so that does not count against it.
	atCapacity := g.Load+1 > float64(s.Slots) || r.HasLoad && r.Load >= s.Slots
	switch r.Outcome {
	case Answered:
		b.learnFromResponse(s, g, r, now)
	case Rejected:
		s.process.RecordRejection(now)
		if !atCapacity {
			s.process.RecordNeedlessRejection(now, b.meanFailureRate(s.Service))
		}
	case Failed:
		s.process.RecordFailure(now, false, b.meanFailureRate(s.Service))
	case TimedOut:
		s.process.EndTrial()
		// A target that has answered since this request was granted is slow, not down.
		if s.process.RespondedAt() < g.At {
			s.process.RecordFailure(now, false, b.meanFailureRate(s.Service))
		}
		if !atCapacity {
			s.process.RecordLatency(availability.TimeoutRelativeLatency, now)
		}
	case Unreachable, AddressReused:
		s.process.RecordFailure(now, true, 0)
	case Abandoned:
		s.process.EndTrial()
	}
}

// meanFailureRate returns the mean failure rate, 0 to 1, of the service's targets
// that have answered so far.
func (b *Balancer) meanFailureRate(service string) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.services[service] {
		if s.process.RespondedAt() > 0 {
			sum += s.process.FailureRate()
			n++
		}
	}
	return sum / max(n, 1)
}

// learnFromResponse updates the target's state and the latency estimates after a good
// response. Responses of cold targets do not count for latency, and those of a target that
// is slow for a moment, by its own word, as if it had been as usual.
func (b *Balancer) learnFromResponse(s *targetState, g Grant, r Report, now time.Duration) {
	s.process.RecordSuccess(now)
	if g.object != 0 {
		s.markCached(g.object, now)
	}
	if g.Cold || r.Elapsed <= 0 {
		return
	}
	took := max(r.Elapsed-g.Wait, time.Millisecond).Seconds() / min(max(r.Pace, 1), maxPace)
	median := b.medianLatency[g.route]
	if median == 0 {
		median = took
	}
	s.process.RecordLatency(took/median, now)
	// The estimate moves by a fixed step up or down, so it converges to the median,
	// and a slow target or an empty cache moves it little.
	step := median * latencyWeight
	if took < median {
		step = -step
	}
	b.medianLatency[g.route] = median + step
	s.group.recordLatency(took)
}
