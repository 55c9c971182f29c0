package seat

import "time"

// Bounds limit how long a seat may be used without news of its table. All
// instances of a fleet have the same bounds.
type Bounds struct {
	// MaxAge bounds the age of the evidence at each use of the seat.
	MaxAge time.Duration
	// ReserveMaxAge bounds the age of the evidence at each use of the reserve.
	ReserveMaxAge time.Duration
	// TakeoverMargin is added by a successor for the drift of clocks and for messages
	// that the former holder sent last.
	TakeoverMargin time.Duration
}

// Layout places a zone's seats among those of the fleet.
type Layout struct {
	ZoneSeats, FleetSeats int
	// FirstNumber is the fleet-wide number of the zone's first seat.
	FirstNumber int
	// ZoneGeneration and FleetGeneration count the changes of both numbers.
	ZoneGeneration, FleetGeneration int
}

// Tracker is the Holder of one process. It is not safe for concurrent use.
type Tracker struct {
	process Process
	zone    string
	bounds  Bounds
	layout  Layout

	table       Table
	asOf        time.Time // all tables accepted before are known
	index       int       // own seat, or -1
	since       uint64    // version of the table that gave it
	usable      time.Time
	reserveFrom time.Time
	stopped     bool
}

// NewTracker returns a keeper without a seat.
func NewTracker(p Process, zone string, b Bounds) *Tracker {
	return &Tracker{process: p, zone: zone, bounds: b, index: -1}
}

// SetLayout takes over the number of seats of a configuration.
func (k *Tracker) SetLayout(l Layout) { k.layout = l }

// Process returns the process that the keeper speaks for.
func (k *Tracker) Process() Process { return k.process }

// Table returns the newest table that is known.
func (k *Tracker) Table() Table { return k.table }

// AsOf returns the moment up to which every accepted table is known; zero if
// there is no evidence.
func (k *Tracker) AsOf() time.Time { return k.asOf }

// Adopt takes over a table unless a newer one is known.
func (k *Tracker) Adopt(t Table, now time.Time) bool {
	if t.Version <= k.table.Version {
		return false
	}
	k.table = t
	index := t.Index(k.process)
	var since uint64
	if index >= 0 {
		since = t.Entries[index].AssignedVersion
	}
	// A seat that was lost and given back unseen is a new one.
	if index != k.index || since != k.since {
		k.index, k.since = index, since
		k.startWaiting(now)
	}
	return true
}

// startWaiting sets when a new seat may be used: at once if nobody else can be
// using it, otherwise when its former holder has surely stopped.
func (k *Tracker) startWaiting(now time.Time) {
	if k.index < 0 {
		return
	}
	k.usable, k.reserveFrom = now, now
	if e := k.table.Entries[k.index]; !e.Clean {
		k.usable = now.Add(k.bounds.MaxAge + k.bounds.TakeoverMargin)
	}
	if e := k.table.Entries[k.index]; !e.ReserveClean {
		k.reserveFrom = now.Add(k.bounds.ReserveMaxAge + k.bounds.TakeoverMargin)
	}
}

// Observe records that no table newer than the given version was accepted
// before asOf. It is ignored unless that version is known here.
func (k *Tracker) Observe(asOf time.Time, version uint64) {
	if k.table.Version >= version && asOf.After(k.asOf) {
		k.asOf = asOf
	}
}

// Seat implements Holder.
func (k *Tracker) Seat(now time.Time) (Seat, bool) {
	s, ok := k.use(now, k.usable, k.bounds.MaxAge)
	s.Clean = ok && k.table.Entries[k.index].Clean
	s.Settled = ok && k.table.SettledFleet == k.layout.FleetGeneration
	return s, ok
}

// Reserve implements Holder.
func (k *Tracker) Reserve(now time.Time) (Seat, bool) {
	s, ok := k.use(now, k.reserveFrom, k.bounds.ReserveMaxAge)
	s.Clean = ok && k.table.Entries[k.index].ReserveClean
	s.Settled = ok && k.table.SettledZone == k.layout.ZoneGeneration
	return s, ok
}

func (k *Tracker) use(now, from time.Time, bound time.Duration) (Seat, bool) {
	if k.index < 0 || k.index >= k.layout.ZoneSeats || k.stopped || k.asOf.IsZero() {
		return Seat{}, false
	}
	if now.Before(from) || now.Sub(k.asOf) > bound {
		return Seat{}, false
	}
	return Seat{
		AvailabilityZone: k.zone, Index: k.index, ZoneSeats: k.layout.ZoneSeats,
		Number: k.layout.FirstNumber + k.index, FleetSeats: k.layout.FleetSeats,
		TableVersion: k.table.Version, AssignedVersion: k.since,
	}, true
}

// Stop ends the use of the seat for good and returns what the writer has to
// know. A seat whose former holder may still be using it is not clean.
func (k *Tracker) Stop(now time.Time) Release {
	k.stopped = true
	return Release{
		Process:      k.process,
		Clean:        k.index >= 0 && !now.Before(k.usable),
		ReserveClean: k.index >= 0 && !now.Before(k.reserveFrom),
	}
}

// Stopped tells whether the use of the seat has ended for good.
func (k *Tracker) Stopped() bool { return k.stopped }

// HasSeat tells whether the newest known table gives a seat to this process.
func (k *Tracker) HasSeat() bool { return k.index >= 0 }
