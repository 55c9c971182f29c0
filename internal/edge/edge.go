// Package edge runs one instance of the load balancer on a platform whose
// key-value store holds the configuration and the targets' registrations. It
// builds the instance (Provision), serves callers and other instances (Edge.Run),
// and shuts down gracefully.
package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/callerserver"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/gateway"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/lookup"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/quota"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

const (
	// revocationMargin is subtracted from Settings.MaxRevocationDelay to get the time
	// for which API keys are trusted without new confirmation. It covers the transit
	// of a request and the time to decide on it.
	revocationMargin = 700 * time.Millisecond
	// configurationMargin is subtracted from Settings.MaxConfigurationDelay to get the time
	// for which home regions, and refusals for good, are trusted without new confirmation. It covers the transit of
	// a request to its target, and a stall of the process before its send.
	configurationMargin = 200 * time.Millisecond
	// registrationGrace is how long after the end of a store outage an entry whose
	// lease expired is kept, so that its owner can register again.
	registrationGrace = 2 * time.Second
	// outageThreshold is the time without contact to the store after which leases
	// may have expired during the gap. It is longer than a watch call waits.
	outageThreshold = 2500 * time.Millisecond
	// restoredProofDelay is how long after the store came back as an older copy the operator
	// may still have to write the newest configuration again.
	restoredProofDelay = 1500 * time.Millisecond
	// lookupTTL is how long a caller may cache the result of a lookup.
	lookupTTL = 2 * time.Second
	// maxSelfListingStaleness is the time since API keys were last confirmed current
	// up to which an instance lists itself in lookup results. Keys then stay trusted
	// for about as long as a caller caches the result.
	maxSelfListingStaleness = 2500 * time.Millisecond
	// finalRequestGrace is the last part of the shutdown, in which no new connections
	// are accepted and requests in flight finish.
	finalRequestGrace = 2 * time.Second
	// shutdownMargin is how long before the shutdown timeout the process ends.
	shutdownMargin = 300 * time.Millisecond
	// lastAnswerMargin is how long before that the last request must have been answered, so
	// that its answer has been sent even if timers are late.
	lastAnswerMargin = 150 * time.Millisecond
	// softMemoryLimitRatio is the fraction of the process's memory limit that is set
	// as Go's soft memory limit, from which the garbage collector runs more often.
	softMemoryLimitRatio = 0.6
	// defaultIdleTimeout and defaultHeaderTimeout apply to callers' connections
	// unless the configuration sets other limits, and to all other HTTP servers.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	// initialConfigurationTimeout is how long a starting instance waits for a
	// configuration before it accepts callers without one.
	initialConfigurationTimeout = time.Second
	// zoneReporterPrefix, followed by the instance's name, is the name under which an
	// instance reports the summed quota usage of its availability zone.
	zoneReporterPrefix = "zone of "
	// expireInterval is the time between two checks for entries whose grace period
	// has ended.
	expireInterval = 250 * time.Millisecond
)

// Settings configure one instance for the lifetime of its process.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	RegionByZone     map[string]string // availability zone → region

	Listen          string // IP:port for callers' requests
	ReadyListen     string // IP:port of readiness checks
	DirectoryListen string // IP:port of lookups, by which callers find instances
	PeerListen      string // IP:port for other instances
	// PeerSeeds are the IP:port of some other instances, which may be gone. An instance
	// that starts while the store turns it away asks them for a copy of the store. One
	// without seeds takes the registered instances for all that serve.
	PeerSeeds     []string
	MetricsListen string // IP:port of the metrics endpoint; empty for none
	StoreAddress  string // IP:port

	Processor          float64       // cores that the process may use; 0 if unknown
	LinkMbps           float64       // bandwidth of the instance's network link; 0 if unknown
	MemoryBytes        int64         // memory limit of the process; 0 for none
	MaxRevocationDelay time.Duration // a withdrawn API key is refused at the latest this long after its withdrawal
	// MaxConfigurationDelay bounds the time from the storing of a configuration to the
	// last request that is routed by an older one.
	MaxConfigurationDelay time.Duration
	ShutdownTimeout       time.Duration // from SIGTERM to the end of the process
	RetryRatio            float64       // retries, which are sends to a further target, allowed per request
	RetryExtra            float64       // further retries allowed per time window, for the whole fleet
	MaxLookupTTL          time.Duration // how long callers may cache the result of a lookup
	MaxShift              float64       // fraction of a region's requests that may move to other regions within two seconds without need
	LogLevel              string
}

// resources returns what decides on the instance's share of callers' requests.
func (s Settings) resources() lookup.Resources {
	return lookup.Resources{Processor: s.Processor, LinkMbps: s.LinkMbps, MemoryBytes: s.MemoryBytes}
}

// WatchWait returns how long the store may hold a watch call (a long poll) that has
// no changes to return. A response confirms that the configuration was current when it
// was requested, so the last confirmation is up to two such times old, or three through
// another instance. The rest of MaxRevocationDelay, for which keys are trusted, and of
// MaxConfigurationDelay, for which home regions are, is left for store outages.
func (s Settings) WatchWait() time.Duration {
	return min(s.MaxRevocationDelay/10, s.MaxConfigurationDelay/5)
}

// maxKeyStaleness returns for how long API keys are trusted without confirmation.
func (s Settings) maxKeyStaleness() time.Duration { return s.MaxRevocationDelay - revocationMargin }

// maxConfigurationStaleness returns for how long home regions, and refusals for good, are
// trusted without confirmation.
func (s Settings) maxConfigurationStaleness() time.Duration {
	return min(s.maxKeyStaleness(), s.MaxConfigurationDelay-configurationMargin)
}

// regionCount returns the number of distinct regions in the settings.
func (s Settings) regionCount() int {
	regions := map[string]bool{s.Region: true}
	for _, region := range s.RegionByZone {
		regions[region] = true
	}
	return len(regions)
}

// StoreKeys are the key and the key prefixes that the instance uses in the
// platform's store.
type StoreKeys struct {
	Configuration    string // key of the whole configuration
	ClosedZonePrefix string // the rest of a key is an availability zone that must get no requests
	TargetPrefix     string // the rest of a key is a target's id
	OwnPrefix        string // prefix of the keys that instances write themselves
}

// LookupResult tells a caller which instances to use, and for how long.
type LookupResult struct {
	Addresses []string // IP:port
	TTL       time.Duration
}

// Adapter translates between a platform's formats and those of this system.
type Adapter interface {
	// StoreKeys returns where the platform's store holds which entries.
	StoreKeys() StoreKeys
	// HTTPHeaders returns the platform's names of the HTTP headers in use.
	HTTPHeaders() gateway.HeaderNames
	// Configuration decodes the configuration that the store holds.
	Configuration(value []byte) (config.RoutingTableSource, error)
	// Target decodes a target's registration. The Region of the result is empty.
	Target(id string, value []byte) (affinity.Target, error)
	// LookupHandler serves callers that ask which instances to use.
	LookupHandler(lookup func(host, region string) LookupResult) http.Handler
	// ReadyHandler serves the platform's readiness checks.
	ReadyHandler(ready func() bool) http.Handler
}

// Edge is one running instance: its gateway for callers, its copy of the store, its
// view of the fleet and its part in the fleet's quotas.
type Edge struct {
	Settings
	adapter         Adapter
	storeKeys       StoreKeys
	store           platform.Store
	gateway         *gateway.Gateway
	members         *members
	hub             *hubServer
	levels          *levelUpdates
	follower        *follower
	targets         map[string]registration // given to the balancer, by store key
	decoded         map[string]registration // newest decoded ones, by store key
	unusableMembers map[string]error        // why instances' entries cannot be used, by store key
	metrics         *metrics.Set
	traffic         *traffic.Table
	logs            *logging.Log
	log             *log.Logger
	configured      chan struct{} // closed when the first configuration is in force
	// reregister holds an element if this instance is to register again at once.
	// entryLost says that its entry is gone from the copy of the store, whatever its lease.
	reregister chan struct{}
	entryLost  atomic.Bool
	// registeredVersion is the highest version of the configuration that instances had in
	// force when they registered; guarded by the follower's lock.
	registeredVersion uint64
	// registeredAt is the revision at which this instance wrote its entry; 0 if it is yet
	// to write it, or to write it again. The follower's lock guards it.
	registeredAt uint64
	// configurationApplied says that the configuration in force is the one in the copy
	// of the store. The follower's lock guards it.
	configurationApplied bool
}

// Provision builds an instance that logs to out. It does not listen or connect yet.
func Provision(s Settings, adapter Adapter, store platform.Store, out io.Writer) *Edge {
	logs := logging.New(out, s.LogLevel)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * softMemoryLimitRatio))
	}
	set := metrics.New()
	set.Gauge("log_lines_dropped", logs.Dropped)
	levels := newLevelUpdates()
	e := &Edge{
		levels:   levels,
		Settings: s, adapter: adapter, storeKeys: adapter.StoreKeys(), store: store, metrics: set, logs: logs, log: logs.Part("edge"), configured: make(chan struct{}),
		reregister: make(chan struct{}, 1),
		targets:    map[string]registration{}, decoded: map[string]registration{},
		gateway: gateway.New(gateway.Options{
			HeaderNames: adapter.HTTPHeaders(), Region: s.Region, RegionCount: s.regionCount(),
			MaxKeyStaleness: s.maxKeyStaleness(), MaxConfigurationStaleness: s.maxConfigurationStaleness(),
			RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, MaxShift: s.MaxShift, RefreshQuota: levels.refresh, Metrics: set, Log: logs.Part("gateway"),
		}, s.Name),
	}
	set.Gauge("requests_in_flight", e.gateway.InFlight)
	set.Gauge("configuration_version", func() int64 {
		if t := e.gateway.Table(); t != nil {
			return int64(t.Version)
		}
		return 0
	})
	set.Gauge("evidence_age_ms", func() int64 { return e.gateway.Staleness().Milliseconds() })
	started := uint64(time.Now().UnixNano())
	e.hub = &hubServer{Edge: e, hub: quota.NewHub(), aggregator: quota.NewAggregator(zoneReporterPrefix+s.Name, started)}
	e.hub.hub.SetGeneration(started)
	e.traffic = e.newTraffic()
	e.follower = newFollower(e)
	set.Gauge("store_revision", func() int64 { return int64(platform.RevisionNumber(e.follower.revision())) })
	set.Gauge("store_revision_heard_of", func() int64 { return int64(platform.RevisionNumber(uint64(e.follower.heardOf.Load()))) })
	set.Gauge("store_era", func() int64 { return int64(platform.RevisionEra(e.follower.revision())) })
	e.gateway.WithState(func(b *affinity.Balancer, q *quota.Limiter, now time.Duration) {
		if len(s.PeerSeeds) > 0 {
			q.Join(now)
		}
		maxAge := s.maxConfigurationStaleness()
		b.ShareColdTargets(maxAge, 2*maxAge+registrationGrace)
	})
	e.members = newMembers(s, func() bool { return e.gateway.Staleness() < maxSelfListingStaleness }, e.homeRegions)
	return e
}

// Run serves until stop is done, then shuts down gracefully; when kill is done, it
// ends at once. Settings received on reload are only logged.
func (e *Edge) Run(stop, kill context.Context, reload <-chan Settings) error {
	defer func() { _ = e.logs.Close() }() // a failure to flush the log cannot be logged
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	front, err := listen(e.Listen)
	if err != nil {
		return err
	}
	peers, err := listen(e.PeerListen)
	if err != nil {
		return err
	}
	handlersByAddress := map[string]http.Handler{
		e.ReadyListen:     e.adapter.ReadyHandler(e.gateway.Ready),
		e.DirectoryListen: e.adapter.LookupHandler(e.members.lookup),
	}
	if e.MetricsListen != "" {
		handlersByAddress[e.MetricsListen] = e.metrics
	}
	failed := make(chan error, len(handlersByAddress)+1)
	for address, handler := range handlersByAddress {
		l, err := listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
		defer func() { _ = server.Close() }() // the process is about to end
		go func() { failed <- server.Serve(e.countLookups(address, l)) }()
	}
	e.log.Info().Str("instance", e.Name).Str("zone", e.AvailabilityZone).Str("listen", e.Listen).Float64("capacity", e.members.self.Capacity).Msg("life: started")
	go e.follower.run(ctx)
	go e.gateway.CloseIdleConnections(ctx)
	go e.servePeers(ctx, peers)
	go e.report(ctx)
	go e.logTrafficOften(ctx)
	registered := make(chan struct{})
	registration, deregister := context.WithCancel(ctx)
	go func() { defer close(registered); e.register(registration) }()

	select {
	case <-e.configured:
	case <-time.After(initialConfigurationTimeout):
	case <-stop.Done():
	}
	server := e.newCallerServer(ctx)
	go func() { failed <- server.Serve(front) }()
	for running := true; running; {
		select {
		case <-stop.Done():
			running = false
		case s := <-reload:
			e.reload(s)
		case err := <-failed:
			deregister()
			return errors.Wrap(err, "serve")
		}
	}
	e.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, _ time.Duration) { q.Leave() })
	deregister()
	e.shutDown(kill, server)
	<-registered
	return nil
}

// newCallerServer returns the server of callers' requests, with the limits of the
// configuration in force and a goroutine that closes idle connections.
func (e *Edge) newCallerServer(ctx context.Context) *callerserver.Server {
	idle := &idleConns{limit: e.idleLimit, idleSince: map[net.Conn]time.Time{}}
	go idle.sweep(ctx)
	options := callerserver.Options{
		Handler: e.gateway, Concurrent: e.gateway.RunsConcurrently, ReadHeaderTimeout: defaultHeaderTimeout,
		MemoryBytes: e.MemoryBytes, ResponseBytes: gateway.MaxResponseBytes, ConnState: idle.onConnState, Metrics: e.metrics,
		Log: e.logs.Part("callers"),
	}
	if t := e.gateway.Table(); t != nil {
		options.MaxHeaderBytes = t.Limits.HeaderBytes
		if t.Limits.HeaderTimeout > 0 {
			options.ReadHeaderTimeout = t.Limits.HeaderTimeout
		}
	}
	return callerserver.New(options)
}

// homeRegions returns the home regions of each of the host's routes that has some, or
// nil while no configuration is known.
func (e *Edge) homeRegions(host string) []config.RegionSet {
	if t := e.gateway.Table(); t != nil {
		return t.HomeRegions(host)
	}
	return nil
}

// idleLimit returns how long a caller's connection may currently be idle.
func (e *Edge) idleLimit() time.Duration {
	if t := e.gateway.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// shutDown keeps serving while callers may still use cached lookup results that list
// this instance, then stops the server. It returns ShutdownTimeout after its call at
// the latest.
func (e *Edge) shutDown(kill context.Context, server *callerserver.Server) {
	begin := time.Now()
	e.log.Info().Int64("in_flight", e.gateway.InFlight()).Msg("life: leaving")
	end := begin.Add(e.ShutdownTimeout - shutdownMargin)
	e.gateway.Drain(end.Add(-lastAnswerMargin))
	select {
	case <-time.After(e.ShutdownTimeout - finalRequestGrace):
	case <-kill.Done():
	}
	ctx, cancel := context.WithDeadline(kill, end)
	defer cancel()
	err := server.Shutdown(ctx)
	e.logTraffic()
	e.log.Info().Int64("in_flight", e.gateway.InFlight()).AnErr("error", err).Msg("life: ended")
}

// reload logs that the settings were read again, and which of the changed ones take
// effect only at the next start of the process.
func (e *Edge) reload(s Settings) {
	var later []string
	if s.Listen != e.Listen || s.ReadyListen != e.ReadyListen || s.DirectoryListen != e.DirectoryListen {
		later = append(later, "listen")
	}
	if s.StoreAddress != e.StoreAddress {
		later = append(later, "store")
	}
	e.log.Info().Str("after_restart", strings.Join(later, ",")).Msg("life: settings read again")
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// apply brings into force what changed in the copy of the store, given the changed
// keys.
func (e *Edge) apply(m *mirror.Mirror, changed []string) {
	var configuration, targets, zones, own bool
	for _, key := range changed {
		switch {
		case key == e.storeKeys.Configuration:
			configuration = true
		case strings.HasPrefix(key, e.storeKeys.ClosedZonePrefix):
			zones = true
		case strings.HasPrefix(key, e.storeKeys.TargetPrefix):
			targets = true
		case strings.HasPrefix(key, e.storeKeys.OwnPrefix+instancePrefix):
			own = true
		}
	}
	if configuration {
		e.applyConfiguration(m)
	}
	if zones {
		e.applyClosedZones(m)
	}
	if targets || configuration {
		e.applyTargets(m, configuration)
	}
	if own {
		e.applyMembers(m)
	}
}

// applyConfiguration brings the stored configuration into force unless it is
// unreadable or has a lower version than the one in force. The one in force then stays,
// but is no longer known to be current.
func (e *Edge) applyConfiguration(m *mirror.Mirror) {
	e.configurationApplied = false
	entry, ok := m.Get(e.storeKeys.Configuration)
	if !ok {
		e.log.Error().Uint64("revision", platform.RevisionNumber(m.Revision())).Msg("configuration: removed from the store, the old one stays")
		return
	}
	source, err := e.adapter.Configuration(entry.Value)
	old := e.gateway.Table()
	switch {
	case err != nil:
		e.log.Error().Err(err).Uint64("revision", platform.RevisionNumber(entry.Revision)).
			Int("bytes", len(entry.Value)).Int("left_out_bytes", entry.OmittedBytes).Msg("configuration: cannot be read, the old one stays")
		return
	case old != nil && source.Version < old.Version:
		e.log.Error().Uint64("version", source.Version).Uint64("in_force", old.Version).Msg("configuration: older than the one in force")
		return
	}
	table := config.NewRoutingTable(source)
	e.gateway.SetTable(table)
	e.configurationApplied = true
	e.log.Info().Uint64("version", table.Version).Uint64("revision", platform.RevisionNumber(entry.Revision)).
		Int("bytes", len(entry.Value)).Int("routes", len(source.Routes)).Int("workspaces", len(source.Workspaces)).Msg("configuration: in force")
	if old == nil {
		close(e.configured)
	}
}

// applyClosedZones passes the availability zones that must get no requests to the
// balancer.
func (e *Edge) applyClosedZones(m *mirror.Mirror) {
	zones := map[string]bool{}
	m.Each(e.storeKeys.ClosedZonePrefix, func(entry platform.Entry) { zones[strings.TrimPrefix(entry.Key, e.storeKeys.ClosedZonePrefix)] = true })
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.SetClosedZones(zones, now) })
	e.log.Info().Uint64("revision", platform.RevisionNumber(m.Revision())).Strs("zones", sortedKeys(zones)).Msg("zones: changed")
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// now returns the time since boot, by which the age of the copy of the store is
// measured.
func now() time.Duration { return clock.SinceBoot() }
