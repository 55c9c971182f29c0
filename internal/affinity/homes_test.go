package affinity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

// homeBalancer returns a balancer with two targets in a home region and several in another
// one, all of which have answered. relativeLatencies are those of the two.
func homeBalancer(relativeLatencies ...float64) (*Balancer, Request) {
	b := New("self", "far", 2)
	targets := []Target{{ID: "home-0", Service: "s", Region: "home", Slots: 6, Address: "h0"}, {ID: "home-1", Service: "s", Region: "home", Slots: 6, Address: "h1"}}
	for i := range 4 {
		targets = append(targets, Target{ID: fmt.Sprint("far-", i), Service: "s", Region: "far", Slots: 6, Address: fmt.Sprint("f", i)})
	}
	b.SetTargets(targets, 0)
	for i, latency := range relativeLatencies {
		for range 20 {
			b.targets[fmt.Sprint("home-", i)].process.RecordLatency(latency, time.Second)
		}
	}
	return b, Request{Service: "s", Object: "o", Route: "r", Objective: time.Second, HomeRegions: []string{"home"}}
}

// chosen returns how many of many objects each target gets.
func chosen(b *Balancer, r Request, now time.Duration) map[string]int {
	got := map[string]int{}
	for i := range 200 {
		r.Object = fmt.Sprint(i)
		if g, ok := b.Choose(r, now); ok {
			got[g.Target.ID]++
			b.Done(g, Report{Outcome: Abandoned}, now)
		}
	}
	return got
}

// If the targets of a home region are slow together, a request bound to it gains nothing
// from another one, which has not cached its object.
func TestBoundRequestsStayAtTargetsThatAreSlowTogether(t *testing.T) {
	const now = 1100 * time.Millisecond
	healthy, r := homeBalancer(1, 1)
	want := chosen(healthy, r, now)
	for name, latencies := range map[string][]float64{"both ejected": {3.5, 3.5}, "one ejected": {3.5, 2.5}} {
		b, r := homeBalancer(latencies...)
		if !b.targets["home-0"].process.Ejected(now) {
			t.Fatalf("%s: the first target is not ejected", name)
		}
		if got := chosen(b, r, now); got["home-0"] != want["home-0"] || got["home-1"] != want["home-1"] {
			t.Errorf("%s: chosen %v, want %v as without ejections", name, got, want)
		}
	}
}

func TestBoundRequestsEvadeATargetThatAloneIsSlowOrFails(t *testing.T) {
	const now = 1100 * time.Millisecond
	b, r := homeBalancer(6, 1)
	if got := chosen(b, r, now); got["home-0"] > 0 || got["home-1"] == 0 {
		t.Errorf("slow: chosen %v", got)
	}
	b, r = homeBalancer(3.5, 3.5)
	b.targets["home-0"].process.Eject(now, time.Second, availability.Unreached)
	if got := chosen(b, r, now); got["home-0"] > 0 || got["home-1"] == 0 {
		t.Errorf("unreachable: chosen %v", got)
	}
	b, r = homeBalancer(3.5, 3.5)
	r.HomeRegions = nil
	if got := chosen(b, r, now); got["home-0"]+got["home-1"] > 0 {
		t.Errorf("not bound: chosen %v", got)
	}
}

// A preference only orders the requests: on the whole, none more are refused.
func TestPreferenceForObjectsIsBalanced(t *testing.T) {
	s := &targetState{idHash: 77}
	sum, least, most := 0.0, 0.0, 0.0
	const n = 10000
	for i := range uint64(n) {
		p := preference(Request{Object: fmt.Sprint(i)}.key(), s, time.Duration(i)*time.Millisecond)
		sum, least, most = sum+p, min(least, p), max(most, p)
	}
	if math.Abs(sum/n) > 0.02*preferenceSpan || least < -preferenceSpan || most > preferenceSpan || most-least < 1.9*preferenceSpan {
		t.Errorf("mean %.3f, from %.3f to %.3f", sum/n, least, most)
	}
	key, turn := Request{Object: "o"}.key(), 0.0
	for at := range 300 {
		turn += preference(key, s, 1e9*time.Second+time.Duration(at)*preferenceTurn/300)
	}
	if math.Abs(turn/300) > 0.02*preferenceSpan {
		t.Errorf("the mean of an object over a turn is %.3f, want 0", turn/300)
	}
	for load, want := range map[float64]float64{0: 0, minPressure: 0, (minPressure + maxPressure) / 2: 0.5, maxPressure: 1, 5: 1} {
		if got := pressure(load); math.Abs(got-want) > 1e-9 {
			t.Errorf("pressure at load %.1f is %.2f, want %.2f", load, got, want)
		}
	}
}
