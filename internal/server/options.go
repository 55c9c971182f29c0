package server

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/seat"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// ErrSettings marks errors that are caused by settings, for example by a
// certificate that cannot be read.
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
	// Platform is the IP:port of the platform, which keeps the key-value store and
	// the list of instances.
	Platform string
	// OperatorToken is the credential of the operators' API.
	OperatorToken string
	// Seeds are IP:ports of other instances' peer listeners. They are asked for
	// the fleet's members and its configuration while no other instance is known,
	// as when the platform cannot be reached at the start.
	Seeds []string
	// KeyFreshness is the largest age of the freshness evidence with which this
	// instance trusts the workspaces' keys and uses its seat. It is the same on all
	// instances, because a new holder of a seat waits for as long before it uses the
	// seat.
	KeyFreshness time.Duration
	// ReserveBound is the largest age of the freshness evidence with which this
	// instance uses the reserve of its seat. It is how long an availability zone
	// that is cut off from the store goes on with its reserves, and also how long
	// the reserve of a seat stays unused after its holder has died. It is the same
	// on all instances.
	ReserveBound time.Duration
	// DrainDelay is how long an instance that shuts down goes on serving callers
	// that hold cached look-up answers.
	DrainDelay time.Duration
	// TLSCertificate and TLSKey are used to serve callers and operators over TLS
	// and to identify the instance to its peers. Each is the path of a PEM file or
	// PEM text. Both empty mean plain text.
	TLSCertificate, TLSKey string
	// PeerCA is the CA that signs the certificates of all instances. If it is set,
	// instances talk to each other over TLS only.
	PeerCA string
	// PlatformCA is the CA that signs the platform's certificate. If it is empty,
	// the connection to the platform is plain text.
	PlatformCA string
	// LogLevel is debug, info, warn or error.
	LogLevel string

	// seatProvider, if not nil, replaces the instance's own seat in tests.
	seatProvider seat.Provider
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
