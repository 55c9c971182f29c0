// Package overload plays callers, instances and targets in virtual time, to
// compare ways of placing and refusing requests under the same load.
package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

// Policy decides at one instance. It is called in the order of virtual time.
type Policy interface {
	Choose(r affinity.Request, now time.Duration) (affinity.Grant, bool)
	Done(g affinity.Grant, r affinity.Report, now time.Duration)
}

// PolicyFactory makes the policy of an instance in a region.
type PolicyFactory = func(name, region string, targets []affinity.Target) Policy

const (
	service = "service"
	// nearWay and farWay are the times between an instance and a target in its
	// region and in another, one way.
	localDelay  = time.Millisecond
	remoteDelay = 20 * time.Millisecond
	// refusedAgain and rejectedAgain are when a caller that was refused comes back.
	refusalRetryDelay   = 350 * time.Millisecond
	rejectionRetryDelay = 35 * time.Millisecond
)

// Scenario is a load.
type Scenario struct {
	Name            string
	Regions         []Region
	Instances       int // in each region
	Slots           int // of a target
	Queue           int // requests that a target lets wait
	CacheSize       int // objects that a target knows
	ColdServiceTime time.Duration
	WarmServiceTime time.Duration
	Objective       time.Duration
	Timeout         time.Duration
	Length          time.Duration
	// Rate is the number of requests a second in each region at a time.
	Rate func(at time.Duration) float64
	// Rejects is the part of requests that each target rejects though it has room.
	Rejects func(at time.Duration) float64
	// Slowdown is how many times as long the numbered target of a region works at a
	// time; nil for all at their usual pace.
	Slowdown func(target int, at time.Duration) float64
	// Homed is the part of requests that only the first region may run.
	Homed float64
}

// Region has targets and callers with objects of their own.
type Region struct {
	Targets, Objects int
}

// Result is what callers got.
type Result struct {
	Asked, InTime, Late, Refused, Failed int
	// Windows is the part answered in time in each two seconds.
	Windows []float64
}

// InTimeShare returns the part of requests answered within the objective.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Asked, 1)) }

// request is one request of a caller.
type request struct {
	createdAt time.Duration
	instance  int
	region    int
	object    string
	homed     bool
	retried   bool

	grant   affinity.Grant
	sentAt  time.Duration
	target  *target
	running bool
	ended   bool // answered or given up
}

// target is a target with slots, a queue and objects that it knows.
type target struct {
	affinity.Target
	index         int // in its region
	running       int
	queue         []*request
	cachedObjects []string // the one used last comes last
}

type event struct {
	at       time.Duration
	sequence int // order of events at the same time
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simulation struct {
	Scenario
	seed     uint64 // also in the names of targets and objects, so that each seed places them anew
	random   *rand.Rand
	now      time.Duration
	pending  events
	sequence int
	policies []Policy
	targets  map[string]*target
	result   Result
	asked    []int
	inTime   []int
}

// Simulate plays a scenario.
func Simulate(s Scenario, seed uint64, policy PolicyFactory) Result {
	w := &simulation{Scenario: s, seed: seed, random: rand.New(rand.NewPCG(seed, 11)), targets: map[string]*target{}}
	var list []affinity.Target
	for r, region := range s.Regions {
		for i := range region.Targets {
			t := affinity.Target{
				ID: fmt.Sprintf("r%d-t%d-%d", r, i, seed), Service: service, Address: fmt.Sprintf("10.%d.0.%d:80", r, i),
				Region: regionName(r), AvailabilityZone: regionName(r), Slots: s.Slots, Started: 1,
			}
			list = append(list, t)
			w.targets[t.ID] = &target{Target: t, index: i}
		}
	}
	for i := range s.Instances * len(s.Regions) {
		w.policies = append(w.policies, policy(fmt.Sprint("i", i), regionName(i%len(s.Regions)), list))
	}
	for r := range s.Regions {
		w.scheduleArrival(r)
	}
	for len(w.pending) > 0 {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.do()
	}
	for i := range w.asked {
		w.result.Windows = append(w.result.Windows, float64(w.inTime[i])/float64(max(w.asked[i], 1)))
	}
	return w.result
}

func regionName(i int) string { return fmt.Sprint("r", i) }

func (w *simulation) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.pending, event{w.now + d, w.sequence, do})
}

// arrive lets callers of a region send at the scenario's rate.
func (w *simulation) scheduleArrival(region int) {
	if w.now >= w.Length {
		return
	}
	rate := w.Rate(w.now)
	w.after(time.Duration(w.random.ExpFloat64()/max(rate, 0.1)*float64(time.Second)), func() {
		objects := w.Regions[region].Objects
		r := &request{
			createdAt: w.now, region: region, homed: w.random.Float64() < w.Homed,
			object: fmt.Sprintf("%d/%d/%d", w.seed, region, int(float64(objects)*w.random.Float64())),
		}
		w.count(r, false)
		w.send(r)
		w.scheduleArrival(region)
	})
}

// note counts a request in its window.
func (w *simulation) count(r *request, inTime bool) {
	i := int(r.createdAt / (2 * time.Second))
	for len(w.asked) <= i {
		w.asked, w.inTime = append(w.asked, 0), append(w.inTime, 0)
	}
	if inTime {
		w.inTime[i]++
		return
	}
	w.asked[i]++
	w.result.Asked++
}

func (w *simulation) send(r *request) {
	r.instance = r.region + len(w.Regions)*w.random.IntN(w.Instances)
	q := affinity.Request{Service: service, Object: r.object, Route: "route", Objective: w.Objective}
	if r.homed {
		q.HomeRegions = []string{regionName(0)}
	}
	grant, ok := w.policies[r.instance].Choose(q, w.now)
	if !ok {
		w.retryOnce(r, refusalRetryDelay)
		return
	}
	r.grant, r.sentAt, r.target, r.ended, r.running = grant, w.now, w.targets[grant.Target.ID], false, false
	w.after(w.oneWayDelay(r), func() { w.arriveAtTarget(r) })
	w.after(w.Timeout, func() { w.giveUp(r) })
}

func (w *simulation) oneWayDelay(r *request) time.Duration {
	if r.target.Region == regionName(r.region) {
		return localDelay
	}
	return remoteDelay
}

// again lets a caller that was refused come back once.
func (w *simulation) retryOnce(r *request, after time.Duration) {
	if r.retried {
		w.result.Refused++
		return
	}
	next := *r
	next.retried = true
	w.after(after, func() { w.send(&next) })
}

func (w *simulation) reportOutcome(r *request, outcome affinity.Outcome) {
	r.ended = true
	w.policies[r.instance].Done(r.grant, affinity.Report{
		Outcome: outcome, HasLoad: outcome != affinity.TimedOut, Load: r.target.running + len(r.target.queue), Elapsed: w.now - r.sentAt,
	}, w.now)
}

func (w *simulation) arriveAtTarget(r *request) {
	t := r.target
	if len(t.queue) >= w.Queue || w.Rejects != nil && w.random.Float64() < w.Rejects(w.now) {
		w.after(w.oneWayDelay(r), func() {
			w.reportOutcome(r, affinity.Rejected)
			w.retryOnce(r, rejectionRetryDelay)
		})
		return
	}
	t.queue = append(t.queue, r)
	w.startQueued(t)
}

// work starts waiting requests while slots are free.
func (w *simulation) startQueued(t *target) {
	for t.running < w.Slots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		r.running = true
		took := w.ColdServiceTime
		if t.accessCache(r.object, w.CacheSize) {
			took = w.WarmServiceTime
		}
		took = time.Duration(float64(took) * (0.85 + 0.3*w.random.Float64()))
		if w.Slowdown != nil {
			took = time.Duration(float64(took) * w.Slowdown(t.index, w.now))
		}
		w.after(took, func() { w.finish(r) })
	}
}

// knows tells whether the target knows an object, and keeps it from then on.
func (t *target) accessCache(object string, capacity int) bool {
	hit := false
	for i, o := range t.cachedObjects {
		if o == object {
			t.cachedObjects = append(t.cachedObjects[:i], t.cachedObjects[i+1:]...)
			hit = true
			break
		}
	}
	if t.cachedObjects = append(t.cachedObjects, object); len(t.cachedObjects) > capacity {
		t.cachedObjects = t.cachedObjects[1:]
	}
	return hit
}

func (w *simulation) finish(r *request) {
	if r.ended {
		return
	}
	r.target.running--
	w.after(w.oneWayDelay(r), func() {
		if r.ended {
			return
		}
		w.reportOutcome(r, affinity.Answered)
		if w.now-r.createdAt <= w.Objective {
			w.result.InTime++
			w.count(r, true)
		} else {
			w.result.Late++
		}
	})
	w.startQueued(r.target)
}

// giveUp ends a request at its timeout; its target stops the work.
func (w *simulation) giveUp(r *request) {
	if r.ended {
		return
	}
	t := r.target
	if r.running {
		t.running--
	}
	for i, q := range t.queue {
		if q == r {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			break
		}
	}
	w.reportOutcome(r, affinity.TimedOut)
	w.result.Failed++
	w.startQueued(t)
}
