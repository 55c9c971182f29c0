// Package gateway is the data path on a platform where the configuration is
// accepted elsewhere and targets register themselves: it checks keys and
// quotas and runs each request on a target.
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

// Dialect names the headers that callers and targets use.
type Dialect struct {
	RequestID        string // identifies one request of a caller; targets echo it
	Deadline         string // milliseconds that the caller waits
	Object           string // what the request concerns
	Key              string // the caller's key
	Workspace        string // tells a target whose request it is
	ExpectedInstance string // the only target that may run the request
	Proof            string // a target's signature of its answer
	NotRun           string // present if the target did not run the request
	Load             string // running, waiting and slots of a target
}

// Options are the parts that a gateway works with.
type Options struct {
	Dialect Dialect
	Region  string // of this instance
	Regions int    // number of regions
	// KeyFreshness is how long keys are trusted without proof that they are
	// current.
	KeyFreshness time.Duration
	// RetryRatio and RetryExtra bound the sends to second targets: a share of
	// the requests, and a number in each window of the fleet.
	RetryRatio float64
	RetryExtra float64
	Metrics    *metrics.Set
	Log        *log.Logger
}

// Gateway serves callers.
type Gateway struct {
	Options

	table atomic.Pointer[config.Table]
	// evidence is the time since boot at which the table was surely current.
	evidence atomic.Int64

	mu       sync.Mutex // guards the cores below
	balancer *affinity.Balancer
	quotas   *quota.Limiter
	splits   *split.Splitter
	retries  *retryBudget

	pool     *pool
	inFlight atomic.Int64
	leaving  atomic.Pointer[departure]
}

// departure is when a leaving instance stops to take what it cannot finish.
type departure struct {
	lastStart time.Time // later requests must end before the process does
	end       time.Time
}

// New returns a gateway of the named instance that knows no configuration yet.
func New(o Options, self string) *Gateway {
	return &Gateway{
		Options: o, balancer: affinity.New(self, o.Region, o.Regions), quotas: quota.New(self, uint64(time.Now().UnixNano()), o.KeyFreshness), splits: split.New(),
		retries: newRetryBudget(o.RetryRatio, o.RetryExtra), pool: newPool(),
	}
}

// SetTable puts a configuration in force.
func (g *Gateway) SetTable(t *config.Table) {
	g.mu.Lock()
	for name, s := range t.Services {
		g.balancer.SetColdStart(name, s.ColdRate, s.ColdStart)
	}
	g.balancer.SetHomeRegionShares(t.HomedParts())
	g.mu.Unlock()
	g.table.Store(t)
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *config.Table { return g.table.Load() }

// SetEvidence notes that the table was current at a time since boot.
func (g *Gateway) SetEvidence(at time.Duration) { g.evidence.Store(int64(at)) }

// EvidenceAge returns how long ago the table was surely current.
func (g *Gateway) EvidenceAge() time.Duration {
	return clock.SinceBoot() - time.Duration(g.evidence.Load())
}

// Update lets the caller change what the gateway knows of targets and
// instances while no request is being decided.
func (g *Gateway) Update(f func(b *affinity.Balancer, q *quota.Limiter, now time.Duration)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.balancer, g.quotas, clock.SinceBoot())
}

// SetInstances sets the live instances' names.
func (g *Gateway) SetInstances(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetInstances(names)
	g.quotas.SetInstances(len(names), clock.SinceBoot())
	g.retries.setInstances(len(names))
}

// Leave makes callers close their connections after their next answer. Requests
// that start after lastStart and could last beyond the end are refused.
func (g *Gateway) Leave(lastStart, end time.Time) { g.leaving.Store(&departure{lastStart, end}) }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Maintain closes idle connections until the context ends.
func (g *Gateway) Maintain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			g.pool.sweep()
		}
	}
}

// keysFresh tells whether keys may be trusted now.
func (g *Gateway) keysFresh() bool { return g.EvidenceAge() < g.KeyFreshness }

// Ready tells whether the instance can serve callers.
func (g *Gateway) Ready() bool {
	return g.leaving.Load() == nil && g.table.Load() != nil && g.keysFresh()
}

// jitter spreads a time by a third, so that callers don't return together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + rand.Float64()/3))
}
