package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/availability"
)

const (
	// pollersPerTarget is the number of instances that poll a target.
	pollersPerTarget = 2
	// pollInterval is the time between two polls of a target by one instance.
	pollInterval = time.Second
	// leavingPollInterval is the time between two polls of a leaving target by
	// each instance that sends it no work.
	leavingPollInterval = 5 * time.Second
)

// DuePolls returns the names of the targets that this instance has to poll now
// for their load and state, and takes them as polled. Those are its part of the
// targets in its own availability zone, and all leaving targets, since every
// instance finds out for itself that a target stops leaving. A target is not polled
// during a pause that it asked this instance for. self is the name of
// this instance, zoneInstances those of the live instances of its zone.
func (p *Placer) DuePolls(self string, zoneInstances []string, now time.Time) []string {
	var due []string
	for name, t := range p.targets {
		period := leavingPollInterval
		leaving := t.leaving(now)
		if !leaving {
			period = pollInterval
		}
		mine := leaving || t.distance == distanceSameZone && isPoller(self, zoneInstances, name)
		if t.drained || !mine || t.pauseLeft(now) > 0 || now.Sub(t.lastPolled) < period {
			continue
		}
		t.lastPolled = now
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

// isPoller reports whether this instance is among the pollersPerTarget instances
// with the highest weights for a target (rendezvous hashing).
func isPoller(self string, instances []string, target string) bool {
	own, before := rendezvousWeight(self, target), 0
	for _, name := range instances {
		if h := rendezvousWeight(name, target); h > own || h == own && strings.Compare(name, self) > 0 {
			before++
		}
	}
	return before < pollersPerTarget
}

// rendezvousWeight returns the weight of an instance for polling a target.
func rendezvousWeight(instance, target string) uint64 {
	return xxhash.Sum64String(instance + "/" + target)
}

// AvailabilityCount returns the number of targets in a state, such as those that leave
// or pause.
func (p *Placer) AvailabilityCount(state availability.State, now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if t.availability(now) == state {
			n++
		}
	}
	return n
}
