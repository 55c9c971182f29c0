package command

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/overloadsim"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// overloadRow shows how the requests of one scenario ended under one policy, over
// all seeds. InTime, Late, Refused and Failed are fractions of all requests, 0 to 1.
type overloadRow struct {
	Scenario    string  `json:"load"`
	Policy      string  `json:"policy"`
	InTime      float64 `json:"in_time"`
	Late        float64 `json:"late"`
	Refused     float64 `json:"refused"`
	Failed      float64 `json:"failed"`
	WorstWindow float64 `json:"worst_window"` // smallest fraction in time of any two seconds after the first four seconds
}

// warmUpWindows is the number of windows of two seconds at the start that
// WorstWindow leaves out, because the targets' caches are still empty then.
const warmUpWindows = 2

// newExperimentOverload returns the command that simulates overloaded targets, and
// compares this system's policy of choosing targets with two simpler policies.
func newExperimentOverload() *cobra.Command {
	var seeds int
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "overload",
		Short: "Play loads on targets that know some objects, under the product's policy and baselines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSeeds(seeds, f); err != nil {
				return err
			}
			rows := simulateOverload(seeds)
			return f.print(cmd.OutOrStdout(), rows, func(w io.Writer) { writeOverloadTable(w, rows) })
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	return cmd
}

// checkSeeds reports every fault of the flags of a simulation.
func checkSeeds(seeds int, f clientFlags) error {
	var p settings.Problems
	if seeds < 1 {
		p.Add("seeds", "must be 1 at least, is %d", seeds)
	}
	f.checkOutput(&p)
	return errors.Mark(p.Err(), errUsage)
}

// simulateOverload runs every scenario under every policy, with seeds from 0. The policy
// named "own" is this system's; "spill" and "random" are the ones to compare it with.
func simulateOverload(seeds int) []overloadRow {
	var rows []overloadRow
	for _, scenario := range overloadsim.Scenarios() {
		for _, policy := range []struct {
			name string
			make overloadsim.PolicyFactory
		}{{"own", overloadsim.Affinity(scenario)}, {"spill", overloadsim.Spill}, {"random", overloadsim.Random}} {
			row := overloadRow{Scenario: scenario.Name, Policy: policy.name, WorstWindow: 1}
			totalRequests := 0.0
			for seed := range uint64(seeds) {
				result := overloadsim.Simulate(scenario, seed, policy.make)
				totalRequests += float64(result.Asked)
				row.InTime += float64(result.InTime)
				row.Late += float64(result.Late)
				row.Refused += float64(result.Refused)
				row.Failed += float64(result.Failed)
				row.WorstWindow = min(row.WorstWindow, slices.Min(result.Windows[min(warmUpWindows, len(result.Windows)-1):]))
			}
			for _, outcome := range []*float64{&row.InTime, &row.Late, &row.Refused, &row.Failed} {
				*outcome /= max(totalRequests, 1)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// writeOverloadTable writes the rows as a table with aligned columns.
func writeOverloadTable(w io.Writer, rows []overloadRow) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\tpolicy\tin time\tlate\trefused\tfailed\tworst 2 s")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\n", row.Scenario, row.Policy, row.InTime, row.Late, row.Refused, row.Failed, row.WorstWindow)
	}
	_ = table.Flush() // the command does not report that its output cannot be written
}
