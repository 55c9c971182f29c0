// Package overloadsim simulates callers, instances and targets in virtual time, to compare
// policies of choosing targets and refusing requests under the same load.
package overloadsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

// Policy chooses targets at one instance. It is called in the order of virtual time.
type Policy interface {
	// Choose returns a target for the request, or false if the request is refused.
	Choose(r affinity.Request, now time.Duration) (affinity.Grant, bool)
	// Done reports how the request of a grant ended.
	Done(g affinity.Grant, r affinity.Report, now time.Duration)
}

// PolicyFactory creates the policy of the named instance in a region.
type PolicyFactory = func(name, region string, targets []affinity.Target) Policy

const (
	service = "service"
	// localDelay and remoteDelay are the one-way network delays from an instance to a
	// target in its own region and in another.
	localDelay  = time.Millisecond
	remoteDelay = 20 * time.Millisecond
	// refusalRetryDelay and rejectionRetryDelay are the times after which a caller
	// retries, after a refusal by the instance or a rejection by the target.
	refusalRetryDelay   = 350 * time.Millisecond
	rejectionRetryDelay = 35 * time.Millisecond
	// Window is the time over which requests are counted together.
	Window = 2 * time.Second
)

// Scenario describes a deployment and the load on it.
type Scenario struct {
	Name            string
	Regions         []Region
	Instances       int           // per region
	Slots           int           // per target: requests that it runs at the same time
	Queue           int           // per target: requests that may wait for a slot; it rejects further ones
	CacheSize       int           // per target: objects in its cache, of which the least recently used is evicted
	ColdServiceTime time.Duration // mean time to run a request whose object is not cached
	WarmServiceTime time.Duration // the same if it is cached
	Objective       time.Duration // responses after that are late
	Timeout         time.Duration // time after which a sent request is given up
	Length          time.Duration // how long callers send new requests
	// Rate returns the number of new requests per second in each region at a time.
	Rate func(at time.Duration) float64
	// Rejects returns the fraction of requests, 0 to 1, that each target rejects at a
	// time although its queue is not full; nil means 0.
	Rejects func(at time.Duration) float64
	// Slowdown returns the factor on the service time at a target, given by its index
	// in its region, at a time; nil means 1.
	Slowdown func(target int, at time.Duration) float64
	// Homed is the fraction of requests, 0 to 1, that only the first region may run.
	Homed float64
	// Retries makes instances send a request that a target rejected, or that did not
	// reach it, to another target, within a budget of retryRatio.
	Retries bool
	// PausedUntil returns the end of the pause in which a target is at a time, given by
	// its index among all targets; 0 if it is in none. During a pause it rejects all
	// requests and tells the instance when the pause ends. nil means never.
	PausedUntil func(target int, at time.Duration) time.Duration
	// LeavesAt returns when a target begins to leave, given by its index among all
	// targets, or 0 if it stays; nil means that all stay. It says so in its responses,
	// is registered until it is gone, and gone leavingTime later.
	LeavesAt func(target int) time.Duration
	// Missing reports whether a target does not exist at all, given by its index among
	// all targets; nil means that all exist.
	Missing func(target int) bool
}

// Region is the number of targets in a region, and of the objects that its callers ask
// for. Each region has objects of its own.
type Region struct {
	Targets, Objects int
}

// Counts are numbers of requests by how they ended. Asked is the number of all requests.
// InTime were answered within the objective, Late after it, Refused were refused or
// rejected twice, and Failed timed out.
type Counts struct {
	Asked, InTime, Late, Refused, Failed int
}

// Result counts the requests of a simulation by how they ended.
type Result struct {
	Counts
	// Homed counts the requests that only the first region may run, and HomedByObject
	// the same for each object.
	Homed         Counts
	HomedByObject map[string]*Counts
	// Retries were sent by instances to a further target. Uncached were run by a target
	// that did not have the object cached.
	Retries, Uncached int
	// MaxPerPause is the largest number of requests that one instance sent to one target
	// between pauseSlack after it was told of a pause and the end of that pause.
	MaxPerPause int
	// SentToLeaving is the number of requests that callers sent later than leavingSlack
	// after an instance had passed on a response of a leaving target, and that this
	// instance sent to that target.
	SentToLeaving int
	// Windows is, for each two seconds, the fraction of the requests created then that
	// were answered in time.
	Windows []float64

	asked, inTime []int // requests created in each window of two seconds, and those of them answered in time
}

// InTimeShare returns the fraction of requests answered within the objective.
func (c Counts) InTimeShare() float64 { return float64(c.InTime) / float64(max(c.Asked, 1)) }

// AnsweredShare returns the fraction of requests answered, in time or late.
func (c Counts) AnsweredShare() float64 { return float64(c.InTime+c.Late) / float64(max(c.Asked, 1)) }

// InTimeShareFrom is InTimeShare of the requests created from a time on, in whole windows
// of two seconds.
func (r Result) InTimeShareFrom(at time.Duration) float64 {
	asked, inTime := 0, 0
	for i := int(at / Window); i < len(r.asked); i++ {
		asked, inTime = asked+r.asked[i], inTime+r.inTime[i]
	}
	return float64(inTime) / float64(max(asked, 1))
}

// request is one request of a caller.
type request struct {
	createdAt time.Duration
	instance  int // index into simulation.policies
	region    int // of the caller
	object    string
	homed     bool // only the first region may run it
	retried   bool
	sentOnAt  time.Duration // when the caller sent it last
	excluded  []string      // targets that it did not reach

	grant   affinity.Grant
	sentAt  time.Duration
	target  *target
	running bool // has been given a slot
	ended   bool // answered, rejected or given up
}

// target is a simulated target with slots, a queue and a cache.
type target struct {
	affinity.Target
	index         int // in its region
	number        int // among all targets
	running       int // requests that occupy a slot
	queue         []*request
	cachedObjects []string // the most recently used last
}

// event is an action at a point in virtual time.
type event struct {
	at       time.Duration
	sequence int // order of events at the same time
	do       func()
}

// events is a heap of events, the earliest first.
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

// simulation is the state of one run of a scenario.
type simulation struct {
	Scenario
	seed     uint64 // also part of the names of targets and objects, so that each seed gives another placement
	random   *rand.Rand
	now      time.Duration // virtual time
	pending  events
	sequence int                // of the last event
	policies []Policy           // by instance; instance i is in region i modulo the number of regions
	targets  map[string]*target // by ID
	result   Result
	retries  []float64 // saved retries, by instance
	notices  map[noticeKey]*noticeState
}

// Simulate runs a scenario with a policy. The same seed gives the same result.
func Simulate(s Scenario, seed uint64, policy PolicyFactory) Result {
	w := &simulation{Scenario: s, seed: seed, random: rand.New(rand.NewPCG(seed, 11)), targets: map[string]*target{}, notices: map[noticeKey]*noticeState{}}
	w.result.HomedByObject = map[string]*Counts{}
	var list []affinity.Target
	number := -1
	for r, region := range s.Regions {
		for i := range region.Targets {
			if number++; s.Missing != nil && s.Missing(number) {
				continue
			}
			t := affinity.Target{
				ID: fmt.Sprintf("r%d-t%d-%d", r, i, seed), Service: service, Address: fmt.Sprintf("10.%d.0.%d:80", r, i),
				Region: regionName(r), AvailabilityZone: regionName(r), Slots: s.Slots, Started: 1,
			}
			list = append(list, t)
			w.targets[t.ID] = &target{Target: t, index: i, number: number}
		}
	}
	for i := range s.Instances * len(s.Regions) {
		w.policies = append(w.policies, policy(fmt.Sprint("i", i), regionName(i%len(s.Regions)), list))
	}
	w.retries = make([]float64, len(w.policies))
	w.scheduleDepartures(list)
	for r := range s.Regions {
		w.scheduleArrival(r)
	}
	for len(w.pending) > 0 {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.do()
	}
	for i, asked := range w.result.asked {
		w.result.Windows = append(w.result.Windows, float64(w.result.inTime[i])/float64(max(asked, 1)))
	}
	return w.result
}

func regionName(i int) string { return fmt.Sprint("r", i) }

// after schedules an action.
func (w *simulation) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.pending, event{w.now + d, w.sequence, do})
}

// scheduleArrival schedules the next request of a region's callers, which schedules the
// one after it. Arrivals are a Poisson process with the scenario's rate.
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
		w.countAsked(r)
		w.send(r)
		w.scheduleArrival(region)
	})
}

// window returns the index of the window in which the request was created.
func (r *request) window() int { return int(r.createdAt / Window) }

// countAsked counts a new request.
func (w *simulation) countAsked(r *request) {
	result := &w.result
	for len(result.asked) <= r.window() {
		result.asked, result.inTime = append(result.asked, 0), append(result.inTime, 0)
	}
	result.asked[r.window()]++
	w.count(r, func(c *Counts) { c.Asked++ })
}

// count applies add to the counts that the request belongs to.
func (w *simulation) count(r *request, add func(*Counts)) {
	add(&w.result.Counts)
	if r.homed {
		add(&w.result.Homed)
		if w.result.HomedByObject[r.object] == nil {
			w.result.HomedByObject[r.object] = &Counts{}
		}
		add(w.result.HomedByObject[r.object])
	}
}

// send sends a request to a random instance of its region.
func (w *simulation) send(r *request) {
	r.instance = r.region + len(w.Regions)*w.random.IntN(w.Instances)
	r.sentOnAt = w.now
	w.retries[r.instance] = min(w.retries[r.instance]+retryRatio, maxSavedRetries)
	w.place(r)
}

// place lets the request's instance choose a target and send it there.
func (w *simulation) place(r *request) {
	q := affinity.Request{Service: service, Object: r.object, Route: "route", Objective: w.Objective, TimeOfDay: w.now, Exclude: r.excluded}
	if r.homed {
		q.HomeRegions = []string{regionName(0)}
	}
	grant, ok := w.policies[r.instance].Choose(q, w.now)
	if !ok {
		w.retryOnce(r, refusalRetryDelay)
		return
	}
	r.grant, r.sentAt, r.target, r.ended, r.running = grant, w.now, w.targets[grant.Target.ID], false, false
	w.checkNotices(r)
	w.after(w.oneWayDelay(r), func() { w.arriveAtTarget(r) })
	w.after(w.Timeout, func() { w.giveUp(r) })
}

// oneWayDelay returns the network delay between the request's instance and target.
func (w *simulation) oneWayDelay(r *request) time.Duration {
	if r.target.Region == regionName(r.region) {
		return localDelay
	}
	return remoteDelay
}

// retryOnce lets the caller of a refused request send it again after a time, if it has
// not done so yet.
func (w *simulation) retryOnce(r *request, after time.Duration) {
	if r.retried {
		w.count(r, func(c *Counts) { c.Refused++ })
		return
	}
	next := *r
	next.retried, next.excluded = true, nil
	w.after(after, func() { w.send(&next) })
}

// reportOutcome ends a request and tells the instance's policy.
func (w *simulation) reportOutcome(r *request, outcome affinity.Outcome) {
	r.ended = true
	w.policies[r.instance].Done(r.grant, affinity.Report{
		Outcome: outcome, HasLoad: outcome != affinity.TimedOut, Load: r.target.running + len(r.target.queue), Elapsed: w.now - r.sentAt,
	}, w.now)
}

// arriveAtTarget queues a request at its target, or lets the target reject it.
func (w *simulation) arriveAtTarget(r *request) {
	t := r.target
	paused := w.pauseLeft(t)
	switch {
	case w.gone(t):
		w.after(w.oneWayDelay(r), func() {
			w.reportOutcome(r, affinity.Unreachable)
			r.excluded = append(slices.Clone(r.excluded), t.ID)
			w.retryElsewhere(r, true)
		})
		return
	case paused > 0 || len(t.queue) >= w.Queue || w.Rejects != nil && w.random.Float64() < w.Rejects(w.now):
		w.after(w.oneWayDelay(r), func() {
			w.observe(r, paused)
			w.reportOutcome(r, affinity.Rejected)
			w.retryElsewhere(r, false)
		})
		return
	}
	t.queue = append(t.queue, r)
	w.startQueued(t)
}

// startQueued starts queued requests while slots are free. Service times vary by
// up to 15% either way.
func (w *simulation) startQueued(t *target) {
	for t.running < w.Slots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		r.running = true
		took := w.ColdServiceTime
		if t.accessCache(r.object, w.CacheSize) {
			took = w.WarmServiceTime
		} else {
			w.result.Uncached++
		}
		took = time.Duration(float64(took) * (0.85 + 0.3*w.random.Float64()))
		if w.Slowdown != nil {
			took = time.Duration(float64(took) * w.Slowdown(t.index, w.now))
		}
		w.after(took, func() { w.finish(r) })
	}
}

// accessCache reports whether the object is in the target's cache, and makes it the
// most recently used one.
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

// finish ends the work on a request and sends the response to the instance.
func (w *simulation) finish(r *request) {
	if r.ended {
		return
	}
	r.target.running--
	w.after(w.oneWayDelay(r), func() {
		if r.ended {
			return
		}
		w.observe(r, 0)
		w.reportOutcome(r, affinity.Answered)
		if w.now-r.createdAt <= w.Objective {
			w.result.inTime[r.window()]++
			w.count(r, func(c *Counts) { c.InTime++ })
		} else {
			w.count(r, func(c *Counts) { c.Late++ })
		}
	})
	w.startQueued(r.target)
}

// giveUp ends a request at its timeout, and frees its slot or its place in the queue.
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
	w.count(r, func(c *Counts) { c.Failed++ })
	w.startQueued(t)
}
