package affinity

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/availability"
)

// Choose returns a grant for the best target. The second result is false if the
// request is refused; the grant's reason is then NoTarget, Full or Unavailable.
//
// A request with an object goes to the highest-ranked usable target if the wait there
// is acceptable, otherwise to one of the next targets that has the object cached, and
// only while those that may run it have spare capacity to one that has not.
func (b *Balancer) Choose(r Request, now time.Duration) (Grant, bool) {
	key := r.key()
	candidates, refusing := b.candidates(r, key, now)
	if len(candidates) == 0 {
		return refusing.refusal(now), false
	}
	usable := b.usable(r, candidates, key, now, false)
	if len(usable) == 0 {
		usable = b.usable(r, candidates, key, now, true)
	}
	if len(usable) == 0 {
		return b.chooseEjected(candidates, r, now)
	}
	if r.Object == "" {
		return b.chooseLessLoaded(usable, r, now)
	}
	if r.HomeRegions.Bound() {
		r.pressure = pressure(utilization(candidates, r, now))
	}
	first := usable[0]
	reason := Preferred
	if first != candidates[0].targetState || refusing.topScore > candidates[0].score {
		reason = Evaded
	}
	others := usable[1:min(len(usable), 1+maxSpillTargets)]
	if s := b.faster(first, others, candidates, r, key, now); s != nil {
		return b.grant(s, r, Faster, now), true
	}
	if b.waitAcceptable(first, r, now) {
		return b.grant(first, r, reason, now), true
	}
	for _, s := range others {
		if s.hasCached(key) && b.waitAcceptable(s, r, now) {
			return b.grant(s, r, Spilled, now), true
		}
	}
	if s := b.withRoomToTeach(others, candidates, r, now); s != nil {
		return b.grant(s, r, Spilled, now), true
	}
	return b.full(first, r, now), false
}

// withRoomToTeach returns the first target with spare capacity for a request whose object it
// has not cached, if those that may run the request have spare capacity, or nil.
func (b *Balancer) withRoomToTeach(others []*targetState, candidates []candidate, r Request, now time.Duration) *targetState {
	if utilization(candidates, r, now) >= maxSpillUtilization {
		return nil
	}
	for _, s := range others {
		if r.loadAt(s, now) < maxSpillTargetUtilization*float64(s.Slots) && b.waitAcceptable(s, r, now) {
			return s
		}
	}
	return nil
}

// faster returns a target that is expected to answer much sooner than the first one, which
// has said that it works slowly at this moment: one that has the object cached, or, if the
// first one would be late, one that can learn it for the next time. It returns nil if there
// is none.
func (b *Balancer) faster(first *targetState, others []*targetState, candidates []candidate, r Request, key uint64, now time.Duration) *targetState {
	usual := b.medianLatency[r.Route]
	if usual == 0 || first.paceNow(now) <= 1 {
		return nil
	}
	expected := func(s *targetState) float64 { return b.expectedWait(s, now).Seconds() + usual*s.paceNow(now) }
	atFirst := expected(first)
	for _, s := range others {
		if s.hasCached(key) && expected(s) <= maxFasterShare*atFirst && b.waitAcceptable(s, r, now) {
			return s
		}
	}
	if r.Objective <= 0 || atFirst <= r.Objective.Seconds() {
		return nil
	}
	usualPace := slices.DeleteFunc(slices.Clone(others), func(s *targetState) bool { return s.paceNow(now) > 1 })
	return b.withRoomToTeach(usualPace, candidates, r, now)
}

// usable returns the first candidates that are neither ejected nor over the rate of
// a cold target, at most 1+maxSpillTargets. Those that return from a pause and do not
// yet get the request back are among them only if returning is true.
func (b *Balancer) usable(r Request, candidates []candidate, key uint64, now time.Duration, returning bool) []*targetState {
	list := make([]*targetState, 0, 1+maxSpillTargets)
	for _, c := range candidates {
		if c.process.Ejected(now) && !(r.HomeRegions.Bound() && slowTogether(c, candidates, now)) || !returning && !b.hasReturned(c.targetState, key, now) || c.cold(now) && !b.takeColdToken(c.targetState, now, false) {
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
			g = b.full(c.targetState, r, now)
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
		return b.full(s, r, now), false
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
	return time.Duration(max(s.excess(load), 0) * s.group.expectedLatency() * float64(time.Second))
}

// excess returns by how many requests per slot a target with the given number of requests
// would be over its slots with one more. It is below 0 if slots would remain free.
func (s *targetState) excess(load float64) float64 {
	slots := float64(max(s.Slots, 1))
	return (load + 1 - slots) / slots
}

// waitAcceptable reports whether the expected wait at the target leaves the request
// enough of its latency objective. What the target's group lets expect of it is less
// certain: by that, a request that may run anywhere is refused only if it would wait
// longer than the whole objective.
func (b *Balancer) waitAcceptable(s *targetState, r Request, now time.Duration) bool {
	acceptable := r.acceptableExcess(s)
	if r.yields() && s.excess(s.lastingLoadInGroup(now)) > acceptable {
		return false
	}
	return s.excess(r.loadAt(s, now)) <= acceptable && s.waitAt(s.loadInGroup(now)) <= r.objective()
}

// objective returns the latency objective, or a default if there is none.
func (r Request) objective() time.Duration {
	if r.Objective <= 0 {
		return 2 * defaultLatency
	}
	return r.Objective
}

// acceptableExcess returns up to which excess at the target the request is sent there.
func (r Request) acceptableExcess(s *targetState) float64 {
	share := maxWaitShare
	if r.Urgent {
		share = maxUrgentWaitShare
	}
	wait := share * r.objective().Seconds()
	if left := maxWaitShare * r.YieldTo.Seconds(); r.yields() && left < wait {
		wait += (left - wait) * r.YieldShare
	}
	acceptable := wait / s.group.expectedLatency() // in requests per slot, like the excess
	if r.pressure > 0 {
		acceptable += r.pressure * preference(r.key(), s, r.TimeOfDay)
	}
	return acceptable
}

// yields reports whether the request gives way to others of higher priority.
func (r Request) yields() bool { return r.YieldTo > 0 && r.YieldShare > 0 }

// full returns the result of Choose if the request would have to wait too long at its
// target.
func (b *Balancer) full(s *targetState, r Request, now time.Duration) Grant {
	perExcess := s.group.expectedLatency() * float64(time.Second)
	acceptable := r.acceptableExcess(s)
	inGroup := r.objective().Seconds() / s.group.expectedLatency()
	over := max(s.excess(r.loadAt(s, now))-acceptable, s.excess(s.loadInGroup(now))-inGroup, 0)
	if r.yields() {
		over = max(over, s.excess(s.lastingLoadInGroup(now))-acceptable)
	}
	return Grant{
		Target: s.Target, Reason: Full, Load: s.load(now), Wait: b.expectedWait(s, now),
		RoomIn: time.Duration(over * perExcess), QueueWait: time.Duration(max(acceptable, 0) * perExcess),
		Interval: s.interval(),
	}
}

// interval returns the expected time between two requests that leave the target while it is
// full.
func (s *targetState) interval() time.Duration {
	return time.Duration(s.group.expectedLatency() * float64(time.Second) / float64(max(s.Slots, 1)))
}

// ExpectedWork returns the usual time that a target needs for a request of the route, and
// false if none has been answered yet.
func (b *Balancer) ExpectedWork(route string) (time.Duration, bool) {
	median, ok := b.medianLatency[route]
	return time.Duration(median * float64(time.Second)), ok
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

// key returns the hash by which targets are ranked for the request.
func (r Request) key() uint64 {
	if r.Object == "" {
		return xxhash.Sum64String(r.ID)
	}
	return xxhash.Sum64String(r.Object)
}

// candidate is an eligible target with its score for one request.
type candidate struct {
	*targetState
	score float64
}

// refusingTargets sums up the targets that might run a request if they did not leave or pause.
type refusingTargets struct {
	targets  int
	until    time.Duration // earliest end of a pause; 0 if there is none
	topScore float64       // highest score of a paused target
}

// add adds a target, with its score for the request if it is paused.
func (l *refusingTargets) add(s *targetState, score float64, now time.Duration) {
	l.targets++
	if s.process.State(now) != availability.Paused {
		return
	}
	if _, until := s.process.LastPause(); l.until == 0 || until < l.until {
		l.until = until
	}
	l.topScore = max(l.topScore, score)
}

// refusal returns the result of Choose if there is no other target.
func (l *refusingTargets) refusal(now time.Duration) Grant {
	switch {
	case l.targets == 0:
		return Grant{Reason: NoTarget}
	case l.until == 0:
		return Grant{Reason: Unavailable}
	}
	return Grant{Reason: Unavailable, Wait: l.until - now}
}

// candidates returns the targets that may run the request, the highest score first, and
// those that are left out because they leave or pause.
func (b *Balancer) candidates(r Request, key uint64, now time.Duration) ([]candidate, refusingTargets) {
	weights := b.regionWeights(r, now)
	list, left := make([]candidate, 0, len(b.services[r.Service])), refusingTargets{}
	for _, s := range b.services[r.Service] {
		if b.closedZones[s.AvailabilityZone] || slices.Contains(r.Exclude, s.ID) || !r.HomeRegions.Has(s.Region) {
			continue
		}
		w := score(key, s)
		if weights != nil {
			w *= weights.of(s)
		}
		if state := s.process.State(now); state == availability.Paused || state == availability.Leaving {
			left.add(s, w, now)
			continue
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
	return list, left
}

// hasReturned reports whether requests with the given key go to the target again after
// a pause. Each key has its own moment during the return, by a hash of request, target and
// instance: the load of an instance grows steadily, and the requests for an object that
// many ask for do not return from all instances at once.
func (b *Balancer) hasReturned(s *targetState, key uint64, now time.Duration) bool {
	share := s.process.ReturnedShare(now)
	return share >= 1 || uniform(key^s.idHash^b.selfHash) < share
}

// score returns the target's score for an object in weighted rendezvous hashing. The
// weight is the number of slots.
func score(object uint64, s *targetState) float64 {
	return -float64(max(s.Slots, 1)) / math.Log(uniform(object^s.idHash))
}

// uniform mixes a hash by the finalizer of MurmurHash3 and maps it to a number between
// 0 and 1, neither of which it returns.
func uniform(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// grant returns a grant for the target and counts its request as in flight.
func (b *Balancer) grant(s *targetState, r Request, reason Reason, now time.Duration) Grant {
	g := Grant{
		Target: s.Target, Reason: reason, Load: s.load(now), Cold: s.cold(now), Wait: b.expectedWait(s, now), Interval: s.interval(), At: now, route: r.Route,
	}
	if r.Object != "" {
		g.object = xxhash.Sum64String(r.Object)
	}
	if g.Cold {
		b.takeColdToken(s, now, true)
	}
	s.process.RecordGrant(now)
	s.inFlight++
	return g
}
