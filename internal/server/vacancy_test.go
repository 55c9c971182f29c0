package server

import (
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// A zone is listed as vacant only after it has had no live instance for the whole
// delay, and is taken off the list only after it has had one for as long. A shorter
// interruption starts the delay again.
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
