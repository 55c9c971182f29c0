// Package gateway is the HTTP data path on a platform where the configuration
// is accepted by another service and targets register themselves: it checks API
// keys and quotas, chooses a target for each request and proxies the request to
// it, with a bounded number of retries.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
	"github.com/turmericfield/turmericfield/internal/split"
)

// HeaderNames holds the names of the HTTP headers that a platform's callers and
// targets use.
type HeaderNames struct {
	RequestID        string // identifies one request of a caller; targets return it unchanged
	Deadline         string // how long the caller waits, in milliseconds
	Object           string // the object that the request concerns; requests for one object prefer one target
	APIKey           string // the caller's API key
	Workspace        string // tells the target which workspace the request belongs to
	ExpectedInstance string // id of the only target that may run the request
	Signature        string // the target's signature of its response
	NotRun           string // set by a target that did not run the request
	Load             string // the target's load as "running,waiting,slots", in requests
	Leaving          string // set to 1 by a target that shuts down and wants no further requests
}

// Options holds the settings and dependencies of a gateway.
type Options struct {
	HeaderNames HeaderNames
	Region      string // region of this instance
	RegionCount int    // number of regions of the fleet
	// MaxKeyStaleness bounds the time since the configuration was last known to
	// be current. Beyond it, API keys are no longer trusted, and requests that need one
	// are refused. It is also the time after which the instance uses a larger share of
	// the quotas when others have left.
	MaxKeyStaleness time.Duration
	// MaxConfigurationStaleness is the same bound for the rest of the configuration:
	// beyond it, requests that only some regions may run are refused, and none is denied
	// for good.
	MaxConfigurationStaleness time.Duration
	// RetryRatio and RetryExtra bound the fleet's retries, which are sends of a
	// request to a further target: RetryRatio is a share of the requests,
	// RetryExtra a number of retries in each window on top of it.
	RetryRatio float64
	RetryExtra float64
	MaxShift   float64 // see affinity.Balancer.SetMaxShift
	// RefreshQuota asks for newer quota levels and waits for some until the context ends. It
	// reports whether some came. nil means that there are none to be had.
	RefreshQuota func(ctx context.Context) bool
	Metrics      *metrics.Set
	Log          *log.Logger
}

// Gateway is the http.Handler that serves callers.
type Gateway struct {
	Options

	table atomic.Pointer[config.RoutingTable]
	// currentAsOf is the latest time, in nanoseconds since boot, at which table
	// was known to be current.
	currentAsOf atomic.Int64

	mu       sync.Mutex // guards the following five, which are not safe for concurrent use
	balancer *affinity.Balancer
	limiter  *quota.Limiter
	splitter *split.Splitter
	retries  *retryBudget
	waiting  *waitingRoom

	pool     *pool
	inFlight atomic.Int64
	// drainEnd is the time by which all requests must have been answered; nil if the
	// instance is not draining.
	drainEnd atomic.Pointer[time.Time]
}

// New returns a gateway for the instance named self. It refuses requests until
// SetTable has been called.
func New(options Options, self string) *Gateway {
	g := &Gateway{
		Options: options, balancer: affinity.New(self, options.Region, options.RegionCount), limiter: quota.New(self, uint64(time.Now().UnixNano()), options.MaxKeyStaleness), splitter: split.New(rand.Uint64()),
		retries: newRetryBudget(options.RetryRatio, options.RetryExtra), waiting: newWaitingRoom(), pool: newPool(),
	}
	options.Metrics.Gauge("requests_waiting", g.waitingRequests)
	g.balancer.SetMaxShift(options.MaxShift)
	return g
}

// SetTable makes t the configuration in force.
func (g *Gateway) SetTable(t *config.RoutingTable) {
	g.mu.Lock()
	for name, s := range t.Services {
		g.balancer.SetColdStart(name, s.ColdRate, s.ColdStart)
	}
	g.balancer.SetHomeRegionShares(t.HomeRegionShares())
	g.mu.Unlock()
	g.table.Store(t)
	g.addAvailabilityGauges(t)
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *config.RoutingTable { return g.table.Load() }

// SetCurrentAsOf records that the table was known to be current at the given
// time since boot.
func (g *Gateway) SetCurrentAsOf(at time.Duration) { g.currentAsOf.Store(int64(at)) }

// Staleness returns the time since the table was last known to be current,
// which is an upper bound on how outdated it may be.
func (g *Gateway) Staleness() time.Duration {
	return clock.SinceBoot() - time.Duration(g.currentAsOf.Load())
}

// WithState calls f with the balancer, the quota limiter and the current time
// since boot, while no request is being routed. Changes of targets' availability to
// which f leads take effect on the connections before it returns.
func (g *Gateway) WithState(f func(b *affinity.Balancer, q *quota.Limiter, now time.Duration)) {
	g.mu.Lock()
	f(g.balancer, g.limiter, clock.SinceBoot())
	changes := g.balancer.AvailabilityChanges()
	g.mu.Unlock()
	g.applyAvailability(changes)
}

// SetInstances sets the names of the live instances of the fleet, by which
// quotas and retries are divided.
func (g *Gateway) SetInstances(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	g.balancer.SetInstances(names, now)
	g.limiter.SetInstances(len(names), now)
	g.retries.setInstances(len(names))
}

// Drain makes the gateway close each caller's connection after its next response. Requests
// whose deadline is after end are refused, since they might be cut off then.
func (g *Gateway) Drain(end time.Time) { g.drainEnd.Store(&end) }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// waitingRequests returns the number of requests that wait for room at a target.
func (g *Gateway) waitingRequests() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.waiting.line.Len())
}

// CloseIdleConnections closes connections to targets that have been idle for
// too long, once a second until the context ends.
func (g *Gateway) CloseIdleConnections(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			g.pool.closeExpired()
		}
	}
}

// keysTrusted reports whether the table is current enough for its API keys.
func (g *Gateway) keysTrusted() bool { return g.Staleness() < g.MaxKeyStaleness }

// configurationTrusted reports whether the table is current enough for its home regions,
// and for what it does not allow.
func (g *Gateway) configurationTrusted() bool { return g.Staleness() < g.MaxConfigurationStaleness }

// Ready reports whether the instance can serve callers: it has a current
// configuration and is not draining.
func (g *Gateway) Ready() bool {
	return g.drainEnd.Load() == nil && g.table.Load() != nil && g.keysTrusted()
}

// jitter returns a random duration between d and 4/3 of it, so that refused
// callers do not all retry at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + rand.Float64()/3))
}
