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
var notices = map[string]Notice{"leaving": {Leaving: true}, "paused": {Pause: time.Minute}}

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
	observe := func(n Notice, ids ...string) func(b *Balancer) {
		return func(b *Balancer) {
			for _, id := range ids {
				b.Observe(Grant{Target: b.targets[id].Target}, n, now)
			}
		}
	}
	leave := func(ids ...string) func(b *Balancer) { return observe(Notice{Leaving: true}, ids...) }
	pause := func(d time.Duration, ids ...string) func(b *Balancer) { return observe(Notice{Pause: d}, ids...) }
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
