package affinity

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose returns a grant for the best target. The second result is false if the
// request is refused; the grant's reason is then NoTarget or Full.
//
// A request with an object goes to the highest-ranked usable target if the wait there
// is acceptable, otherwise to one of the next targets that has the object cached, and
// only while those that may run it have spare capacity to one that has not.
func (b *Balancer) Choose(r Request, now time.Duration) (Grant, bool) {
	candidates := b.candidates(r, now)
	if len(candidates) == 0 {
		return Grant{Reason: NoTarget}, false
	}
	usable := b.usable(candidates, now)
	if len(usable) == 0 {
		return b.chooseEjected(candidates, r, now)
	}
	if r.Object == "" {
		return b.chooseLessLoaded(usable, r, now)
	}
	first := usable[0]
	reason := Preferred
	if first != candidates[0].targetState {
		reason = Evaded
	}
	if b.waitAcceptable(first, r, now) {
		return b.grant(first, r, reason, now), true
	}
	object := xxhash.Sum64String(r.Object)
	others := usable[1:min(len(usable), 1+maxSpillTargets)]
	for _, s := range others {
		if s.hasCached(object) && b.waitAcceptable(s, r, now) {
			return b.grant(s, r, Spilled, now), true
		}
	}
	if utilization(candidates, r, now) < maxSpillUtilization {
		for _, s := range others {
			if r.loadAt(s, now) < maxSpillTargetUtilization*float64(s.Slots) && b.waitAcceptable(s, r, now) {
				return b.grant(s, r, Spilled, now), true
			}
		}
	}
	return Grant{Target: first.Target, Reason: Full, Load: first.load(now), Wait: b.expectedWait(first, now)}, false
}

// usable returns the first candidates that are neither ejected nor over the rate of
// a cold target, at most 1+maxSpillTargets.
func (b *Balancer) usable(candidates []candidate, now time.Duration) []*targetState {
	list := make([]*targetState, 0, 1+maxSpillTargets)
	for _, c := range candidates {
		if c.ejected(now) || c.cold(now) && !b.takeColdToken(c.targetState, now, false) {
			continue
		}
		if list = append(list, c.targetState); len(list) > maxSpillTargets {
			break
		}
	}
	return list
}

// chooseEjected grants the first candidate with an acceptable wait, ejected or not. It
// is used if no candidate is usable.
func (b *Balancer) chooseEjected(candidates []candidate, r Request, now time.Duration) (Grant, bool) {
	g := Grant{Reason: Full}
	for _, c := range candidates {
		if c.cold(now) && !b.takeColdToken(c.targetState, now, false) {
			continue
		}
		if b.waitAcceptable(c.targetState, r, now) {
			return b.grant(c.targetState, r, Forced, now), true
		}
		if g.Target.ID == "" {
			g = Grant{Target: c.Target, Reason: Full, Load: c.load(now), Wait: b.expectedWait(c.targetState, now)}
		}
	}
	return g, false
}

// chooseLessLoaded grants the usable target with less load per slot of the first two.
// Without an object the ranking differs for each request, so this is a choice between
// two random targets.
func (b *Balancer) chooseLessLoaded(usable []*targetState, r Request, now time.Duration) (Grant, bool) {
	s := usable[0]
	if len(usable) > 1 && usable[1].load(now)*float64(s.Slots) < s.load(now)*float64(usable[1].Slots) {
		s = usable[1]
	}
	if !b.waitAcceptable(s, r, now) {
		return Grant{Target: s.Target, Reason: Full, Load: s.load(now), Wait: b.expectedWait(s, now)}, false
	}
	return b.grant(s, r, Preferred, now), true
}

// expectedWait returns the expected time until the target has a free slot.
func (b *Balancer) expectedWait(s *targetState, now time.Duration) time.Duration {
	return s.waitAt(s.load(now))
}

// waitAt returns the expected time until the target has a free slot if it has the given
// number of requests.
func (s *targetState) waitAt(load float64) time.Duration {
	slots := float64(max(s.Slots, 1))
	excess := load + 1 - slots
	if excess <= 0 {
		return 0
	}
	meanLatency := s.group.meanLatency
	if meanLatency == 0 {
		meanLatency = defaultLatency.Seconds()
	}
	return time.Duration(excess / slots * meanLatency * float64(time.Second))
}

// waitAcceptable reports whether the expected wait at the target leaves the request
// enough of its latency objective. What the target's group lets expect of it is less
// certain: by that, a request that may run anywhere is refused only if it would wait
// longer than the whole objective.
func (b *Balancer) waitAcceptable(s *targetState, r Request, now time.Duration) bool {
	share := maxWaitShare
	if r.Urgent {
		share = maxUrgentWaitShare
	}
	objective := r.Objective
	if objective <= 0 {
		objective = 2 * defaultLatency
	}
	return s.waitAt(r.loadAt(s, now)) <= time.Duration(share*float64(objective)) && s.waitAt(s.loadInGroup(now)) <= objective
}

// loadAt returns the load of the target that counts for the request. One that is bound to
// home regions cannot avoid a congested group, so the group counts for it in full.
func (r Request) loadAt(s *targetState, now time.Duration) float64 {
	if r.HomeRegions.Bound() {
		return s.loadInGroup(now)
	}
	return s.load(now)
}

// utilization returns the load per slot of the targets that may run a request.
func utilization(candidates []candidate, r Request, now time.Duration) float64 {
	load, slots := 0.0, 0.0
	for _, s := range candidates {
		load += r.loadAt(s.targetState, now)
		slots += float64(s.Slots)
	}
	return load / max(slots, 1)
}

// candidate is an eligible target with its score for one request.
type candidate struct {
	*targetState
	score float64
}

// candidates returns the targets that may run the request, the highest score first.
func (b *Balancer) candidates(r Request, now time.Duration) []candidate {
	key := r.Object
	if key == "" {
		key = r.ID
	}
	h := xxhash.Sum64String(key)
	weights := b.regionWeights(r, now)
	list := make([]candidate, 0, len(b.services[r.Service]))
	for _, s := range b.services[r.Service] {
		if s.Leaving || b.closedZones[s.AvailabilityZone] || slices.Contains(r.Exclude, s.ID) || !r.HomeRegions.Has(s.Region) {
			continue
		}
		w := score(h, s)
		if weights != nil {
			w *= weights.of(s)
		}
		list = append(list, candidate{s, w})
	}
	slices.SortFunc(list, func(x, y candidate) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return 0
	})
	return list
}

// score returns the target's score for an object in weighted rendezvous hashing. The
// weight is the number of slots. The hash of object and target is mixed by the
// finalizer of MurmurHash3 and mapped to u, uniform between 0 and 1.
func score(object uint64, s *targetState) float64 {
	x := object ^ s.idHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -float64(max(s.Slots, 1)) / math.Log(u)
}

// grant returns a grant for the target and counts its request as in flight.
func (b *Balancer) grant(s *targetState, r Request, reason Reason, now time.Duration) Grant {
	g := Grant{
		Target: s.Target, Reason: reason, Load: s.load(now), Cold: s.cold(now), Wait: b.expectedWait(s, now), At: now, route: r.Route,
	}
	if r.Object != "" {
		g.object = xxhash.Sum64String(r.Object)
	}
	if g.Cold {
		b.takeColdToken(s, now, true)
	}
	if s.ejectionDuration > 0 && now >= s.ejectedUntil && s.consecutiveFailures > 0 {
		s.trialInFlight = true
	}
	s.inFlight++
	return g
}

// takeColdToken reports whether this instance may send one more request to a cold
// target, and takes a token if consume is true. The maxColdSenders instances that
// rank highest by a hash of target and instance share the target's cold rate, so that
// all instances agree on them without communicating.
func (b *Balancer) takeColdToken(s *targetState, now time.Duration, consume bool) bool {
	limit := b.coldLimits[s.Service]
	if limit.rate <= 0 {
		return true
	}
	rank := 0
	ownHash := xxhash.Sum64String(s.ID + "/" + b.self)
	for _, name := range b.instances {
		if name != b.self && xxhash.Sum64String(s.ID+"/"+name) > ownHash {
			rank++
		}
	}
	if rank >= maxColdSenders {
		return false
	}
	share := limit.rate / float64(min(maxColdSenders, max(len(b.instances), 1)))
	s.coldTokens = min(s.coldTokens+share*(now-s.coldRefilledAt).Seconds(), coldBurst)
	s.coldRefilledAt = now
	if s.coldTokens < 1 {
		return false
	}
	if consume {
		s.coldTokens--
	}
	return true
}
