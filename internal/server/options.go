package server

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/seat"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// ErrSettings marks settings that name something unusable.
var ErrSettings = errors.New("settings cannot be used")

// Options are the settings of one instance.
type Options struct {
	// Name of the instance, unique in the fleet.
	Name string
	// AvailabilityZone that the instance runs in.
	AvailabilityZone string
	// Listen is the IP:port for callers.
	Listen string
	// PeerListen is the IP:port for other instances.
	PeerListen string
	// OperatorListen is the IP:port of the operators' API, health and metrics.
	OperatorListen string
	// Platform is the IP:port of the platform.
	Platform string
	// OperatorToken is the credential of the operators' API.
	OperatorToken string
	// Seeds are IP:ports of other instances that are asked for the fleet and
	// its configuration when the platform cannot be reached.
	Seeds []string
	// KeyFreshness bounds how long keys are trusted without news from the
	// store.
	KeyFreshness time.Duration
	// ReserveBound is how long an availability zone that is cut off goes on with
	// the reserve of its seats. The reserve of a seat whose holder has died is
	// unused for as long.
	ReserveBound time.Duration
	// DrainDelay is how long a leaving instance goes on serving callers that
	// hold cached look-up answers.
	DrainDelay time.Duration
	// TLSCertificate and TLSKey serve callers and operators over TLS, and
	// identify the instance to its peers. Each is a PEM file or PEM text.
	TLSCertificate, TLSKey string
	// PeerCA signs the certificates of all instances. If it is set, instances
	// talk to each other over TLS only.
	PeerCA string
	// PlatformCA signs the platform's certificate; plain text without it.
	PlatformCA string
	// LogLevel is debug, info, warn or error.
	LogLevel string

	// holder replaces the seat of the instance in tests; nil for its own.
	holder seat.Provider
}

// Validate reports every fault of the options.
func (o Options) Validate() error {
	var p settings.Problems
	p.RequireNonEmpty("name", o.Name)
	p.RequireNonEmpty("zone", o.AvailabilityZone)
	p.RequireAddress("listen", o.Listen)
	p.RequireAddress("peer-listen", o.PeerListen)
	p.RequireAddress("operator-listen", o.OperatorListen)
	p.RequireAddress("platform", o.Platform)
	for _, seed := range o.Seeds {
		p.RequireAddress("seed", seed)
	}
	p.RequireNonEmpty("operator-token", o.OperatorToken)
	if (o.TLSCertificate == "") != (o.TLSKey == "") {
		p.Add("tls-cert", "must be set together with --tls-key")
	}
	if o.PeerCA != "" && o.TLSCertificate == "" {
		p.Add("peer-ca", "needs --tls-cert and --tls-key")
	}
	if o.KeyFreshness <= 0 {
		p.Add("key-freshness", "must be above 0, is %s", o.KeyFreshness)
	}
	if o.ReserveBound < o.KeyFreshness {
		p.Add("reserve-bound", "must not be below --key-freshness, is %s", o.ReserveBound)
	}
	if o.DrainDelay < 0 {
		p.Add("drain-delay", "must not be negative, is %s", o.DrainDelay)
	}
	switch o.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.Add("log-level", "%q is not debug, info, warn or error", o.LogLevel)
	}
	return p.Err()
}
