package fleettest

import (
	"testing"
	"time"
)

const (
	// bytesBudget is what an instance may send for control, in bytes per
	// second.
	bytesBudget = 5000
	// ageTarget leaves a margin of the bound on the age of evidence.
	ageTarget    = KeyFreshness - time.Second
	budgetSize   = 400
	budgetSettle = 30 * time.Second
)

// A fleet that starts at once with lossy links is whole soon; then the busiest
// instance and the oldest evidence keep their budgets.
func TestBudgets(t *testing.T) {
	f := New(MeasuredOptions(budgetSize, 1))
	f.Bus.Run(budgetSettle)
	for _, n := range f.Nodes {
		if known := len(n.View.Members()); known != budgetSize {
			t.Errorf("%s knows %d of %d instances %s after the start", n.Member.Name, known, budgetSize, budgetSettle)
		}
	}
	var figures Measurement
	f.steady(&figures)
	if figures.BusiestBytesPerSecond >= bytesBudget {
		t.Errorf("the busiest instance sends %.0f bytes/s", figures.BusiestBytesPerSecond)
	}
	if figures.AgeMax > ageTarget {
		t.Errorf("the oldest evidence is %s old", figures.AgeMax)
	}
	if len(f.Violations) > 0 {
		t.Error(f.Violations)
	}
}
