package command

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/load"
	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

const maxLoadRate = 50_000 // requests per second; the most that one process can schedule

// newLoad returns the command that sends load to a running system.
func newLoad() *cobra.Command {
	var options load.Options
	var mixName, ca string
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to a running system and report latencies and outcomes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkLoad(options, f); err != nil {
				return err
			}
			var err error
			if options.Mix, err = load.ReadMix(mixName); err != nil {
				return err
			}
			if options.TLS, err = tlsconfig.Client(ca); err != nil {
				return errors.Mark(err, errUsage)
			}
			stop, _ := signals(cmd.Context())
			report := load.Run(stop, options)
			return f.print(cmd.OutOrStdout(), report, func(w io.Writer) { report.WriteText(w) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&mixName, "mix", "cooperative", "built-in mix (cooperative, association) or a YAML file")
	flags.StringSliceVar(&options.Instances, "instance", nil, "IP:port of instances that callers ask first")
	flags.Float64Var(&options.Rate, "rate", 100, "mean requests per second")
	flags.DurationVar(&options.Duration, "duration", 10*time.Second, "length of the run")
	flags.IntVar(&options.Callers, "callers", 1000, "number of callers, each with an address block of its own")
	flags.DurationVar(&options.Timeout, "timeout", 10*time.Second, "time that a caller gives a request")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the arrivals")
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.StringVar(&ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
	return cmd
}

// checkLoad reports every fault of the flags.
func checkLoad(options load.Options, f clientFlags) error {
	var p settings.Problems
	if len(options.Instances) == 0 {
		p.Add("instance", "must be set")
	}
	for _, instance := range options.Instances {
		p.RequireAddress("instance", instance)
	}
	if !(options.Rate > 0 && options.Rate <= maxLoadRate) {
		p.Add("rate", "must be above 0 and at most %d, is %g", maxLoadRate, options.Rate)
	}
	if options.Duration <= 0 || options.Timeout <= 0 {
		p.Add("duration", "duration and timeout must be above 0")
	}
	if options.Callers <= 0 {
		p.Add("callers", "must be above 0, is %d", options.Callers)
	}
	f.checkOutput(&p)
	return errors.Mark(p.Err(), errUsage)
}
