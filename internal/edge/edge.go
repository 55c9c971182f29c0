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
	keySlack = 700 * time.Millisecond
	// registrationGrace is how long after the store's return a lapsed entry may
	// come back.
	registrationGrace = 2 * time.Second
	// outage is the time without contact after which entries may have lapsed; it
	// is longer than a watch waits.
	outage = 2500 * time.Millisecond
	// lookupLife is how long a caller may use a look-up's answer.
	lookupLife = 2 * time.Second
	// nameableAge is the age of the proof that keys are current up to which an
	// instance names itself to callers; an answer lives about as long as the rest
	// of the time in which keys are trusted.
	nameableAge = 2500 * time.Millisecond
	// finishTime is kept for requests in flight before a leaving instance ends.
	finishTime = 2 * time.Second
	// endSlack is the time before the shutdown bound at which the process ends.
	endSlack = 300 * time.Millisecond
	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	memoryShare = 0.6
	// defaultIdle and defaultHeader bound callers before a configuration is known.
	defaultIdle   = 60 * time.Second
	defaultHeader = 5 * time.Second
	// firstConfiguration is how long a start waits for a configuration before
	// callers are answered at all.
	firstConfiguration = time.Second
	// sumPrefix marks the name under which an instance reports the sum of its zone.
	sumPrefix = "zone of "
	// expireInterval is the time between two looks for entries that did not come
	// back.
	expireInterval = 250 * time.Millisecond
)

// Settings of an instance.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	Regions          map[string]string // availability zone → region

	Listen          string // IP:port for callers
	ReadyListen     string // IP:port of readiness checks
	DirectoryListen string // IP:port of look-ups
	PeerListen      string // IP:port for other instances
	MetricsListen   string // IP:port of metrics; empty for none
	Store           string // IP:port

	LinkMbps      float64       // of the instance's own link; 0 if unknown
	MemoryBytes   int64         // limit of the process; 0 if there is none
	KeyBound      time.Duration // a withdrawn key is refused this long after its withdrawal
	ShutdownBound time.Duration // from SIGTERM to the end of the process
	RetryRatio    float64       // sends to second targets per request
	RetryExtra    float64       // sends to second targets in a window of the fleet
	MaxLookupLife time.Duration
	LogLevel      string
}

// WatchWait returns how long a watch of the store, or of another instance, may be
// held without news. An answer proves that keys were current when it was asked for,
// so the proof is up to two such times old, three by way of another instance, and
// the rest of the bound is left for a lost store.
func (s Settings) WatchWait() time.Duration { return s.KeyBound / 10 }

// regionCount returns the number of regions that the settings name.
func (s Settings) regionCount() int {
	regions := map[string]bool{s.Region: true}
	for _, region := range s.Regions {
		regions[region] = true
	}
	return len(regions)
}

// Keys are where the platform keeps what in its store.
type Keys struct {
	Configuration string // key
	ClosedZones   string // prefix; the rest is an availability zone that gets nothing
	Targets       string // prefix; the rest is a target's id
	Own           string // prefix of the product's own keys
}

// Lookup is the answer to a caller that asks which instances to use.
type Lookup struct {
	Addresses []string // IP:port
	Life      time.Duration
}

// Adapter translates between a platform and the product.
type Adapter interface {
	Keys() Keys
	Dialect() gateway.Dialect
	// Configuration decodes the accepted configuration.
	Configuration(value []byte) (config.TableSource, error)
	// Target decodes a target's registration, without its region.
	Target(id string, value []byte) (affinity.Target, error)
	LookupHandler(lookup func(region, zone string) Lookup) http.Handler
	ReadyHandler(ready func() bool) http.Handler
}

// Edge is an instance.
type Edge struct {
	Settings
	adapter  Adapter
	keys     Keys
	store    platform.Store
	gateway  *gateway.Gateway
	members  *members
	hub      *hubServer
	follower *follower
	targets  map[string]registration // in use, by key
	decoded  map[string]registration // newest, by key
	metrics  *metrics.Set
	logs     *logging.Log
	log      *log.Logger
	tableSet chan struct{}
}

// Provision builds an instance.
func Provision(s Settings, adapter Adapter, store platform.Store, out io.Writer) *Edge {
	logs := logging.New(out, s.LogLevel)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	set := metrics.New()
	set.Gauge("log_lines_dropped", logs.Dropped)
	e := &Edge{
		Settings: s, adapter: adapter, keys: adapter.Keys(), store: store, metrics: set, logs: logs, log: logs.Part("edge"), tableSet: make(chan struct{}),
		targets: map[string]registration{}, decoded: map[string]registration{},
		gateway: gateway.New(gateway.Options{
			Dialect: adapter.Dialect(), Region: s.Region, RegionCount: s.regionCount(), MaxKeyStaleness: s.KeyBound - keySlack,
			RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, Metrics: set, Log: logs.Part("gateway"),
		}, s.Name),
	}
	e.hub = &hubServer{Edge: e, hub: quota.NewHub(), sum: quota.NewSum(sumPrefix+s.Name, uint64(time.Now().UnixNano()))}
	e.follower = newFollower(e)
	e.members = newMembers(s, func() bool { return e.gateway.Staleness() < nameableAge })
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
	side := map[string]http.Handler{
		e.ReadyListen:     e.adapter.ReadyHandler(e.gateway.Ready),
		e.DirectoryListen: e.adapter.LookupHandler(e.members.lookup),
	}
	if e.MetricsListen != "" {
		side[e.MetricsListen] = e.metrics
	}
	failed := make(chan error, len(side)+1)
	for address, handler := range side {
		l, err := listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeader, IdleTimeout: defaultIdle}
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
	case <-e.tableSet:
	case <-time.After(firstConfiguration):
	case <-stop.Done():
	}
	server := e.frontServer(ctx)
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
	e.leave(kill, server)
	<-registered
	return nil
}

func (e *Edge) frontServer(ctx context.Context) *http.Server {
	idle := &idleConns{limit: e.idleLimit, since: map[net.Conn]time.Time{}}
	go idle.sweep(ctx)
	server := &http.Server{Handler: e.gateway, ReadHeaderTimeout: defaultHeader, ConnState: idle.note}
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
	return defaultIdle
}

// leave serves on what callers still hold look-up answers for, then ends.
func (e *Edge) leave(kill context.Context, server *http.Server) {
	begin := time.Now()
	e.log.Info().Int64("in_flight", e.gateway.InFlight()).Msg("life: leaving")
	end := begin.Add(e.ShutdownBound - endSlack)
	e.gateway.Drain(begin.Add(e.ShutdownBound/2-endSlack), end)
	select {
	case <-time.After(e.ShutdownBound - finishTime):
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
	if s.Store != e.Store {
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
		case strings.HasPrefix(key, e.keys.ClosedZones):
			zones = true
		case strings.HasPrefix(key, e.keys.Targets):
			targets = true
		case strings.HasPrefix(key, e.keys.Own):
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
		close(e.tableSet)
	}
}

func (e *Edge) applyClosedZones(m *mirror.Mirror) {
	zones := map[string]bool{}
	m.Each(e.keys.ClosedZones, func(entry platform.Entry) { zones[strings.TrimPrefix(entry.Key, e.keys.ClosedZones)] = true })
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Shares, now time.Duration) { b.SetClosedZones(zones, now) })
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
