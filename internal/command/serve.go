package command

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/server"
)

const (
	defaultKeyFreshness = 5 * time.Second
	defaultDrainDelay   = 6 * time.Second
	defaultReserveBound = time.Hour
)

func newServe() *cobra.Command {
	var o server.Options
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.Validate(); err != nil {
				return errors.Mark(err, errUsage)
			}
			s, err := server.Provision(o, os.Stderr)
			if err != nil {
				return err
			}
			stop, kill := signals(cmd.Context())
			return s.Run(stop, kill)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Name, "name", "", "name of the instance, unique in the fleet")
	f.StringVar(&o.AvailabilityZone, "zone", "", "availability zone of the instance")
	f.StringVar(&o.Listen, "listen", "", "IP:port for callers")
	f.StringVar(&o.PeerListen, "peer-listen", "", "IP:port for other instances")
	f.StringVar(&o.OperatorListen, "operator-listen", "", "IP:port of the operators' API, health and metrics")
	f.StringVar(&o.Platform, "platform", "", "IP:port of the platform")
	f.StringVar(&o.OperatorToken, "operator-token", "", "credential of the operators' API")
	f.StringSliceVar(&o.Seeds, "seed", nil, "IP:ports of other instances' peer addresses, asked while the platform cannot be reached")
	f.DurationVar(&o.KeyFreshness, "key-freshness", defaultKeyFreshness, "how long keys are trusted without news from the store")
	f.DurationVar(&o.ReserveBound, "reserve-bound", defaultReserveBound, "how long a zone that is cut off goes on with its reserve")
	f.DurationVar(&o.DrainDelay, "drain-delay", defaultDrainDelay, "how long a leaving instance serves callers that hold cached look-up answers")
	f.StringVar(&o.TLSCertificate, "tls-cert", "", "certificate for callers, operators and peers: a PEM file or PEM text")
	f.StringVar(&o.TLSKey, "tls-key", "", "key of the certificate: a PEM file or PEM text")
	f.StringVar(&o.PeerCA, "peer-ca", "", "CA of all instances' certificates; peers talk over TLS if it is set")
	f.StringVar(&o.PlatformCA, "platform-ca", "", "CA of the platform's certificate; plain text if it is not set")
	f.StringVar(&o.LogLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}
