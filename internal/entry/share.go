package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/seat"
)

// SeatConnectionShare returns how many connections to a target an instance may
// open. Each instance holds a seat, a numbered place in the fleet, and the
// maxConnections that the target allows are divided evenly among all seats: the
// shares add up to exactly this limit. If there are more seats than connections,
// some seats get none to this target. The hash of the target's name decides which
// ones, so that they differ from target to target.
func SeatConnectionShare(target string, maxConnections int, s seat.Seat) int {
	if s.FleetSeats <= 0 {
		return 0
	}
	offset := int(xxhash.Sum64String(target) % uint64(s.FleetSeats))
	rank := (s.Number + offset) % s.FleetSeats
	return (rank+1)*maxConnections/s.FleetSeats - rank*maxConnections/s.FleetSeats
}
