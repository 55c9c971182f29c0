package affinity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	maxShift     = 0.15
	coldDuration = 3 * time.Second
	// requestInterval is the time between two requests of a region's callers.
	requestInterval = 2 * time.Millisecond
	objectsPerClass = 400
)

// shiftFleet is a fleet in virtual time. Each region's callers send their requests to
// random instances of the region, which answer at once.
type shiftFleet struct {
	now       time.Duration
	regions   int
	balancers []*Balancer // instance i is in region i modulo regions
	targets   []Target
	startedAt map[string]time.Duration // by target
	random    *rand.Rand
	loads     map[string]int // by region: what its targets report; nil if they report none
	// sent is, for each region and each tenth of a second, the number of requests that
	// ran in each region.
	sent []map[string][]int
}

func newShiftFleet(instances int, perRegion ...int) *shiftFleet {
	f := &shiftFleet{
		now: time.Minute, regions: len(perRegion), startedAt: map[string]time.Duration{}, random: rand.New(rand.NewPCG(1, uint64(instances))),
		balancers: make([]*Balancer, instances), sent: make([]map[string][]int, len(perRegion)),
	}
	for region, n := range perRegion {
		f.sent[region] = map[string][]int{}
		f.add(region, n, 0)
	}
	for i := range f.balancers {
		f.start(i)
	}
	return f
}

// add starts n targets in a region.
func (f *shiftFleet) add(region, n int, coldFor time.Duration) {
	for range n {
		id := fmt.Sprintf("t%04d", len(f.startedAt))
		f.startedAt[id] = 0
		if coldFor > 0 {
			f.startedAt[id] = f.now
		}
		name := fmt.Sprintf("r%d", region)
		f.targets = append(f.targets, Target{
			ID: id, Service: service, Address: id, AvailabilityZone: name + "-a", Region: name, Slots: 6, ColdFor: coldFor,
			Revision: 1, Started: 1 + f.startedAt[id].Milliseconds(),
		})
	}
	f.register()
}

// remove removes the first n targets of a region.
func (f *shiftFleet) remove(region, n int) {
	var kept []Target
	for _, t := range f.targets {
		if t.Region == fmt.Sprintf("r%d", region) && n > 0 {
			n--
			continue
		}
		kept = append(kept, t)
	}
	f.targets = kept
	f.register()
}

// registered returns the targets' registrations as read now.
func (f *shiftFleet) registered() []Target {
	list := make([]Target, 0, len(f.targets))
	for _, t := range f.targets {
		t.Age = f.now - f.startedAt[t.ID]
		t.ColdFor = max(t.ColdFor-t.Age, 0)
		list = append(list, t)
	}
	return list
}

func (f *shiftFleet) register() {
	for _, b := range f.balancers {
		if b != nil {
			b.SetTargets(f.registered(), f.now)
		}
	}
}

// start starts the process of an instance, which knows nothing of before.
func (f *shiftFleet) start(i int) {
	b := New(fmt.Sprint("i", i), fmt.Sprint("r", i%f.regions), f.regions)
	b.SetMaxShift(maxShift)
	b.SetColdStart(service, 5, coldDuration)
	b.SetTargets(f.registered(), f.now)
	f.balancers[i] = b
}

// killAndRestart kills a fraction of the instances, and starts them again after half a
// second.
func (f *shiftFleet) killAndRestart(fraction float64) {
	var killed []int
	for _, i := range f.random.Perm(len(f.balancers))[:int(fraction*float64(len(f.balancers)))] {
		f.balancers[i] = nil
		killed = append(killed, i)
	}
	f.run(500 * time.Millisecond)
	for _, i := range killed {
		f.start(i)
	}
}

// run lets the callers send requests, half of them with an object.
func (f *shiftFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += requestInterval {
		for region := range f.regions {
			b := (*Balancer)(nil)
			for b == nil {
				b = f.balancers[f.random.IntN(len(f.balancers)/f.regions)*f.regions+region]
			}
			r := Request{Service: service, ID: fmt.Sprint(f.random.Uint64()), Route: "browse", Objective: 600 * ms}
			if f.random.IntN(2) == 0 {
				r.Object = fmt.Sprint(region, "/", f.random.IntN(objectsPerClass))
			}
			g, ok := b.Choose(r, f.now)
			if !ok {
				continue
			}
			b.Done(g, Report{Outcome: Answered, HasLoad: f.loads != nil, Load: f.loads[g.Target.Region], Elapsed: 200 * ms}, f.now)
			f.count(region, g.Target.Region)
		}
	}
}

func (f *shiftFleet) count(region int, ranIn string) {
	tenth := int((f.now - time.Minute) / (100 * ms))
	list := f.sent[region][ranIn]
	for len(list) <= tenth {
		list = append(list, 0)
	}
	list[tenth]++
	f.sent[region][ranIn] = list
}

// largestShift returns the largest fraction of a region's requests that ran in another
// region than in the two seconds before, over all windows of two seconds that begin at
// or after the time from.
func (f *shiftFleet) largestShift(region int, from time.Duration) (float64, time.Duration) {
	const window = 20
	sum := func(ranIn string, begin int) float64 {
		n := 0
		for t := begin; t < begin+window; t++ {
			if list := f.sent[region][ranIn]; t < len(list) {
				n += list[t]
			}
		}
		return float64(n)
	}
	largest, at := 0.0, time.Duration(0)
	last := int((f.now-time.Minute)/(100*ms)) - window
	for t := max(int((from-time.Minute)/(100*ms)), window); t <= last; t++ {
		before, after := 0.0, 0.0
		for ranIn := range f.sent[region] {
			before, after = before+sum(ranIn, t-window), after+sum(ranIn, t)
		}
		shift := 0.0
		for ranIn := range f.sent[region] {
			shift += max(sum(ranIn, t)/max(after, 1)-sum(ranIn, t-window)/max(before, 1), 0)
		}
		if shift > largest {
			largest, at = shift, time.Duration(t)*100*ms
		}
	}
	return largest, at
}

// checkShift fails the test if a region's requests shift by more than the limit, beyond
// the fraction of them that had to move.
func (f *shiftFleet) checkShift(t *testing.T, from time.Duration, needed ...float64) {
	t.Helper()
	for region := range f.regions {
		limit := maxShift
		if len(needed) > 0 {
			limit += needed[region]
		}
		if shift, at := f.largestShift(region, from); shift > limit {
			t.Errorf("%.0f%% of the requests of r%d changed their region within 2 s at %v, want at most %.0f%%", 100*shift, region, at, 100*limit)
		}
	}
}

func forFleets(t *testing.T, test func(t *testing.T, instances int)) {
	for _, instances := range []int{25, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) { test(t, instances) })
	}
}

func TestRequestsKeepTheirRegionsWhenManyInstancesAreRestarted(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 16, 62, 74)
		f.run(4 * time.Second)
		f.killAndRestart(0.6)
		f.run(6 * time.Second)
		f.checkShift(t, 0)
	})
}

func TestTargetsThatComeBackTogetherShiftFewRequestsAtOnce(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 16, 62, 74)
		f.run(4 * time.Second)
		f.add(0, 46, coldDuration)
		f.run(16 * time.Second)
		f.checkShift(t, 0)
	})
}

// Instances that start while requests are moving to targets must move as many as the
// others do.
func TestInstancesRestartedDuringAShiftDoNotCompleteItAtOnce(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 16, 62, 74)
		f.run(4 * time.Second)
		f.add(0, 46, coldDuration)
		f.run(5 * time.Second)
		f.killAndRestart(0.6)
		f.run(12 * time.Second)
		f.checkShift(t, 0)
	})
}

func TestTargetsThatGoTogetherMoveOnlyTheirOwnRequestsAtOnce(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 16, 62, 74)
		f.run(4 * time.Second)
		needed := make([]float64, f.regions)
		for region := range needed {
			all := 0
			for _, list := range f.sent[region] {
				for _, n := range list {
					all += n
				}
			}
			inR2 := 0
			for _, n := range f.sent[region]["r2"] {
				inR2 += n
			}
			needed[region] = float64(inR2) / float64(all) / 2
		}
		f.remove(2, 37)
		f.run(12 * time.Second)
		f.checkShift(t, 0, needed...)
	})
}

func TestRequestsKeepTheirRegionsWhenTheTargetsOfOneAreFullForATime(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 16, 62, 74)
		f.run(4 * time.Second)
		f.loads = map[string]int{"r0": 24}
		f.run(6 * time.Second)
		f.loads = map[string]int{}
		f.run(6 * time.Second)
		f.checkShift(t, 0)
	})
}

func TestRequestsShiftGraduallyWhenHomeRegionsChange(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 50, 50, 50)
		f.run(4 * time.Second)
		for _, b := range f.balancers {
			b.SetHomeRegionShares(map[string]float64{"r0": 0.25})
		}
		f.run(16 * time.Second)
		f.checkShift(t, 0)
	})
}

func TestRequestsComeBackGraduallyToAZoneThatIsOpenedAgain(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 50, 50, 50)
		closeZones := func(zones map[string]bool) {
			for _, b := range f.balancers {
				b.SetClosedZones(zones, f.now)
			}
		}
		closeZones(map[string]bool{"r0-a": true})
		f.run(4 * time.Second)
		opened := f.now
		closeZones(nil)
		f.run(16 * time.Second)
		f.checkShift(t, opened)
	})
}

func TestReadmittedTargetsGetTheirRequestsBackGradually(t *testing.T) {
	forFleets(t, func(t *testing.T, instances int) {
		f := newShiftFleet(instances, 31, 62, 74)
		f.run(4 * time.Second)
		for _, b := range f.balancers {
			for _, s := range b.targets {
				if s.Region == "r0" {
					s.eject(f.now, 4*time.Second, Slow)
				}
			}
		}
		back := f.now + 2*time.Second
		f.run(16 * time.Second)
		f.checkShift(t, back)
	})
}
