package fleettest

import (
	"testing"
	"time"
)

const (
	// bytesBudget is what an instance may send for control, in bytes per
	// second.
	maxBytesPerSecond = 5000
	// ageTarget leaves a margin of the bound on the age of evidence.
	maxEvidenceAge  = KeyFreshness - time.Second
	budgetFleetSize = 400
	startupLimit    = 30 * time.Second
)

// A fleet that starts at once with lossy links is whole soon; then the busiest
// instance and the oldest evidence keep their budgets.
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
	if measured.BusiestBytesPerSecond >= maxBytesPerSecond {
		t.Errorf("the busiest instance sends %.0f bytes/s", measured.BusiestBytesPerSecond)
	}
	if measured.AgeMax > maxEvidenceAge {
		t.Errorf("the oldest evidence is %s old", measured.AgeMax)
	}
	if len(f.Violations) > 0 {
		t.Error(f.Violations)
	}
}
