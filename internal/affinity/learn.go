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
		s.reported, s.reportedAt, s.ownThen = r.Load, now, s.inFlight
	}
	// A target that was given more than its slots rejects and delays requests
	// although it is sound.
	crowded := g.Load+1 > float64(s.Slots) || r.HasLoad && r.Load >= s.Slots
	switch r.Outcome {
	case Answered:
		b.answered(s, g, r.Elapsed, now)
	case Rejected:
		s.answeredAt, s.trial = now, false
		if !crowded {
			s.reject(now, b.usualBad(s.Service))
		}
	case Failed:
		s.fail(now, false, b.usualBad(s.Service))
	case TimedOut:
		s.trial = false
		// A target that answers others is slow, not dead.
		if s.answeredAt < g.At {
			s.fail(now, false, b.usualBad(s.Service))
		}
		if !crowded {
			s.timed(slowPace*2, now)
		}
	case Unreachable, AddressReused:
		s.fail(now, true, 0)
	case Abandoned:
		s.trial = false
	}
}

// usualBad returns the mean share of failures of a service's targets.
func (b *Balancer) usualBad(service string) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.services[service] {
		if s.answeredAt > 0 {
			sum += s.bad
			n++
		}
	}
	return sum / max(n, 1)
}

// answered learns from a good answer.
func (b *Balancer) answered(s *state, g Grant, elapsed time.Duration, now time.Duration) {
	s.succeed(now)
	if g.object != 0 {
		s.remember(g.object, now)
	}
	if g.Cold || elapsed <= 0 {
		return
	}
	took := max(elapsed-g.Wait, time.Millisecond).Seconds()
	usual := b.typical[g.route]
	if usual == 0 {
		usual = took
	}
	s.timed(took/usual, now)
	// Half of the answers come sooner than the usual time: a slow target or a
	// cold cache moves it little.
	step := usual * typicalWeight
	if took < usual {
		step = -step
	}
	b.typical[g.route] = usual + step
	work := b.work[s.Service]
	if work == 0 {
		work = took
	}
	b.work[s.Service] = work + (took-work)*typicalWeight
}
