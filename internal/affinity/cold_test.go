package affinity

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	coldMaxAge = 2300 * ms
	coldSettle = 2*coldMaxAge + 2*time.Second
	coldLease  = 3 * time.Second
	coldTarget = "t00"
)

// coldFleet is a fleet whose instances read one list, each at its own moments.
type coldFleet struct {
	rand      *rand.Rand
	now       time.Duration
	rate      float64
	list      map[string]uint64 // registered instance → revision of its entry
	revision  uint64
	history   []coldList // the list from each of its changes on
	instances []*coldInstance
	sent      []time.Duration // to the cold target
	noDemand  time.Duration   // until when no instance has requests
	targets   []Target
}

type coldList struct {
	at    time.Duration
	names map[string]uint64
}

type coldInstance struct {
	*Balancer
	name      string
	nextRead  time.Duration
	readAsOf  time.Duration
	cutUntil  time.Duration // reads nothing and does not renew its lease before
	downUntil time.Duration // no process before
	leaseEnds time.Duration // if it is cut off or down
	lostUntil time.Duration // its lease has lapsed and is not yet granted again
}

func newColdFleet(n int, rate float64, seed uint64) *coldFleet {
	f := &coldFleet{rand: rand.New(rand.NewPCG(seed, uint64(n))), rate: rate, list: map[string]uint64{}, targets: newTargets(4, 6)}
	f.targets[0].ColdFor = time.Hour
	for i := range n {
		inst := &coldInstance{name: fmt.Sprint("i", i)}
		f.start(inst)
		f.instances = append(f.instances, inst)
	}
	return f
}

func (f *coldFleet) start(inst *coldInstance) {
	inst.Balancer = New(inst.name, "r0", 3)
	inst.ShareColdTargets(coldMaxAge, coldSettle)
	inst.SetColdStart(service, f.rate, 3*time.Second)
	inst.SetTargets(f.targets, f.now)
	inst.readAsOf = 0
	f.register(inst)
}

func (f *coldFleet) register(inst *coldInstance) {
	f.revision++
	f.list[inst.name] = f.revision
	f.note()
}

func (f *coldFleet) lapse(inst *coldInstance) {
	delete(f.list, inst.name)
	f.note()
}

func (f *coldFleet) note() {
	f.history = append(f.history, coldList{f.now, maps.Clone(f.list)})
}

func (f *coldFleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rand.Int64N(int64(b-a)))
}

// read passes a list of up to a second ago to the instance, which may be older than the
// confirmation of others but not than its own last one.
func (f *coldFleet) read(inst *coldInstance) {
	inst.nextRead = f.now + f.between(50*ms, 900*ms)
	at := max(f.now-f.between(0, time.Second), inst.readAsOf)
	i, exact := slices.BinarySearchFunc(f.history, at, func(l coldList, at time.Duration) int { return cmp.Compare(l.at, at) })
	for exact && i+1 < len(f.history) && f.history[i+1].at == at {
		i++
	}
	if !exact {
		i--
	}
	if i < 0 {
		return
	}
	names := f.history[i].names
	inst.SetRegistration(names[inst.name], f.now)
	inst.SetInstances(slices.Sorted(maps.Keys(names)), f.now)
	inst.SetInstancesCurrentAsOf(at, f.now)
	inst.readAsOf = at
}

// disturb brings one fault about at one of the instances that rank highest.
func (f *coldFleet) disturb() {
	ranked := slices.Clone(f.instances)
	slices.SortFunc(ranked, func(a, b *coldInstance) int {
		return cmp.Compare(senderHash(coldTarget, b.name), senderHash(coldTarget, a.name))
	})
	inst := ranked[f.rand.IntN(min(len(ranked), 9))]
	if f.now < max(inst.cutUntil, inst.downUntil, inst.lostUntil) {
		return
	}
	switch f.rand.IntN(4) {
	case 0: // the answers to its renewals are late
		inst.lostUntil = f.now + f.between(100*ms, 6*time.Second)
		f.lapse(inst)
	case 1: // killed
		inst.downUntil, inst.leaseEnds = f.now+f.between(300*ms, 6*time.Second), f.now+f.between(2*time.Second, coldLease)
	case 2: // stopped as planned
		inst.downUntil = f.now + f.between(500*ms, 4*time.Second)
		f.lapse(inst)
	case 3: // cut off, with callers
		inst.cutUntil, inst.leaseEnds = f.now+f.between(300*ms, 15*time.Second), f.now+f.between(2*time.Second, coldLease)
	}
}

// step lets an instance follow the list and send one request if it can.
func (f *coldFleet) step(inst *coldInstance) {
	_, listed := f.list[inst.name]
	switch {
	case f.now < max(inst.cutUntil, inst.downUntil):
		if listed && f.now >= inst.leaseEnds {
			f.lapse(inst)
		}
	case inst.downUntil > 0:
		inst.downUntil = 0
		f.start(inst)
	case !listed && f.now >= inst.lostUntil:
		f.register(inst)
	}
	if f.now < inst.downUntil {
		return
	}
	if f.now >= max(inst.nextRead, inst.cutUntil) {
		f.read(inst)
	}
	if f.now < f.noDemand {
		return
	}
	r := newRequest(fmt.Sprint("o", f.now, inst.name))
	r.Service = service
	g, ok := inst.Choose(r, f.now)
	if !ok {
		return
	}
	if g.Target.ID == coldTarget {
		f.sent = append(f.sent, f.now)
	}
	inst.Done(g, Report{Outcome: Answered, Elapsed: 200 * ms}, f.now)
}

func (f *coldFleet) run(until, faultEvery time.Duration) {
	for ; f.now < until; f.now += 20 * ms {
		if faultEvery > 0 && f.rand.Int64N(int64(faultEvery/(20*ms))) == 0 {
			f.disturb()
		}
		if f.now > f.noDemand+500*ms && f.rand.IntN(50) == 0 {
			f.noDemand = f.now + f.between(100*ms, 2*time.Second)
		}
		for _, inst := range f.instances {
			f.step(inst)
		}
	}
}

// most returns the largest number of requests to the cold target in one second.
func (f *coldFleet) most() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at-f.sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// While the list flaps, some instances learn of it late, some go on with an old one and
// some have just started. Requests come to all of them, with pauses in which their token
// buckets fill. The bound is within 1.5 x rate + 5.
func TestColdTargetGetsItsColdRateWhileInstancesComeAndGo(t *testing.T) {
	for _, c := range []struct {
		instances, seeds int
		rate             float64
	}{{7, 9, 1}, {7, 9, 5.3}, {7, 9, 20}, {25, 3, 1}, {25, 6, 5.3}, {25, 3, 20}, {118, 3, 5.3}} {
		for seed := range uint64(c.seeds) {
			f := newColdFleet(c.instances, c.rate, seed)
			f.run(12*time.Second, 0)
			calm := len(f.sent)
			f.run(40*time.Second, []time.Duration{200 * ms, time.Second, 4 * time.Second}[seed%3])
			if most := f.most(); float64(most) > c.rate+maxColdSenders*coldBurst {
				t.Errorf("%d instances, seed %d: %d requests in a second to a cold target of %g", c.instances, seed, most, c.rate)
			}
			if calm == 0 {
				t.Errorf("%d instances, seed %d: none before the faults", c.instances, seed)
			}
			t.Logf("%d instances, rate %g, seed %d: most %d, %d before the faults, %d after", c.instances, c.rate, seed, f.most(), calm, len(f.sent)-calm)
		}
	}
}

// A cold target that joins a calm fleet gets requests at its rate within a second.
func TestColdTargetGetsRequestsSoonWhileTheFleetIsCalm(t *testing.T) {
	for _, n := range []int{1, 2, 7, 25, 118} {
		f := newColdFleet(n, 5.3, 1)
		f.run(10*time.Second, 0)
		joined := f.targets[0]
		joined.ID, joined.Address = "t-new", "10.1.1.1:80"
		f.targets = append(f.targets[1:], joined)
		for _, inst := range f.instances {
			inst.SetTargets(f.targets, f.now)
		}
		first := time.Duration(0)
		for begin := f.now; first == 0 && f.now < begin+4*time.Second; f.now += 10 * ms {
			for _, inst := range f.instances {
				r := newRequest(fmt.Sprint("o", f.now, inst.name))
				r.Service = service
				if f.now >= inst.nextRead {
					f.read(inst)
				}
				if g, ok := inst.Choose(r, f.now); ok {
					if g.Target.ID == joined.ID && first == 0 {
						first = f.now - begin
					}
					inst.Done(g, Report{Outcome: Answered, Elapsed: 200 * ms}, f.now)
				}
			}
		}
		if first == 0 || first > time.Second {
			t.Errorf("%d instances: the first request came after %s", n, first)
		}
	}
}

func TestColdTargetGetsNothingFromAnInstanceOutOfTouch(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(b *Balancer)
		want    bool
	}{
		"settled":            {func(*Balancer) {}, true},
		"list too old":       {func(*Balancer) {}, false},
		"not registered":     {func(b *Balancer) { b.SetRegistration(0, 15*time.Second) }, false},
		"registered anew":    {func(b *Balancer) { b.SetRegistration(2, 15*time.Second) }, false},
		"in touch again":     {func(b *Balancer) { b.SetInstancesCurrentAsOf(19*time.Second, 19*time.Second) }, false},
		"others rank higher": {func(b *Balancer) { b.SetInstances(higherThan("a", 3), 0) }, false},
		"two rank higher":    {func(b *Balancer) { b.SetInstances(higherThan("a", 2), 0) }, true},
		"others have left": {func(b *Balancer) {
			b.SetInstances(higherThan("a", 3), 0)
			b.SetInstances([]string{"a"}, 20*time.Second-coldSettle-2*time.Second)
		}, true},
		"others left just now": {func(b *Balancer) {
			b.SetInstances(higherThan("a", 3), 0)
			b.SetInstances([]string{"a"}, 20*time.Second-coldSettle+1)
		}, false},
	} {
		targets := newTargets(1, 6)
		targets[0].ColdFor = time.Hour
		b := New("a", "r0", 1)
		b.ShareColdTargets(coldMaxAge, coldSettle)
		b.SetColdStart(service, 3, time.Second)
		b.SetTargets(targets, 0)
		b.SetInstances([]string{"a"}, 0)
		b.SetRegistration(1, 0)
		last := 19 * time.Second
		if name == "list too old" || name == "in touch again" {
			last = 16 * time.Second
		}
		for at := time.Duration(0); at <= last; at += time.Second {
			b.SetInstancesCurrentAsOf(at, at)
		}
		c.prepare(b)
		r := newRequest("o")
		if g, ok := b.Choose(r, 20*time.Second); ok != c.want {
			t.Errorf("%s: %t, %+v", name, ok, g)
		}
	}
}

// The tokens of a former turn would add to those that the senders since have used.
func TestTurnAtAColdTargetBeginsWithoutTokens(t *testing.T) {
	targets := newTargets(1, 6)
	targets[0].ColdFor = time.Hour
	b := New("a", "r0", 1)
	b.ShareColdTargets(time.Hour, coldSettle)
	b.SetColdStart(service, 3, time.Second)
	b.SetTargets(targets, 0)
	b.SetInstancesCurrentAsOf(0, 0)
	b.SetRegistration(1, 0)
	choose := func(now time.Duration) bool {
		_, ok := b.Choose(newRequest("o"), now)
		return ok
	}
	if !choose(20 * time.Second) {
		t.Fatal("sent nothing in its first turn")
	}
	b.targets[coldTarget].coldTokens = 1
	b.SetInstances(higherThan("a", 3), 20*time.Second)
	left := 21 * time.Second
	b.SetInstances([]string{"a"}, left)
	for now := left; now < left+coldSettle+300*ms; now += 100 * ms {
		if choose(now) {
			t.Fatalf("sent %s after the others left", now-left)
		}
	}
	if !choose(left + coldSettle + 1100*ms) {
		t.Error("sent nothing a second after its turn began")
	}
}

// higherThan returns n names that rank higher for the first target than the given one.
func higherThan(name string, n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		if other := fmt.Sprint("i", i); senderHash(coldTarget, other) > senderHash(coldTarget, name) {
			names = append(names, other)
		}
	}
	return names
}
