package ratelimit

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

// One-way network delays, as users of the system report them.
const (
	sameRegionDelay  = time.Millisecond / 2
	crossRegionDelay = 20 * time.Millisecond
)

// regionalDelay returns the one-way delay between two zones. The first letter of
// a zone's name is its region.
func regionalDelay(a, b string) time.Duration {
	if a[0] == b[0] {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// arrivalPattern is one way in which a workspace's requests arrive.
type arrivalPattern struct {
	name string
	// next returns the time to the next arrival and the number of requests in it,
	// for a workspace whose limit is rate, in requests per second.
	next func(r *rand.Rand, rate float64) (time.Duration, int)
	// pick returns the index of the instance that gets the arrival's requests.
	pick func(r *rand.Rand, instances int) int
}

// interval returns the time between arrivals at a rate per second.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// steady returns an arrival pattern's next function: one request per arrival, at
// equal intervals. The requests per second are rateShare (1 is 100%) times the rate
// that is passed to next.
func steady(rateShare float64) func(*rand.Rand, float64) (time.Duration, int) {
	return func(_ *rand.Rand, rate float64) (time.Duration, int) { return interval(rate * rateShare), 1 }
}

// poisson is like steady, but the arrivals are a Poisson process.
func poisson(rateShare float64) func(*rand.Rand, float64) (time.Duration, int) {
	return func(r *rand.Rand, rate float64) (time.Duration, int) {
		return time.Duration(r.ExpFloat64() * float64(interval(rate*rateShare))), 1
	}
}

// poissonBursts is like poisson, but each arrival is a burst of size requests. The
// mean number of requests, not of bursts, per second is rateShare times the rate.
func poissonBursts(rateShare float64, size int) func(*rand.Rand, float64) (time.Duration, int) {
	return func(r *rand.Rand, rate float64) (time.Duration, int) {
		return time.Duration(r.ExpFloat64() * float64(interval(rate*rateShare/float64(size)))), size
	}
}

func anyInstance(r *rand.Rand, instances int) int { return r.Intn(instances) }
func oneInstance(*rand.Rand, int) int             { return 1 }

var arrivalPatterns = []arrivalPattern{
	{"even, steady at 90%", steady(0.9), anyInstance},
	{"skewed, steady at 90%", steady(0.9), oneInstance},
	{"even, random at 90%", poisson(0.9), anyInstance},
	{"skewed, random at 90%", poisson(0.9), oneInstance},
	{"even, bursts of 8 at 50%", poissonBursts(0.5, 8), anyInstance},
	{"skewed, bursts of 8 at 50%", poissonBursts(0.5, 8), oneInstance},
	{"even, random at 400%", poisson(4), anyInstance},
	{"skewed, random at 400%", poisson(4), oneInstance},
}

// fleetSetup is a fleet with one instance for each seat, and a workspace's limit.
type fleetSetup struct {
	name  string
	zones []ZoneSeats
	rate  float64 // requests per second
	burst int
	loss  float64 // share of messages lost
}

var smallZones = []ZoneSeats{{"a1", 2}, {"a2", 1}, {"b1", 1}, {"b2", 1}, {"c1", 1}, {"c2", 1}}

// largeZones are 22 zones in 8 regions with 14 or 15 instances each.
func largeZones() []ZoneSeats {
	zones := make([]ZoneSeats, 22)
	for i := range zones {
		zones[i] = ZoneSeats{AvailabilityZone: fmt.Sprintf("%c%d", 'a'+i%8, i), Seats: 14 + i%2}
	}
	return zones
}

var fleetSetups = []fleetSetup{
	{"7 instances, 100/s, burst 10", smallZones, 100, 10, 0},
	{"7 instances, 100/s, burst 10, 5% loss", smallZones, 100, 10, 0.05},
	{"7 instances, 20/s, burst 10", smallZones, 20, 10, 0},
	{"7 instances, 500/s, burst 100", smallZones, 500, 100, 0},
	{"319 instances, 100/s, burst 10", largeZones(), 100, 10, 0},
	{"319 instances, 500/s, burst 100", largeZones(), 500, 100, 0},
}

// startedFleet returns a fleet whose instances have their seats and whose buckets
// are full.
func (s fleetSetup) startedFleet() *fleet {
	f := newFleet(1, s.zones, s.rate, s.burst)
	f.delay = regionalDelay
	for _, z := range s.zones {
		for i := range z.Seats {
			f.start(fmt.Sprintf("%s-%d", z.AvailabilityZone, i), z.AvailabilityZone)
		}
		f.writeSeatTable(z.AvailabilityZone)
	}
	f.advance(time.Second + time.Duration(float64(s.burst)/s.rate*float64(time.Second)))
	f.faults.loss = s.loss
	return f
}

// sendLoad sends requests for the time total, at a rate in requests per second that
// the pattern may scale. It tries the same arrivals on static shares and on one central
// bucket, and returns the number of requests that the static shares refused although
// the central bucket would have admitted them.
func (f *fleet) sendLoad(l arrivalPattern, rate float64, total time.Duration) (staticWrongful int) {
	arrivals := rand.New(rand.NewSource(7))
	static := f.staticShares()
	central := newCentral(rate, int(f.limitBucket.burst), f.now)
	nodes := f.nodes
	for end := f.now.Add(total); f.now.Before(end); {
		wait, count := l.next(arrivals, rate)
		f.advance(wait)
		i := l.pick(arrivals, len(nodes))
		for range count {
			idealAdmits := central.take(f.now)
			if !static[i].Take(testWorkspace, f.now).Allowed && idealAdmits {
				staticWrongful++
			}
			f.sendRequest(nodes[i])
		}
	}
	f.advance(time.Second)
	return staticWrongful
}

// staticShares returns the baseline limiter of each instance.
func (f *fleet) staticShares() []*StaticShares {
	out := make([]*StaticShares, len(f.nodes))
	for i := range out {
		out[i] = NewStaticShares(len(f.nodes))
		out[i].Update(f.snapshot, f.now)
	}
	return out
}

// waitQuantile returns a quantile of the times that admitted requests waited.
func (r result) waitQuantile(q float64) time.Duration {
	if len(r.waitTimes) == 0 {
		return 0
	}
	slices.Sort(r.waitTimes)
	return r.waitTimes[int(q*float64(len(r.waitTimes)-1))]
}

// TestWrongfulRefusals compares the limiter with equal static shares and with one
// central bucket. A refusal is wrongful if the central bucket would have admitted
// the request. Run it with -v for the table.
func TestWrongfulRefusals(t *testing.T) {
	for _, s := range fleetSetups {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			compare(t, s)
		})
	}
}

// compare prints one row for each arrival pattern and checks the limiter's
// refusals.
func compare(t *testing.T, s fleetSetup) {
	const total = 30 * time.Second
	t.Logf("%s\n%-28s %8s %8s %8s %8s %8s %8s %9s %9s %9s", s.name, "load", "requests", "ideal", "static", "limiter",
		"refused", "waited", "wait p50", "wait p99", "msg/s")
	for _, l := range arrivalPatterns {
		f := s.startedFleet()
		before := f.result.messages
		static := f.sendLoad(l, s.rate, total)
		r := f.result
		t.Logf("%-28s %8d %8d %8d %8d %8d %8d %9s %9s %9.1f", l.name, r.requests, r.idealRefused, static, r.wrongfulRefusals,
			r.refused, r.waited, r.waitQuantile(0.5).Round(time.Millisecond), r.waitQuantile(0.99).Round(time.Millisecond),
			float64(r.messages-before)/total.Seconds())
		if f.violation != "" {
			t.Errorf("%s: %s: %s", s.name, l.name, f.violation)
		}
		checkRefusals(t, s, l, r, static)
	}
}

// checkRefusals fails if the limiter refuses more requests than it should. Under
// overload any of the requests may be the ones admitted, so only their number
// counts. Lost messages lose tokens, so that in a lossy network only the
// comparison with static shares, for skewed loads, applies.
func checkRefusals(t *testing.T, s fleetSetup, l arrivalPattern, r result, static int) {
	t.Helper()
	if strings.Contains(l.name, "400%") {
		if missing := r.refused - r.idealRefused; missing*50 > r.requests-r.idealRefused && s.loss == 0 {
			t.Errorf("%s: %s: %d admissions fewer than ideal, want at most 2%%", s.name, l.name, missing)
		}
		return
	}
	if strings.Contains(l.name, "steady") && s.loss == 0 && r.wrongfulRefusals > 0 {
		t.Errorf("%s: %s: %d wrongful refusals, want none", s.name, l.name, r.wrongfulRefusals)
	}
	if strings.HasPrefix(l.name, "skewed") && r.wrongfulRefusals*10 > static {
		t.Errorf("%s: %s: %d wrongful refusals, want a tenth of %d", s.name, l.name, r.wrongfulRefusals, static)
	}
}

// TestOwnerKilled kills the owner of a part of a workspace's limit under a load of
// 90% and starts a new instance in its place. The limit must hold throughout, and
// the part must be in use again afterwards. Run it with -v for the number of
// wrongful refusals in each phase.
func TestOwnerKilled(t *testing.T) {
	const detection = 10 * time.Second // until the platform's list shows the loss
	s := fleetSetups[0]
	f := s.startedFleet()
	owner := f.owners()[0]
	wrongfulRefusals := func(total time.Duration) int {
		before := f.result.wrongfulRefusals
		f.sendLoad(arrivalPatterns[0], s.rate, total)
		return f.result.wrongfulRefusals - before
	}
	if n := wrongfulRefusals(5 * time.Second); n != 0 {
		t.Errorf("%d wrongful refusals before the owner is killed, want none", n)
	}
	owner.dead = true
	whileDown := wrongfulRefusals(detection)
	f.start("fresh", owner.zone)
	f.writeSeatTable(owner.zone)
	whileSettling := wrongfulRefusals(testSettle + time.Second)
	afterwards := wrongfulRefusals(10 * time.Second)
	t.Logf("wrongful refusals: %d in %s until the loss is known, %d in the %s until the share is back, %d in 10s after it",
		whileDown, detection, whileSettling, testSettle+time.Second, afterwards)
	if f.violation != "" {
		t.Error(f.violation)
	}
	if len(f.owners()) != 2 {
		t.Errorf("%d owners after the replacement, want 2", len(f.owners()))
	}
}

// owners returns the instances that may use a part of the workspace's rate now.
func (f *fleet) owners() []*node {
	var out []*node
	for _, n := range f.nodes {
		if w := n.limiter.workspaces[testWorkspace]; !n.dead && w != nil && n.limiter.ownsShare(w, f.now) && w.share.current.rate > 0 {
			out = append(out, n)
		}
	}
	return out
}
