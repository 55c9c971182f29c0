package membership

import (
	"slices"
	"time"
)

const (
	// maxOutcomes bounds the number of remembered outcomes of own probes.
	maxOutcomes = 16
	// outcomeLifetime is the age above which an outcome is dropped.
	outcomeLifetime = time.Minute
	// cutOffDivisor sets when an instance considers itself cut off: when at least
	// one in cutOffDivisor of the remembered outcomes is a failure.
	cutOffDivisor = 3
	// rejoinTime is how long, after this instance was cut off, the suspicions
	// from before do not expire. In that time the refutations can arrive.
	rejoinTime = 2 * time.Minute
)

// outcome is the latest result of this instance's own probes of one member.
type outcome struct {
	name string
	ok   bool
	at   time.Time
}

// recordOutcome remembers the outcome of an own probe in place of the member's
// earlier one.
func (p *prober) recordOutcome(name string, ok bool, now time.Time) {
	p.outcomes = slices.DeleteFunc(p.outcomes, func(o outcome) bool {
		return o.name == name || now.Sub(o.at) > outcomeLifetime
	})
	if len(p.outcomes) == maxOutcomes {
		p.outcomes = slices.Delete(p.outcomes, 0, 1)
	}
	p.outcomes = append(p.outcomes, outcome{name: name, ok: ok, at: now})
}

// isCutOff reports whether the network fault is probably on this instance's own
// side: more than one and at least a third of the members that it recently probed
// itself did not answer, or it has received nothing at all for many probes.
func (v *View) isCutOff() bool {
	if v.options.WithoutLocalHealth {
		return false
	}
	failed := 0
	for _, o := range v.prober.outcomes {
		if !o.ok {
			failed++
		}
	}
	return failed > 1 && cutOffDivisor*failed >= len(v.prober.outcomes) || v.prober.localFailures == maxLocalFailures
}

// expireSuspicions declares suspected members gone that did not refute the
// suspicion in time.
func (v *View) expireSuspicions(now time.Time) {
	cutOffNow := v.isCutOff()
	if cutOffNow {
		v.prober.lastCutOff = now
	}
	if v.suspected == 0 {
		return
	}
	for _, name := range v.names {
		e := v.members[name]
		if e.State == Suspected && v.suspicionExpired(e, cutOffNow, now) {
			v.setState(e, Gone, now)
		}
	}
}

// suspicionExpired reports whether a suspected member is now to be declared gone.
// The time allowed grows with the number of local failures. No suspicion expires
// while this instance is cut off, and none from before or during that time for
// another rejoinTime. Members that the platform no longer lists are excepted.
func (v *View) suspicionExpired(e *entry, cutOffNow bool, now time.Time) bool {
	age := now.Sub(e.stateSince)
	stretch := time.Duration(1 + v.prober.localFailures)
	if !e.listed && v.listKnown {
		return age >= unlistedSuspicionTimeout*stretch
	}
	if cutOffNow || !e.stateSince.After(v.prober.lastCutOff) && now.Sub(v.prober.lastCutOff) < rejoinTime {
		return false
	}
	return age >= suspicionTimeout*stretch
}
