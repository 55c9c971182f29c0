package config

import "maps"

// FleetGenerationKey is the key of Record.SeatGenerations for the whole fleet. The
// other keys are names of availability zones, which are never empty.
const FleetGenerationKey = ""

// NextSeatGenerations returns Record.SeatGenerations after the document before was
// replaced by after, given the generations up to then. The generation of a zone
// that is removed and defined again grows as well, even if it has as many seats as
// before.
func NextSeatGenerations(before, after *Document, generations map[string]int) map[string]int {
	next := maps.Clone(generations)
	if next == nil {
		next = map[string]int{}
	}
	old, oldTotal := seatCounts(before)
	now, total := seatCounts(after)
	for zone, seats := range old {
		if now[zone] != seats {
			next[zone]++
		}
	}
	if oldTotal > 0 && oldTotal != total {
		next[FleetGenerationKey]++
	}
	return next
}

// seatCounts returns the number of seats of each availability zone and of the fleet.
func seatCounts(doc *Document) (byZone map[string]int, total int) {
	byZone = map[string]int{}
	for _, z := range doc.AvailabilityZones {
		byZone[z.Name] = z.Seats()
		total += z.Seats()
	}
	return byZone, total
}
