package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// seatContinuity is the longest time between two observations of a right
	// within which it cannot have passed to another instance and back.
	seatContinuity = time.Second
	// forever is longer than any bound.
	forever = 24 * time.Hour
)

// position is the place of a seat in one layout of seats.
type position struct {
	seats  int // seats of the layout; 0 is no position
	number int // from 0
}

// right is one of the two rights to place: with the seats of the whole fleet,
// or with those of the own availability zone.
type right struct {
	position position
	tenure   uint64 // of the seat
	config   uint64 // version of the configuration at the last observation
	held     bool
	last     time.Time // last observation of the held right
	since    time.Time // when the present position was gained
	wait     wait
	// previous is the position before since, if the right passed from it to the
	// present one without a gap.
	previous position
	// previousAge is how long the previous position had been held.
	previousAge time.Duration
}

// wait tells what a new position has to wait for.
type wait int

const (
	waitNothing     wait = iota // nobody can have used the position
	waitPredecessor             // requests of an earlier holder may be in flight
	waitLayout                  // others may still use another layout
)

// steady tells whether no share changes by the mere passing of time. settle is
// the longest of any pool.
func (r *right) steady(settle, layoutBound time.Duration, now time.Time) bool {
	return !r.held || r.wait == waitNothing || now.Sub(r.since) >= settle+layoutBound
}

// observe records the answer of the holder under a version of the
// configuration. It tells whether any share may have changed.
func (r *right) observe(p position, s seat.Seat, held bool, config uint64, now time.Time) bool {
	changed := r.held != held
	r.held = held
	if !held {
		return changed
	}
	gapless := !r.last.IsZero() && r.tenure == s.AssignedVersion && (r.config == config || now.Sub(r.last) <= seatContinuity)
	if !gapless || r.position != p {
		r.gain(p, s, gapless, config, now)
		changed = true
	}
	r.tenure, r.config, r.last = s.AssignedVersion, config, now
	return changed
}

// gain begins the use of a position.
func (r *right) gain(p position, s seat.Seat, gapless bool, config uint64, now time.Time) {
	previous, age := position{}, time.Duration(0)
	if gapless {
		previous, age = r.position, now.Sub(r.since)
		if r.wait == waitNothing {
			age = forever
		}
	}
	switch {
	case !s.Settled && (config > 1 || !r.last.IsZero()):
		r.wait = waitLayout
	case s.Clean:
		r.wait = waitNothing
	default:
		r.wait = waitPredecessor
	}
	r.position, r.since = p, now
	r.previous, r.previousAge = previous, age
}

// share returns how many units of a pool may be in use by this instance.
//
// After a change of position the new share is used in full only when the
// requests of a predecessor have ended, which takes settle at most, and when no
// instance goes on with an earlier layout, which takes layoutBound. Until then
// the smaller of the previous and the new share is used: the sum over all
// instances is within the old layout as long as any instance keeps it, and
// within the new one afterwards.
func (r *right) share(units int, offset uint64, settle, layoutBound time.Duration, now time.Time) int {
	if !r.held {
		return 0
	}
	n := dealt(units, offset, r.position)
	end := settle
	if r.wait == waitLayout {
		end += layoutBound
	}
	if r.wait == waitNothing || now.Sub(r.since) >= end {
		return n
	}
	// In one layout, another holder may use the former position by now. A
	// previous share that was not yet in full use carries nothing over.
	if r.previous.seats == r.position.seats || r.previousAge < settle+layoutBound {
		return 0
	}
	return min(n, dealt(units, offset, r.previous))
}

// observeSeat asks for the rights to place now.
func (p *Placer) observeSeat(now time.Time) {
	if p.snapshot == nil {
		return
	}
	config := p.snapshot.Version
	s, held := p.options.Seats.Seat(now)
	changed := p.fleet.observe(position{s.FleetSeats, s.Number}, s, held, config, now)
	s, held = p.options.Seats.Reserve(now)
	held = held && s.AvailabilityZone == p.options.AvailabilityZone
	changed = p.zone.observe(position{s.ZoneSeats, s.Index}, s, held, config, now) || changed
	fleet, zone := p.options.LayoutBound, p.options.ReserveBound
	waiting := !p.fleet.steady(p.settle, fleet, now) || !p.zone.steady(p.settle, zone, now)
	if changed || waiting || p.waiting {
		p.shares++
	}
	p.waiting = waiting
}

// Tick observes the right to place without placing anything. It is called
// often enough for the right to count as continuous.
func (p *Placer) Tick(now time.Time) { p.observeSeat(now) }

// pool is a budget that all instances share, in whole units.
type pool struct {
	units  int
	offset uint64 // seat that the first unit goes to; independent of units
	used   int    // units in use by this instance
	// settle is the longest time for which a unit stays in use.
	settle time.Duration
}

// set changes the size of a pool. Since the offset stays, a larger pool gives
// every seat at least as much as a smaller one; instances that know different
// sizes together stay within the larger.
func (b *pool) set(units int, settle time.Duration) {
	b.units, b.settle = units, max(b.settle, settle)
}

func (b *pool) share(r *right, layoutBound time.Duration, now time.Time) int {
	return r.share(b.units, b.offset, b.settle, layoutBound, now)
}

// dealt returns the units in [0, units) that go to a seat. Unit u goes to the
// seat with the number (offset + u) mod seats.
func dealt(units int, offset uint64, p position) int {
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
func offsetOf(group, name string) uint64 { return xxhash.Sum64String(group + "/" + name) }

var _ seat.Provider = (*StaticSeat)(nil)

// StaticSeat is a seat that is always held, for fleets that never change.
type StaticSeat seat.Seat

// Seat implements seat.Provider.
func (s *StaticSeat) Seat(time.Time) (seat.Seat, bool) { return seat.Seat(*s), true }

// Reserve implements seat.Provider.
func (s *StaticSeat) Reserve(time.Time) (seat.Seat, bool) { return seat.Seat(*s), true }
