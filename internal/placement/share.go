package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// maxObservationGap is the longest time between two observations of a held
	// seat within which the seat cannot have passed to another instance and back.
	maxObservationGap = time.Second
	// longerThanAnyWait is longer than any wait for a share.
	longerThanAnyWait = 24 * time.Hour
)

// seatPosition is the number of a seat among all seats that a pool is divided
// over. A layout is one such number of seats.
type seatPosition struct {
	seats  int // in the layout; 0 means that there is no position
	number int // from 0
}

// entitlement tracks which seat an instance holds and since when, and from that
// computes the instance's shares of pools. An instance has two entitlements: one for
// the seats of the whole fleet, and one for the seats of its own availability zone,
// which remain usable while the zone is cut off from the others.
type entitlement struct {
	position        seatPosition
	assignedVersion uint64 // seat.Seat.AssignedVersion at the last observation
	configVersion   uint64 // at the last observation
	held            bool
	lastObserved    time.Time // last time that the seat was seen to be held; zero before the first
	positionSince   time.Time // when the instance got the present position
	handover        handoverWait
	// previousPosition is the position before positionSince, or zero if the
	// instance may have lost the seat in between.
	previousPosition seatPosition
	// previousHeldFor is how long the instance had held previousPosition, or
	// longerThanAnyWait if it did not have to wait for its share.
	previousHeldFor time.Duration
}

// handoverWait is what an instance has to wait for before it uses its full share
// at a new position.
type handoverWait int

const (
	waitNone        handoverWait = iota // nobody can have used the units before
	waitPredecessor                     // requests of the seat's previous holder may be in flight
	waitLayout                          // other instances may still use another layout
)

// steady reports whether shares stay as they are until the next change of the
// seat or the configuration, because the waits of all pools have ended. maxHold is
// the longest time for which one request may keep a unit of any pool in use.
func (e *entitlement) steady(maxHold, maxLayoutLag time.Duration, now time.Time) bool {
	return !e.held || e.handover == waitNone || now.Sub(e.positionSince) >= maxHold+maxLayoutLag
}

// observe records what the seat.Provider answers now: the seat s, at position p,
// and whether it is held. It reports whether any share may have changed.
//
// The instance counts as having held the seat without a gap if AssignedVersion
// is the same and if, since the last observation, either the configuration has not
// changed or no more than maxObservationGap has passed.
func (e *entitlement) observe(p seatPosition, s seat.Seat, held bool, configVersion uint64, now time.Time) bool {
	changed := e.held != held
	e.held = held
	if !held {
		return changed
	}
	gapless := !e.lastObserved.IsZero() && e.assignedVersion == s.AssignedVersion && (e.configVersion == configVersion || now.Sub(e.lastObserved) <= maxObservationGap)
	if !gapless || e.position != p {
		e.takePosition(p, s, gapless, configVersion, now)
		changed = true
	}
	e.assignedVersion, e.configVersion, e.lastObserved = s.AssignedVersion, configVersion, now
	return changed
}

// takePosition makes p the present position and decides what to wait for. gapless
// says that the seat has been held since the last observation.
func (e *entitlement) takePosition(p seatPosition, s seat.Seat, gapless bool, configVersion uint64, now time.Time) {
	previous, heldFor := seatPosition{}, time.Duration(0)
	if gapless {
		previous, heldFor = e.position, now.Sub(e.positionSince)
		if e.handover == waitNone {
			heldFor = longerThanAnyWait
		}
	}
	// An instance that starts under the first version of the configuration has no
	// earlier layout to wait for.
	switch {
	case !s.Settled && (configVersion > 1 || !e.lastObserved.IsZero()):
		e.handover = waitLayout
	case s.Clean:
		e.handover = waitNone
	default:
		e.handover = waitPredecessor
	}
	e.position, e.positionSince = p, now
	e.previousPosition, e.previousHeldFor = previous, heldFor
}

// share returns how many units of a pool this instance may have in use.
//
// After a change of position, the instance uses its new share in full only once
// the requests of the seat's previous holder have ended, which takes at most
// maxHold, and, under a new layout, once no instance uses an earlier one, which
// takes at most maxLayoutLag. Until then it uses the smaller of its previous and
// its new share. So the sum over all instances is within the old layout as long
// as any instance uses that, and within the new one afterwards.
func (e *entitlement) share(units int, offset uint64, maxHold, maxLayoutLag time.Duration, now time.Time) int {
	if !e.held {
		return 0
	}
	n := unitsOfSeat(units, offset, e.position)
	waitTime := maxHold
	if e.handover == waitLayout {
		waitTime += maxLayoutLag
	}
	if e.handover == waitNone || now.Sub(e.positionSince) >= waitTime {
		return n
	}
	// Within one layout, another instance may hold the previous position by now.
	// A previous share that the instance still had to wait for was not usable, so
	// there is nothing to carry over from it.
	if e.previousPosition.seats == e.position.seats || e.previousHeldFor < maxHold+maxLayoutLag {
		return 0
	}
	return min(n, unitsOfSeat(units, offset, e.previousPosition))
}

// observeSeat asks the seat.Provider which seats are held now and marks cached
// shares as outdated if they may have changed.
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

// Tick observes the seat. The caller does so at intervals below
// maxObservationGap, so that the seat counts as held without a gap while no
// requests come in.
func (p *Placer) Tick(now time.Time) { p.observeSeat(now) }

// pool is a limit that all instances together must keep, in whole units: slots,
// requests or linkUnitBytes.
type pool struct {
	units  int
	offset uint64 // number of the seat that the first unit goes to, before the modulo by seats
	inUse  int    // by this instance
	// maxHold is the longest time for which one request keeps a unit in use.
	maxHold time.Duration
}

// resize changes the number of units. Since the offset stays, a larger pool gives
// every seat at least as many units as a smaller one. So instances that know
// different sizes together stay within the larger one.
func (p *pool) resize(units int, maxHold time.Duration) {
	p.units, p.maxHold = units, max(p.maxHold, maxHold)
}

// share returns how many units of the pool this instance may have in use.
func (p *pool) share(e *entitlement, maxLayoutLag time.Duration, now time.Time) int {
	return e.share(p.units, p.offset, p.maxHold, maxLayoutLag, now)
}

// unitsOfSeat returns how many units of a pool belong to the seat at position p.
// Unit u, from 0, belongs to the seat with the number (offset + u) mod p.seats.
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

// poolOffset returns the offset of a pool. It is a hash, so that the pools of a
// group don't all favour the same seats with the units that are left over.
func poolOffset(group, name string) uint64 { return xxhash.Sum64String(group + "/" + name) }

var _ seat.Provider = (*StaticSeat)(nil)

// StaticSeat is a seat that is always held, for fleets of fixed size such as in
// tests.
type StaticSeat seat.Seat

// Seat implements seat.Provider.
func (s *StaticSeat) Seat(time.Time) (seat.Seat, bool) { return seat.Seat(*s), true }

// Reserve implements seat.Provider.
func (s *StaticSeat) Reserve(time.Time) (seat.Seat, bool) { return seat.Seat(*s), true }
