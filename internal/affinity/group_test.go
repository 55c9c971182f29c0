package affinity

import (
	"fmt"
	"testing"
	"time"
)

// report lets a target answer a request with its load.
func report(t *testing.T, b *Balancer, g Grant, load int, now time.Duration) {
	t.Helper()
	b.Done(g, Report{Outcome: Answered, HasLoad: true, Load: load, Elapsed: 300 * ms}, now)
}

// homeRequest returns a request for an object that only r0 may run.
func homeRequest(object string) Request {
	r := newRequest(object)
	r.HomeRegions = []string{"r0"}
	return r
}

// objectOf returns an object that prefers the target.
func objectOf(t *testing.T, b *Balancer, id string, now time.Duration) string {
	t.Helper()
	for i := range 1000 {
		object := fmt.Sprint("o", i)
		r := homeRequest(object)
		if list, _ := b.candidates(r, r.key(), now); list[0].ID == id {
			return object
		}
	}
	t.Fatalf("no object prefers %s", id)
	return ""
}

// A target that has not answered this instance lately is as full as the others of its
// region if these all report full queues.
func TestFullRegionIsKnownBeforeEachOfItsTargetsHasAnswered(t *testing.T) {
	b := newBalancer("a", "r1", newTargets(12, 6)) // four in each region
	now := time.Minute
	var grants []Grant
	for _, id := range []string{"t00", "t03", "t06"} {
		grants = append(grants, mustChoose(t, b, homeRequest(objectOf(t, b, id, now)), now))
	}
	unknown := homeRequest(objectOf(t, b, "t09", now))
	for _, g := range grants {
		report(t, b, g, 24, now)
	}
	if g, ok := b.Choose(unknown, now); ok {
		t.Errorf("granted %s with an assumed load of %.1f although all targets of the region that have answered are full", g.Target.ID, g.Load)
	}
	if load := b.targets["t01"].loadInGroup(now); load != 0 {
		t.Errorf("assumed load of a target in r1 %.1f, want 0: only r0 is full", load)
	}
	if _, ok := b.Choose(unknown, now+reportedLoadTTL); !ok {
		t.Error("refused although no target has reported a load lately")
	}
}

// The free slots of regions that may not run the request do not count.
func TestBoundRequestsDoNotSpillWithinAFullRegion(t *testing.T) {
	b := newBalancer("a", "r1", newTargets(60, 6))
	now := time.Minute
	for i := range 20 {
		id := fmt.Sprintf("t%02d", 3*i)
		g := mustChoose(t, b, homeRequest(objectOf(t, b, id, now)), now)
		load := 14
		if i%2 == 0 {
			load = 2
		}
		report(t, b, g, load, now)
	}
	for i := range 200 {
		if g, ok := b.Choose(homeRequest(fmt.Sprint("p", i)), now); ok && g.Reason == Spilled {
			t.Fatalf("request %d spilled to %s, which has not cached its object, in a region with more requests than slots", i, g.Target.ID)
		}
	}
}

// A region whose targets get objects that they have not cached answers more slowly than
// the mean of the service.
func TestWaitIsEstimatedByTheLatencyOfTheRegion(t *testing.T) {
	b := newBalancer("a", "r1", newTargets(12, 6))
	now := time.Minute
	for i := range 400 {
		r, elapsed := homeRequest(fmt.Sprint("o", i)), 900*ms
		if i%2 == 0 {
			r, elapsed = newRequest(fmt.Sprint("o", i)), 300*ms
			r.HomeRegions = []string{"r1"}
		}
		now += 10 * ms
		b.Done(mustChoose(t, b, r, now), Report{Outcome: Answered, HasLoad: true, Load: 4, Elapsed: elapsed}, now)
	}
	for _, id := range []string{"t00", "t01"} {
		b.targets[id].reportedLoad = 12
	}
	slow, fast := b.expectedWait(b.targets["t00"], now), b.expectedWait(b.targets["t01"], now)
	if slow < 2*fast {
		t.Errorf("expected wait %v where answers take 900 ms and %v where they take 300 ms, want at least twice as long", slow, fast)
	}
}

// An instance that gets few requests for a service hears too rarely to know its targets by
// what each of them reported last.
func TestRequestsYieldForLongerToALoadThatIsRarelyHeardOf(t *testing.T) {
	b := newBalancer("a", "r1", newTargets(1, 6))
	low := newRequest("o")
	low.YieldTo, low.YieldShare = low.Objective, 1
	now := time.Minute
	for range 5 {
		now += reportedLoadTTL
		report(t, b, mustChoose(t, b, newRequest("o"), now), 24, now)
	}
	for _, c := range []struct {
		name    string
		r       Request
		after   time.Duration
		granted bool
	}{
		{"yields", low, 3 * time.Second, false},
		{"yields, long after the last report", low, maxLasting, true},
		{"does not yield", newRequest("o"), 3 * time.Second, true},
	} {
		g, ok := b.Choose(c.r, now+c.after)
		if ok != c.granted {
			t.Errorf("%s: granted %v", c.name, ok)
		}
		if ok {
			b.Done(g, Report{Outcome: Abandoned}, now+c.after)
		}
	}
}

// A target that reports a load that it cannot have does not keep requests from the others.
func TestAbsurdLoadOfATargetDoesNotRepelRequestsFromOthers(t *testing.T) {
	for _, yields := range []bool{false, true} {
		b := newBalancer("a", "r0", newTargets(12, 6)) // four in each region
		now := time.Minute
		absurd, other := objectOf(t, b, "t00", now), objectOf(t, b, "t03", now)
		report(t, b, mustChoose(t, b, homeRequest(other), now), 3, now)
		now += time.Second
		report(t, b, mustChoose(t, b, homeRequest(absurd), now), 1_000_000_000, now)
		r := homeRequest(other)
		if yields {
			r.YieldTo, r.YieldShare = r.Objective, 1
		}
		now += 500 * ms
		if g, ok := b.Choose(r, now); !ok || g.Target.ID != "t03" {
			t.Errorf("yields %v: granted %v at %s, want t03, which reported free slots", yields, ok, g.Target.ID)
		}
	}
}
