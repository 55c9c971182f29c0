package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// testReporter is an instance that lends its share.
type testReporter struct {
	limiter *Limiter
	pledge  Pledge
}

func (r *testReporter) report(h *Hub, name string, release bool, now time.Duration) Levels {
	report := r.limiter.Report()
	report.Release = release
	r.pledge.Prepare(&report, name, FlatTTL, now)
	levels := h.Handle(report, now)
	r.pledge.Responded(report, name, levels, now)
	r.limiter.SetLevels(report, levels, now)
	return levels
}

func newTestHub(generation uint64, w *config.Workspace, instances int) *Hub {
	h := NewHub()
	h.SetGeneration(generation)
	h.SetInstances(instances, instances)
	h.SetWorkspaces(map[string]*config.Workspace{w.Name: w})
	return h
}

// Whatever was left of a quota moves from hub to hub once, whoever comes first.
func TestLevelsMoveOnceWithTheShares(t *testing.T) {
	const n = 5
	w := &config.Workspace{Name: "w", Rate: 0.001, Burst: 1000} // next to no refill
	old, next := newTestHub(1, w, n), newTestHub(2, w, n)
	var reporters []*testReporter
	for i := range n {
		r := &testReporter{limiter: New(fmt.Sprint("i", i), 1, time.Second)}
		r.limiter.SetInstances(n, 0)
		reporters = append(reporters, r)
	}
	now := time.Second
	for range 2 {
		for _, r := range reporters {
			r.report(old, "old", false, now)
		}
		now += 100 * time.Millisecond
	}
	old.buckets["w"].left = 400
	for _, r := range reporters {
		r.report(old, "old", false, now)
	}
	old.SetLeaving(true)
	for i, r := range reporters {
		if l := r.report(old, "old", false, now); !l.Released {
			t.Fatalf("instance %d: the leaving hub has not handed back the share", i)
		}
		r.report(next, "next", false, now)
		r.report(next, "next", false, now+time.Millisecond)
		sum := old.buckets["w"].left + next.buckets["w"].left
		if math.Abs(sum-400) > 1 {
			t.Errorf("after %d moves, %.1f tokens are left at both hubs, want 400", i+1, sum)
		}
	}
	if left := next.buckets["w"].left; math.Abs(left-400) > 1 {
		t.Errorf("%.1f tokens are left at the next hub, want 400", left)
	}
}

func TestShareCountsAtOneHubAtATime(t *testing.T) {
	w := &config.Workspace{Name: "w", Rate: 10, Burst: 10}
	old, next := newTestHub(1, w, 1), newTestHub(2, w, 1)
	r := &testReporter{limiter: New("i", 1, time.Second)}
	members := func(h *Hub, now time.Duration) int { return h.reporters.members(now) }
	now := time.Second
	if l := r.report(old, "old", false, now); l.Joined {
		t.Error("a report that names no response lends the share")
	}
	if l := r.report(old, "old", false, now); !l.Joined {
		t.Error("a report that names a response does not lend the share")
	}
	for ; now < 3*time.Second; now += 10 * time.Millisecond {
		r.report(next, "next", false, now)
		if members(old, now)+members(next, now) > 1 {
			t.Fatalf("%v after the last report, the share counts at both hubs", now-time.Second)
		}
	}
	if members(next, now-10*time.Millisecond) != 1 {
		t.Error("the share has not come to the next hub")
	}
}

func TestReportFromBeforeAReleaseLendsNothing(t *testing.T) {
	w := &config.Workspace{Name: "w", Rate: 10, Burst: 10}
	h := newTestHub(1, w, 1)
	r := &testReporter{limiter: New("i", 1, time.Second)}
	r.report(h, "h", false, time.Second)
	r.report(h, "h", false, time.Second+time.Millisecond)
	late := r.limiter.Report()
	r.pledge.Prepare(&late, "h", FlatTTL, time.Second+2*time.Millisecond)
	if l := r.report(h, "h", true, time.Second+3*time.Millisecond); !l.Released {
		t.Fatal("the hub has not handed back the share")
	}
	if l := h.Handle(late, time.Second+4*time.Millisecond); l.Joined {
		t.Error("a report that was on its way lends the share again")
	}
}

// What a guest has admitted is charged by the hub that gets its share, also if the hub that
// counted it first is lost meanwhile.
func TestRequestsCountedByALostHubAreCharged(t *testing.T) {
	const n = 4
	w := &config.Workspace{Name: "w", Rate: 0.001, Burst: 100} // next to no refill
	former, lost, next := newTestHub(1, w, n), newTestHub(2, w, n), newTestHub(3, w, n)
	var reporters []*testReporter
	for i := range n {
		r := &testReporter{limiter: New(fmt.Sprint("i", i), 1, time.Second)}
		r.limiter.SetInstances(n, 0)
		reporters = append(reporters, r)
	}
	now := time.Second
	report := func(h *Hub, name string) {
		for _, r := range reporters {
			r.report(h, name, false, now)
		}
	}
	report(former, "former")
	report(former, "former")
	former.buckets["w"].left = 100
	report(former, "former")
	taken := 0
	for verdict := Admitted; verdict == Admitted; taken++ {
		verdict, _ = reporters[0].limiter.Take(w, now)
	}
	taken-- // the last one was not admitted
	now += 100 * time.Millisecond
	report(lost, "lost")
	if lost.reporters.members(now) > 0 {
		t.Fatal("shares count at two hubs")
	}
	now += FlatTTL
	report(next, "next")
	report(next, "next")
	if members := next.reporters.members(now); members != n {
		t.Fatalf("%d shares count at the next hub, want %d", members, n)
	}
	if left, want := next.buckets["w"].left, 100-float64(taken); taken < 10 || math.Abs(left-want) > 1 {
		t.Errorf("%.0f tokens are left after %d requests, want %.0f", left, taken, want)
	}
}
