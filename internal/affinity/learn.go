package affinity

import "time"

// Done ends a grant.
func (b *Balancer) Done(g Grant, r Report, now time.Duration) {
	s := b.targets[g.Target.ID]
	if s == nil || s.Started != g.Target.Started || s.Address != g.Target.Address {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if r.HasLoad {
		s.reportedLoad, s.reportedAt, s.inFlightAtReport = r.Load, now, s.inFlight
	}
	// A target that was given more than its slots rejects and delays requests
	// although it is sound.
	atCapacity := g.Load+1 > float64(s.Slots) || r.HasLoad && r.Load >= s.Slots
	switch r.Outcome {
	case Answered:
		b.learnFromAnswer(s, g, r.Elapsed, now)
	case Rejected:
		s.answeredAt, s.trialInFlight = now, false
		if !atCapacity {
			s.recordRejection(now, b.meanFailureRate(s.Service))
		}
	case Failed:
		s.recordFailure(now, false, b.meanFailureRate(s.Service))
	case TimedOut:
		s.trialInFlight = false
		// A target that answers others is slow, not dead.
		if s.answeredAt < g.At {
			s.recordFailure(now, false, b.meanFailureRate(s.Service))
		}
		if !atCapacity {
			s.recordLatency(slowRelativeLatency*2, now)
		}
	case Unreachable, AddressReused:
		s.recordFailure(now, true, 0)
	case Abandoned:
		s.trialInFlight = false
	}
}

// usualBad returns the mean share of failures of a service's targets.
func (b *Balancer) meanFailureRate(service string) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.services[service] {
		if s.answeredAt > 0 {
			sum += s.failureRate
			n++
		}
	}
	return sum / max(n, 1)
}

// answered learns from a good answer.
func (b *Balancer) learnFromAnswer(s *targetState, g Grant, elapsed time.Duration, now time.Duration) {
	s.recordSuccess(now)
	if g.object != 0 {
		s.markCached(g.object, now)
	}
	if g.Cold || elapsed <= 0 {
		return
	}
	took := max(elapsed-g.Wait, time.Millisecond).Seconds()
	median := b.medianLatency[g.route]
	if median == 0 {
		median = took
	}
	s.recordLatency(took/median, now)
	// Half of the answers come sooner than the usual time: a slow target or a
	// cold cache moves it little.
	step := median * latencyWeight
	if took < median {
		step = -step
	}
	b.medianLatency[g.route] = median + step
	meanLatency := b.meanLatency[s.Service]
	if meanLatency == 0 {
		meanLatency = took
	}
	b.meanLatency[s.Service] = meanLatency + (took-meanLatency)*latencyWeight
}
