package command

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/server"
)

const (
	// defaultKeyFreshness is how long an instance that is cut off from the store may
	// go on accepting keys, one of which may have been withdrawn meanwhile.
	defaultKeyFreshness = 5 * time.Second
	// defaultDrainDelay is one second more than steering.AnswerTTL, so that all
	// cached look-up answers that name the leaving instance have expired.
	defaultDrainDelay = 6 * time.Second
	// defaultReserveBound is how long an availability zone that is cut off from the
	// store may go on using the reserves of its seats. A seat is one part of the fleet's
	// shared limits, and its reserve is the share of it that is kept for its zone.
	defaultReserveBound = time.Hour
)

// newServe returns the command that runs one instance.
func newServe() *cobra.Command {
	var options server.Options
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.Validate(); err != nil {
				return errors.Mark(err, errUsage)
			}
			instance, err := server.Provision(options, os.Stderr)
			if err != nil {
				return err
			}
			stop, kill := signals(cmd.Context())
			return instance.Run(stop, kill)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Name, "name", "", "name of the instance, unique in the fleet")
	flags.StringVar(&options.AvailabilityZone, "zone", "", "availability zone of the instance")
	flags.StringVar(&options.Listen, "listen", "", "IP:port for callers")
	flags.StringVar(&options.PeerListen, "peer-listen", "", "IP:port for other instances")
	flags.StringVar(&options.OperatorListen, "operator-listen", "", "IP:port of the operators' API, health and metrics")
	flags.StringVar(&options.Platform, "platform", "", "IP:port of the platform")
	flags.StringVar(&options.OperatorToken, "operator-token", "", "credential of the operators' API")
	flags.StringSliceVar(&options.Seeds, "seed", nil, "IP:ports of other instances' peer addresses, asked while the platform cannot be reached")
	flags.DurationVar(&options.KeyFreshness, "key-freshness", defaultKeyFreshness, "how long keys are trusted without news from the store")
	flags.DurationVar(&options.ReserveBound, "reserve-bound", defaultReserveBound, "how long a zone that is cut off goes on with its reserve")
	flags.DurationVar(&options.DrainDelay, "drain-delay", defaultDrainDelay, "how long a leaving instance serves callers that hold cached look-up answers")
	flags.StringVar(&options.TLSCertificate, "tls-cert", "", "certificate for callers, operators and peers: a PEM file or PEM text")
	flags.StringVar(&options.TLSKey, "tls-key", "", "key of the certificate: a PEM file or PEM text")
	flags.StringVar(&options.PeerCA, "peer-ca", "", "CA of all instances' certificates; peers talk over TLS if it is set")
	flags.StringVar(&options.PlatformCA, "platform-ca", "", "CA of the platform's certificate; plain text if it is not set")
	flags.StringVar(&options.LogLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}
