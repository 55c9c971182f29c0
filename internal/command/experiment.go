package command

import (
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/experiment"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// newExperiment returns the group of commands that measure the system.
func newExperiment() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Measure the system on this machine"}
	cmd.AddCommand(newExperimentCapacity(), newExperimentOverload(), newExperimentAvailability())
	return cmd
}

// newExperimentCapacity returns the command that measures what simulated fleets of
// several sizes cost, and compares the costs with their budgets.
func newExperimentCapacity() *cobra.Command {
	options := experiment.Options{Seed: 1}
	var plotFile string
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure costs against the fleet's size and compare them with their budgets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkCapacity(options, f); err != nil {
				return err
			}
			slices.Sort(options.Sizes)
			report := experiment.Run(options)
			if plotFile != "" {
				if err := writePlot(plotFile, report.WritePlot); err != nil {
					return err
				}
			}
			var writeErr error
			err := f.print(cmd.OutOrStdout(), report, func(w io.Writer) { writeErr = report.WriteText(w) })
			return errors.CombineErrors(err, writeErr)
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&options.Sizes, "sizes", []int{7, 100, 200, 400}, "sizes of the simulated fleets")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the simulated faults")
	flags.StringVar(&plotFile, "plot", "", "file for a plot of cost against size, in SVG")
	flags.StringVar(&f.output, "output", "text", "text or json")
	return cmd
}

// checkCapacity reports every fault of the flags.
func checkCapacity(options experiment.Options, f clientFlags) error {
	var p settings.Problems
	if len(options.Sizes) == 0 {
		p.Add("sizes", "must name at least one size")
	}
	for _, size := range options.Sizes {
		if size < 2 || size > experiment.MaxInstances {
			p.Add("sizes", "must be 2 to %d, is %d", experiment.MaxInstances, size)
		}
	}
	f.checkOutput(&p)
	return errors.Mark(p.Err(), errUsage)
}

// writePlot writes a plot into the named file.
func writePlot(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.CombineErrors(write(file), file.Close())
}
