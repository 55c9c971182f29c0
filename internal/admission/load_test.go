package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

// kind is a kind of request in a test of load.
type kind struct {
	name      string
	priority  int
	perSecond float64
	work      time.Duration
	objective time.Duration
}

// counts are numbers of requests by how they ended.
type counts struct{ asked, inTime, late, refused int }

func (c counts) served() float64 { return float64(c.inTime) / float64(max(c.asked, 1)) }

// sent returns the share of the requests that were not refused.
func (c counts) sent() float64 { return 1 - float64(c.refused)/float64(max(c.asked, 1)) }

// maxLag is by how much less often a higher priority may be served than a lower one of the
// same service: 5 in 100 by the platform's rules.
const maxLag = 0.05

// event is a moment of a play at which something happens.
type event struct {
	at time.Duration
	do func()
}

// play is a service whose targets are asked for more than they can run, in virtual time. Its
// instances know the targets' loads only by their own requests and by responses.
type play struct {
	random    *rand.Rand
	now       time.Duration
	events    []event
	ordered   bool // requests wait in lines; otherwise they are refused at once
	balancers []*affinity.Balancer
	lines     []*Line
	waiting   []map[Ticket]func(displaced bool)
	running   map[string]int
	queued    map[string][]func()
	results   map[string]*counts
	slots     int
	maxHeld   map[string]time.Duration // by kind, of refused requests
	// load is the factor on the kinds' rates at a time; nil means 1.
	load func(now time.Duration) float64
	// countFrom is the time of arrival from which requests count in the results.
	countFrom time.Duration
}

func newPlay(seed uint64, ordered bool, instances, targets, slots int) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), ordered: ordered, running: map[string]int{}, queued: map[string][]func(){},
		results: map[string]*counts{}, slots: slots, maxHeld: map[string]time.Duration{},
	}
	list := make([]affinity.Target, targets)
	for i := range list {
		id := fmt.Sprint("t", i)
		list[i] = affinity.Target{ID: id, Service: service, Address: id, AvailabilityZone: "a", Region: "r", Slots: slots}
	}
	for i := range instances {
		b := affinity.New(fmt.Sprint("i", i), "r", 1)
		b.SetTargets(list, 0)
		p.balancers, p.lines, p.waiting = append(p.balancers, b), append(p.lines, NewLine(512)), append(p.waiting, map[Ticket]func(bool){})
	}
	return p
}

func (p *play) at(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(p.events, d, func(e event, at time.Duration) int { return cmp.Compare(e.at, at+1) })
	p.events = slices.Insert(p.events, i, event{d, do})
}

// run plays the kinds' requests, which arrive by chance, for a time.
func (p *play) run(kinds []kind, length time.Duration) {
	for _, k := range kinds {
		p.results[k.name] = &counts{}
		var arrive func()
		arrive = func() {
			if p.now < length {
				p.arrive(k)
				perSecond := k.perSecond
				if p.load != nil {
					perSecond *= p.load(p.now)
				}
				p.at(p.now+time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
			}
		}
		p.at(0, arrive)
	}
	for len(p.events) > 0 {
		e := p.events[0]
		p.events, p.now = p.events[1:], e.at
		e.do()
	}
}

func (p *play) arrive(k kind) {
	i, result := p.random.IntN(len(p.lines)), p.results[k.name]
	if p.now < p.countFrom {
		result = &counts{}
	}
	result.asked++
	arrived, line := p.now, p.lines[i]
	id := fmt.Sprint(p.random.Uint64())
	r := Request{Priority: k.priority, Route: k.name, Work: k.work, Objective: k.objective}
	if p.ordered {
		line.Asked(service, r, p.now)
	}
	waited := false
	refuse := func() {
		if waited {
			line.Ended(service, k.priority, false)
		}
		result.refused++
		p.maxHeld[k.name] = max(p.maxHeld[k.name], p.now-arrived)
	}
	var try func()
	try = func() {
		request := affinity.Request{Service: service, ID: id, Route: k.name, Objective: k.objective, Urgent: k.priority <= 1}
		if p.ordered {
			yield := line.Yield(service, r, p.now)
			request.YieldTo, request.YieldShare = yield.Objective, yield.Share
		}
		g, ok := p.balancers[i].Choose(request, p.now)
		r.Left, r.HasWaited = k.objective-(p.now-arrived), waited
		var d Decision
		if p.ordered {
			d = line.Decide(service, r, Offer{Target: g.Target.ID, Granted: ok, RoomIn: g.RoomIn, QueueWait: g.QueueWait, Interval: g.Interval}, p.now)
		} else {
			d.Send = ok
		}
		p.wake(i, d.First)
		if d.Send {
			line.Sent(service, r, p.now)
			if waited {
				line.Ended(service, k.priority, true)
			}
			p.send(i, k, g, arrived, result)
			return
		}
		if ok {
			p.balancers[i].Done(g, affinity.Report{Outcome: affinity.Abandoned}, p.now)
		}
		for _, t := range d.Displaced {
			p.waiting[i][t](true)
		}
		if d.Ticket == 0 {
			refuse()
			return
		}
		woken := false
		wake := func(displaced bool) {
			if woken {
				return
			}
			woken, waited = true, true
			delete(p.waiting[i], d.Ticket)
			line.Leave(d.Ticket)
			if displaced {
				refuse()
				return
			}
			p.at(p.now, try)
		}
		p.waiting[i][d.Ticket] = wake
		p.at(p.now+max(d.RetryIn, 5*time.Millisecond), func() { wake(false) })
	}
	try()
}

func (p *play) wake(instance int, t Ticket) {
	if f := p.waiting[instance][t]; f != nil {
		f(false)
	}
}

// send runs a request at its target, after those that wait there already.
func (p *play) send(instance int, k kind, g affinity.Grant, arrived time.Duration, result *counts) {
	id, sent := g.Target.ID, p.now
	start := func() {
		p.running[id]++
		work := time.Duration(float64(k.work) * (0.7 + 0.6*p.random.Float64()))
		p.at(p.now+work, func() {
			p.running[id]--
			if p.now-arrived <= k.objective {
				result.inTime++
			} else {
				result.late++
			}
			load := p.running[id] + len(p.queued[id])
			if len(p.queued[id]) > 0 {
				next := p.queued[id][0]
				p.queued[id] = p.queued[id][1:]
				next()
			}
			p.balancers[instance].Done(g, affinity.Report{Outcome: affinity.Answered, HasLoad: true, Load: load, Elapsed: p.now - sent}, p.now)
			p.wake(instance, p.lines[instance].Next(id))
		})
	}
	if p.running[id] < p.slots {
		start()
		return
	}
	p.queued[id] = append(p.queued[id], start)
}

// The load that competes for too little room: three kinds of different priority, of which the
// lowest may take longest, ask for twice what the targets can run.
var competing = []kind{
	{name: "payments", priority: 0, perSecond: 60, work: 100 * time.Millisecond, objective: 400 * time.Millisecond},
	{name: "pages", priority: 1, perSecond: 200, work: 150 * time.Millisecond, objective: 500 * time.Millisecond},
	{name: "exports", priority: 2, perSecond: 150, work: 400 * time.Millisecond, objective: 1500 * time.Millisecond},
}

func TestTooLittleRoomCostsTheLowestPriorityFirstAndStarvesNobody(t *testing.T) {
	for _, instances := range []int{1, 7, 26, 61, 118, 400} {
		for seed := range uint64(3) {
			playTooLittleRoom(t, instances, 8, seed)
		}
	}
}

// Seeds with which one instance sends the second priority less often than the third.
func TestTooLittleRoomAtOneInstanceFromTheStart(t *testing.T) {
	for _, seed := range []uint64{21, 50, 61, 81, 82} {
		playTooLittleRoom(t, 1, 8, seed)
	}
}

// playTooLittleRoom plays twice the load that the targets can run, for 20 s, in the order of
// arrival and as lines decide.
func playTooLittleRoom(t *testing.T, instances, targets int, seed uint64) {
	t.Helper()
	before, after := newPlay(seed, false, instances, targets, 6), newPlay(seed, true, instances, targets, 6)
	before.run(competing, 20*time.Second)
	after.run(competing, 20*time.Second)
	name := fmt.Sprintf("%d instances, seed %d", instances, seed)
	var all, base counts
	for _, k := range competing {
		b, a := before.results[k.name], after.results[k.name]
		t.Logf("%s: %s in time %.2f, before %.2f; late %.2f, before %.2f", name, k.name, a.served(), b.served(),
			float64(a.late)/float64(a.asked), float64(b.late)/float64(b.asked))
		all.asked, all.inTime = all.asked+a.asked, all.inTime+a.inTime
		base.asked, base.inTime = base.asked+b.asked, base.inTime+b.inTime
	}
	t.Logf("%s: all in time %.3f, before %.3f", name, all.served(), base.served())
	for i, higher := range competing[:len(competing)-1] {
		lower := competing[i+1]
		if h, l := after.results[higher.name].sent(), after.results[lower.name].sent(); h < l-maxLag {
			t.Errorf("%s: %s are served %.2f of the time, %s %.2f", name, higher.name, h, lower.name, l)
		}
	}
	if h, b := after.results["payments"].served(), before.results["payments"].served(); h < 2*b || h < 0.75*all.served() {
		t.Errorf("%s: payments in time %.2f, %.2f in the order before, of all %.2f", name, h, b, all.served())
	}
	if all.served() < base.served() {
		t.Errorf("%s: of all %.2f in time, %.2f in the order before", name, all.served(), base.served())
	}
	for _, k := range competing {
		if served := after.results[k.name].served(); served < minFairShare*all.served()*0.8 {
			t.Errorf("%s: %.2f of %s in time, of all %.2f", name, served, k.name, all.served())
		}
	}
	for _, k := range competing {
		if held := after.maxHeld[k.name]; held > k.objective {
			t.Errorf("%s: a refused request of %s was held for %v", name, k.name, held)
		}
	}
}

// What instances that rarely hear of a target keep of a rush ends soon after it.
func TestRushIsForgottenOnceItHasEnded(t *testing.T) {
	for _, instances := range []int{7, 26, 118, 400} {
		var sums [2]counts // in the order before, and now
		for i := range sums {
			p := newPlay(1, i == 1, instances, 8, 6)
			p.load = func(now time.Duration) float64 {
				if now >= 10*time.Second && now < 20*time.Second {
					return 1
				}
				return 0.25
			}
			p.countFrom = 25 * time.Second
			p.run(competing, 40*time.Second)
			for _, r := range p.results {
				sums[i].asked, sums[i].inTime = sums[i].asked+r.asked, sums[i].inTime+r.inTime
			}
		}
		t.Logf("%d instances: in time %.4f, before %.4f", instances, sums[1].served(), sums[0].served())
		if now := sums[1].served(); now < 0.99 || now < sums[0].served()-0.005 {
			t.Errorf("%d instances: %.3f in time 5 s after a rush, %.3f in the order before", instances, now, sums[0].served())
		}
	}
}
