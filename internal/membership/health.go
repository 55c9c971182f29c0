package membership

import (
	"slices"
	"time"
)

const (
	// maxOutcomes bounds the remembered outcomes of own probes.
	maxOutcomes     = 16
	outcomeLifetime = time.Minute
	// An instance takes itself as cut off when at least one of cutOffDivisor
	// outcomes is a failure.
	cutOffDivisor = 3
	// rejoinTime is how long old suspicions are kept after this instance was
	// cut off, so that the refutations of the others can arrive.
	rejoinTime = 2 * time.Minute
)

// outcome is the newest result of this instance's own probes of one member.
type outcome struct {
	name string
	ok   bool
	at   time.Time
}

// recordOutcome remembers the outcome of an own probe.
func (p *prober) recordOutcome(name string, ok bool, now time.Time) {
	p.outcomes = slices.DeleteFunc(p.outcomes, func(o outcome) bool {
		return o.name == name || now.Sub(o.at) > outcomeLifetime
	})
	if len(p.outcomes) == maxOutcomes {
		p.outcomes = slices.Delete(p.outcomes, 0, 1)
	}
	p.outcomes = append(p.outcomes, outcome{name: name, ok: ok, at: now})
}

// isCutOff tells whether so many of the members that this instance probed itself
// fail, or so little is heard at all, that the fault is rather on its own side
// of the network.
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

// expireSuspicions declares gone whom nobody vouched for in time.
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
