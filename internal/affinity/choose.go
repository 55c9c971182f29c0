package affinity

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose grants a target. The second result is false if there is none; the
// grant's reason then tells why.
func (b *Balancer) Choose(r Request, now time.Duration) (Grant, bool) {
	candidates := b.candidates(r)
	if len(candidates) == 0 {
		return Grant{Reason: NoTarget}, false
	}
	usable := b.usable(candidates, now)
	if len(usable) == 0 {
		return b.force(candidates, r, now)
	}
	if r.Object == "" {
		return b.spread(usable, r, now)
	}
	first := usable[0]
	reason := Preferred
	if first != candidates[0].state {
		reason = Evaded
	}
	if b.fits(first, r, now) {
		return b.grant(first, r, reason, now), true
	}
	object := xxhash.Sum64String(r.Object)
	others := usable[1:min(len(usable), 1+spillChoices)]
	for _, s := range others {
		if s.knows(object) && b.fits(s, r, now) {
			return b.grant(s, r, Spilled, now), true
		}
	}
	if b.busy(r.Service, now) < busyShare {
		for _, s := range others {
			if s.load(now) < spareLoad*float64(s.Slots) {
				return b.grant(s, r, Spilled, now), true
			}
		}
	}
	return Grant{Target: first.Target, Reason: Full, Load: first.load(now), Wait: b.wait(first, now)}, false
}

// usable returns the candidates that are neither ejected nor too cold.
func (b *Balancer) usable(candidates []candidate, now time.Duration) []*state {
	list := make([]*state, 0, 1+spillChoices)
	for _, c := range candidates {
		if c.ejected(now) || c.cold(now) && !b.takeCold(c.state, now, false) {
			continue
		}
		if list = append(list, c.state); len(list) > spillChoices {
			break
		}
	}
	return list
}

// force grants an ejected target where there is no other.
func (b *Balancer) force(candidates []candidate, r Request, now time.Duration) (Grant, bool) {
	g := Grant{Reason: Full}
	for _, c := range candidates {
		if c.cold(now) && !b.takeCold(c.state, now, false) {
			continue
		}
		if b.fits(c.state, r, now) {
			return b.grant(c.state, r, Forced, now), true
		}
		if g.Target.ID == "" {
			g = Grant{Target: c.Target, Reason: Full, Load: c.load(now), Wait: b.wait(c.state, now)}
		}
	}
	return g, false
}

// spread grants the less loaded of the first two candidates; they are in an
// order of their own for each request.
func (b *Balancer) spread(usable []*state, r Request, now time.Duration) (Grant, bool) {
	s := usable[0]
	if len(usable) > 1 && usable[1].load(now)*float64(s.Slots) < s.load(now)*float64(usable[1].Slots) {
		s = usable[1]
	}
	if !b.fits(s, r, now) {
		return Grant{Target: s.Target, Reason: Full, Load: s.load(now), Wait: b.wait(s, now)}, false
	}
	return b.grant(s, r, Preferred, now), true
}

// wait returns the expected time until the target has a free slot.
func (b *Balancer) wait(s *state, now time.Duration) time.Duration {
	slots := float64(max(s.Slots, 1))
	over := s.load(now) + 1 - slots
	if over <= 0 {
		return 0
	}
	work := b.work[s.Service]
	if work == 0 {
		work = defaultTypical.Seconds()
	}
	return time.Duration(over / slots * work * float64(time.Second))
}

// fits tells whether the request's wait at the target is worth it.
func (b *Balancer) fits(s *state, r Request, now time.Duration) bool {
	part := patience
	if r.Urgent {
		part = urgentPatience
	}
	objective := r.Objective
	if objective <= 0 {
		objective = 2 * defaultTypical
	}
	return b.wait(s, now) <= time.Duration(part*float64(objective))
}

// busy returns the load of a service in parts of its slots.
func (b *Balancer) busy(service string, now time.Duration) float64 {
	load, slots := 0.0, 0.0
	for _, s := range b.services[service] {
		load += s.load(now)
		slots += float64(s.Slots)
	}
	return load / max(slots, 1)
}

type candidate struct {
	*state
	weight float64
}

// candidates returns the targets that may run the request, in the order of
// preference.
func (b *Balancer) candidates(r Request) []candidate {
	key := r.Object
	if key == "" {
		key = r.ID
	}
	h := xxhash.Sum64String(key)
	list := make([]candidate, 0, len(b.services[r.Service]))
	for _, s := range b.services[r.Service] {
		if s.Leaving || b.closed[s.AvailabilityZone] || slices.Contains(r.Exclude, s.ID) ||
			len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, s.Region) {
			continue
		}
		w := weight(h, s)
		if r.Object != "" && len(r.HomeRegions) == 0 {
			w *= b.regionWeights[s.Service][s.Region]
		}
		list = append(list, candidate{s, w})
	}
	slices.SortFunc(list, func(x, y candidate) int {
		switch {
		case x.weight > y.weight:
			return -1
		case x.weight < y.weight:
			return 1
		}
		return 0
	})
	return list
}

// weight is the score of weighted rendezvous hashing.
func weight(object uint64, s *state) float64 {
	x := object ^ s.seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -float64(max(s.Slots, 1)) / math.Log(u)
}

func (b *Balancer) grant(s *state, r Request, reason Reason, now time.Duration) Grant {
	g := Grant{
		Target: s.Target, Reason: reason, Load: s.load(now), Cold: s.cold(now), Wait: b.wait(s, now), At: now, route: r.Route,
	}
	if r.Object != "" {
		g.object = xxhash.Sum64String(r.Object)
	}
	if g.Cold {
		b.takeCold(s, now, true)
	}
	if s.ejection > 0 && now >= s.ejectedUntil && s.failures > 0 {
		s.trial = true
	}
	s.inFlight++
	return g
}

// takeCold tells whether this instance may send one more request to a cold
// target, and takes the right if asked to.
func (b *Balancer) takeCold(s *state, now time.Duration, take bool) bool {
	limit := b.cold[s.Service]
	if limit.rate <= 0 {
		return true
	}
	rank := 0
	own := xxhash.Sum64String(s.ID + "/" + b.self)
	for _, name := range b.names {
		if name != b.self && xxhash.Sum64String(s.ID+"/"+name) > own {
			rank++
		}
	}
	if rank >= coldInstances {
		return false
	}
	share := limit.rate / float64(min(coldInstances, max(len(b.names), 1)))
	s.coldToken = min(s.coldToken+share*(now-s.coldAt).Seconds(), coldBurst)
	s.coldAt = now
	if s.coldToken < 1 {
		return false
	}
	if take {
		s.coldToken--
	}
	return true
}
