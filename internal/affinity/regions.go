package affinity

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

const (
	// shiftWindow is the time to which the limit of SetMaxShift applies.
	shiftWindow = 2 * time.Second
	// shiftMargin is the part of that limit that is used. The rest is for the variation
	// of the requests themselves.
	shiftMargin = 0.5
	// shiftInterval is the time between two steps of a shift.
	shiftInterval = 100 * time.Millisecond
	// minUsableShare is the least part of a service's slots that must be usable for the
	// others not to count. Otherwise the few that happen to be usable first, for example
	// when all targets have just started, would determine where all requests go.
	minUsableShare = 0.5
	// minCountedPause is the length from which the slots of a paused target always count
	// as not usable. See countsAsPaused.
	minCountedPause = shiftWindow
)

// regionMix is how the requests of this balancer's region for one service, other than
// those bound to home regions, are distributed over the regions of the targets.
//
// The distribution approaches the desired one, given the slots in use, by at most the
// limit of SetMaxShift. Only the requests of targets that can no longer be used move
// at once. As each instance limits its own requests, the sum is limited too.
type regionMix struct {
	changed   bool // targets, closed zones or home regions have changed since updatedAt
	updatedAt time.Duration
	slots     map[string]float64 // region → usable slots at updatedAt
	// objects is for requests with an object, which prefer this region, and spread for
	// those without, which use all slots alike.
	objects, spread              distribution
	objectWeights, spreadWeights *regionWeights
}

// regionWeights holds a distribution as factors on the scores of targets.
type regionWeights struct {
	byRegion map[string]float64
	// uncounted is a further factor for targets without usable slots. A cold target may
	// get some requests, so many of them in one region would change the distribution.
	uncounted float64
}

// of returns the factor on the scores of a target.
func (w *regionWeights) of(s *targetState) float64 {
	if s.countedSlots == 0 {
		return w.byRegion[s.Region] * w.uncounted
	}
	return w.byRegion[s.Region]
}

// distribution maps a region to its fraction of the requests; the sum is 1.
type distribution map[string]float64

// SetMaxShift sets which fraction of its requests a region may move to other regions
// within two seconds without need. Requests whose targets are gone, and those bound to
// home regions, do not count. 0 means no limit.
func (b *Balancer) SetMaxShift(fraction float64) { b.maxShift = fraction }

// markRegionsChanged makes the next request update the distributions.
func (b *Balancer) markRegionsChanged() {
	for _, m := range b.regionMixes {
		m.changed = true
	}
}

// regionWeights returns the factors on the rendezvous scores for a request, or nil if
// the scores need none.
func (b *Balancer) regionWeights(r Request, now time.Duration) *regionWeights {
	if r.HomeRegions.Bound() {
		return nil
	}
	m := b.regionMixes[r.Service]
	if m == nil {
		m = &regionMix{changed: true}
		b.regionMixes[r.Service] = m
	}
	if m.changed || now-m.updatedAt >= shiftInterval {
		b.updateRegionMix(m, r.Service, now)
	}
	if r.Object == "" {
		return m.spreadWeights
	}
	return m.objectWeights
}

// updateRegionMix moves the distributions of a service towards the desired ones.
func (b *Balancer) updateRegionMix(m *regionMix, service string, now time.Duration) {
	usable := b.usableTargets(m, service, now)
	slots, kept := map[string]float64{}, map[string]float64{}
	for _, s := range usable {
		slots[s.Region] += float64(s.Slots)
		kept[s.Region] += s.countedSlots
	}
	for _, s := range b.services[service] {
		s.countedSlots = 0
	}
	for _, s := range usable {
		s.countedSlots = float64(s.Slots)
	}
	objects, spread := b.desiredForObjects(slots), desiredSpread(slots)
	if len(m.slots) == 0 {
		m.objects, m.spread = b.initialMix(usable, objects, spread)
	} else {
		limit := b.shiftLimit(now - m.updatedAt)
		m.objects = m.objects.withoutGone(m.slots, kept, objects).towards(objects, limit)
		m.spread = m.spread.withoutGone(m.slots, kept, spread).towards(spread, limit)
	}
	m.slots, m.changed, m.updatedAt = slots, false, now
	m.objectWeights, m.spreadWeights = b.weights(service, m.objects, slots), b.weights(service, m.spread, slots)
}

// weights returns the distribution per slot, for all regions that have targets. It is
// above 0 also where no slot is usable, so that the targets there still rank, after all
// others, in an order that is the same at all instances.
func (b *Balancer) weights(service string, d distribution, slots map[string]float64) *regionWeights {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	w := &regionWeights{byRegion: make(map[string]float64, len(d)), uncounted: 1}
	uncounted, sum := distribution{}, 0.0
	for _, s := range b.services[service] {
		if _, ok := w.byRegion[s.Region]; !ok {
			w.byRegion[s.Region] = max(d[s.Region]/max(slots[s.Region], 1), minRegionWeight/max(total, 1))
		}
		if s.countedSlots == 0 {
			uncounted[s.Region] += float64(s.Slots) * w.byRegion[s.Region]
			sum += float64(s.Slots) * w.byRegion[s.Region]
		}
	}
	moved := 0.0
	for region := range w.byRegion {
		moved += max(uncounted[region]-sum*d[region], 0)
	}
	if limit := b.shiftLimit(shiftWindow); moved > limit {
		w.uncounted = limit / moved
	}
	return w
}

// shiftLimit returns the fraction of the requests that may move within a time.
func (b *Balancer) shiftLimit(d time.Duration) float64 {
	if b.maxShift <= 0 {
		return 1
	}
	return b.maxShift * shiftMargin * float64(d) / float64(shiftWindow)
}

// usableTargets returns the targets of a service that get requests and are neither
// ejected nor limited to a cold rate nor in a pause that countsAsPaused. If their slots
// are less than minUsableShare of the slots of all that get requests, it returns all
// these.
func (b *Balancer) usableTargets(m *regionMix, service string, now time.Duration) []*targetState {
	uncounted := b.shiftLimit(shiftWindow)
	var open, usable []*targetState
	openSlots, usableSlots := 0, 0
	for _, s := range b.services[service] {
		state := s.process.State(now)
		if state == availability.Leaving || b.closedZones[s.AvailabilityZone] {
			continue
		}
		open, openSlots = append(open, s), openSlots+s.Slots
		if !m.countsAsPaused(s, state, &uncounted) && !s.process.Ejected(now) && !(s.cold(now) && b.coldLimits[service].rate > 0) {
			usable, usableSlots = append(usable, s), usableSlots+s.Slots
		}
	}
	if float64(usableSlots) < minUsableShare*float64(openSlots) {
		return open
	}
	return usable
}

// countsAsPaused reports whether a target in the given state counts as not usable since
// it pauses. The requests of a short pause go to the next targets in rank and come back
// with its end, whatever their regions; shifting them back would take longer than the
// pause lasts. That goes as far as they are at most the fraction uncounted of all, from
// which they are taken.
func (m *regionMix) countsAsPaused(s *targetState, state availability.State, uncounted *float64) bool {
	if state != availability.Paused {
		s.pauseCounted = false
		return false
	}
	length, _ := s.process.LastPause()
	share := max(m.objects[s.Region], m.spread[s.Region]) * float64(s.Slots) / max(m.slots[s.Region], 1)
	if s.pauseCounted || length >= minCountedPause || share > *uncounted {
		s.pauseCounted = true
		return true
	}
	*uncounted -= share
	return false
}

// initialMix returns the distributions of a balancer that has just started, or of a
// service that is new to it. Other instances of the region may still be moving their
// requests to targets that started a short time ago. So it repeats what these do, as
// far as the ages of the targets show it.
func (b *Balancer) initialMix(usable []*targetState, objects, spread distribution) (distribution, distribution) {
	if b.maxShift <= 0 {
		return objects, spread
	}
	fullShift := time.Duration(float64(shiftWindow) / (b.maxShift * shiftMargin))
	usableFor := func(s *targetState) time.Duration { return max(s.Age-b.coldLimits[s.Service].duration, 0) }
	slots := map[string]float64{}
	settled, total := 0.0, 0.0
	var recent []*targetState
	for _, s := range usable {
		total += float64(s.Slots)
		if usableFor(s) < fullShift {
			recent = append(recent, s)
			continue
		}
		slots[s.Region] += float64(s.Slots)
		settled += float64(s.Slots)
	}
	if settled < minUsableShare*total || settled == 0 {
		return objects, spread
	}
	slices.SortFunc(recent, func(x, y *targetState) int { return int(usableFor(y) - usableFor(x)) })
	objectsThen, spreadThen := b.desiredForObjects(slots), desiredSpread(slots)
	for i, s := range recent {
		slots[s.Region] += float64(s.Slots)
		until := time.Duration(0)
		if i+1 < len(recent) {
			until = usableFor(recent[i+1])
		}
		if d := usableFor(s) - until; d > 0 {
			objectsThen = objectsThen.towards(b.desiredForObjects(slots), b.shiftLimit(d))
			spreadThen = spreadThen.towards(desiredSpread(slots), b.shiftLimit(d))
		}
	}
	return objectsThen, spreadThen
}

// desiredForObjects returns the distribution of requests with objects for the given
// slots by region, assuming that the callers of each region cause an equal share of the
// load. A region serves its own callers as far as its slots go. What it lacks is
// distributed over the regions with surplus slots, in proportion to the surplus. All
// targets then get the same load per slot with the least traffic between regions. Slots
// needed for requests that only certain regions may run (see Request.HomeRegions) are
// not counted.
func (b *Balancer) desiredForObjects(slots map[string]float64) distribution {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	free, freeTotal := map[string]float64{}, 0.0 // slots for requests without home regions
	for region, n := range slots {
		free[region] = n * max(1-b.homeRegionShares[region]*uncachedUtilization*total/max(n, 1), minFreeShare)
		freeTotal += free[region]
	}
	fairShare := freeTotal / float64(max(b.regionCount, 1))
	surplus := 0.0
	for _, n := range free {
		surplus += max(n-fairShare, 0)
	}
	deficit := max(fairShare-free[b.region], 0)
	assigned := make(distribution, len(free))
	for region, n := range free {
		assigned[region] = min(n, fairShare)
		if region != b.region {
			assigned[region] = deficit * max(n-fairShare, 0) / max(surplus, 1)
		}
		assigned[region] = max(assigned[region], minRegionWeight*n)
	}
	return assigned.normalized()
}

// desiredSpread returns the distribution in proportion to the slots.
func desiredSpread(slots map[string]float64) distribution {
	return distribution(maps.Clone(slots)).normalized()
}

// normalized scales the fractions to the sum 1.
func (d distribution) normalized() distribution {
	sum := 0.0
	for _, x := range d {
		sum += x
	}
	for region := range d {
		d[region] /= max(sum, math.SmallestNonzeroFloat64)
	}
	return d
}

// withoutGone takes the requests of slots that can no longer be used away from each
// region, and gives them to the regions that have less than desired. slots are those
// that were usable before and kept those that still are, by region.
func (d distribution) withoutGone(slots, kept map[string]float64, desired distribution) distribution {
	next := make(distribution, len(d))
	gone := 0.0
	for region, x := range d {
		next[region] = x * min(kept[region]/max(slots[region], 1), 1)
		gone += x - next[region]
	}
	if gone <= 0 {
		return next
	}
	lacking, sum := distribution{}, 0.0
	for region, x := range desired {
		lacking[region] = max(x-next[region], 0)
		sum += lacking[region]
	}
	for region, x := range lacking {
		next[region] += gone * x / max(sum, math.SmallestNonzeroFloat64)
	}
	return next
}

// towards moves at most the fraction limit of all requests between regions to approach
// the desired distribution.
func (d distribution) towards(desired distribution, limit float64) distribution {
	moving := 0.0
	for region, x := range desired {
		moving += max(x-d[region], 0)
	}
	if moving <= limit {
		return desired
	}
	next := maps.Clone(d)
	for region := range desired {
		next[region] = d[region]
	}
	for region, x := range next {
		next[region] = x + (desired[region]-x)*limit/moving
	}
	return next
}
