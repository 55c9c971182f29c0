package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	zoneDelay    = 500 * time.Microsecond // one way, within an availability zone
	reportLimit  = 400 * time.Millisecond // time after which a report counts as failed
	askPause     = 50 * time.Millisecond  // least time between the begins of two reports
	flatFleet    = 48                     // largest fleet without aggregators
	maxFailovers = 4                      // receivers that one report tries
)

// unstableFleet simulates in virtual time a fleet whose instances are killed and start again,
// with hubs, aggregators and the choice between them.
type unstableFleet struct {
	nodes      []*unstableNode
	workspaces []*config.Workspace
	callers    [][]int // by workspace: the instances that its callers use
	random     *rand.Rand
	now        time.Duration
	events     eventHeap
	asked      []time.Duration
	refused    []time.Duration   // that one bucket for the whole fleet would have admitted
	ideal      []idealBucket     // by workspace
	admitted   [][]time.Duration // by workspace
}

// idealBucket is the token bucket that a workspace's quota describes.
type idealBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// take takes a token for a request, and reports whether there was one.
func (b *idealBucket) take(w *config.Workspace, now time.Duration) bool {
	b.tokens = min(b.tokens+w.Rate*(now-b.refilledAt).Seconds(), float64(w.Burst))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type unstableNode struct {
	fleet            *unstableFleet
	index, zone      int
	started          uint64
	up               bool
	silent           bool // while down, it does not even refuse connections
	leaving          bool // it has got SIGTERM and serves on until it ends
	unregistered     bool
	cutOff           bool   // messages to and from it are lost
	suspended        bool   // it does nothing until it wakes up
	view             []bool // by instance: registered, as far as this one knows
	limiter          *Limiter
	aggregator       *Aggregator
	hub              *Hub
	toAggregator     Failover
	toHub            Failover
	own, zones       testRoute // of the instance's own reports, and of its zone's
	reporting        bool
	reportedAt       time.Duration
	waiting          []pendingRequest
	workspacesByName map[string]*config.Workspace
}

type pendingRequest struct {
	workspace int
	within    bool // the quota
	until     time.Duration
}

// event is an action at a point in virtual time.
type event struct {
	at time.Duration
	n  int // order of events at the same time
	do func()
}

// eventHeap is a heap.Interface of events, the earliest first.
type eventHeap struct {
	list []event
	n    int // of the last event
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(event)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

func (f *unstableFleet) after(d time.Duration, do func()) {
	f.events.n++
	heap.Push(&f.events, event{f.now + d, f.events.n, do})
}

// newUnstableFleet returns a fleet of n instances in nine zones with workspaces of different
// sizes, the callers of each of which use a few instances.
func newUnstableFleet(n int, seed uint64) *unstableFleet {
	f := &unstableFleet{random: rand.New(rand.NewPCG(seed, 9))}
	byName := map[string]*config.Workspace{}
	for i, rate := range []float64{8, 19, 49, 200} {
		w := &config.Workspace{Name: fmt.Sprint("w", i), Rate: rate, Burst: int(rate)}
		f.workspaces, byName[w.Name] = append(f.workspaces, w), w
		var callers []int
		for range min(6, n) {
			callers = append(callers, f.random.IntN(n))
		}
		f.callers, f.ideal = append(f.callers, callers), append(f.ideal, idealBucket{tokens: rate})
	}
	f.admitted = make([][]time.Duration, len(f.workspaces))
	for i := range n {
		node := &unstableNode{fleet: f, index: i, zone: i % testZones, workspacesByName: byName, view: make([]bool, n)}
		for j := range node.view {
			node.view[j] = true
		}
		f.nodes = append(f.nodes, node)
	}
	for _, node := range f.nodes {
		node.start()
	}
	return f
}

// viewDelay is the largest time after which an instance learns of a changed registration.
const viewDelay = 100 * time.Millisecond

// register tells all instances that one is registered now, or is not.
func (f *unstableFleet) register(index int, registered bool) {
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.IntN(int(viewDelay))), func() {
			n.view[index] = registered || n.index == index
			n.limiter.SetInstances(n.listed(), f.now)
		})
	}
}

// listed returns the number of registered instances that this one knows, itself included.
func (n *unstableNode) listed() (count int) {
	for _, registered := range n.view {
		if registered {
			count++
		}
	}
	return count
}

// stop is a planned stop and start: the instance leaves the list at once, serves on for the
// grace period and is back after a pause.
func (n *unstableNode) stop(grace, pause time.Duration) {
	if !n.up || n.leaving {
		return
	}
	started := n.started
	n.leaving, n.unregistered = true, true
	n.limiter.Leave()
	n.fleet.register(n.index, false)
	n.fleet.after(grace, func() {
		if n.started == started && n.up {
			n.kill(pause, false)
		}
	})
}

// members returns the instances of a zone, or all for zone -1, that this one takes for live,
// in rank order.
func (n *unstableNode) members(zone int) (list []*unstableNode) {
	for _, other := range n.fleet.nodes {
		if n.view[other.index] && (zone < 0 || other.zone == zone) {
			list = append(list, other)
		}
	}
	if i := slices.Index(list, n); n.leaving && i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	for _, other := range n.fleet.nodes { // last, those that may still be about to stop
		if !slices.Contains(list, other) && (zone < 0 || other.zone == zone) {
			list = append(list, other)
		}
	}
	return list
}

// start starts the instance's process, which knows nothing of an earlier one.
func (n *unstableNode) start() {
	n.started++
	name := fmt.Sprint("i", n.index)
	n.up, n.silent, n.leaving, n.reporting, n.reportedAt, n.waiting = true, false, false, false, -time.Second, nil
	if n.unregistered {
		n.unregistered = false
		n.fleet.register(n.index, true)
	}
	n.limiter = New(name, n.started, 4*time.Second)
	n.limiter.SetInstances(n.listed(), n.fleet.now)
	if len(n.fleet.nodes) > 1 {
		n.limiter.Join(n.fleet.now)
	}
	n.aggregator, n.hub = NewAggregator("zone of "+name, n.started), NewHub()
	n.aggregator.SetWorkspaces(n.workspacesByName)
	n.hub.SetWorkspaces(n.workspacesByName)
	n.hub.SetGeneration(n.started*10000 + uint64(n.index) + 1)
	n.toAggregator, n.toHub, n.own, n.zones = Failover{}, Failover{}, testRoute{}, testRoute{}
	n.fleet.after(time.Duration(n.fleet.random.IntN(int(ReportInterval))), n.ticker(n.started))
}

// ticker reports every ReportInterval until the process ends.
func (n *unstableNode) ticker(started uint64) func() {
	return func() {
		if n.up && n.started == started {
			n.report()
			n.fleet.after(ReportInterval, n.ticker(started))
		}
	}
}

// kill ends a process for a time.
func (n *unstableNode) kill(d time.Duration, silent bool) {
	n.up, n.silent = false, silent
	n.waiting = nil // their callers ask elsewhere
	n.fleet.after(d, n.start)
}

// zoneMember returns the instance of a rank in this one's zone.
func (n *unstableNode) zoneMember(rank int) *unstableNode {
	members := n.members(n.zone)
	return members[rank%len(members)]
}

// report sends the reports of one round, unless the last round has not ended or begun
// just before.
func (n *unstableNode) report() {
	f := n.fleet
	if n.reporting || n.suspended || f.now-n.reportedAt < askPause {
		return
	}
	n.reporting, n.reportedAt = true, f.now
	done := func() { n.reporting = false }
	own := func(done func()) {
		n.sendTo(&n.toAggregator, &n.own, ZoneTTL, func(rank int) *unstableNode { return n.zoneMember(rank) }, n.limiter.Report, func(to *unstableNode, r Report) (Levels, bool) {
			to.aggregator.SetLeaving(to.leaving && to.members(to.zone)[0] != to)
			l, ok := to.aggregator.Handle(r, f.now)
			if !ok {
				to.report()
			}
			return l, !ok || !to.aggregator.leaving || l.Released
		}, n.takeLevels, done)
	}
	atHub := func(to *unstableNode, r Report) (Levels, bool) {
		instances := to.listed()
		if to.leaving { // others may be leaving too
			instances = max(instances, to.limiter.Instances(f.now))
		}
		to.hub.SetInstances(instances, to.limiter.Instances(f.now))
		to.hub.SetLeaving(to.leaving && to.listed() > 1)
		l := to.hub.Handle(r, f.now)
		return l, !to.hub.leaving || l.Released
	}
	hub := func(rank int) *unstableNode { members := n.members(-1); return members[rank%len(members)] }
	switch {
	case n.listed() <= flatFleet:
		n.sendTo(&n.toHub, &n.own, FlatTTL, hub, n.limiter.Report, atHub, n.takeLevels, done)
	case n.zoneMember(n.toAggregator.Rank()) == n || n.aggregator.HasReporters(f.now):
		n.sendTo(&n.toHub, &n.zones, FlatTTL, hub, func() Report { return n.aggregator.Report(f.now) }, atHub, n.aggregator.SetLevels, func() { own(done) })
	default:
		own(done)
	}
}

// testRoute is what the shell keeps on the way of a report.
type testRoute struct {
	pledge Pledge
	avoid  *unstableNode // has handed back the share because it is about to stop
	tried  string        // has not responded to a release
}

// sendTo sends a report, as the shell does.
func (n *unstableNode) sendTo(choice *Failover, route *testRoute, ttl time.Duration, member func(rank int) *unstableNode, report func() Report, handle func(*unstableNode, Report) (Levels, bool), onLevels func(Report, Levels, time.Duration), done func()) {
	f, started := n.fleet, n.started
	id := func(to *unstableNode) string { return fmt.Sprint(ttl, " ", to.index) }
	send := func(to *unstableNode, limit time.Duration, release bool, result func(l Levels, ok, gone bool)) {
		r, sentAt := report(), f.now
		r.Release = release
		route.pledge.Prepare(&r, id(to), ttl, f.now)
		n.call(to, limit, func(to *unstableNode) (Levels, bool) { return handle(to, r) }, func(l Levels, ok, gone, ended bool) {
			if n.started != started || !n.up {
				return
			}
			switch {
			case ok && !empty(l):
				if route.pledge.Responded(r, id(to), l, f.now) {
					f.after(askPause, func() {
						if n.started == started && n.up {
							n.report()
						}
					})
				}
				if !l.NoLevels {
					onLevels(r, l, sentAt)
				}
			case ended:
				route.pledge.Gone(id(to))
			}
			result(l, ok, gone)
		})
	}
	pick := func(rank int) *unstableNode {
		to := member(rank)
		heard := n.hub.HasReporters(f.now)
		if ttl == ZoneTTL {
			heard = n.aggregator.HasReporters(f.now)
		}
		if to == route.avoid && n.view[to.index] || to == n && n.limiter.Joining(f.now) && !heard {
			return member(rank + 1)
		}
		return to
	}
	// leave lets the receiver that may have the share hand it back, if another one is next.
	leave := func(to *unstableNode, then func()) {
		holder := route.pledge.Holder(id(to), f.now)
		if holder == "" || holder == route.tried {
			then()
			return
		}
		route.tried = holder
		var index int
		if _, err := fmt.Sscanf(holder, ttl.String()+" %d", &index); err != nil {
			then()
			return
		}
		send(f.nodes[index], TrialTimeout, true, func(Levels, bool, bool) { then() })
	}
	var try func(left int)
	try = func(left int) {
		to := pick(choice.Rank())
		leave(to, func() {
			send(to, reportLimit, false, func(l Levels, ok, gone bool) {
				switch {
				case ok && l.Released && left > 1:
					route.avoid = to
					try(left - 1)
					return
				case !ok:
					route.tried = id(to)
					if choice.Failed(f.now); gone && left > 1 {
						try(left - 1)
						return
					}
					done()
					return
				}
				route.tried = ""
				rank, due := choice.Succeeded(f.now)
				if !due {
					done()
					return
				}
				trial := pick(rank)
				n.call(trial, TrialTimeout, func(to *unstableNode) (Levels, bool) { return Levels{}, !to.leaving || !n.view[to.index] }, func(_ Levels, ok, gone, _ bool) {
					switch {
					case n.started != started || !n.up:
					case ok:
						choice.TrialSucceeded(rank)
					case !gone:
						choice.TrialTimedOut(f.now)
					}
					done()
				})
			})
		})
	}
	try(maxFailovers)
}

// empty reports whether an aggregator had no levels to respond with.
func empty(l Levels) bool { return l.SentAt == 0 }

// call calls another instance, and tells the result or that it failed: gone if that is known
// at once, ended if the other one's process has ended.
func (n *unstableNode) call(to *unstableNode, limit time.Duration, handle func(*unstableNode) (Levels, bool), result func(l Levels, ok, gone, ended bool)) {
	f, delay := n.fleet, oneWayDelay
	if n.zone == to.zone {
		delay = zoneDelay
	}
	f.after(delay, func() {
		switch {
		case to != n && (to.cutOff || n.cutOff || to.suspended):
			f.after(limit-delay, func() { result(Levels{}, false, false, false) })
		case to.up:
			l, ok := handle(to)
			gone := !ok
			f.after(delay, func() { result(l, ok && !n.suspended, gone, false) })
		case to.silent:
			f.after(limit-delay, func() { result(Levels{}, false, false, false) })
		default:
			f.after(delay, func() { result(Levels{}, false, true, true) })
		}
	})
}

// takeLevels stores levels and decides on the waiting requests.
func (n *unstableNode) takeLevels(r Report, l Levels, sentAt time.Duration) {
	n.limiter.SetLevels(r, l, sentAt)
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		n.decide(w)
	}
}

// decide decides on a request or lets it wait for levels.
func (n *unstableNode) decide(w pendingRequest) {
	f := n.fleet
	verdict, _ := n.limiter.Take(f.workspaces[w.workspace], f.now)
	switch {
	case verdict == Admitted:
		f.admitted[w.workspace] = append(f.admitted[w.workspace], f.now)
	case verdict == Undecided && f.now < w.until:
		n.waiting = append(n.waiting, w)
		n.report()
	case w.within:
		f.refused = append(f.refused, f.now)
	}
}

// arrive schedules the requests of a workspace, at a fraction of its rate.
func (f *unstableFleet) arrive(workspace int, load float64, until time.Duration) {
	w := f.workspaces[workspace]
	f.after(time.Duration(f.random.ExpFloat64()/(w.Rate*load)*float64(time.Second)), func() {
		if f.now >= until {
			return
		}
		callers := f.callers[workspace]
		n := f.nodes[callers[f.random.IntN(len(callers))]]
		for tries := 0; (!n.up || n.suspended) && tries < 2*len(f.nodes); tries++ {
			n = f.nodes[f.random.IntN(len(f.nodes))]
		}
		if n.up && !n.suspended { // otherwise nobody takes the request
			f.asked = append(f.asked, f.now)
			n.decide(pendingRequest{workspace, f.ideal[workspace].take(w, f.now), f.now + askTime})
		}
		f.arrive(workspace, load, until)
	})
}

// run simulates until a time, deciding at it on requests that still wait.
func (f *unstableFleet) run(until time.Duration) {
	for f.events.Len() > 0 && f.events.list[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		for _, n := range f.nodes {
			for len(n.waiting) > 0 && n.waiting[0].until <= f.now {
				w := n.waiting[0]
				n.waiting = n.waiting[1:]
				n.decide(w)
			}
		}
		e.do()
	}
	f.now = until
}

// worstRefusals returns the largest fraction of refused requests in any two seconds from a time on.
func (f *unstableFleet) worstRefusals(from time.Duration) (worst float64, at time.Duration) {
	count := func(list []time.Duration, begin time.Duration) (n int) {
		for _, t := range list {
			if t >= begin && t < begin+2*time.Second {
				n++
			}
		}
		return n
	}
	for begin := from; begin < f.now; begin += 500 * time.Millisecond {
		if share := float64(count(f.refused, begin)) / float64(max(count(f.asked, begin), 1)); share > worst {
			worst, at = share, begin
		}
	}
	return worst, at
}

// checkQuotas fails the test if more was admitted in any window than a quota allows.
func (f *unstableFleet) checkQuotas(t *testing.T, name string) {
	t.Helper()
	for i, w := range f.workspaces {
		bound := (w.Rate*window.Seconds()+float64(w.Burst))*(1+excess) + slack
		for j, k := 0, 0; k < len(f.admitted[i]); k++ {
			for f.admitted[i][k]-f.admitted[i][j] >= window {
				j++
			}
			if n := float64(k - j + 1); n > bound {
				t.Fatalf("%s: %.0f requests of %s admitted within %v up to %v; the bound is %.0f", name, n, w.Name, window, f.admitted[i][k], bound)
			}
		}
	}
}

// maxWrongRefusals is the fraction of requests within the quota that may be refused in any
// two seconds while a part of the fleet is lost.
const maxWrongRefusals = 0.001

// lossCase is a loss of instances: the hub, or a fraction of all, for a time.
type lossCase struct {
	hub    bool
	share  float64
	down   time.Duration
	silent bool
}

var lossCases = map[string]lossCase{
	"none lost":           {},
	"hub killed":          {hub: true, down: time.Second},
	"hub without power":   {hub: true, down: 3 * time.Second, silent: true},
	"two fifths killed":   {share: 0.4, down: time.Second},
	"three fifths killed": {share: 0.6, down: time.Second},
}

// lose takes the instances of a case down.
func (f *unstableFleet) lose(c lossCase) {
	if c.hub {
		f.nodes[0].kill(c.down, c.silent)
	}
	for _, i := range f.random.Perm(len(f.nodes))[:int(c.share*float64(len(f.nodes)))] {
		f.nodes[i].kill(c.down, c.silent)
	}
}

func TestRequestsWithinTheQuotaAreAdmittedWhileInstancesAreLost(t *testing.T) {
	for name, c := range lossCases {
		for _, n := range []int{7, 25, 118, 300} {
			t.Run(fmt.Sprintf("%s of %d", name, n), func(t *testing.T) {
				t.Parallel()
				worst, asked, refused := 0.0, 0, 0
				for seed := range uint64(4) {
					f := newUnstableFleet(n, seed)
					f.run(time.Second)
					for w := range f.workspaces {
						f.arrive(w, 1/1.6, 14*time.Second)
					}
					f.run(6 * time.Second)
					f.lose(c)
					f.run(14 * time.Second)
					f.checkQuotas(t, name)
					share, at := f.worstRefusals(0)
					if worst = max(worst, share); share > maxWrongRefusals {
						t.Logf("seed %d: %.4f refused in the two seconds from %v", seed, share, at)
					}
					asked, refused = asked+len(f.asked), refused+len(f.refused)
				}
				t.Logf("%d of %d refused, worst two seconds %.4f", refused, asked, worst)
				if worst > maxWrongRefusals {
					t.Errorf("%.4f of the requests within the quota are refused, want %.4f at most", worst, maxWrongRefusals)
				}
			})
		}
	}
}

// Whatever is lost, and however often, no workspace may get more than its quota.
func TestNoQuotaIsExceededWhileInstancesAreLost(t *testing.T) {
	for name, c := range lossCases {
		for _, n := range []int{7, 25, 118, 300} {
			t.Run(fmt.Sprintf("%s of %d", name, n), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(12) {
					f := newUnstableFleet(n, 100+seed)
					f.run(time.Second)
					for w := range f.workspaces {
						f.arrive(w, 4, 16*time.Second)
					}
					for _, at := range []time.Duration{5 * time.Second, 9 * time.Second, 9500 * time.Millisecond} {
						f.run(at)
						f.lose(c)
					}
					f.run(16 * time.Second)
					f.checkQuotas(t, name)
				}
			})
		}
	}
}

// stopInTurn stops all instances one after the other, as a planned restart does.
func (f *unstableFleet) stopInTurn(gap, grace, pause time.Duration) {
	for i, n := range f.nodes {
		f.after(time.Duration(i)*gap, func() { n.stop(grace, pause) })
	}
}

// While instances stop in turn, with nothing unplanned, the hub's role moves at each stop. No
// workspace may get more than its quota through that, and what is within the quota is served.
func TestNoQuotaIsExceededWhileInstancesStopInTurn(t *testing.T) {
	for _, n := range []int{7, 25, 118} {
		for _, gap := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d instances, one each %v", n, gap), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(6) {
					f := newUnstableFleet(n, 200+seed)
					f.run(time.Second)
					for w := range f.workspaces {
						f.arrive(w, 9, 18*time.Second)
					}
					f.run(5 * time.Second)
					f.stopInTurn(gap, 6*time.Second, time.Second)
					f.run(18 * time.Second)
					f.checkQuotas(t, fmt.Sprint("seed ", 200+seed))
				}
			})
		}
	}
}

// Random schedules of stops in turn, cuts, suspensions and kills.
func TestNoQuotaIsExceededInRandomSchedules(t *testing.T) {
	for _, n := range []int{7, 25, 118} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			t.Parallel()
			seeds := uint64(20)
			if n > flatFleet {
				seeds = 6
			}
			for seed := range seeds {
				playRandomSchedule(t, n, 300+seed)
			}
		})
	}
}

// Two rounds of stops overlap, and an instance that has just started is cut off from the
// others: it can't know how many of them are about to stop.
func TestNoQuotaIsExceededByAStartedInstanceThatIsCutOffWhileAllStop(t *testing.T) {
	playRandomSchedule(t, 7, 1338)
}

// All instances are about to stop but one, which becomes the hub and hears of the others only
// when they report to it.
func TestNoQuotaIsExceededByANewHubWhileAllOthersStop(t *testing.T) {
	playRandomSchedule(t, 7, 2789)
}

// An instance is cut off and its own hub, while all others are about to stop.
func TestNoQuotaIsExceededByAHubThatIsCutOffWhileAllOthersStop(t *testing.T) {
	playRandomSchedule(t, 7, 5063)
}

// Hubs are lost or cut off one right after the other, at many times the load.
func TestNoQuotaIsExceededWhileHubsAreLostOneAfterAnother(t *testing.T) {
	for _, seed := range []uint64{5226, 5987} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandomSchedule(t, 7, seed) })
	}
}

// playRandomSchedule plays six random faults in 20 s.
func playRandomSchedule(t *testing.T, instances int, seed uint64) {
	t.Helper()
	f := newUnstableFleet(instances, seed)
	f.run(time.Second)
	for w := range f.workspaces {
		f.arrive(w, []float64{0.9, 4, 9}[f.random.IntN(3)], 20*time.Second)
	}
	for range 6 {
		f.after(time.Duration(2+f.random.IntN(14))*time.Second, f.randomFault)
	}
	f.run(20 * time.Second)
	f.checkQuotas(t, fmt.Sprint("seed ", seed))
}

// randomFault is one of the faults of TestNoQuotaIsExceededInRandomSchedules.
func (f *unstableFleet) randomFault() {
	switch n := f.nodes[f.random.IntN(min(3, len(f.nodes)))]; f.random.IntN(4) {
	case 0:
		f.stopInTurn(time.Duration(100+f.random.IntN(900))*time.Millisecond, 6*time.Second, time.Second)
	case 1:
		n.cutOff = true
		f.after(time.Duration(f.random.IntN(3000))*time.Millisecond, func() { n.cutOff = false })
	case 2:
		n.suspended = true
		f.after(time.Duration(f.random.IntN(3000))*time.Millisecond, func() { n.suspended = false })
	case 3:
		if n.up {
			n.kill(time.Second, f.random.IntN(2) == 0)
		}
	}
}
