package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Time bounds of the simulated fleets, and the one workspace that they have.
const (
	testFreshness     = 5 * time.Second // oldest evidence under which a seat may be used
	testMargin        = time.Second
	testSettle        = testFreshness + testMargin
	testGrantLifetime = 400 * time.Millisecond
	testMaxWait       = 250 * time.Millisecond
	testAskTimeout    = 60 * time.Millisecond
	testTickPeriod    = 5 * time.Millisecond
	testPullPeriod    = 500 * time.Millisecond
	testWorkspace     = "w"
)

// centralBucket is one bucket that sees every request without delay, the ideal
// that the limiter is compared with. It also checks the limit exactly: the number
// of requests admitted in some interval of length d exceeds rate*d + burst if and
// only if the bucket falls below zero.
type centralBucket struct{ bucket }

func newCentral(rate float64, burst int, now time.Time) *centralBucket {
	return &centralBucket{bucket{rate: rate, burst: float64(burst), tokens: float64(burst), updated: now}}
}

// take takes a token if there is one.
func (c *centralBucket) take(now time.Time) bool {
	c.refill(now)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// forceTake takes a token for a request that was admitted, even if there is none,
// and tells whether the limit was kept.
func (c *centralBucket) forceTake(now time.Time) bool {
	c.refill(now)
	c.tokens--
	return c.tokens >= -tokenTolerance
}

// faults are the disturbances of the network.
type faults struct {
	loss, duplicate float64       // shares of messages lost and delivered twice
	reorder         time.Duration // largest additional delay
}

// node is one process of the simulated fleet.
type node struct {
	name, zone    string
	limiter       *Limiter
	seatTracker   *seat.Tracker
	config        *config.Snapshot
	paused        bool
	cutFromStore  bool // reads neither configuration nor seat table
	dead          bool
	heldEvents    []func() // what was due while it was paused, run when it wakes up
	tickScheduled bool
	messages      int
	now           func() time.Time
}

// call is one request.
type call struct {
	node        *node
	started     time.Time
	idealAdmits bool // the ideal bucket had a token for it
}

// fleet simulates the limiters of a fleet, message by message, in virtual time.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	events   eventQueue
	order    int
	nodes    []*node
	tables   map[string]seat.Table
	snapshot *config.Snapshot
	layouts  map[uint64][]ZoneSeats
	releases []seat.Release
	// configuredAt is the moment of the last change of the configuration.
	configuredAt time.Time
	faults       faults
	cutZones     map[string]bool                 // zones cut off from the others and the store
	delay        func(a, b string) time.Duration // one-way, between two zones
	invariants   *invariant.Recorder
	// Hooks of broken variants: alterLimiter changes a new limiter, alterState
	// the state of a limiter just before its messages are sent.
	alterLimiter func(*Limiter)
	alterState   func(*node, []Outgoing)

	limitBucket  *centralBucket
	idealBucket  *centralBucket
	waitingCalls map[*node]map[uint64]call
	violation    string
	result       result
}

// result counts the requests of a run by their outcome.
type result struct {
	requests, refused, wrongfulRefusals, idealRefused int
	waited                                            int
	waitTimes                                         []time.Duration
	messages                                          int
}

func newFleet(seed int64, zones []ZoneSeats, rate float64, burst int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewSource(seed)),
		tables: map[string]seat.Table{}, layouts: map[uint64][]ZoneSeats{}, cutZones: map[string]bool{},
		waitingCalls: map[*node]map[uint64]call{}, invariants: &invariant.Recorder{},
	}
	f.invariants.OnViolation = func(_ invariant.Name, detail string) { f.violation = detail }
	f.delay = func(a, b string) time.Duration { return time.Millisecond / 2 }
	f.limitBucket, f.idealBucket = newCentral(rate, burst, f.now), newCentral(rate, burst, f.now)
	f.configure(1, zones, rate, burst)
	return f
}

// configure accepts a configuration; instances read it with their next pull.
func (f *fleet) configure(version uint64, zones []ZoneSeats, rate float64, burst int) {
	f.layouts[version], f.configuredAt = zones, f.now
	f.snapshot = config.Compile(version, &config.Document{Workspaces: []config.Workspace{{Name: testWorkspace, Rate: rate, Burst: burst}}})
}

// start starts a process. It gets a seat with the next write of the seat table.
func (f *fleet) start(name, zone string) *node {
	n := &node{now: func() time.Time { return f.now }, name: name, zone: zone, config: config.Compile(0, &config.Document{})}
	process := seat.Process{Instance: name, Incarnation: f.random.Uint64()}
	n.seatTracker = seat.NewTracker(process, zone, seat.Bounds{MaxAge: testFreshness, ReserveMaxAge: time.Hour, TakeoverMargin: testMargin})
	n.limiter = New(Options{
		Instance: name, AvailabilityZone: zone, Incarnation: f.random.Uint64(),
		Seat:       n.seatTracker.Seat,
		SeatHolder: func(i int) string { return n.seatTracker.Table().Holder(i) },
		Layout:     func(s *config.Snapshot) []ZoneSeats { return f.layouts[s.Version] },
		SettleTime: testSettle, GrantLifetime: testGrantLifetime, MaxWait: testMaxWait, AskTimeout: testAskTimeout,
		Invariants: f.invariants,
	})
	if f.alterLimiter != nil {
		f.alterLimiter(n.limiter)
	}
	f.nodes = append(f.nodes, n)
	f.waitingCalls[n] = map[uint64]call{}
	f.pullPeriodically(n)
	return n
}

// writeSeatTable assigns the seats of a zone to its live processes.
func (f *fleet) writeSeatTable(zone string) {
	seats := 0
	for _, z := range f.layouts[f.snapshot.Version] {
		if z.AvailabilityZone == zone {
			seats = z.Seats
		}
	}
	inputs := seat.TableInputs{Seats: seats, Releases: f.releases, Gone: func(name string) bool { return f.liveProcess(name) == nil }}
	for _, n := range f.nodes {
		if n.zone == zone && !n.dead {
			inputs.Claims = append(inputs.Claims, n.seatTracker.Process())
		}
	}
	if next, changed := f.tables[zone].Next(inputs, ""); changed {
		f.tables[zone] = next
	}
}

// liveProcess returns the newest live process of a name, or nil.
func (f *fleet) liveProcess(name string) *node {
	for i := len(f.nodes) - 1; i >= 0; i-- {
		if n := f.nodes[i]; n.name == name && !n.dead {
			return n
		}
	}
	return nil
}

func (f *fleet) pullPeriodically(n *node) {
	f.pull(n)
	f.schedule(testPullPeriod, func() {
		if !n.dead {
			f.pullPeriodically(n)
		}
	})
}

// pull reads the configuration and the seat table from the store. That is also
// freshness evidence for the right to use the seat.
func (f *fleet) pull(n *node) {
	if n.paused || n.dead || n.cutFromStore || f.cutZones[n.zone] {
		return
	}
	n.seatTracker.Adopt(f.tables[n.zone], f.now)
	for _, z := range f.layouts[f.snapshot.Version] {
		if z.AvailabilityZone == n.zone {
			n.seatTracker.SetLayout(seat.Layout{ZoneSeats: z.Seats})
		}
	}
	if n.config.Version < f.snapshot.Version {
		n.config = f.snapshot
		n.limiter.Update(f.snapshot, f.now)
	}
	n.seatTracker.Observe(f.now, f.tables[n.zone].Version)
	n.limiter.RefreshShares(f.now)
	f.drainLimiter(n)
}

// sendRequest sends one request of the workspace to a process.
func (f *fleet) sendRequest(n *node) {
	if n.dead || n.paused {
		return
	}
	f.result.requests++
	idealAdmits := f.idealBucket.take(f.now)
	if !idealAdmits {
		f.result.idealRefused++
	}
	c := call{node: n, started: f.now, idealAdmits: idealAdmits}
	d := n.limiter.Take(testWorkspace, f.now)
	if d.Ticket != 0 {
		f.waitingCalls[n][d.Ticket] = c
	} else {
		f.recordDecision(c, d)
	}
	f.drainLimiter(n)
}

// recordDecision counts the final decision on a request and checks the limit.
func (f *fleet) recordDecision(c call, d Decision) {
	if wait := f.now.Sub(c.started); wait > 0 && d.Allowed {
		f.result.waited++
		f.result.waitTimes = append(f.result.waitTimes, wait)
	}
	if d.Allowed {
		if !f.limitBucket.forceTake(f.now) && f.violation == "" {
			f.violation = fmt.Sprintf("%s: limit exceeded by %g at %s", c.node.name, -f.limitBucket.tokens, f.now)
		}
		return
	}
	f.result.refused++
	if c.idealAdmits {
		f.result.wrongfulRefusals++
	}
}

// drainLimiter sends a limiter's messages and records its decisions.
func (f *fleet) drainLimiter(n *node) {
	outgoing, resolved := n.limiter.CollectOutput()
	if f.alterState != nil {
		f.alterState(n, outgoing)
	}
	for _, r := range resolved {
		c := f.waitingCalls[n][r.Ticket]
		delete(f.waitingCalls[n], r.Ticket)
		f.recordDecision(c, r.Decision)
	}
	for _, o := range outgoing {
		n.messages++
		f.result.messages++
		f.send(n, o)
	}
	f.scheduleTick(n)
}

// scheduleTick calls the limiter's Tick after the tick period, if it needs one.
func (f *fleet) scheduleTick(n *node) {
	if n.tickScheduled || !n.limiter.NeedsTick() || n.dead {
		return
	}
	n.tickScheduled = true
	f.schedule(testTickPeriod, func() {
		f.deliver(n, func() {
			n.tickScheduled = false
			n.limiter.Tick(f.now)
			f.drainLimiter(n)
		})
	})
}

func (f *fleet) send(from *node, o Outgoing) {
	to := f.destination(o)
	if to == nil || from.zone != to.zone && (f.cutZones[from.zone] || f.cutZones[to.zone]) {
		return
	}
	copies := 1
	if f.random.Float64() < f.faults.duplicate {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.faults.loss {
			continue
		}
		delay := f.delay(from.zone, to.zone)
		if f.faults.reorder > 0 {
			delay += time.Duration(f.random.Int63n(int64(f.faults.reorder)))
		}
		f.schedule(delay, func() {
			f.deliver(to, func() {
				f.receive(from, to, o.Message)
			})
		})
	}
}

func (f *fleet) receive(from, to *node, m Message) {
	to.limiter.Receive(from.name, m, f.now)
	f.drainLimiter(to)
}

// destination returns the process that a message goes to: that of the instance,
// or the first live one in the zone.
func (f *fleet) destination(o Outgoing) *node {
	if o.Instance != "" {
		return f.liveProcess(o.Instance)
	}
	for _, n := range f.nodes {
		if n.zone == o.AvailabilityZone && !n.dead {
			return n
		}
	}
	return nil
}

// deliver runs an event of a process now, or when it wakes up if it is paused.
func (f *fleet) deliver(n *node, event func()) {
	switch {
	case n.dead:
	case n.paused:
		n.heldEvents = append(n.heldEvents, event)
	default:
		event()
	}
}

// wake ends the pause of a process and runs the events that were due.
func (f *fleet) wake(n *node) {
	n.paused = false
	heldEvents := n.heldEvents
	n.heldEvents = nil
	for _, event := range heldEvents {
		f.deliver(n, event)
	}
}

// schedule runs a function after some virtual time.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.order, run: run})
}

// advance moves virtual time forward and runs the events that come due.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// event is a scheduled function. Events due at the same moment run in the order
// in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
