package affinity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	service = "listings"
	ms      = time.Millisecond
)

// newTargets returns n targets of a service, spread evenly over three regions.
func newTargets(n, slots int) []Target {
	var list []Target
	for i := range n {
		region := fmt.Sprintf("r%d", i%3)
		list = append(list, Target{
			ID: fmt.Sprintf("t%02d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i),
			AvailabilityZone: region + "-a", Region: region, Slots: slots, Started: 1,
		})
	}
	return list
}

func newBalancer(name, region string, targets []Target) *Balancer {
	b := New(name, region, 3)
	b.SetTargets(targets, 0)
	return b
}

func newRequest(object string) Request {
	return Request{Service: service, Object: object, Route: "browse", Objective: 600 * ms}
}

func mustChoose(t *testing.T, b *Balancer, r Request, now time.Duration) Grant {
	t.Helper()
	g, ok := b.Choose(r, now)
	if !ok {
		t.Fatalf("refused: %s", g.Reason)
	}
	return g
}

func TestInstancesOfARegionPreferTheSameTarget(t *testing.T) {
	a, b := newBalancer("a", "r0", newTargets(30, 6)), newBalancer("b", "r0", newTargets(30, 6))
	for i := range 100 {
		object := fmt.Sprint("o", i)
		if x, y := mustChoose(t, a, newRequest(object), 1), mustChoose(t, b, newRequest(object), 1); x.Target.ID != y.Target.ID {
			t.Fatalf("%s: %s and %s", object, x.Target.ID, y.Target.ID)
		}
		a, b = newBalancer("a", "r0", newTargets(30, 6)), newBalancer("b", "r0", newTargets(30, 6))
	}
}

func TestOnlyObjectsOfALostTargetMove(t *testing.T) {
	all := newTargets(30, 6)
	for i := range 200 {
		r := newRequest(fmt.Sprint("o", i))
		before := mustChoose(t, newBalancer("a", "r0", all), r, 1).Target.ID
		after := mustChoose(t, newBalancer("a", "r0", all[:29]), r, 1).Target.ID
		if before != after && before != "t29" {
			t.Errorf("object %d moved from %s to %s though only t29 went", i, before, after)
		}
	}
}

// A region with few targets must send part of its objects to other regions.
func TestRegionsWithFewTargetsAreNotOverloaded(t *testing.T) {
	targets := newTargets(32, 6)
	for i := range targets { // four targets in r0, the others half in r1 and half in r2
		if i >= 4 {
			targets[i].Region = fmt.Sprintf("r%d", 1+i%2)
		} else {
			targets[i].Region = "r0"
		}
	}
	perTarget := map[string]int{}
	for _, region := range []string{"r0", "r1", "r2"} {
		b := newBalancer("a", region, targets)
		for i := range 300 {
			g := mustChoose(t, b, newRequest(fmt.Sprint(region, i)), 1)
			b.Done(g, Report{Outcome: Abandoned}, 1)
			perTarget[g.Target.ID]++
		}
	}
	mean := 900.0 / 32
	for id, n := range perTarget {
		if float64(n) > 2*mean {
			t.Errorf("target %s has %d objects, more than twice the mean %.0f", id, n, mean)
		}
	}
}

// Under load, running an object at targets without it in their caches would slow
// down all requests.
func TestObjectDoesNotSpillWhenTheServiceIsFull(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 2))
	for i := range 6 { // put as many requests into the service as it has slots
		for range 2 {
			r := newRequest("")
			r.ID = fmt.Sprint("fill", i)
			if g, ok := b.Choose(r, 1); !ok {
				t.Fatalf("refused while filling: %v", g.Reason)
			}
		}
	}
	r := newRequest("hot")
	granted := map[string]int{}
	for range 40 {
		if g, ok := b.Choose(r, 1); ok {
			granted[g.Target.ID]++
		} else if g.Reason != Full {
			t.Fatalf("refused for %s", g.Reason)
		}
	}
	if len(granted) != 1 {
		t.Errorf("requests for one object were granted to several targets of a full service: %v", granted)
	}
}

func TestHotObjectSpillsWhileTheServiceHasSpareCapacity(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(12, 3))
	reasons := map[Reason]int{}
	for range 10 {
		g, ok := b.Choose(newRequest("hot"), 1)
		if ok {
			reasons[g.Reason]++
		}
	}
	if reasons[Spilled] == 0 {
		t.Errorf("no request for a hot object spilled to another target; reasons: %v", reasons)
	}
}

func TestUnreachableTargetIsEjectedAndProbedOnce(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 6))
	r := newRequest("o")
	first := mustChoose(t, b, r, 1)
	b.Done(first, Report{Outcome: Unreachable}, 2)
	second := mustChoose(t, b, r, 3)
	if second.Target.ID == first.Target.ID {
		t.Fatal("an unreachable target was chosen again at once")
	}
	now := 3 + minEjection
	trial := mustChoose(t, b, r, now)
	if trial.Target.ID != first.Target.ID {
		t.Fatal("the target was not probed after its ejection")
	}
	if other := mustChoose(t, b, r, now); other.Target.ID == first.Target.ID {
		t.Fatal("more than one request probed the target")
	}
	b.Done(trial, Report{Outcome: Answered, Elapsed: 200 * ms}, now+1)
	if g := mustChoose(t, b, r, now+2); g.Target.ID != first.Target.ID {
		t.Fatal("the target did not get its object back after a good response")
	}
}

// A full target rejects and delays requests although it is healthy. If it were
// ejected, its objects would move to other targets and fill these too.
func TestFullTargetIsNotEjected(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 2))
	r := newRequest("o")
	var grants []Grant
	for range 3 {
		grants = append(grants, mustChoose(t, b, r, 1))
	}
	id := grants[0].Target.ID
	for range 5 {
		b.Done(grants[2], Report{Outcome: Rejected, HasLoad: true, Load: 9}, 2)
		b.Done(grants[2], Report{Outcome: TimedOut}, 2)
	}
	if b.targets[id].ejected(3) {
		t.Error("a full target was ejected")
	}
}

// If all targets of a request's home region are ejected, they are used nevertheless,
// but not beyond the acceptable wait.
func TestEjectedTargetsOfAHomeRegionAreUsedUpToTheirCapacity(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 2))
	r := newRequest("o")
	r.HomeRegions = []string{"r1"}
	for _, id := range []string{"t01", "t04"} {
		b.targets[id].eject(0, time.Hour, Slow)
	}
	granted := 0
	for range 60 {
		g, ok := b.Choose(r, 1)
		if !ok {
			break
		}
		if g.Target.Region != "r1" {
			t.Fatalf("sent to %s outside its home region", g.Target.Region)
		}
		granted++
	}
	if granted == 0 || granted > 20 {
		t.Errorf("%d of 60 requests granted to two ejected targets of two slots each, want 1 to 20", granted)
	}
}

func TestSlowTargetIsEjected(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 6))
	now := time.Duration(1)
	answer := func(object string, took func(id string) time.Duration) string {
		g := mustChoose(t, b, newRequest(object), now)
		b.Done(g, Report{Outcome: Answered, Elapsed: took(g.Target.ID)}, now)
		now += 10 * ms
		return g.Target.ID
	}
	even := func(string) time.Duration { return 250 * ms }
	for i := range 200 {
		answer(fmt.Sprint("o", i%20), even)
	}
	slow := answer("o1", even)
	for i := range 60 {
		answer(fmt.Sprint("o", i%20), func(id string) time.Duration {
			if id == slow {
				return 1500 * ms
			}
			return 250 * ms
		})
	}
	if got := answer("o1", even); got == slow {
		t.Error("a target six times as slow as the others kept its objects")
	}
}

// The cold rate bounds what all instances together send to a cold target, however many
// they are.
func TestColdTargetGetsItsColdRateFromAllInstances(t *testing.T) {
	const rate, slack = 5.3, 5.0 // requests per second, requests
	targets := newTargets(4, 6)
	targets[0].ColdFor = time.Hour
	for _, n := range []int{1, 7, 25, 100} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("i", i))
		}
		var all []*Balancer
		for _, name := range names {
			b := New(name, "r0", 3)
			b.SetColdStart(service, rate, 3*time.Second)
			b.SetTargets(targets, 0)
			b.SetInstances(names, 0)
			all = append(all, b)
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 5*time.Second; now += 5 * ms {
			for _, b := range all {
				r := newRequest(fmt.Sprint("o", now))
				r.Service = service
				if g, ok := b.Choose(r, now); ok {
					if g.Target.ID == "t00" {
						sent = append(sent, now)
					}
					b.Done(g, Report{Outcome: Answered, Elapsed: 200 * ms}, now)
				}
			}
		}
		for i := range sent {
			inSecond := 0
			for _, at := range sent[i:] {
				if at-sent[i] < time.Second {
					inSecond++
				}
			}
			if float64(inSecond) > rate*1.5+slack {
				t.Fatalf("%d instances sent %d requests to a cold target within a second", n, inSecond)
			}
		}
		if len(sent) == 0 {
			t.Errorf("%d instances sent nothing to the cold target", n)
		}
	}
}

func TestClosedZoneGetsNoRequestsAndIsColdOnceOpened(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(6, 6))
	b.SetColdStart(service, 1, 3*time.Second)
	b.SetClosedZones(map[string]bool{"r0-a": true}, 1)
	for i := range 100 {
		g := mustChoose(t, b, newRequest(fmt.Sprint(i)), 1)
		if g.Target.AvailabilityZone == "r0-a" {
			t.Fatal("sent to a closed zone")
		}
		b.Done(g, Report{Outcome: Abandoned}, 1)
	}
	b.SetClosedZones(nil, time.Second)
	if !b.targets["t00"].cold(2*time.Second) || b.targets["t01"].cold(2*time.Second) {
		t.Error("the targets of the opened zone, and only they, must count as cold")
	}
}

func TestGrantIsInvalidOnceItsTargetLeavesRestartsOrMoves(t *testing.T) {
	targets := newTargets(3, 6)
	b := newBalancer("a", "r0", targets)
	g := mustChoose(t, b, newRequest("o"), 1)
	if !b.StillValid(g) {
		t.Fatal("a new grant is not valid")
	}
	for name, change := range map[string]func(*Target){
		"leaving":    func(x *Target) { x.Leaving = true },
		"restarted":  func(x *Target) { x.Started++ },
		"moved":      func(x *Target) { x.Address = "10.9.9.9:80" },
		"reassigned": func(x *Target) { x.Service = "records" },
		"rezoned":    func(x *Target) { x.AvailabilityZone, x.Region = "r9-a", "r9" },
	} {
		changed := newTargets(3, 6)
		for i := range changed {
			if changed[i].ID == g.Target.ID {
				change(&changed[i])
			}
		}
		b := newBalancer("a", "r0", targets)
		b.SetTargets(changed, 2)
		if b.StillValid(g) {
			t.Errorf("%s: the grant is still valid", name)
		}
	}
}

// A workspace bound to one home region asks that region's few targets for all objects.
// The objects of other workspaces must then move away from these targets.
func TestTargetsNeededByAHomeRegionGetFewerOtherObjects(t *testing.T) {
	targets := newTargets(32, 6)
	for i := range targets {
		targets[i].Region = "r1"
		if i < 4 {
			targets[i].Region = "r0"
		}
	}
	placed := func(homed map[string]float64) int {
		b := New("a", "r0", 2)
		b.SetTargets(targets, 0)
		b.SetHomeRegionShares(homed)
		n := 0
		for i := range 200 {
			g := mustChoose(t, b, newRequest(fmt.Sprint("o", i)), 1)
			b.Done(g, Report{Outcome: Abandoned}, 1)
			if g.Target.Region == "r0" {
				n++
			}
		}
		return n
	}
	if before, after := placed(nil), placed(map[string]float64{"r0": 0.08}); after > before/2 {
		t.Errorf("%d of 200 objects are on the targets of a region that 8%% of all requests are bound to, %d if none are; want half at most", after, before)
	}
}

// If all targets reject half of their requests, moving objects would only fill the
// caches of other targets with them.
func TestNoTargetIsEjectedIfAllFailAlike(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(12, 6))
	random := rand.New(rand.NewPCG(1, 1))
	now, moved := time.Duration(1), 0
	first := map[string]string{}
	for i := range 2000 {
		object := fmt.Sprint("o", i%40)
		g := mustChoose(t, b, newRequest(object), now)
		report := Report{Outcome: Answered, Elapsed: 250 * ms}
		if random.Float64() < 0.5 {
			report.Outcome = Rejected
		}
		b.Done(g, report, now)
		if first[object] == "" {
			first[object] = g.Target.ID
		}
		if i > 200 && g.Target.ID != first[object] {
			moved++
		}
		now += 5 * ms
	}
	if moved > 100 {
		t.Errorf("%d of the last 1,799 requests went to another target than the first one for their object, want 100 at most", moved)
	}
}

func TestOneFailingTargetAmongHealthyOnesIsEjected(t *testing.T) {
	b := newBalancer("a", "r0", newTargets(12, 6))
	now, toBad := time.Duration(1), 0
	bad := mustChoose(t, b, newRequest("o0"), now).Target.ID
	for i := range 2000 {
		g := mustChoose(t, b, newRequest(fmt.Sprint("o", i%40)), now)
		report := Report{Outcome: Answered, Elapsed: 250 * ms}
		if g.Target.ID == bad {
			toBad++
			report.Outcome = Rejected
		}
		b.Done(g, report, now)
		now += 5 * ms
	}
	if toBad > 60 {
		t.Errorf("%d of 2,000 requests went to a target that rejects all, want 60 at most", toBad)
	}
}

func TestTargetWhoseAddressALaterOneUsesIsNeverChosen(t *testing.T) {
	for name, test := range map[string]struct {
		oldStarted, newStarted   int64
		oldRevision, newRevision uint64
		want                     string
	}{
		"later start":                             {1, 2, 9, 3, "new"},
		"earlier start, later write":              {2, 1, 3, 9, "old"},
		"same start, later write":                 {1, 1, 3, 9, "new"},
		"start unknown, earlier write than known": {0, 1, 9, 3, "new"},
	} {
		old := Target{ID: "old", Service: service, Address: "10.0.0.1:80", AvailabilityZone: "r0-a", Region: "r0", Slots: 6, Started: test.oldStarted, Revision: test.oldRevision}
		b := newBalancer("a", "r0", []Target{old})
		granted := mustChoose(t, b, newRequest("o"), 1)
		next := Target{ID: "new", Service: service, Address: old.Address, AvailabilityZone: "r1-a", Region: "r1", Slots: 6, Started: test.newStarted, Revision: test.newRevision}
		for _, targets := range [][]Target{{old, next}, {next, old}} {
			b.SetTargets(targets, 2)
			for i := range 20 {
				g := mustChoose(t, b, newRequest(fmt.Sprint("o", i)), 2)
				b.Done(g, Report{Outcome: Answered}, 2)
				if g.Target.ID != test.want {
					t.Fatalf("%s: chose %s, want %s", name, g.Target.ID, test.want)
				}
			}
			if valid := b.StillValid(granted); valid != (test.want == "old") {
				t.Errorf("%s: grant of the old target still valid: %v", name, valid)
			}
		}
	}
}
