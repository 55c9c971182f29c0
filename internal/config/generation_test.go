package config

import (
	"maps"
	"testing"
)

// documentWithSeats returns a document with the given number of seats in each zone.
func documentWithSeats(seats map[string]int) *Document {
	doc := &Document{}
	for name, n := range seats {
		doc.AvailabilityZones = append(doc.AvailabilityZones, AvailabilityZone{Name: name, Instances: n})
	}
	return doc
}

// Each change of the number of seats must count as a new generation, also the
// change back to a former number and the removal of a zone.
func TestSeatGenerations(t *testing.T) {
	steps := []struct{ seats, want map[string]int }{
		{map[string]int{"a": 1, "b": 2}, map[string]int{}},
		{map[string]int{"a": 1, "b": 2}, map[string]int{}},
		{map[string]int{"a": 2, "b": 1}, map[string]int{"a": 1, "b": 1}},
		{map[string]int{"a": 1, "b": 1}, map[string]int{"a": 2, "b": 1, FleetGenerationKey: 1}},
		{map[string]int{"a": 1}, map[string]int{"a": 2, "b": 2, FleetGenerationKey: 2}},
		{map[string]int{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 2, "b": 2, FleetGenerationKey: 3}},
	}
	before, got := &Document{}, map[string]int(nil)
	for i, s := range steps {
		after := documentWithSeats(s.seats)
		got = NextSeatGenerations(before, after, got)
		if !maps.Equal(got, s.want) {
			t.Fatalf("step %d: generations %v, want %v", i, got, s.want)
		}
		before = after
	}
}
