package server

import (
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// TestVacantZonesChangeOnlyAfterDelay lists a zone only after it has been empty for the whole time,
// and takes it off only after it has had an instance for as long.
func TestVacantZonesChangeOnlyAfterDelay(t *testing.T) {
	snapshot := config.Compile(1, &config.Document{AvailabilityZones: []config.AvailabilityZone{{Name: "a"}, {Name: "b"}}})
	v, now, live := vacancyTracker{}, time.Unix(0, 0), map[string]bool{"a": true, "b": true}
	for i, step := range []struct {
		after time.Duration
		bLive bool
		want  []string
	}{
		{0, true, nil},
		{time.Second, false, nil},
		{vacancyDelay - 1, false, nil},
		{1, true, nil},
		{time.Second, false, nil},
		{vacancyDelay, false, []string{"b"}},
		{time.Second, true, []string{"b"}},
		{vacancyDelay - 1, true, []string{"b"}},
		{1, true, nil},
	} {
		now = now.Add(step.after)
		live["b"] = step.bLive
		got := v.nextVacantZones(snapshot, func(zone string) bool { return live[zone] }, now)
		if !slices.Equal(got, step.want) {
			t.Fatalf("step %d: vacant %v, want %v", i, got, step.want)
		}
		snapshot.VacantZones = got
	}
}
