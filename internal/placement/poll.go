package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pollers is the number of instances that poll one target.
	pollersPerTarget = 2
	// pollPeriod is the time between two polls of a target by one instance.
	pollInterval = time.Second
	// returnPeriod is the time between two polls of a leaving target by each
	// instance that keeps off it.
	leavingPollInterval = 5 * time.Second
)

// DuePolls returns the targets that this instance has to poll now: its part of
// those of its own availability zone, and the leaving ones, whose return each
// instance finds out for itself. zoneInstances are the live instances of the
// zone.
func (p *Placer) DuePolls(self string, zoneInstances []string, now time.Time) []string {
	var due []string
	for name, t := range p.targets {
		period := leavingPollInterval
		if !t.leaving {
			period = pollInterval
		}
		mine := t.leaving || t.distance == distanceSameZone && isPoller(self, zoneInstances, name)
		if t.drained || !mine || now.Sub(t.lastPolled) < period {
			continue
		}
		t.lastPolled = now
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

// isPoller tells whether fewer than the wanted number of instances come before
// this one in the target's rendezvous order.
func isPoller(self string, instances []string, target string) bool {
	own, before := rendezvousWeight(self, target), 0
	for _, name := range instances {
		if h := rendezvousWeight(name, target); h > own || h == own && strings.Compare(name, self) > 0 {
			before++
		}
	}
	return before < pollersPerTarget
}

func rendezvousWeight(instance, target string) uint64 {
	return xxhash.Sum64String(instance + "/" + target)
}

// LeavingCount returns the number of targets that are known to be leaving.
func (p *Placer) LeavingCount() int {
	n := 0
	for _, t := range p.targets {
		if t.leaving {
			n++
		}
	}
	return n
}
