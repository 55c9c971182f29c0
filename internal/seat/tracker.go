package seat

import "time"

// Bounds limit the age of the freshness evidence under which a seat may be used.
// Freshness evidence is a moment up to which a process is known to have every change
// of the seat tables (see package freshness); its age is the time since then. All
// instances of a fleet have the same bounds.
type Bounds struct {
	// MaxAge is the largest age of the evidence at each use of the seat.
	MaxAge time.Duration
	// ReserveMaxAge is the largest age of the evidence at each use of the reserve.
	ReserveMaxAge time.Duration
	// TakeoverMargin is how long a new holder waits beyond the former holder's
	// bound. It covers the drift of clocks and the effects of messages that the
	// former holder sent last.
	TakeoverMargin time.Duration
}

// Layout is the place of one zone's seats among all seats of the fleet.
type Layout struct {
	ZoneSeats, FleetSeats int
	// FirstNumber is the fleet-wide number of the zone's first seat.
	FirstNumber int
	// ZoneGeneration and FleetGeneration count the changes of ZoneSeats and of
	// FleetSeats.
	ZoneGeneration, FleetGeneration int
}

// Tracker is the Provider of one process. It derives the seat from the tables that
// the process has adopted and from its freshness evidence. It is not safe for
// concurrent use.
type Tracker struct {
	process Process
	zone    string
	bounds  Bounds
	layout  Layout

	table             Table
	asOf              time.Time // every table accepted before this moment is known
	index             int       // of this process's seat, or -1
	assignedVersion   uint64    // version of the table that assigned the seat
	usableFrom        time.Time // when a former holder has surely stopped using the seat
	reserveUsableFrom time.Time // the same for the reserve
	stopped           bool
}

// NewTracker returns a tracker of a process that has no seat yet.
func NewTracker(p Process, zone string, b Bounds) *Tracker {
	return &Tracker{process: p, zone: zone, bounds: b, index: -1}
}

// SetLayout records the layout of seats in the configuration in force.
func (tr *Tracker) SetLayout(l Layout) { tr.layout = l }

// Process returns the process whose seat is tracked.
func (tr *Tracker) Process() Process { return tr.process }

// Table returns the newest table that is known.
func (tr *Tracker) Table() Table { return tr.table }

// AsOf returns the moment up to which every accepted table is known. It is zero
// if there is no evidence.
func (tr *Tracker) AsOf() time.Time { return tr.asOf }

// Adopt records a table and tells whether it is newer than the one known before.
func (tr *Tracker) Adopt(t Table, now time.Time) bool {
	if t.Version <= tr.table.Version {
		return false
	}
	tr.table = t
	index := t.Index(tr.process)
	var assignedVersion uint64
	if index >= 0 {
		assignedVersion = t.Entries[index].AssignedVersion
	}
	// A changed assignment version shows that the seat was lost and assigned again
	// in tables that this process never saw, so it counts as a new seat.
	if index != tr.index || assignedVersion != tr.assignedVersion {
		tr.index, tr.assignedVersion = index, assignedVersion
		tr.setUsableFrom(now)
	}
	return true
}

// setUsableFrom sets when a newly assigned seat and its reserve may be used: at
// once if nobody else can be using them, otherwise when the evidence of a former
// holder must have become too old.
func (tr *Tracker) setUsableFrom(now time.Time) {
	if tr.index < 0 {
		return
	}
	tr.usableFrom, tr.reserveUsableFrom = now, now
	if e := tr.table.Entries[tr.index]; !e.Clean {
		tr.usableFrom = now.Add(tr.bounds.MaxAge + tr.bounds.TakeoverMargin)
	}
	if e := tr.table.Entries[tr.index]; !e.ReserveClean {
		tr.reserveUsableFrom = now.Add(tr.bounds.ReserveMaxAge + tr.bounds.TakeoverMargin)
	}
}

// Observe records freshness evidence: no table newer than the given version was
// accepted before asOf. It is ignored if the known table is older than that.
func (tr *Tracker) Observe(asOf time.Time, version uint64) {
	if tr.table.Version >= version && asOf.After(tr.asOf) {
		tr.asOf = asOf
	}
}

// Seat implements Provider.
func (tr *Tracker) Seat(now time.Time) (Seat, bool) {
	s, ok := tr.usableSeat(now, tr.usableFrom, tr.bounds.MaxAge)
	s.Clean = ok && tr.table.Entries[tr.index].Clean
	s.Settled = ok && tr.table.SettledFleet == tr.layout.FleetGeneration
	return s, ok
}

// Reserve implements Provider.
func (tr *Tracker) Reserve(now time.Time) (Seat, bool) {
	s, ok := tr.usableSeat(now, tr.reserveUsableFrom, tr.bounds.ReserveMaxAge)
	s.Clean = ok && tr.table.Entries[tr.index].ReserveClean
	s.Settled = ok && tr.table.SettledZone == tr.layout.ZoneGeneration
	return s, ok
}

// usableSeat returns the seat if it may be used now, given the moment from which
// it is usable and the largest age of the evidence.
func (tr *Tracker) usableSeat(now, usableFrom time.Time, maxAge time.Duration) (Seat, bool) {
	if tr.index < 0 || tr.index >= tr.layout.ZoneSeats || tr.stopped || tr.asOf.IsZero() {
		return Seat{}, false
	}
	if now.Before(usableFrom) || now.Sub(tr.asOf) > maxAge {
		return Seat{}, false
	}
	return Seat{
		AvailabilityZone: tr.zone, Index: tr.index, ZoneSeats: tr.layout.ZoneSeats,
		Number: tr.layout.FirstNumber + tr.index, FleetSeats: tr.layout.FleetSeats,
		TableVersion: tr.table.Version, AssignedVersion: tr.assignedVersion,
	}, true
}

// Stop ends the use of the seat for good and returns the release to send to a
// writer of the seat table. The release of a seat that this process itself still
// had to wait for is not clean, because its former holder may be using it.
func (tr *Tracker) Stop(now time.Time) Release {
	tr.stopped = true
	return Release{
		Process:      tr.process,
		Clean:        tr.index >= 0 && !now.Before(tr.usableFrom),
		ReserveClean: tr.index >= 0 && !now.Before(tr.reserveUsableFrom),
	}
}

// Stopped tells whether Stop was called.
func (tr *Tracker) Stopped() bool { return tr.stopped }

// HasSeat tells whether the newest known table assigns a seat to this process. The
// process may not be allowed to use it yet, or any more.
func (tr *Tracker) HasSeat() bool { return tr.index >= 0 }
