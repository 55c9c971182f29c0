// Package seat divides what the instances share, such as rates, slots and
// links, into seats. An instance uses the share of the seat that it holds. The
// seat tables live in the platform's store; an instance's right to its seat
// lasts only while its freshness evidence is young enough.
package seat

import "time"

// Seat is one share of a fleet's capacity.
type Seat struct {
	// Clean says that nobody else has ever used what this answer permits.
	Clean bool
	// Settled says that nobody uses a share of another number of seats any more:
	// of the fleet's for Holder.Seat, of the zone's for Holder.Reserve.
	Settled bool
	// AvailabilityZone that the seat belongs to.
	AvailabilityZone string
	// Index of the seat among those of its availability zone, from 0.
	Index int
	// ZoneSeats is the number of seats of the availability zone.
	ZoneSeats int
	// Number of the seat in the whole fleet, from 0.
	Number int
	// FleetSeats is the number of seats of the whole fleet.
	FleetSeats int
	// TableVersion of the seat table.
	TableVersion uint64
	// AssignedVersion is the version of the table that gave the seat to its holder. A
	// holder with a new tenure takes nothing over from an earlier one.
	AssignedVersion uint64
}

// Provider tells which seat an instance holds.
type Provider interface {
	// Seat returns the seat if this instance may use it now. The answer must be
	// asked for at each use: a paused process wakes up without the right.
	Seat(now time.Time) (Seat, bool)
	// Reserve returns the seat if this instance may use the part of it that is
	// kept for its own availability zone while that is cut off.
	Reserve(now time.Time) (Seat, bool)
}
