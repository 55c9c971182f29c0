package command

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/overload"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// overloadRow is what callers get of a load under a policy, over all seeds.
type overloadRow struct {
	Load        string  `json:"load"`
	Policy      string  `json:"policy"`
	InTime      float64 `json:"in_time"`
	Late        float64 `json:"late"`
	Refused     float64 `json:"refused"`
	Failed      float64 `json:"failed"`
	WorstWindow float64 `json:"worst_window"` // in time, after the first four seconds
}

// warmUpWindows are left out of the worst window: no target knows an object yet.
const warmUpWindows = 2

func newExperimentOverload() *cobra.Command {
	var seeds int
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "overload",
		Short: "Play loads on targets that know some objects, under the product's policy and baselines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var p settings.Problems
			if seeds < 1 {
				p.Add("seeds", "must be 1 at least, is %d", seeds)
			}
			f.checkOutput(&p)
			if err := p.Err(); err != nil {
				return errors.Mark(err, errUsage)
			}
			rows := simulateOverload(seeds)
			return f.print(cmd.OutOrStdout(), rows, func(w io.Writer) { writeOverloadTable(w, rows) })
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	return cmd
}

func simulateOverload(seeds int) []overloadRow {
	var rows []overloadRow
	for _, scenario := range overload.Scenarios() {
		for _, policy := range []struct {
			name    string
			factory overload.PolicyFactory
		}{{"own", overload.Affinity(scenario)}, {"spill", overload.Spill}, {"random", overload.Random}} {
			row := overloadRow{Load: scenario.Name, Policy: policy.name, WorstWindow: 1}
			totalRequests := 0.0
			for seed := range uint64(seeds) {
				result := overload.Simulate(scenario, seed, policy.factory)
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

func writeOverloadTable(w io.Writer, rows []overloadRow) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\tpolicy\tin time\tlate\trefused\tfailed\tworst 2 s")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\n", row.Load, row.Policy, row.InTime, row.Late, row.Refused, row.Failed, row.WorstWindow)
	}
	_ = table.Flush() // a broken output shows in the command's own error
}
