package affinity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

const (
	minEjection = availability.MinEjection
	Slow        = availability.Slow
)

func (s *targetState) eject(now, minDuration time.Duration, reason availability.EjectionReason) {
	s.process.Eject(now, minDuration, reason)
}

func (s *targetState) ejected(now time.Duration) bool { return s.process.Ejected(now) }

// notices are the two things that a target may say, and what they last.
var notices = map[string]availability.Notice{"leaving": {Leaving: true}, "paused": {Pause: time.Minute}}

// chosenFor returns the requests that a target gets of many, with the objects o0 to
// o(n-1).
func chosenFor(b *Balancer, id string, n int, now time.Duration) int {
	count := 0
	for i := range n {
		g, ok := b.Choose(newRequest(fmt.Sprint("o", i)), now)
		if !ok {
			continue
		}
		b.Done(g, Report{Outcome: Abandoned}, now)
		if g.Target.ID == id {
			count++
		}
	}
	return count
}

// changed returns the targets with one of them changed.
func changed(targets []Target, id string, change func(*Target)) []Target {
	list := slices.Clone(targets)
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

// without returns the targets except one.
func without(targets []Target, id string) []Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.ID == id })
}

func TestTargetThatLeavesOrPausesGetsRequests(t *testing.T) {
	for name, notice := range notices {
		targets := newTargets(6, 6)
		b := newBalancer("a", "r0", targets)
		g := mustChoose(t, b, newRequest("o"), 1)
		b.Observe(g, notice, 2)
		if b.StillValid(g) {
			t.Errorf("%s: an earlier grant is still valid", name)
		}
		b.Done(g, Report{Outcome: Rejected}, 2)
		if n := chosenFor(b, g.Target.ID, 200, 3); n > 0 {
			t.Errorf("%s: %d requests", name, n)
		}
		for _, x := range targets {
			if x.ID != g.Target.ID {
				b.targets[x.ID].eject(3, time.Hour, Slow)
			}
		}
		if n := chosenFor(b, g.Target.ID, 200, 4); n > 0 {
			t.Errorf("%s: %d requests since all others are ejected", name, n)
		}
	}
}

func TestTrialIsSentToATargetThatLeavesOrPauses(t *testing.T) {
	for name, notice := range notices {
		b := newBalancer("a", "r0", newTargets(6, 6))
		g := mustChoose(t, b, newRequest("o"), 1)
		b.Done(g, Report{Outcome: Unreachable}, 2)
		b.Observe(g, notice, 3)
		if n := chosenFor(b, g.Target.ID, 200, 3+minEjection); n > 0 {
			t.Errorf("%s: %d requests after the ejection", name, n)
		}
	}
}

// What a process has said holds as long as it runs, whatever its registration says.
func TestNoticeIsForgottenWhenTheRegistrationChanges(t *testing.T) {
	for name, notice := range notices {
		for change, lists := range map[string]func([]Target, string) [][]Target{
			"ready again": func(all []Target, id string) [][]Target {
				return [][]Target{changed(all, id, func(x *Target) { x.Revision++ })}
			},
			"draining, then ready": func(all []Target, id string) [][]Target {
				return [][]Target{changed(all, id, func(x *Target) { x.Leaving = true }), all}
			},
			"gone and back": func(all []Target, id string) [][]Target { return [][]Target{without(all, id), all} },
			"all gone and back, twice": func(all []Target, id string) [][]Target {
				return [][]Target{nil, all, nil, all}
			},
			"another address": func(all []Target, id string) [][]Target {
				return [][]Target{changed(all, id, func(x *Target) { x.Address = "10.1.1.1:80" })}
			},
			"another zone": func(all []Target, id string) [][]Target {
				return [][]Target{changed(all, id, func(x *Target) { x.AvailabilityZone, x.Region = "r1-a", "r1" })}
			},
			"another service and back": func(all []Target, id string) [][]Target {
				return [][]Target{changed(all, id, func(x *Target) { x.Service = "records" }), all}
			},
			"another target at its address, then alone": func(all []Target, id string) [][]Target {
				var other Target
				changed(all, id, func(x *Target) { other = *x })
				other.ID, other.Started = "other", other.Started+1
				return [][]Target{append(slices.Clone(all), other), all}
			},
		} {
			targets := newTargets(6, 6)
			b := newBalancer("a", "r0", targets)
			g := mustChoose(t, b, newRequest("o"), 1)
			b.Observe(g, notice, 2)
			now := time.Duration(3)
			for _, list := range lists(targets, g.Target.ID) {
				b.SetTargets(list, now)
				if n := chosenFor(b, g.Target.ID, 200, now+1); n > 0 {
					t.Errorf("%s, %s: %d requests", name, change, n)
				}
				now += 2
			}
		}
	}
}

func TestNoticeIsLostIfTheRegistrationIsAwayWhenItComes(t *testing.T) {
	for name, notice := range notices {
		targets := newTargets(6, 6)
		b := newBalancer("a", "r0", targets)
		g := mustChoose(t, b, newRequest("o"), 1)
		b.SetTargets(without(targets, g.Target.ID), 2)
		b.Observe(g, notice, 3)
		b.SetTargets(targets, 4)
		if n := chosenFor(b, g.Target.ID, 200, 5); n > 0 {
			t.Errorf("%s: %d requests", name, n)
		}
	}
}

func TestNextProcessOfATargetIsHeldToWhatTheFormerSaid(t *testing.T) {
	for name, notice := range notices {
		targets := newTargets(6, 6)
		b := newBalancer("a", "r0", targets)
		g := mustChoose(t, b, newRequest("o"), 1)
		b.Observe(g, notice, 2)
		b.SetTargets(without(targets, g.Target.ID), 3)
		b.SetTargets(changed(targets, g.Target.ID, func(x *Target) { x.Started++ }), 4)
		b.Observe(g, notice, 5) // late
		if next := mustChoose(t, b, newRequest("o"), 6); next.Target.ID != g.Target.ID {
			t.Errorf("%s: the object does not go to the new process", name)
		}
	}
}

func TestRequestWaitsForNothingWhenAllTargetsLeaveOrPause(t *testing.T) {
	const now = time.Hour
	observe := func(n availability.Notice, ids ...string) func(b *Balancer) {
		return func(b *Balancer) {
			for _, id := range ids {
				b.Observe(Grant{Target: b.targets[id].Target}, n, now)
			}
		}
	}
	leave := func(ids ...string) func(b *Balancer) { return observe(availability.Notice{Leaving: true}, ids...) }
	pause := func(d time.Duration, ids ...string) func(b *Balancer) {
		return observe(availability.Notice{Pause: d}, ids...)
	}
	// In region r0 are t00 and t03, in r1 t01 and t04, in r2 t02 and t05.
	for name, test := range map[string]struct {
		request Request
		set     []func(b *Balancer)
		reason  Reason
		wait    time.Duration
	}{
		"all leave": {Request{}, []func(*Balancer){leave("t00", "t01", "t02", "t03", "t04", "t05")}, Unavailable, 0},
		"all pause": {Request{}, []func(*Balancer){pause(4*time.Second, "t00", "t01", "t02"), pause(3*time.Second, "t03", "t04", "t05")}, Unavailable, 3 * time.Second},
		"some leave": {
			Request{}, []func(*Balancer){leave("t00", "t01", "t02"), pause(3*time.Second, "t03", "t04", "t05")}, Unavailable, 3 * time.Second,
		},
		"one leaves while it pauses": {
			Request{HomeRegions: []string{"r0"}}, []func(*Balancer){pause(time.Second, "t00"), leave("t00"), pause(3*time.Second, "t03")}, Unavailable, 3 * time.Second,
		},
		"home region":        {Request{HomeRegions: []string{"r1"}}, []func(*Balancer){pause(time.Second, "t00"), pause(2*time.Second, "t01", "t04")}, Unavailable, 2 * time.Second},
		"other home region":  {Request{HomeRegions: []string{"r0"}}, []func(*Balancer){pause(2*time.Second, "t01", "t04")}, Preferred, 0},
		"closed zones":       {Request{}, []func(*Balancer){closeZones("r0-a", "r1-a"), pause(time.Second, "t00"), pause(2*time.Second, "t02", "t05")}, Unavailable, 2 * time.Second},
		"only closed zones":  {Request{}, []func(*Balancer){closeZones("r0-a", "r1-a", "r2-a"), pause(time.Second, "t00")}, NoTarget, 0},
		"excluded":           {Request{HomeRegions: []string{"r0"}, Exclude: []string{"t00"}}, []func(*Balancer){pause(time.Second, "t00"), pause(2*time.Second, "t03")}, Unavailable, 2 * time.Second},
		"all excluded":       {Request{HomeRegions: []string{"r0"}, Exclude: []string{"t00", "t03"}}, []func(*Balancer){pause(time.Second, "t00")}, NoTarget, 0},
		"the other is full":  {Request{HomeRegions: []string{"r0"}}, []func(*Balancer){pause(time.Second, "t00"), fill("t03")}, Full, 300 * ms},
		"the other, ejected": {Request{HomeRegions: []string{"r0"}}, []func(*Balancer){pause(time.Second, "t00"), func(b *Balancer) { b.targets["t03"].eject(now, time.Hour, Slow) }}, Forced, 0},
	} {
		b := New("a", "r0", 3)
		b.SetTargets(newTargets(6, 6), 0)
		for _, set := range test.set {
			set(b)
		}
		r := newRequest("o")
		r.HomeRegions, r.Exclude = test.request.HomeRegions, test.request.Exclude
		g, ok := b.Choose(r, now)
		if reason := g.Reason; reason != test.reason && !(reason == Evaded && test.reason == Preferred) || g.Wait < test.wait || test.reason == Unavailable && g.Wait != test.wait {
			t.Errorf("%s: %s, wait %v (granted: %v), want %s, %v", name, g.Reason, g.Wait, ok, test.reason, test.wait)
		}
	}
}

func closeZones(zones ...string) func(b *Balancer) {
	return func(b *Balancer) {
		closed := map[string]bool{}
		for _, z := range zones {
			closed[z] = true
		}
		b.SetClosedZones(closed, time.Hour)
	}
}

// fill makes the target so full that requests are refused.
func fill(id string) func(b *Balancer) {
	return func(b *Balancer) { b.targets[id].inFlight = 100 }
}

// assign returns the target of each of n objects, by the object's number.
func assign(b *Balancer, n int, now time.Duration) []string {
	targets := make([]string, n)
	for i := range targets {
		if g, ok := b.Choose(newRequest(fmt.Sprint("o", i)), now); ok {
			b.Done(g, Report{Outcome: Abandoned}, now)
			targets[i] = g.Target.ID
		}
	}
	return targets
}

func TestObjectsOfATargetThatLeavesOrPausesMoveMoreThanOnce(t *testing.T) {
	for name, notice := range notices {
		for _, shift := range []float64{0, 0.15} {
			b := New("a", "r0", 3)
			b.SetMaxShift(shift)
			b.SetTargets(newTargets(30, 6), 0)
			before := assign(b, 400, 1)
			gone := before[0]
			b.Observe(Grant{Target: b.targets[gone].Target}, notice, 2)
			last, moves := before, make([]int, len(before))
			for now := 3 * time.Nanosecond; now < 30*time.Second; now += 500 * ms {
				next := assign(b, 400, now)
				for i := range next {
					if next[i] != last[i] {
						moves[i]++
					}
				}
				last = next
			}
			moved, again := 0, 0
			for i, n := range moves {
				if before[i] == gone {
					moved++
					if n != 1 {
						again++
					}
				}
			}
			if moved == 0 || again > 0 {
				t.Errorf("%s, shift limit %g: %d of the %d objects of the target did not move exactly once", name, shift, again, moved)
			}
		}
	}
}

// The next target of an object may be cold.
func TestObjectsOfAPausedTargetExceedTheRateOfAColdOne(t *testing.T) {
	const rate, seconds = 5.0, 10
	targets := newTargets(2, 60)
	for i := range targets {
		targets[i].AvailabilityZone, targets[i].Region = "r0-a", "r0"
	}
	targets[1].ColdFor = time.Hour
	b := New("a", "r0", 1)
	b.SetColdStart(service, rate, time.Hour)
	b.SetTargets(targets, 0)
	b.Observe(Grant{Target: targets[0]}, availability.Notice{Pause: time.Hour}, 1)
	granted := 0
	for now := time.Duration(1); now < seconds*time.Second; now += 5 * ms {
		g, ok := b.Choose(newRequest(fmt.Sprint(now)), now)
		if ok {
			granted++
			b.Done(g, Report{Outcome: Answered, Elapsed: 100 * ms}, now)
		} else if g.Reason != Full {
			t.Fatalf("refused as %s", g.Reason)
		}
	}
	if limit := rate*seconds + coldBurst; float64(granted) > limit || granted == 0 {
		t.Errorf("%d requests in %d s to a cold target, want 1 to %g", granted, seconds, limit)
	}
}

func TestRequestsReturnAllAtOnceAfterAPause(t *testing.T) {
	const instances, objects, end = 20, 200, 10 * time.Second
	var fleet []*Balancer
	var home []string
	for i := range instances {
		b := newBalancer(fmt.Sprint("i", i), "r0", newTargets(6, 6))
		home = assign(b, objects, 1)
		b.Observe(Grant{Target: b.targets[home[0]].Target}, availability.Notice{Pause: end - 1}, 1)
		fleet = append(fleet, b)
	}
	atHome := func(now time.Duration) (all, ofOne float64) {
		homed := 0.0
		for _, b := range fleet {
			for i, id := range assign(b, objects, now) {
				if home[i] != home[0] {
					continue
				}
				homed++
				if id == home[0] {
					all++
					if i == 0 {
						ofOne++
					}
				}
			}
		}
		return all / homed, ofOne / instances
	}
	for _, step := range []struct {
		at       time.Duration
		min, max float64 // share of the requests
		maxOfOne float64 // share of the instances that send a single object's requests
	}{
		{end - 1, 0, 0, 0}, {end, 0, 0.01, 0.1}, {end + availability.ReturnDuration/4, 0.15, 0.35, 0.6},
		{end + availability.ReturnDuration/2, 0.4, 0.6, 0.85}, {end + availability.ReturnDuration, 1, 1, 1}, {time.Hour, 1, 1, 1},
	} {
		all, ofOne := atHome(step.at)
		if all < step.min || all > step.max || ofOne > step.maxOfOne {
			t.Errorf("%v after the pause: %.2f of the requests are back, %.2f of those for one object; want %g to %g, and %g at most",
				step.at-end, all, ofOne, step.min, step.max, step.maxOfOne)
		}
	}
}

func TestPausedTargetIsNotEjectedOrColdAfterwards(t *testing.T) {
	targets := newTargets(6, 6)
	targets[0].ColdFor = time.Minute
	b := newBalancer("a", "r0", targets)
	b.Observe(Grant{Target: targets[0]}, availability.Notice{Pause: time.Second}, 1)
	b.targets["t00"].eject(2, time.Hour, Slow)
	if now := 3 * time.Second; !b.targets["t00"].ejected(now) || !b.targets["t00"].cold(now) {
		t.Error("a pause has ended the target's ejection or cold start")
	}
	if n := chosenFor(b, "t00", 200, 3*time.Second); n > 0 {
		t.Errorf("%d requests to an ejected target after its pause", n)
	}
}

// While the only target returns from a pause, nothing else could run the request.
func TestRequestIsRefusedWhileTheOnlyTargetReturns(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(1, 6))
	b.Observe(Grant{Target: b.targets["t00"].Target}, availability.Notice{Pause: time.Second}, 1)
	for i := range 50 {
		g := mustChoose(t, b, newRequest(fmt.Sprint("o", i)), time.Second+1)
		b.Done(g, Report{Outcome: Abandoned}, time.Second+1)
	}
}

// Those that have been unregistered for the longest time are forgotten.
func TestUnregisteredProcessesFillTheMemory(t *testing.T) {
	b := New("a", "r0", 3)
	gone := func(batch, n int) []Target {
		var list []Target
		for i := range n {
			id := fmt.Sprint(batch, "/", i)
			list = append(list, Target{ID: id, Service: service, Address: id, Region: "r0", Slots: 6, Started: 1})
		}
		return list
	}
	const half = maxUnregistered / 2
	for batch := range 4 {
		now := time.Duration(batch) * time.Hour
		b.SetTargets(gone(batch, half), now)
		for i, x := range gone(batch, half) {
			b.Observe(Grant{Target: x}, availability.Notice{Leaving: i < half-100, Pause: time.Minute}, now)
		}
		if batch == 2 { // a late response of a process that was unregistered before
			b.Observe(Grant{Target: gone(1, half)[1]}, availability.Notice{Leaving: true}, now)
		}
	}
	now := 4 * time.Hour
	b.SetTargets(newTargets(6, 6), now)
	if n := len(b.processes); n > 6+maxUnregistered || n < 6+maxUnregistered-300 {
		t.Errorf("%d processes are remembered, want %d at most and few less", n, 6+maxUnregistered)
	}
	for _, batch := range []int{2, 3} {
		b.SetTargets(append(newTargets(6, 6), gone(batch, half)[0]), now)
		if n := chosenFor(b, gone(batch, half)[0].ID, 200, now); n > 0 {
			t.Errorf("%d requests to one of the processes that left last", n)
		}
	}
}

func TestChangesAndCountsOfAvailabilityAreIncomplete(t *testing.T) {
	targets := newTargets(6, 6)
	b := newBalancer("a", "r0", targets)
	b.SetTargets(changed(targets, "t00", func(x *Target) { x.Leaving = true }), 1)
	b.Observe(Grant{Target: targets[1]}, availability.Notice{Leaving: true}, 2)
	b.Observe(Grant{Target: targets[2]}, availability.Notice{Pause: 3 * time.Second}, 3)
	b.Observe(Grant{Target: targets[2]}, availability.Notice{Pause: time.Second}, 4)
	b.Observe(Grant{Target: targets[3]}, availability.Notice{Pause: time.Second}, 5)
	b.Observe(Grant{Target: targets[3]}, availability.Notice{Leaving: true}, 6)
	if got := b.AvailabilityCounts(7)[service]; got != (AvailabilityCount{Leaving: 3, Paused: 1}) {
		t.Errorf("%+v, want 3 that leave and 1 that pauses", got)
	}
	b.targets["t04"].eject(8, time.Second, Slow)
	if got := b.AvailabilityCounts(time.Hour); len(got) != 1 || got[service] != (AvailabilityCount{Leaving: 3}) {
		t.Errorf("%+v an hour later, want 3 that leave", got)
	}
	var got []string
	for _, c := range b.AvailabilityChanges() {
		got = append(got, fmt.Sprintf("%s/%s %s-%s %s%s %v", c.Service, c.Target, c.From, c.To, c.Source, c.Reason, c.For))
	}
	want := []string{
		"listings/t00 serving-leaving registration 0s", "listings/t01 serving-leaving response 0s", "listings/t02 serving-paused response 3s",
		"listings/t03 serving-paused response 1s", "listings/t03 paused-leaving response 0s", "listings/t04 serving-ejected ejectionslow 1s",
		"listings/t02 paused-serving timer 0s", "listings/t04 ejected-trial timer 0s",
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("changes:\n%q, want\n%q", got, want)
	}
	if n := len(b.AvailabilityChanges()); n > 0 {
		t.Errorf("%d changes are returned twice", n)
	}
}

// A target that asks for a pause turns all requests away that are on their way.
func TestRejectionsAtTheBeginOfAPauseEjectTheTarget(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 6))
	now := time.Duration(1)
	for i := range 100 { // to all targets, since these have no object
		r := newRequest("")
		r.ID = fmt.Sprint(i)
		b.Done(mustChoose(t, b, r, now), Report{Outcome: Answered}, now)
	}
	for range 5 {
		var grants []Grant
		for range 6 {
			grants = append(grants, mustChoose(t, b, newRequest("o"), now))
		}
		for _, g := range grants {
			b.Observe(g, availability.Notice{Pause: 500 * ms}, now)
			b.Done(g, Report{Outcome: Rejected}, now)
		}
		now += 5 * time.Second
		for range 10 {
			b.Done(mustChoose(t, b, newRequest("o"), now), Report{Outcome: Answered}, now)
		}
	}
	for _, c := range b.AvailabilityChanges() {
		if c.Source == availability.Ejection {
			t.Fatalf("%+v", c)
		}
	}
}

// One that asks for a pause whenever it gets a request takes the retries of others.
func TestTargetThatPausesAgainAndAgainIsNotEjected(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 6))
	now, rejected := time.Duration(1), 0
	for i := range 6000 {
		g := mustChoose(t, b, newRequest(fmt.Sprint("o", i%40)), now)
		if g.Target.ID == "t00" {
			rejected++
			b.Observe(g, availability.Notice{Pause: ms}, now)
			b.Done(g, Report{Outcome: Rejected}, now)
		} else {
			b.Done(g, Report{Outcome: Answered, Elapsed: 200 * ms}, now)
		}
		now += 5 * ms
	}
	if rejected == 0 || rejected > 20 {
		t.Errorf("%d of 6,000 requests in 30 s went to a target that rejects all with a short pause, want 1 to 20", rejected)
	}
}

// pauseFirst lets the first n targets of region r0 say something to all instances.
func (f *shiftFleet) pauseFirst(n int, notice availability.Notice) {
	for _, b := range f.balancers {
		left := n
		for _, x := range f.targets {
			if x.Region == "r0" && left > 0 {
				left--
				b.Observe(Grant{Target: x}, notice, f.now)
			}
		}
	}
}

func TestPausedTargetsGetTheirRequestsBackFromOtherRegionsAtOnce(t *testing.T) {
	for _, pause := range []time.Duration{2 * shiftWindow, shiftWindow - ms} {
		forFleets(t, func(t *testing.T, instances int) {
			f := newShiftFleet(instances, 31, 62, 74)
			f.run(4 * time.Second)
			f.pauseFirst(31, availability.Notice{Pause: pause})
			back := f.now + shiftWindow
			f.run(16 * time.Second)
			f.checkShift(t, back)
		})
	}
}

// It takes seconds to shift a region's share back, so that of a short pause stays.
func TestShortPauseKeepsObjectsInOtherRegionsAfterItsEnd(t *testing.T) {
	targets := newTargets(64, 6)
	for i := range targets {
		targets[i].Region = fmt.Sprint("r", 1+i%2)
		if i < 8 {
			targets[i].Region = "r0"
		}
	}
	b := New("a", "r0", 3)
	b.SetMaxShift(maxShift)
	b.SetTargets(targets, 0)
	const end = shiftWindow - 1
	before := assign(b, 400, 0)
	b.Observe(Grant{Target: targets[0]}, availability.Notice{Pause: end}, 0)
	for now := time.Duration(0); now < end+availability.ReturnDuration; now += 50 * ms {
		for i, id := range assign(b, 400, now) {
			if before[i] != "t00" && id != before[i] {
				t.Fatalf("at %v: object %d moved from %s to %s", now, i, before[i], id)
			}
		}
	}
	if after := assign(b, 400, end+availability.ReturnDuration); !slices.Equal(before, after) {
		t.Error("not all objects went home after a short pause")
	}
}

func TestOtherTargetsOfARegionTakeAllRequestsOfThoseThatLeaveOrPause(t *testing.T) {
	for name, notice := range notices {
		perTarget, total := map[string]int{}, 0
		for _, region := range []string{"r0", "r1", "r2"} {
			b := New("a", region, 3)
			b.SetMaxShift(maxShift)
			b.SetTargets(newTargets(30, 6), 0)
			assign(b, 300, 0)
			for i, x := range newTargets(30, 6) {
				if i%3 == 0 && i < 18 { // six of the ten of r0
					b.Observe(Grant{Target: x}, notice, 1)
				}
			}
			for i := range 300 {
				g := mustChoose(t, b, newRequest(fmt.Sprint(region, i)), 2)
				b.Done(g, Report{Outcome: Abandoned}, 2)
				perTarget[g.Target.ID]++
				total++
			}
		}
		inR0 := 0
		for _, id := range []string{"t18", "t21", "t24", "t27"} {
			inR0 += perTarget[id]
		}
		if mean := float64(total) / 24; float64(inR0)/4 > 1.5*mean {
			t.Errorf("%s: the other targets of the region have %d objects, want %.0f at most", name, inR0, 4*1.5*mean)
		}
	}
}

func TestEjectedTargetGetsRequestsInsteadOfOneThatReturns(t *testing.T) {
	const end = time.Second
	targets := newTargets(2, 6)
	targets[1].Region = "r0"
	b := newBalancer("a", "r0", targets)
	b.Observe(Grant{Target: targets[0]}, availability.Notice{Pause: end}, 0)
	b.targets["t01"].eject(0, time.Hour, Slow)
	if n := chosenFor(b, "t00", 100, end); n != 100 {
		t.Errorf("%d of 100 requests went to an ejected target while another returned from a pause", 100-n)
	}
}

func TestPauseStopsToCountBeforeItsEnd(t *testing.T) {
	f := newShiftFleet(3, 2, 6, 8)
	f.run(time.Second)
	f.pauseFirst(2, availability.Notice{Pause: shiftWindow - ms})
	for end := f.now + shiftWindow - 100*ms; f.now < end; {
		f.run(50 * ms)
		if n := f.balancers[0].regionMixes[service].slots["r0"]; n > 0 {
			t.Fatalf("%g slots of a region that pauses count as usable", n)
		}
	}
}

func TestLongPauseOfOneTargetLeavesTheShareOfItsRegion(t *testing.T) {
	f := newShiftFleet(3, 31, 62, 74)
	f.run(100 * ms)
	f.pauseFirst(1, availability.Notice{Pause: 2 * shiftWindow})
	f.run(100 * ms)
	if n := f.balancers[0].regionMixes[service].slots["r0"]; n != 30*6 {
		t.Errorf("%g slots of the region count as usable, want those of the 30 targets that do not pause", n)
	}
}

// Operators tell by the reason why a request did not go to its usual target. A long pause
// may change the ranking itself, as an ejection may.
func TestRequestThatEvadesAPausedTargetIsCalledPreferred(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 6))
	b.Observe(mustChoose(t, b, newRequest("o"), 1), availability.Notice{Pause: shiftWindow - ms}, 1)
	if g := mustChoose(t, b, newRequest("o"), 2); g.Reason != Evaded {
		t.Errorf("%s, want %s", g.Reason, Evaded)
	}
}
