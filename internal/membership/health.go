package membership

import (
	"slices"
	"time"
)

const (
	// maxOutcomes bounds the remembered outcomes of own probes.
	maxOutcomes = 16
	outcomeTime = time.Minute
	// An instance takes itself as cut off when at least one of cutOffPart
	// outcomes is a failure.
	cutOffPart = 3
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

// note remembers the outcome of an own probe.
func (p *prober) note(name string, ok bool, now time.Time) {
	p.outcomes = slices.DeleteFunc(p.outcomes, func(o outcome) bool {
		return o.name == name || now.Sub(o.at) > outcomeTime
	})
	if len(p.outcomes) == maxOutcomes {
		p.outcomes = slices.Delete(p.outcomes, 0, 1)
	}
	p.outcomes = append(p.outcomes, outcome{name: name, ok: ok, at: now})
}

// cutOff tells whether so many of the members that this instance probed itself
// fail, or so little is heard at all, that the fault is rather on its own side
// of the network.
func (v *View) cutOff() bool {
	if v.options.WithoutLocalHealth {
		return false
	}
	failed := 0
	for _, o := range v.prober.outcomes {
		if !o.ok {
			failed++
		}
	}
	return failed > 1 && cutOffPart*failed >= len(v.prober.outcomes) || v.prober.health == maxHealth
}

// expireSuspicions declares gone whom nobody vouched for in time.
func (v *View) expireSuspicions(now time.Time) {
	held := v.cutOff()
	if held {
		v.prober.heldAt = now
	}
	if v.suspected == 0 {
		return
	}
	for _, name := range v.names {
		e := v.members[name]
		if e.State == Suspected && v.expired(e, held, now) {
			v.setState(e, Gone, now)
		}
	}
}

func (v *View) expired(e *entry, held bool, now time.Time) bool {
	age := now.Sub(e.since)
	stretch := time.Duration(1 + v.prober.health)
	if !e.listed && v.listKnown {
		return age >= unlistedSuspicionTime*stretch
	}
	if held || !e.since.After(v.prober.heldAt) && now.Sub(v.prober.heldAt) < rejoinTime {
		return false
	}
	return age >= suspicionTime*stretch
}
