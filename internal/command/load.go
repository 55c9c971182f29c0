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

const maxLoadRate = 50_000 // requests a second that one process can schedule

func newLoad() *cobra.Command {
	var o load.Options
	var mix, ca string
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to a running system and report latencies and outcomes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkLoad(o, f); err != nil {
				return err
			}
			var err error
			if o.Mix, err = load.ReadMix(mix); err != nil {
				return err
			}
			if o.TLS, err = tlsconfig.Client(ca); err != nil {
				return errors.Mark(err, errUsage)
			}
			stop, _ := signals(cmd.Context())
			report := load.Run(stop, o)
			return f.print(cmd.OutOrStdout(), report, func(w io.Writer) { report.WriteText(w) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&mix, "mix", "cooperative", "built-in mix (cooperative, association) or a YAML file")
	flags.StringSliceVar(&o.Instances, "instance", nil, "IP:port of instances that callers ask first")
	flags.Float64Var(&o.Rate, "rate", 100, "mean requests per second")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "length of the run")
	flags.IntVar(&o.Callers, "callers", 1000, "number of callers, each with an address block of its own")
	flags.DurationVar(&o.Timeout, "timeout", 10*time.Second, "time that a caller gives a request")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.StringVar(&ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
	return cmd
}

func checkLoad(o load.Options, f clientFlags) error {
	var p settings.Problems
	if len(o.Instances) == 0 {
		p.Add("instance", "must be set")
	}
	for _, instance := range o.Instances {
		p.RequireAddress("instance", instance)
	}
	if !(o.Rate > 0 && o.Rate <= maxLoadRate) {
		p.Add("rate", "must be above 0 and at most %d, is %g", maxLoadRate, o.Rate)
	}
	if o.Duration <= 0 || o.Timeout <= 0 {
		p.Add("duration", "duration and timeout must be above 0")
	}
	if o.Callers <= 0 {
		p.Add("callers", "must be above 0, is %d", o.Callers)
	}
	f.checkOutput(&p)
	return errors.Mark(p.Err(), errUsage)
}
