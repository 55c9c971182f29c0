// Package edge assembles an instance on a platform that keeps configuration and
// targets' registrations in its store: provision, run, leave.
package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/gateway"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/quota"
)

const (
	// keySlack is taken off the bound on withdrawn keys for the way of a request
	// and for a decision that is under way.
	revocationMargin = 700 * time.Millisecond
	// registrationGrace is how long after the store's return a lapsed entry may
	// come back.
	registrationGrace = 2 * time.Second
	// outage is the time without contact after which entries may have lapsed; it
	// is longer than a watch waits.
	outageThreshold = 2500 * time.Millisecond
	// lookupLife is how long a caller may use a look-up's answer.
	lookupTTL = 2 * time.Second
	// nameableAge is the age of the proof that keys are current up to which an
	// instance names itself to callers; an answer lives about as long as the rest
	// of the time in which keys are trusted.
	maxSelfListingStaleness = 2500 * time.Millisecond
	// finishTime is kept for requests in flight before a leaving instance ends.
	finalRequestGrace = 2 * time.Second
	// endSlack is the time before the shutdown bound at which the process ends.
	shutdownMargin = 300 * time.Millisecond
	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	softMemoryLimitRatio = 0.6
	// defaultIdle and defaultHeader bound callers before a configuration is known.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	// firstConfiguration is how long a start waits for a configuration before
	// callers are answered at all.
	initialConfigurationTimeout = time.Second
	// sumPrefix marks the name under which an instance reports the sum of its zone.
	zoneReporterPrefix = "zone of "
	// expireInterval is the time between two looks for entries that did not come
	// back.
	expireInterval = 250 * time.Millisecond
)

// Settings of an instance.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	RegionByZone     map[string]string // availability zone → region

	Listen          string // IP:port for callers
	ReadyListen     string // IP:port of readiness checks
	DirectoryListen string // IP:port of look-ups
	PeerListen      string // IP:port for other instances
	MetricsListen   string // IP:port of metrics; empty for none
	StoreAddress    string // IP:port

	LinkMbps           float64       // of the instance's own link; 0 if unknown
	MemoryBytes        int64         // limit of the process; 0 if there is none
	MaxRevocationDelay time.Duration // a withdrawn key is refused this long after its withdrawal
	ShutdownTimeout    time.Duration // from SIGTERM to the end of the process
	RetryRatio         float64       // sends to second targets per request
	RetryExtra         float64       // sends to second targets in a window of the fleet
	MaxLookupTTL       time.Duration
	LogLevel           string
}

// WatchWait returns how long a watch of the store, or of another instance, may be
// held without news. An answer proves that keys were current when it was asked for,
// so the proof is up to two such times old, three by way of another instance, and
// the rest of the bound is left for a lost store.
func (s Settings) WatchWait() time.Duration { return s.MaxRevocationDelay / 10 }

// regionCount returns the number of regions that the settings name.
func (s Settings) regionCount() int {
	regions := map[string]bool{s.Region: true}
	for _, region := range s.RegionByZone {
		regions[region] = true
	}
	return len(regions)
}

// StoreKeys are where the platform keeps what in its store.
type StoreKeys struct {
	Configuration    string // key
	ClosedZonePrefix string // prefix; the rest is an availability zone that gets nothing
	TargetPrefix     string // prefix; the rest is a target's id
	OwnPrefix        string // prefix of the product's own keys
}

// LookupResult is the answer to a caller that asks which instances to use.
type LookupResult struct {
	Addresses []string // IP:port
	TTL       time.Duration
}

// Adapter translates between a platform and the product.
type Adapter interface {
	StoreKeys() StoreKeys
	HeaderNames() gateway.Dialect
	// Configuration decodes the accepted configuration.
	Configuration(value []byte) (config.TableSource, error)
	// Target decodes a target's registration, without its region.
	Target(id string, value []byte) (affinity.Target, error)
	LookupHandler(lookup func(region, zone string) LookupResult) http.Handler
	ReadyHandler(ready func() bool) http.Handler
}

// Edge is an instance.
type Edge struct {
	Settings
	adapter    Adapter
	keys       StoreKeys
	store      platform.Store
	gateway    *gateway.Gateway
	members    *members
	hub        *hubServer
	follower   *follower
	targets    map[string]registration // in use, by key
	decoded    map[string]registration // newest, by key
	metrics    *metrics.Set
	logs       *logging.Log
	log        *log.Logger
	configured chan struct{}
}

// Provision builds an instance.
func Provision(s Settings, adapter Adapter, store platform.Store, out io.Writer) *Edge {
	logs := logging.New(out, s.LogLevel)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * softMemoryLimitRatio))
	}
	set := metrics.New()
	set.Gauge("log_lines_dropped", logs.Dropped)
	e := &Edge{
		Settings: s, adapter: adapter, keys: adapter.StoreKeys(), store: store, metrics: set, logs: logs, log: logs.Part("edge"), configured: make(chan struct{}),
		targets: map[string]registration{}, decoded: map[string]registration{},
		gateway: gateway.New(gateway.Options{
			Dialect: adapter.HeaderNames(), Region: s.Region, RegionCount: s.regionCount(), MaxKeyStaleness: s.MaxRevocationDelay - revocationMargin,
			RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, Metrics: set, Log: logs.Part("gateway"),
		}, s.Name),
	}
	e.hub = &hubServer{Edge: e, hub: quota.NewHub(), zoneSum: quota.NewAggregator(zoneReporterPrefix+s.Name, uint64(time.Now().UnixNano()))}
	e.follower = newFollower(e)
	e.members = newMembers(s, func() bool { return e.gateway.Staleness() < maxSelfListingStaleness })
	return e
}

// Run serves until stop ends, then leaves gracefully, at the latest when kill
// ends. Each value on reload is noted.
func (e *Edge) Run(stop, kill context.Context, reload <-chan Settings) error {
	defer func() { _ = e.logs.Close() }() // standard output is all there is to report to
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
		defer func() { _ = server.Close() }() // the process ends
		go func() { failed <- server.Serve(l) }()
	}
	e.log.Info().Str("instance", e.Name).Str("zone", e.AvailabilityZone).Str("listen", e.Listen).Msg("life: started")
	go e.follower.run(ctx)
	go e.gateway.CloseIdleConnections(ctx)
	go e.servePeers(ctx, peers)
	go e.report(ctx)
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
	deregister()
	e.shutDown(kill, server)
	<-registered
	return nil
}

func (e *Edge) newCallerServer(ctx context.Context) *http.Server {
	idle := &idleConns{limit: e.idleLimit, idleSince: map[net.Conn]time.Time{}}
	go idle.sweep(ctx)
	server := &http.Server{Handler: e.gateway, ReadHeaderTimeout: defaultHeaderTimeout, ConnState: idle.onConnState}
	if t := e.gateway.Table(); t != nil {
		server.MaxHeaderBytes = t.Limits.HeaderBytes
		if t.Limits.HeaderTimeout > 0 {
			server.ReadHeaderTimeout = t.Limits.HeaderTimeout
		}
	}
	return server
}

// idleLimit returns how long callers' connections may be idle now.
func (e *Edge) idleLimit() time.Duration {
	if t := e.gateway.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// leave serves on what callers still hold look-up answers for, then ends.
func (e *Edge) shutDown(kill context.Context, server *http.Server) {
	begin := time.Now()
	e.log.Info().Int64("in_flight", e.gateway.InFlight()).Msg("life: leaving")
	end := begin.Add(e.ShutdownTimeout - shutdownMargin)
	e.gateway.Drain(begin.Add(e.ShutdownTimeout/2-shutdownMargin), end)
	select {
	case <-time.After(e.ShutdownTimeout - finalRequestGrace):
	case <-kill.Done():
	}
	ctx, cancel := context.WithDeadline(kill, end)
	defer cancel()
	err := server.Shutdown(ctx)
	e.log.Info().Int64("in_flight", e.gateway.InFlight()).AnErr("error", err).Msg("life: ended")
}

// reload notes settings that were read again. What a running process cannot
// change takes effect at its next start.
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

// apply puts changed keys into use.
func (e *Edge) apply(m *mirror.Mirror, changed []string) {
	var configuration, targets, zones, own bool
	for _, key := range changed {
		switch {
		case key == e.keys.Configuration:
			configuration = true
		case strings.HasPrefix(key, e.keys.ClosedZonePrefix):
			zones = true
		case strings.HasPrefix(key, e.keys.TargetPrefix):
			targets = true
		case strings.HasPrefix(key, e.keys.OwnPrefix):
			own = true
		}
	}
	if configuration {
		e.applyConfiguration(m)
	}
	if zones {
		e.applyClosedZones(m)
	}
	if targets {
		e.applyTargets(m)
	}
	if own {
		e.applyMembers(m)
	}
}

func (e *Edge) applyConfiguration(m *mirror.Mirror) {
	entry, ok := m.Get(e.keys.Configuration)
	if !ok {
		return
	}
	source, err := e.adapter.Configuration(entry.Value)
	old := e.gateway.Table()
	switch {
	case err != nil:
		e.log.Error().Err(err).Uint64("revision", entry.Revision).Msg("configuration: cannot be read, the old one stays")
		return
	case old != nil && source.Version < old.Version:
		e.log.Error().Uint64("version", source.Version).Uint64("in_force", old.Version).Msg("configuration: older than the one in force")
		return
	}
	table := config.NewTable(source)
	e.gateway.SetTable(table)
	e.log.Info().Uint64("version", table.Version).Uint64("revision", entry.Revision).
		Int("routes", len(source.Routes)).Int("workspaces", len(source.Workspaces)).Msg("configuration: in force")
	if old == nil {
		close(e.configured)
	}
}

func (e *Edge) applyClosedZones(m *mirror.Mirror) {
	zones := map[string]bool{}
	m.Each(e.keys.ClosedZonePrefix, func(entry platform.Entry) { zones[strings.TrimPrefix(entry.Key, e.keys.ClosedZonePrefix)] = true })
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.SetClosedZones(zones, now) })
	e.log.Info().Uint64("revision", m.Revision()).Strs("zones", sortedKeys(zones)).Msg("zones: changed")
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// now is the clock of beliefs about the store.
func now() time.Duration { return clock.SinceBoot() }
