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

	table             Table
	asOf              time.Time // all tables accepted before are known
	index             int       // own seat, or -1
	assignedVersion   uint64    // version of the table that gave it
	usableFrom        time.Time
	reserveUsableFrom time.Time
	stopped           bool
}

// NewTracker returns a keeper without a seat.
func NewTracker(p Process, zone string, b Bounds) *Tracker {
	return &Tracker{process: p, zone: zone, bounds: b, index: -1}
}

// SetLayout takes over the number of seats of a configuration.
func (tr *Tracker) SetLayout(l Layout) { tr.layout = l }

// Process returns the process that the keeper speaks for.
func (tr *Tracker) Process() Process { return tr.process }

// Table returns the newest table that is known.
func (tr *Tracker) Table() Table { return tr.table }

// AsOf returns the moment up to which every accepted table is known; zero if
// there is no evidence.
func (tr *Tracker) AsOf() time.Time { return tr.asOf }

// Adopt takes over a table unless a newer one is known.
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
	// A seat that was lost and given back unseen is a new one.
	if index != tr.index || assignedVersion != tr.assignedVersion {
		tr.index, tr.assignedVersion = index, assignedVersion
		tr.setUsableFrom(now)
	}
	return true
}

// startWaiting sets when a new seat may be used: at once if nobody else can be
// using it, otherwise when its former holder has surely stopped.
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

// Observe records that no table newer than the given version was accepted
// before asOf. It is ignored unless that version is known here.
func (tr *Tracker) Observe(asOf time.Time, version uint64) {
	if tr.table.Version >= version && asOf.After(tr.asOf) {
		tr.asOf = asOf
	}
}

// Seat implements Holder.
func (tr *Tracker) Seat(now time.Time) (Seat, bool) {
	s, ok := tr.usableSeat(now, tr.usableFrom, tr.bounds.MaxAge)
	s.Clean = ok && tr.table.Entries[tr.index].Clean
	s.Settled = ok && tr.table.SettledFleet == tr.layout.FleetGeneration
	return s, ok
}

// Reserve implements Holder.
func (tr *Tracker) Reserve(now time.Time) (Seat, bool) {
	s, ok := tr.usableSeat(now, tr.reserveUsableFrom, tr.bounds.ReserveMaxAge)
	s.Clean = ok && tr.table.Entries[tr.index].ReserveClean
	s.Settled = ok && tr.table.SettledZone == tr.layout.ZoneGeneration
	return s, ok
}

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

// Stop ends the use of the seat for good and returns what the writer has to
// know. A seat whose former holder may still be using it is not clean.
func (tr *Tracker) Stop(now time.Time) Release {
	tr.stopped = true
	return Release{
		Process:      tr.process,
		Clean:        tr.index >= 0 && !now.Before(tr.usableFrom),
		ReserveClean: tr.index >= 0 && !now.Before(tr.reserveUsableFrom),
	}
}

// Stopped tells whether the use of the seat has ended for good.
func (tr *Tracker) Stopped() bool { return tr.stopped }

// HasSeat tells whether the newest known table gives a seat to this process.
func (tr *Tracker) HasSeat() bool { return tr.index >= 0 }
