package fleettest

import (
	"testing"
	"time"
)

const (
	// maxBytesPerSecond is what an instance may send for membership and
	// dissemination.
	maxBytesPerSecond = 5000
	// maxEvidenceAge leaves a margin of one second below the bound.
	maxEvidenceAge  = KeyFreshness - time.Second
	budgetFleetSize = 400 // instances
	// startupLimit is the time after which every instance must know every other.
	startupLimit = 30 * time.Second
)

// TestBudgets guards against control traffic that grows with the fleet, and against
// evidence so old that keys are refused without a fault. All instances start at the
// same time on a network that loses messages. They must know each other soon; from
// then on the instance that sends most and the oldest evidence stay within bounds.
func TestBudgets(t *testing.T) {
	f := New(MeasuredOptions(budgetFleetSize, 1))
	f.Bus.Run(startupLimit)
	for _, n := range f.Nodes {
		if known := len(n.View.Members()); known != budgetFleetSize {
			t.Errorf("%s knows %d of %d instances %s after the start", n.Member.Name, known, budgetFleetSize, startupLimit)
		}
	}
	var measured Measurement
	f.measureSteady(&measured)
	if measured.BusiestPerSecond >= maxBytesPerSecond {
		t.Errorf("the busiest instance sends %.0f bytes/s", measured.BusiestPerSecond)
	}
	if measured.AgeMax > maxEvidenceAge {
		t.Errorf("the oldest freshness evidence is %s old", measured.AgeMax)
	}
	if len(f.Violations) > 0 {
		t.Error(f.Violations)
	}
}
