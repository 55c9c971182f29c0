package affinity

import (
	"fmt"
	"testing"
	"time"
)

// paced returns a balancer whose two targets both have an object cached, a request for the
// object, and its preferred target and the other one.
func paced(t *testing.T) (b *Balancer, r Request, first, second *targetState) {
	t.Helper()
	b = New("self", "r", 1)
	var targets []Target
	for i := range 2 {
		id := fmt.Sprint("t", i)
		targets = append(targets, Target{ID: id, Service: "s", Address: id, AvailabilityZone: "a", Region: "r", Slots: 8})
	}
	b.SetTargets(targets, 0)
	r = Request{Service: "s", Object: "o", ID: "1", Route: "route", Objective: 600 * time.Millisecond}
	g, ok := b.Choose(r, 0)
	if !ok {
		t.Fatal("no target")
	}
	b.Done(g, Report{Outcome: Answered, Elapsed: 200 * time.Millisecond}, 0)
	first = b.targets[g.Target.ID]
	for _, s := range b.targets {
		s.markCached(r.key(), 0)
		if s != first {
			second = s
		}
	}
	return b, r, first, second
}

// tell has a target report its pace.
func tell(b *Balancer, s *targetState, pace float64, now time.Duration) {
	b.Done(Grant{Target: s.Target}, Report{Outcome: Abandoned, Pace: pace}, now)
}

func pacedChoice(t *testing.T, b *Balancer, r Request, now time.Duration) (string, Reason) {
	t.Helper()
	g, ok := b.Choose(r, now)
	if !ok {
		t.Fatalf("refused: %+v", g)
	}
	b.Done(g, Report{Outcome: Abandoned}, now)
	return g.Target.ID, g.Reason
}

func TestRequestGoesToAnotherTargetWhileItsOwnIsSlow(t *testing.T) {
	b, r, first, second := paced(t)
	tell(b, first, 2.5, time.Second)
	if id, reason := pacedChoice(t, b, r, time.Second); id != second.ID || reason != Faster {
		t.Errorf("chose %s (%s) while the preferred target is slow", id, reason)
	}
	if id, _ := pacedChoice(t, b, r, time.Second+paceTTL); id != first.ID {
		t.Error("an old report still counts")
	}
	tell(b, first, 1, time.Second)
	if id, _ := pacedChoice(t, b, r, time.Second); id != first.ID {
		t.Error("the preferred target gets nothing though it is as fast as usual again")
	}
}

func TestPaceOfATargetDrawsNoRequests(t *testing.T) {
	b, r, first, second := paced(t)
	tell(b, second, 0.01, time.Second)
	if id, _ := pacedChoice(t, b, r, time.Second); id != first.ID {
		t.Error("a target that calls itself fast gets the requests of others")
	}
	tell(b, first, 1e9, time.Second)
	tell(b, second, 1e9, time.Second)
	if id, _ := pacedChoice(t, b, r, time.Second); id != first.ID {
		t.Error("where all are slow, the preferred target is left")
	}
}

func TestSlowTargetKeepsAnObjectThatNoOtherHasUnlessItIsLate(t *testing.T) {
	b, r, first, second := paced(t)
	second.cachedObjects = nil
	tell(b, first, 2.5, time.Second)
	if id, _ := pacedChoice(t, b, r, time.Second); id != first.ID {
		t.Error("the object is taught to another target though its own is in time")
	}
	r.Objective = 300 * time.Millisecond
	if id, reason := pacedChoice(t, b, r, time.Second); id != second.ID || reason != Faster {
		t.Errorf("chose %s (%s) though it would be late there", id, reason)
	}
}

func TestTargetThatIsSlowByItsOwnWordIsNotJudgedSlow(t *testing.T) {
	b, r, first, _ := paced(t)
	usual := b.medianLatency[r.Route]
	for i := range 20 {
		now := time.Duration(i) * time.Second
		b.Done(Grant{Target: first.Target, route: r.Route}, Report{Outcome: Answered, Pace: 10, Elapsed: 2 * time.Second}, now)
	}
	if first.process.Ejected(20 * time.Second) {
		t.Error("the target is ejected")
	}
	if now := b.medianLatency[r.Route]; now > 1.1*usual {
		t.Errorf("usual latency %v, %v before", now, usual)
	}
}
