// Package seat divides what the instances of a fleet share, such as rate limits,
// connection slots and link bandwidth, into numbered seats. At any time at most
// one process may use a seat and the share of the resources that belongs to it.
//
// Each availability zone has a seat table in the platform's store, which assigns
// the zone's seats to processes. A process may use its seat only while its
// freshness evidence (see package freshness) is young enough to rule out that a
// newer table gives the seat to another process. The evidence is a moment up to
// which the process is known to have every change of the tables. A process that
// takes a seat over waits until its former holder's evidence must have become too
// old, unless the seat is clean, that is, no former holder can still be using it.
//
// A part of each seat, its reserve, is kept for the seat's own availability zone
// and may be used with older evidence, so that a zone that is cut off from the
// store can go on working for longer.
package seat

import "time"

// Seat is a seat that an instance holds, with its place in the fleet.
type Seat struct {
	// Clean says that nothing can remain of an earlier holder's use: the seat is
	// new, or all earlier holders stopped using it before they gave it back. In an
	// answer of Provider.Reserve it speaks of the reserve.
	Clean bool
	// Settled says that no instance divides by an earlier number of seats any
	// more: that of the fleet for Provider.Seat, that of the zone for
	// Provider.Reserve.
	Settled bool
	// AvailabilityZone is the zone that the seat belongs to.
	AvailabilityZone string
	// Index is that of the seat among those of its availability zone, from 0.
	Index int
	// ZoneSeats is the number of seats of the availability zone.
	ZoneSeats int
	// Number is that of the seat in the whole fleet, from 0.
	Number int
	// FleetSeats is the number of seats of the whole fleet.
	FleetSeats int
	// TableVersion is the version of the seat table that the answer is based on.
	TableVersion uint64
	// AssignedVersion is the version of the seat table that assigned the seat to
	// this process. If it changes, the process has lost the seat in between and
	// must not go on with what it had under the earlier assignment.
	AssignedVersion uint64
}

// Provider tells which seat an instance may use.
type Provider interface {
	// Seat returns the seat and true if this instance may use it now. It must be
	// called before each use: a process that was paused may have lost the seat.
	Seat(now time.Time) (Seat, bool)
	// Reserve returns the seat and true if this instance may use its reserve now,
	// which it may for longer than the seat while its zone is cut off.
	Reserve(now time.Time) (Seat, bool)
}
