package simulation

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
)

const benchSeed = 20261204

// full makes TestCompare run all deployments, scenarios and loads.
var full = flag.Bool("full", false, "run every deployment, case and load")

// The same seed gives the same run.
func TestRunIsDeterministic(t *testing.T) {
	d := Deployments()[1]
	a, b := Run(d, SharesAndLoans, Skewed, 0.8, benchSeed), Run(d, SharesAndLoans, Skewed, 0.8, benchSeed)
	if a.Refused != b.Refused || a.LoanMessages != b.LoanMessages || a.InteractiveWithRefused.Mean() != b.InteractiveWithRefused.Mean() {
		t.Fatalf("refused %d and %d, messages %d and %d", a.Refused, b.Refused, a.LoanMessages, b.LoanMessages)
	}
}

// TestCompare runs each policy on the same arrivals and prints a row of a Markdown
// table for each run. It fails if the policy of the product ever exceeds a target's
// slots or a placer's budget.
func TestCompare(t *testing.T) {
	loads := []float64{0.5, 0.8, 0.95, 1.2}
	deployments, cases := Deployments(), Scenarios
	if !*full {
		loads, deployments, cases = loads[2:3], deployments[1:], []Scenario{Steady, FrozenReports, BulkRush, ZoneLost}
	}
	for _, d := range deployments {
		for _, c := range cases {
			for _, load := range loads {
				t.Run(fmt.Sprintf("%s/%s/%g", d.Name, strings.ReplaceAll(string(c), " ", "-"), load*100), func(t *testing.T) {
					t.Parallel()
					compare(t, d, c, load)
				})
			}
		}
	}
}

// compare prints, in this order: deployment, scenario, load in percent, policy,
// interactive latencies at p50, p99 and p99.9, then p99 of InteractiveWithRefused
// and of bulk, all in ms, PeakSlotFraction, PeakLinkFraction, and the refused
// requests of all workspaces and of the worst in percent.
func compare(t *testing.T, d Deployment, c Scenario, load float64) {
	results := make([]Result, len(Policies))
	var group sync.WaitGroup
	for i, p := range Policies {
		group.Go(func() { results[i] = Run(d, p, c, load, benchSeed) })
	}
	group.Wait()
	for i, r := range results {
		ms := func(q float64) float64 { return float64(r.Interactive.ValueAtQuantile(q)) / 1000 }
		t.Logf("| %s | %s | %g | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f | %.1f |", d.Name, c, load*100, Policies[i],
			ms(50), ms(99), ms(99.9), float64(r.InteractiveWithRefused.ValueAtQuantile(99))/1000, float64(r.Bulk.ValueAtQuantile(99))/1000, r.PeakSlotFraction, r.PeakLinkFraction,
			100*float64(r.Refused)/float64(r.Sent), 100*r.WorstRefusedFraction)
	}
	if chosen := results[len(results)-1]; chosen.PeakSlotFraction > 1 || chosen.Violations > 0 {
		t.Errorf("the chosen policy used %.2f of a target's slots, %d violations", chosen.PeakSlotFraction, chosen.Violations)
	}
}
