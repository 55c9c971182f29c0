package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/seat"
)

// SeatConnectionShare returns how many of a target's connections the holder of a
// seat may open. The shares of all seats add up to the target's limit. Where
// there are more seats than connections, some seats have none to this target;
// which ones differs from target to target.
func SeatConnectionShare(target string, maxConnections int, s seat.Seat) int {
	if s.FleetSeats <= 0 {
		return 0
	}
	offset := int(xxhash.Sum64String(target) % uint64(s.FleetSeats))
	rank := (s.Number + offset) % s.FleetSeats
	return (rank+1)*maxConnections/s.FleetSeats - rank*maxConnections/s.FleetSeats
}
