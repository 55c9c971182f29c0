package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
)

const (
	maxTries       = 3 // targets that one request is sent to
	workspaceCount = 8
	// lostTargetTimeout is the time until a request to a lost target counts as not
	// run.
	lostTargetTimeout = 200 * time.Millisecond
	// A target that becomes cold takes 1 + coldExtraTimeFactor times as long for a
	// request. The extra time decays exponentially with the time constant
	// coldDecayTime.
	coldExtraTimeFactor = 4
	coldDecayTime       = 4 * time.Second
	// lyingTargetSlowdown is how many times as long a lying target takes for a
	// request.
	lyingTargetSlowdown = 3
	// rushRateFactor multiplies the rate of bulk requests in the scenario BulkRush.
	rushRateFactor = 10
	// faultAt is the virtual time at which a scenario's fault sets in.
	faultAt = 3 * time.Second
	// RunDuration is the virtual time in which requests arrive.
	RunDuration = 12 * time.Second
)

// Scenario is what is out of the ordinary in a run.
type Scenario string

// Scenarios. The fault, if there is one, sets in at faultAt.
const (
	// Steady has nothing out of the ordinary.
	Steady Scenario = "steady"
	// Skewed sends half of the callers to the instances of one zone.
	Skewed Scenario = "skewed"
	// StaleReports lets targets report their load every second instead of every
	// 100 ms.
	StaleReports Scenario = "stale reports"
	// FrozenReports ends all load reports at the fault.
	FrozenReports Scenario = "frozen reports"
	// LyingTarget lets the first target of each service report no load and work
	// slowly.
	LyingTarget Scenario = "lying target"
	// ColdTargets drains the targets of one region up to the fault; then they are
	// cold.
	ColdTargets Scenario = "cold targets"
	// BulkRush multiplies the rate of bulk requests from the fault on.
	BulkRush Scenario = "photo-pack rush"
	// The others lose an instance, or the instances and targets of a zone or a
	// region, at the fault.
	InstanceLost Scenario = "instance lost"
	ZoneLost     Scenario = "zone lost"
	RegionLost   Scenario = "region lost"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, Skewed, StaleReports, FrozenReports, LyingTarget, ColdTargets, BulkRush, InstanceLost, ZoneLost, RegionLost}

// Result holds what was measured in a run.
type Result struct {
	Interactive, Bulk *hdrhistogram.Histogram // time to the answer in microseconds, answered requests only
	// InteractiveWithRefused is Interactive with the refused requests added, each
	// with its route's timeout.
	InteractiveWithRefused *hdrhistogram.Histogram
	// Sent and Refused are numbers of requests.
	Sent, Refused int
	// PeakSlotFraction is the largest number of requests that all instances together
	// granted to a target at one time, as a fraction of its slots.
	// PeakLinkFraction is the largest number of response bytes that they granted at
	// one time on a region's link, as a fraction of what it carries in a second.
	PeakSlotFraction, PeakLinkFraction float64
	// WorstRefusedFraction is the fraction of refused requests of the workspace
	// for which it is largest.
	WorstRefusedFraction float64
	// Violations is the number of budgets that placers reported as exceeded.
	Violations int
	// LoanMessages is the number of messages between instances about loans.
	LoanMessages int

	sent, refused [workspaceCount]int // requests of each workspace
}

// target is a simulated target.
type target struct {
	name            string
	zone, slots     int
	running         int // requests that it works on or whose answer it sends
	granted         int // requests that instances have sent to it and that have not ended
	reportedRunning int // running, as of its last report
	draining, lost  bool
	lying           bool      // reports no load and works slowly
	coldSince       time.Time // zero if it was never cold
	peakGranted     int       // largest value of granted
}

// distanceFrom returns 0 for a target in the given zone, 1 for one in its region
// and 2 for one in another region.
func (t *target) distanceFrom(zone int) int {
	switch {
	case t.zone == zone:
		return 0
	case t.zone%regions == zone%regions:
		return 1
	}
	return 2
}

// routeTraffic is the load of a route with what it takes to generate it.
type routeTraffic struct {
	RouteLoad
	route             *config.Route
	targets           []*target
	arrivalsPerSecond float64
}

// model is the state of a run.
type model struct {
	deployment    Deployment
	scenario      Scenario
	policy        Policy
	now           time.Time
	start         time.Time
	queue         events
	rng           *rand.Rand
	choosers      []chooser
	alive         [instances]bool
	targets       map[string]*target
	routes        []*routeTraffic
	linkTransfers [regions]int     // responses being sent on each region's link
	linkLoad      [regions]float64 // granted response bytes on each region's link, as a fraction of a second's
	result        Result
}

// Run simulates a policy in a scenario. load is the rate of requests as a fraction
// of what the targets' slots can serve. The same seed gives the same result.
func Run(d Deployment, p Policy, c Scenario, load float64, seed uint64) Result {
	m := &model{deployment: d, scenario: c, policy: p, start: time.Unix(0, 0), now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*target{}}
	// From 1 µs to 1 min, with 3 significant digits.
	m.result.Interactive = hdrhistogram.New(1, 60_000_000, 3)
	m.result.InteractiveWithRefused = hdrhistogram.New(1, 60_000_000, 3)
	m.result.Bulk = hdrhistogram.New(1, 60_000_000, 3)
	m.build(load)
	for i := range instances {
		m.alive[i] = true
		if p == SharesOnly || p == SharesAndLoans {
			m.choosers = append(m.choosers, newPlacerChooser(m, i))
		} else {
			m.choosers = append(m.choosers, &baseline{policy: p, zone: zoneOf(i), rng: rand.New(rand.NewPCG(seed, uint64(i+2))), inFlight: map[*target]int{}})
		}
	}
	m.schedule(p)
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.summarize()
	return m.result
}

// build creates the targets and the routes with their rates of arrival.
func (m *model) build(load float64) {
	for _, s := range m.deployment.Document.Services {
		for i, ct := range s.Targets {
			m.targets[ct.Name] = &target{name: ct.Name, zone: i % zones, slots: s.Slots, lying: m.scenario == LyingTarget && i == 0}
		}
	}
	for i, w := range m.deployment.RouteLoads {
		route := &m.deployment.Document.Routes[i]
		traffic := &routeTraffic{RouteLoad: w, route: route}
		slots := 0
		for _, s := range m.deployment.Document.Services {
			for _, ct := range s.Targets {
				if s.Name == route.Service {
					traffic.targets = append(traffic.targets, m.targets[ct.Name])
					slots += s.Slots
				}
			}
		}
		slotTime := w.MeanServiceTime + transferTime(route.TypicalResponseBytes, inRegionMbps, 1)
		traffic.arrivalsPerSecond = load * w.LoadFraction * float64(slots) / slotTime.Seconds()
		m.routes = append(m.routes, traffic)
	}
}

// schedule schedules the first arrivals, the load reports, the loans and the
// scenario's fault.
func (m *model) schedule(p Policy) {
	for _, w := range m.routes {
		m.scheduleArrival(w)
	}
	if p == SharesAndLoans {
		for i := range instances {
			m.exchangeLoans(i)
		}
	}
	period := 100 * time.Millisecond
	if m.scenario == StaleReports {
		period = time.Second
	}
	for at := time.Duration(0); at < RunDuration; at += period {
		if m.scenario == FrozenReports && at >= faultAt {
			break
		}
		m.after(at, m.refreshReports)
	}
	if m.scenario == ColdTargets {
		m.forTargetsIn(0, func(t *target) { t.draining = true })
		m.reportDraining()
	}
	m.after(faultAt, func() { m.injectFault() })
}

// refreshReports lets each target report its load. A lying target reports none.
func (m *model) refreshReports() {
	for _, t := range m.targets {
		if t.reportedRunning = t.running; t.lying {
			t.reportedRunning = 0
		}
	}
}

// forTargetsIn calls change for each target in a region.
func (m *model) forTargetsIn(region int, change func(*target)) {
	for _, t := range m.targets {
		if t.zone%regions == region {
			change(t)
		}
	}
}

// reportDraining tells the placers which targets are draining.
func (m *model) reportDraining() {
	for i, c := range m.choosers {
		s, ok := c.(*placerChooser)
		if !ok || !m.alive[i] {
			continue
		}
		for _, t := range m.targets {
			s.ApplyReport(placement.Report{Target: t.name, Draining: t.draining}, m.now)
		}
	}
}

// injectFault applies the scenario's fault, if it has one at faultAt.
func (m *model) injectFault() {
	switch m.scenario {
	case InstanceLost:
		m.alive[0] = false
	case ZoneLost:
		for _, t := range m.targets {
			t.lost = t.lost || t.zone == 0
		}
		m.alive[0], m.alive[6] = false, false // the instances of zone 0
	case RegionLost:
		m.forTargetsIn(0, func(t *target) { t.lost = true })
		for i := range instances {
			m.alive[i] = zoneOf(i)%regions != 0
		}
	case ColdTargets:
		m.forTargetsIn(0, func(t *target) { t.draining, t.coldSince = false, m.now })
		m.reportDraining()
	}
}

// scheduleArrival schedules the next request of a route, which in turn schedules
// the one after it.
func (m *model) scheduleArrival(w *routeTraffic) {
	rate := w.arrivalsPerSecond
	if m.scenario == BulkRush && w.route.Class == config.ClassBulk && m.now.Sub(m.start) >= faultAt {
		rate *= rushRateFactor
	}
	m.after(m.exponential(1/rate), func() {
		if m.now.Sub(m.start) >= RunDuration {
			return
		}
		m.send(w)
		m.scheduleArrival(w)
	})
}

// send sends a new request. Low workspace numbers are more frequent.
func (m *model) send(w *routeTraffic) {
	workspace := int(float64(workspaceCount) * math.Pow(m.rng.Float64(), 2))
	r := &request{routeTraffic: w, instance: m.instanceFor(m.rng.IntN(zones)), workspace: workspace, sent: m.now, serviceTimeFactor: m.rng.ExpFloat64()*0.5 + 0.5}
	m.result.sent[workspace]++
	m.place(r)
}

// instanceFor returns the instance that a caller in a zone uses: one of the zone
// or, if that is lost, any live one. In the scenario Skewed, half of the callers
// use zone 1 whatever their own zone is.
func (m *model) instanceFor(zone int) int {
	if m.scenario == Skewed && m.rng.IntN(2) == 0 {
		zone = 1
	}
	near := zone
	if other := zone + zones; other < instances && m.rng.IntN(2) == 0 {
		near = other
	}
	if m.alive[near] {
		return near
	}
	for {
		if i := m.rng.IntN(instances); m.alive[i] {
			return i
		}
	}
}

// after schedules do for a time from now on.
func (m *model) after(d time.Duration, do func()) { m.at(m.now.Add(d), do) }

// at schedules do for a virtual time.
func (m *model) at(at time.Time, do func()) { heap.Push(&m.queue, event{at, len(m.queue), do}) }

// exponential returns a random, exponentially distributed time; mean is in
// seconds.
func (m *model) exponential(mean float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * mean * float64(time.Second))
}

// summarize computes the totals and the largest fractions of the result.
func (m *model) summarize() {
	r := &m.result
	for i := range workspaceCount {
		r.Sent += r.sent[i]
		r.Refused += r.refused[i]
		if r.sent[i] > 0 {
			r.WorstRefusedFraction = max(r.WorstRefusedFraction, float64(r.refused[i])/float64(r.sent[i]))
		}
	}
	for _, t := range m.targets {
		r.PeakSlotFraction = max(r.PeakSlotFraction, float64(t.peakGranted)/float64(t.slots))
	}
}

// transferTime returns the time to send a response over a link that several
// transfers share evenly, all in flight for the whole time.
func transferTime(responseBytes, mbps, transfers int) time.Duration {
	return time.Duration(float64(responseBytes) * 8 * float64(transfers) / float64(mbps) * float64(time.Microsecond))
}

// event is a function to be run at a virtual time.
type event struct {
	at       time.Time
	sequence int // events waiting when this one was added; not read
	run      func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
