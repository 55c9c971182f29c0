package command

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/experiment"
)

// newExperimentAvailability returns the command that simulates targets that pause or
// leave, and compares the product with and without what these targets say.
func newExperimentAvailability() *cobra.Command {
	var seeds int
	var plotFile, plotted string
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "availability",
		Short: "Play targets that ask for pauses or leave, with and without what they say",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSeeds(seeds, f); err != nil {
				return err
			}
			if loads := experiment.AvailabilityLoads(); !slices.Contains(loads, plotted) {
				return errors.Mark(errors.Newf("load: %q is none of %q", plotted, loads), errUsage)
			}
			rows := experiment.RunAvailability(seeds)
			if plotFile != "" {
				if err := writePlot(plotFile, func(w io.Writer) error { return experiment.WriteAvailabilityPlot(w, plotted, rows) }); err != nil {
					return err
				}
			}
			var writeErr error
			err := f.print(cmd.OutOrStdout(), rows, func(w io.Writer) { writeErr = experiment.WriteAvailabilityTable(w, rows) })
			return errors.CombineErrors(err, writeErr)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&seeds, "seeds", 3, "number of seeds")
	flags.StringVar(&plotFile, "plot", "", "file for a plot of the share answered in time against the time, in SVG")
	flags.StringVar(&plotted, "load", "a third pause by turns", "load to plot")
	flags.StringVar(&f.output, "output", "text", "text or json")
	return cmd
}
