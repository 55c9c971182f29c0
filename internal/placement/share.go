package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// seatContinuity is the longest time between two observations of a right
	// within which it cannot have passed to another instance and back.
	maxObservationGap = time.Second
	// forever is longer than any bound.
	longerThanAnyWait = 24 * time.Hour
)

// position is the place of a seat in one layout of seats.
type seatPosition struct {
	seats  int // seats of the layout; 0 is no position
	number int // from 0
}

// right is one of the two rights to place: with the seats of the whole fleet,
// or with those of the own availability zone.
type entitlement struct {
	position      seatPosition
	tenure        uint64 // of the seat
	configVersion uint64 // version of the configuration at the last observation
	held          bool
	lastObserved  time.Time // last observation of the held right
	positionSince time.Time // when the present position was gained
	handover      handoverWait
	// previous is the position before since, if the right passed from it to the
	// present one without a gap.
	previousPosition seatPosition
	// previousAge is how long the previous position had been held.
	previousHeldFor time.Duration
}

// wait tells what a new position has to wait for.
type handoverWait int

const (
	waitNone        handoverWait = iota // nobody can have used the position
	waitPredecessor                     // requests of an earlier holder may be in flight
	waitLayout                          // others may still use another layout
)

// steady tells whether no share changes by the mere passing of time. settle is
// the longest of any pool.
func (r *entitlement) steady(maxHold, maxLayoutLag time.Duration, now time.Time) bool {
	return !r.held || r.handover == waitNone || now.Sub(r.positionSince) >= maxHold+maxLayoutLag
}

// observe records the answer of the holder under a version of the
// configuration. It tells whether any share may have changed.
func (r *entitlement) observe(p seatPosition, s seat.Seat, held bool, configVersion uint64, now time.Time) bool {
	changed := r.held != held
	r.held = held
	if !held {
		return changed
	}
	gapless := !r.lastObserved.IsZero() && r.tenure == s.AssignedVersion && (r.configVersion == configVersion || now.Sub(r.lastObserved) <= maxObservationGap)
	if !gapless || r.position != p {
		r.takePosition(p, s, gapless, configVersion, now)
		changed = true
	}
	r.tenure, r.configVersion, r.lastObserved = s.AssignedVersion, configVersion, now
	return changed
}

// gain begins the use of a position.
func (r *entitlement) takePosition(p seatPosition, s seat.Seat, gapless bool, configVersion uint64, now time.Time) {
	previous, heldFor := seatPosition{}, time.Duration(0)
	if gapless {
		previous, heldFor = r.position, now.Sub(r.positionSince)
		if r.handover == waitNone {
			heldFor = longerThanAnyWait
		}
	}
	switch {
	case !s.Settled && (configVersion > 1 || !r.lastObserved.IsZero()):
		r.handover = waitLayout
	case s.Clean:
		r.handover = waitNone
	default:
		r.handover = waitPredecessor
	}
	r.position, r.positionSince = p, now
	r.previousPosition, r.previousHeldFor = previous, heldFor
}

// share returns how many units of a pool may be in use by this instance.
//
// After a change of position the new share is used in full only when the
// requests of a predecessor have ended, which takes settle at most, and when no
// instance goes on with an earlier layout, which takes layoutBound. Until then
// the smaller of the previous and the new share is used: the sum over all
// instances is within the old layout as long as any instance keeps it, and
// within the new one afterwards.
func (r *entitlement) share(units int, offset uint64, maxHold, maxLayoutLag time.Duration, now time.Time) int {
	if !r.held {
		return 0
	}
	n := unitsOfSeat(units, offset, r.position)
	waitTime := maxHold
	if r.handover == waitLayout {
		waitTime += maxLayoutLag
	}
	if r.handover == waitNone || now.Sub(r.positionSince) >= waitTime {
		return n
	}
	// In one layout, another holder may use the former position by now. A
	// previous share that was not yet in full use carries nothing over.
	if r.previousPosition.seats == r.position.seats || r.previousHeldFor < maxHold+maxLayoutLag {
		return 0
	}
	return min(n, unitsOfSeat(units, offset, r.previousPosition))
}

// observeSeat asks for the rights to place now.
func (p *Placer) observeSeat(now time.Time) {
	if p.snapshot == nil {
		return
	}
	configVersion := p.snapshot.Version
	s, held := p.options.Seats.Seat(now)
	changed := p.fleetEntitlement.observe(seatPosition{s.FleetSeats, s.Number}, s, held, configVersion, now)
	s, held = p.options.Seats.Reserve(now)
	held = held && s.AvailabilityZone == p.options.AvailabilityZone
	changed = p.zoneEntitlement.observe(seatPosition{s.ZoneSeats, s.Index}, s, held, configVersion, now) || changed
	maxFleetLag, maxZoneLag := p.options.MaxFleetLayoutLag, p.options.MaxZoneLayoutLag
	sharesWillGrow := !p.fleetEntitlement.steady(p.maxHold, maxFleetLag, now) || !p.zoneEntitlement.steady(p.maxHold, maxZoneLag, now)
	if changed || sharesWillGrow || p.sharesWillGrow {
		p.shareVersion++
	}
	p.sharesWillGrow = sharesWillGrow
}

// Tick observes the right to place without placing anything. It is called
// often enough for the right to count as continuous.
func (p *Placer) Tick(now time.Time) { p.observeSeat(now) }

// pool is a budget that all instances share, in whole units.
type pool struct {
	units  int
	offset uint64 // seat that the first unit goes to; independent of units
	inUse  int    // units in use by this instance
	// settle is the longest time for which a unit stays in use.
	maxHold time.Duration
}

// set changes the size of a pool. Since the offset stays, a larger pool gives
// every seat at least as much as a smaller one; instances that know different
// sizes together stay within the larger.
func (b *pool) resize(units int, maxHold time.Duration) {
	b.units, b.maxHold = units, max(b.maxHold, maxHold)
}

func (b *pool) share(r *entitlement, maxLayoutLag time.Duration, now time.Time) int {
	return r.share(b.units, b.offset, b.maxHold, maxLayoutLag, now)
}

// dealt returns the units in [0, units) that go to a seat. Unit u goes to the
// seat with the number (offset + u) mod seats.
func unitsOfSeat(units int, offset uint64, p seatPosition) int {
	if p.seats <= 0 || p.number < 0 || p.number >= p.seats {
		return 0
	}
	first := (p.number - int(offset%uint64(p.seats)) + p.seats) % p.seats
	if first >= units {
		return 0
	}
	return (units-first-1)/p.seats + 1
}

// offsetOf returns the seat that the first unit of a pool goes to, so that the
// first units of the pools of a group are spread over the seats.
func poolOffset(group, name string) uint64 { return xxhash.Sum64String(group + "/" + name) }

var _ seat.Provider = (*StaticSeat)(nil)

// StaticSeat is a seat that is always held, for fleets that never change.
type StaticSeat seat.Seat

// Seat implements seat.Holder.
func (s *StaticSeat) Seat(time.Time) (seat.Seat, bool) { return seat.Seat(*s), true }

// Reserve implements seat.Holder.
func (s *StaticSeat) Reserve(time.Time) (seat.Seat, bool) { return seat.Seat(*s), true }
