package bench

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
	maxTries            = 3
	workspaceCount      = 8
	lostTargetTimeout   = 200 * time.Millisecond // until a lost target counts as failed
	coldExtraTimeFactor = 4                      // a cold target's work takes 1 + this times as long
	coldDecayTime       = 4 * time.Second
	lyingTargetSlowdown = 3 // a lying target's work takes this times as long
	rushRateFactor      = 10
	faultAt             = 3 * time.Second
	// RunDuration of a run in virtual time.
	RunDuration = 12 * time.Second
)

// Scenario is a condition of a run.
type Scenario string

// Cases.
const (
	Steady        Scenario = "steady"
	Skewed        Scenario = "skewed"
	StaleReports  Scenario = "stale reports"
	FrozenReports Scenario = "frozen reports"
	LyingTarget   Scenario = "lying target"
	ColdTargets   Scenario = "cold targets"
	BulkRush      Scenario = "photo-pack rush"
	InstanceLost  Scenario = "instance lost"
	ZoneLost      Scenario = "zone lost"
	RegionLost    Scenario = "region lost"
)

// Scenarios lists all cases.
var Scenarios = []Scenario{Steady, Skewed, StaleReports, FrozenReports, LyingTarget, ColdTargets, BulkRush, InstanceLost, ZoneLost, RegionLost}

// Result is the outcome of a run.
type Result struct {
	Interactive, Bulk *hdrhistogram.Histogram // microseconds, answered requests
	// InteractiveWithRefused holds the interactive requests, with a refused one counted as the
	// route's timeout.
	InteractiveWithRefused *hdrhistogram.Histogram
	Sent, Refused          int
	// PeakSlotFraction and PeakLinkFraction are the largest parts of a target's slots and of a
	// link's budget that were granted at once by all instances.
	PeakSlotFraction, PeakLinkFraction float64
	// WorstRefusedFraction is the largest part of one workspace's requests refused.
	WorstRefusedFraction float64
	// Violations of the program's own invariants.
	Violations int
	// LoanMessages between instances about loans.
	LoanMessages int

	sent, refused [workspaceCount]int
}

type target struct {
	name            string
	zone, slots     int
	running         int
	granted         int
	reportedRunning int
	draining, lost  bool
	lying           bool
	coldSince       time.Time
	peakGranted     int
}

func (t *target) distanceFrom(zone int) int {
	switch {
	case t.zone == zone:
		return 0
	case t.zone%regions == zone%regions:
		return 1
	}
	return 2
}

type routeTraffic struct {
	RouteLoad
	route             *config.Route
	targets           []*target
	arrivalsPerSecond float64 // arrivals per second
}

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
	linkTransfers [regions]int     // transfers on a region's link
	linkLoad      [regions]float64 // bytes granted by class on a region's link
	result        Result
}

// Run replays one case at a load, as a part of the whole capacity, to a policy.
func Run(d Deployment, p Policy, c Scenario, load float64, seed uint64) Result {
	m := &model{deployment: d, scenario: c, policy: p, start: time.Unix(0, 0), now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*target{}}
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

// schedule sets off arrivals, reports and the case's fault.
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

func (m *model) refreshReports() {
	for _, t := range m.targets {
		if t.reportedRunning = t.running; t.lying {
			t.reportedRunning = 0
		}
	}
}

func (m *model) forTargetsIn(region int, change func(*target)) {
	for _, t := range m.targets {
		if t.zone%regions == region {
			change(t)
		}
	}
}

// announce tells the placers which targets are draining.
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

func (m *model) injectFault() {
	switch m.scenario {
	case InstanceLost:
		m.alive[0] = false
	case ZoneLost:
		for _, t := range m.targets {
			t.lost = t.lost || t.zone == 0
		}
		m.alive[0], m.alive[6] = false, false
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

// arrive runs one arrival and schedules the next.
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

func (m *model) send(w *routeTraffic) {
	workspace := int(float64(workspaceCount) * math.Pow(m.rng.Float64(), 2))
	r := &request{routeTraffic: w, instance: m.instanceFor(m.rng.IntN(zones)), workspace: workspace, sent: m.now, serviceTimeFactor: m.rng.ExpFloat64()*0.5 + 0.5}
	m.result.sent[workspace]++
	m.place(r)
}

// instanceOf returns the instance that a caller of a zone uses: one of the zone
// if any is alive. In the skewed case half of the callers are in one zone.
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

func (m *model) after(d time.Duration, do func()) { m.at(m.now.Add(d), do) }

func (m *model) at(at time.Time, do func()) { heap.Push(&m.queue, event{at, len(m.queue), do}) }

func (m *model) exponential(mean float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * mean * float64(time.Second))
}

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

// transfer returns the time of an answer over a link shared by some flows.
func transferTime(bytes, mbps, flows int) time.Duration {
	return time.Duration(float64(bytes) * 8 * float64(flows) / float64(mbps) * float64(time.Microsecond))
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

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
