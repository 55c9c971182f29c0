package limit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Bounds of the fleets under test.
const (
	testFreshness = 5 * time.Second
	testMargin    = time.Second
	testSettle    = testFreshness + testMargin
	testLife      = 400 * time.Millisecond
	testWait      = 250 * time.Millisecond
	testTimeout   = 60 * time.Millisecond
	testTick      = 5 * time.Millisecond
	testPull      = 500 * time.Millisecond
	testName      = "w"
)

// centralBucket is the ideal: one bucket that sees every request at once. It
// also checks the limit exactly: the requests admitted in any interval exceed
// rate*d + burst if and only if the bucket goes below zero.
type centralBucket struct{ bucket }

func newCentral(rate float64, burst int, now time.Time) *centralBucket {
	return &centralBucket{bucket{rate: rate, burst: float64(burst), tokens: float64(burst), updated: now}}
}

func (c *centralBucket) take(now time.Time) bool {
	c.refill(now)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// admit counts an admission and tells whether the limit was kept.
func (c *centralBucket) admit(now time.Time) bool {
	c.refill(now)
	c.tokens--
	return c.tokens >= -rounding
}

// faults are what the network and the processes of a fleet do wrong.
type faults struct {
	loss, duplicate float64
	reorder         time.Duration // largest additional delay
}

// node is one process.
type node struct {
	name, zone string
	limiter    *Limiter
	keeper     *seat.Tracker
	config     *config.Snapshot
	paused     bool
	deaf       bool // hears no news of configuration and seats
	dead       bool
	held       []func() // what arrived while it was paused
	ticking    bool
	messages   int
	now        func() time.Time
}

type call struct {
	node    *node
	started time.Time
	rightly bool
}

// fleet runs limiters message by message in virtual time.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	events   eventQueue
	order    int
	nodes    []*node
	tables   map[string]seat.Table
	snapshot *config.Snapshot
	layout   map[uint64][]ZoneSeats
	releases []seat.Release
	// configured is the moment of the last change.
	configured time.Time
	faults     faults
	cut        map[string]bool // zones cut off from the others and the store
	delay      func(a, b string) time.Duration
	recorder   *invariant.Recorder
	// Broken variants: change breaks a limiter, tamper its state before
	// messages are sent.
	change func(*Limiter)
	tamper func(*node, []Outgoing)

	limit     *centralBucket
	ideal     *centralBucket
	calls     map[*node]map[uint64]call
	violation string
	result    result
}

// result counts what became of the requests.
type result struct {
	requests, refused, wrongful, idealRefused int
	waited                                    int
	waits                                     []time.Duration
	messages                                  int
}

func newFleet(seed int64, zones []ZoneSeats, rate float64, burst int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewSource(seed)),
		tables: map[string]seat.Table{}, layout: map[uint64][]ZoneSeats{}, cut: map[string]bool{},
		calls: map[*node]map[uint64]call{}, recorder: &invariant.Recorder{},
	}
	f.recorder.OnViolation = func(_ invariant.Name, detail string) { f.violation = detail }
	f.delay = func(a, b string) time.Duration { return time.Millisecond / 2 }
	f.limit, f.ideal = newCentral(rate, burst, f.now), newCentral(rate, burst, f.now)
	f.configure(1, zones, rate, burst)
	return f
}

func (f *fleet) configure(version uint64, zones []ZoneSeats, rate float64, burst int) {
	f.layout[version], f.configured = zones, f.now
	f.snapshot = config.Compile(version, &config.Document{Workspaces: []config.Workspace{{Name: testName, Rate: rate, Burst: burst}}})
}

// start starts a process and asks for a seat.
func (f *fleet) start(name, zone string) *node {
	n := &node{now: func() time.Time { return f.now }, name: name, zone: zone, config: config.Compile(0, &config.Document{})}
	process := seat.Process{Instance: name, Incarnation: f.random.Uint64()}
	n.keeper = seat.NewTracker(process, zone, seat.Bounds{MaxAge: testFreshness, ReserveMaxAge: time.Hour, TakeoverMargin: testMargin})
	n.limiter = New(Options{
		Instance: name, AvailabilityZone: zone, Incarnation: f.random.Uint64(),
		Seat:       n.keeper.Seat,
		SeatHolder: func(i int) string { return n.keeper.Table().Holder(i) },
		Layout:     func(s *config.Snapshot) []ZoneSeats { return f.layout[s.Version] },
		SettleTime: testSettle, GrantLifetime: testLife, MaxWait: testWait, AskTimeout: testTimeout,
		Invariants: f.recorder,
	})
	if f.change != nil {
		f.change(n.limiter)
	}
	f.nodes = append(f.nodes, n)
	f.calls[n] = map[uint64]call{}
	f.pullForever(n)
	return n
}

// write lets the zone's writer assign seats to its live processes.
func (f *fleet) write(zone string) {
	seats := 0
	for _, z := range f.layout[f.snapshot.Version] {
		if z.AvailabilityZone == zone {
			seats = z.Seats
		}
	}
	d := seat.TableInputs{Seats: seats, Releases: f.releases, Gone: func(name string) bool { return f.instance(name) == nil }}
	for _, n := range f.nodes {
		if n.zone == zone && !n.dead {
			d.Claims = append(d.Claims, n.keeper.Process())
		}
	}
	if next, changed := f.tables[zone].Next(d, ""); changed {
		f.tables[zone] = next
	}
}

// instance returns the newest live process of a name.
func (f *fleet) instance(name string) *node {
	for i := len(f.nodes) - 1; i >= 0; i-- {
		if n := f.nodes[i]; n.name == name && !n.dead {
			return n
		}
	}
	return nil
}

func (f *fleet) pullForever(n *node) {
	f.pull(n)
	f.after(testPull, func() {
		if !n.dead {
			f.pullForever(n)
		}
	})
}

// pull reads configuration and seat table from the store, as evidence.
func (f *fleet) pull(n *node) {
	if n.paused || n.dead || n.deaf || f.cut[n.zone] {
		return
	}
	n.keeper.Adopt(f.tables[n.zone], f.now)
	for _, z := range f.layout[f.snapshot.Version] {
		if z.AvailabilityZone == n.zone {
			n.keeper.SetLayout(seat.Layout{ZoneSeats: z.Seats})
		}
	}
	if n.config.Version < f.snapshot.Version {
		n.config = f.snapshot
		n.limiter.Update(f.snapshot, f.now)
	}
	n.keeper.Observe(f.now, f.tables[n.zone].Version)
	n.limiter.RefreshShares(f.now)
	f.drain(n)
}

// request sends one request of the workspace to a process.
func (f *fleet) request(n *node) {
	if n.dead || n.paused {
		return
	}
	f.result.requests++
	rightly := f.ideal.take(f.now)
	if !rightly {
		f.result.idealRefused++
	}
	c := call{node: n, started: f.now, rightly: rightly}
	d := n.limiter.Take(testName, f.now)
	if d.Ticket != 0 {
		f.calls[n][d.Ticket] = c
	} else {
		f.decided(c, d)
	}
	f.drain(n)
}

func (f *fleet) decided(c call, d Decision) {
	if wait := f.now.Sub(c.started); wait > 0 && d.Allowed {
		f.result.waited++
		f.result.waits = append(f.result.waits, wait)
	}
	if d.Allowed {
		if !f.limit.admit(f.now) && f.violation == "" {
			f.violation = fmt.Sprintf("%s: limit exceeded by %g at %s", c.node.name, -f.limit.tokens, f.now)
		}
		return
	}
	f.result.refused++
	if c.rightly {
		f.result.wrongful++
	}
}

// drain sends what a limiter wants to send and takes its decisions.
func (f *fleet) drain(n *node) {
	outgoing, resolved := n.limiter.Drain()
	if f.tamper != nil {
		f.tamper(n, outgoing)
	}
	for _, r := range resolved {
		c := f.calls[n][r.Ticket]
		delete(f.calls[n], r.Ticket)
		f.decided(c, r.Decision)
	}
	for _, o := range outgoing {
		n.messages++
		f.result.messages++
		f.send(n, o)
	}
	f.tick(n)
}

func (f *fleet) tick(n *node) {
	if n.ticking || !n.limiter.NeedsTick() || n.dead {
		return
	}
	n.ticking = true
	f.after(testTick, func() {
		f.deliver(n, func() {
			n.ticking = false
			n.limiter.Tick(f.now)
			f.drain(n)
		})
	})
}

func (f *fleet) send(from *node, o Outgoing) {
	to := f.destination(o)
	if to == nil || from.zone != to.zone && (f.cut[from.zone] || f.cut[to.zone]) {
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
		f.after(delay, func() {
			f.deliver(to, func() {
				f.receive(from, to, o.Message)
			})
		})
	}
}

func (f *fleet) receive(from, to *node, m Message) {
	to.limiter.Receive(from.name, m, f.now)
	f.drain(to)
}

func (f *fleet) destination(o Outgoing) *node {
	if o.Instance != "" {
		return f.instance(o.Instance)
	}
	for _, n := range f.nodes {
		if n.zone == o.AvailabilityZone && !n.dead {
			return n
		}
	}
	return nil
}

// deliver runs an event at a process, when it wakes up if it is paused.
func (f *fleet) deliver(n *node, event func()) {
	switch {
	case n.dead:
	case n.paused:
		n.held = append(n.held, event)
	default:
		event()
	}
}

func (f *fleet) wake(n *node) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, event := range held {
		f.deliver(n, event)
	}
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.order, run: run})
}

// advance runs all events of the given time.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

type event struct {
	at    time.Time
	order int
	run   func()
}

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
