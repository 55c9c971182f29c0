package entry

import (
	"fmt"
	"testing"

	"github.com/turmericfield/turmericfield/internal/seat"
)

// TestSeatConnectionShare checks that the shares of all seats add up to a target's
// limit, and that every seat can connect to some target even where there are more
// seats than connections to a target.
func TestSeatConnectionShare(t *testing.T) {
	for _, c := range []struct{ seats, limit, targets int }{{7, 400, 44}, {7, 330, 36}, {1600, 400, 300}} {
		for number := range c.seats {
			targets := 0
			for i := range c.targets {
				if SeatConnectionShare(fmt.Sprint(i), c.limit, seat.Seat{Number: number, FleetSeats: c.seats}) > 0 {
					targets++
				}
			}
			if targets == 0 {
				t.Errorf("%d seats: seat %d has no connection to any target", c.seats, number)
			}
		}
		for i := range c.targets {
			sum := 0
			for number := range c.seats {
				sum += SeatConnectionShare(fmt.Sprint(i), c.limit, seat.Seat{Number: number, FleetSeats: c.seats})
			}
			if sum != c.limit {
				t.Errorf("%d seats: shares of target %d add up to %d, want %d", c.seats, i, sum, c.limit)
			}
		}
	}
}
