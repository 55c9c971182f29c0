package config

import "maps"

// FleetGenerationKey is the key of the whole fleet in Record.SeatGenerations.
const FleetGenerationKey = ""

// NextSeatGenerations returns the generations of a document that follows
// another one. A zone that is removed and defined again is in a new generation.
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

func seatCounts(doc *Document) (byZone map[string]int, total int) {
	byZone = map[string]int{}
	for _, z := range doc.AvailabilityZones {
		byZone[z.Name] = z.Seats()
		total += z.Seats()
	}
	return byZone, total
}
