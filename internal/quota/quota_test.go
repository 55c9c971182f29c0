package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// In any window, at most rate*window+burst requests may be admitted, plus the
	// fraction excess of that, plus slack requests.
	window = 5 * time.Second
	excess = 0.1
	slack  = 20.0

	oneWayDelay = 25 * time.Millisecond // between two instances, one way
)

// fleet simulates instances and a hub in virtual time, with one workspace.
type fleet struct {
	t            *testing.T
	workspace    *config.Workspace
	hub          *Hub
	limiters     []*Limiter
	disconnected []bool // by instance: it cannot reach the hub
	random       *rand.Rand
	now          time.Duration
	asked        int
	admitted     []time.Duration
	pending      []delivery
	aggregators  []*Aggregator // one per zone in a large fleet; none in a small one
	pledges      []Pledge      // by instance
	zonePledges  [testZones]Pledge
	// uneven sends half of the requests to the first two instances.
	uneven  bool
	waiting []waitingRequest
}

// waitingRequest waits for newer levels of its instance.
type waitingRequest struct {
	instance int
	until    time.Duration
}

// delivery is the arrival of a message.
type delivery struct {
	at time.Duration
	do func()
}

func newFleet(t *testing.T, n int, rate float64, seed uint64) *fleet {
	f := &fleet{
		t: t, workspace: &config.Workspace{Name: "w", Rate: rate, Burst: int(rate)}, hub: NewHub(),
		disconnected: make([]bool, n), random: rand.New(rand.NewPCG(seed, 1)),
	}
	f.hub.SetInstances(n, n)
	f.hub.SetWorkspaces(map[string]*config.Workspace{"w": f.workspace})
	for i := range n {
		s := New(fmt.Sprint("i", i), 1, 4*time.Second)
		s.SetInstances(n, 0)
		f.limiters, f.pledges = append(f.limiters, s), append(f.pledges, Pledge{})
	}
	return f
}

// run simulates a period in which requests arrive at a rate, each at a random
// instance.
func (f *fleet) run(perSecond float64, last time.Duration) {
	const step = time.Millisecond
	for end := f.now + last; f.now < end; f.now += step {
		waiting := f.pending
		f.pending = nil
		for _, d := range waiting {
			if d.at <= f.now {
				d.do()
			} else {
				f.pending = append(f.pending, d)
			}
		}
		f.decideWaiting()
		for i, s := range f.limiters {
			if !f.disconnected[i] && (f.now+time.Duration(i)*7*time.Millisecond)%ReportInterval == 0 {
				f.report(i, s)
			}
		}
		for i, s := range f.aggregators {
			if (f.now+time.Duration(i)*11*time.Millisecond)%ReportInterval == 0 {
				f.reportAggregate(s)
			}
		}
		if f.random.Float64() < perSecond*step.Seconds() {
			f.asked++
			at := f.random.IntN(len(f.limiters))
			if f.uneven && f.random.IntN(2) == 0 {
				at %= 2
			}
			f.decide(waitingRequest{at, f.now + askTime})
		}
	}
}

// askTime is how long a request waits for newer levels.
const askTime = 150 * time.Millisecond

// decide admits or refuses a request or lets it wait for newer levels, for which its
// instance reports at once.
func (f *fleet) decide(r waitingRequest) {
	switch verdict, _ := f.limiters[r.instance].Take(f.workspace, f.now); {
	case verdict == Admitted:
		f.admitted = append(f.admitted, f.now)
	case verdict == Undecided && f.now < r.until:
		if !f.disconnected[r.instance] && !slices.ContainsFunc(f.waiting, func(w waitingRequest) bool { return w.instance == r.instance }) {
			f.report(r.instance, f.limiters[r.instance])
		}
		f.waiting = append(f.waiting, r)
	}
}

// decideWaiting decides again on the requests whose instances have new levels.
func (f *fleet) decideWaiting() {
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		if s := f.limiters[r.instance]; f.now < r.until && f.now-s.levelsAt > 3*oneWayDelay {
			f.waiting = append(f.waiting, r)
			continue
		}
		f.decide(r)
	}
}

// reportAggregate sends the report of a zone's aggregator to the hub.
func (f *fleet) reportAggregate(s *Aggregator) {
	r, sentAt := s.Report(f.now), f.now
	pledge := &f.zonePledges[slices.Index(f.aggregators, s)]
	pledge.Prepare(&r, "hub", FlatTTL, f.now)
	f.pending = append(f.pending, delivery{f.now + oneWayDelay, func() {
		levels := f.hub.Handle(r, f.now)
		f.pending = append(f.pending, delivery{f.now + oneWayDelay, func() {
			pledge.Responded(r, "hub", levels, f.now)
			s.SetLevels(r, levels, sentAt)
		}})
	}})
}

// report sends the report of an instance to its zone's aggregator, or to the hub if
// there are no aggregators.
func (f *fleet) report(i int, s *Limiter) {
	r, sentAt := s.Report(), f.now
	ttl := FlatTTL
	if len(f.aggregators) > 0 {
		ttl = ZoneTTL
	}
	f.pledges[i].Prepare(&r, "receiver", ttl, f.now)
	if len(f.aggregators) > 0 {
		levels, ok := f.aggregators[i%len(f.aggregators)].Handle(r, f.now) // without delay, within the zone
		if ok {
			f.pledges[i].Responded(r, "receiver", levels, f.now)
			s.SetLevels(r, levels, sentAt)
		}
		return
	}
	f.pending = append(f.pending, delivery{f.now + oneWayDelay, func() {
		levels := f.hub.Handle(r, f.now)
		f.pending = append(f.pending, delivery{f.now + oneWayDelay, func() {
			f.pledges[i].Responded(r, "receiver", levels, f.now)
			s.SetLevels(r, levels, sentAt)
		}})
	}})
}

// checkWindows fails the test if any window has more requests than the quota allows.
func (f *fleet) checkWindows() {
	f.t.Helper()
	bound := (f.workspace.Rate*window.Seconds()+float64(f.workspace.Burst))*(1+excess) + slack
	for i, j := 0, 0; j < len(f.admitted); j++ {
		for f.admitted[j]-f.admitted[i] >= window {
			i++
		}
		if n := float64(j - i + 1); n > bound {
			f.t.Fatalf("%.0f requests admitted within %v up to %v; the bound is %.0f", n, window, f.admitted[j], bound)
		}
	}
}

func TestLoadWithinTheQuotaIsAdmitted(t *testing.T) {
	for _, n := range []int{7, 25, 100} {
		f := newFleet(t, n, 15, 1)
		f.run(0, time.Second)
		f.run(8, 30*time.Second)
		if refused := f.asked - len(f.admitted); float64(refused) > 0.02*float64(f.asked) {
			t.Errorf("%d instances refused %d of %d requests within the quota", n, refused, f.asked)
		}
	}
}

// Steering may send a region's callers to only two instances, those with fast links. These
// then get far more than an equal share of the requests.
func TestBusyInstancesGetALargerPart(t *testing.T) {
	f := newFleet(t, 33, 30, 5)
	f.uneven = true
	f.run(15, 5*time.Second)
	f.asked, f.admitted = 0, nil
	f.run(20, 30*time.Second)
	f.checkWindows()
	if refused := f.asked - len(f.admitted); float64(refused) > 0.02*float64(f.asked) {
		t.Errorf("refused %d of %d requests within the quota", refused, f.asked)
	}
}

func TestLoadBeyondTheQuotaIsLimited(t *testing.T) {
	for _, rate := range []float64{15, 60, 300} {
		for _, n := range []int{1, 7, 25} {
			f := newFleet(t, n, rate, 2)
			f.run(rate/2, 10*time.Second)
			f.run(8*rate, 15*time.Second)
			f.checkWindows()
			if least := rate * 20 * 0.8; float64(len(f.admitted)) < least {
				t.Errorf("rate %.0f, %d instances: admitted %d in 25 s, want %.0f at least", rate, n, len(f.admitted), least)
			}
		}
	}
}

// What disconnected instances admit by their equal shares must not come on top of the
// quota.
func TestDisconnectedInstancesAddNothingToTheQuota(t *testing.T) {
	f := newFleet(t, 7, 60, 3)
	f.run(30, 5*time.Second)
	f.disconnected[0], f.disconnected[1], f.disconnected[2] = true, true, true
	f.run(8*60, 10*time.Second)
	f.checkWindows()
	f.disconnected[0], f.disconnected[1], f.disconnected[2] = false, false, false
	f.run(8*60, 10*time.Second)
	f.checkWindows()
}

// What disconnected instances admitted by their equal shares must not be charged to the
// hub's bucket when they are connected again.
func TestReconnectedInstancesCauseNoRefusals(t *testing.T) {
	f := newFleet(t, 8, 60, 6)
	f.run(30, 5*time.Second)
	f.disconnected[0], f.disconnected[1], f.disconnected[2], f.disconnected[3] = true, true, true, true
	f.run(30, 10*time.Second)
	f.disconnected[0], f.disconnected[1], f.disconnected[2], f.disconnected[3] = false, false, false, false
	f.asked, f.admitted = 0, nil
	f.run(30, 5*time.Second)
	if refused := f.asked - len(f.admitted); float64(refused) > 0.02*float64(f.asked) {
		t.Errorf("refused %d of %d requests within the quota", refused, f.asked)
	}
}

func TestNewHubDoesNotGrantTheBurstAgain(t *testing.T) {
	f := newFleet(t, 7, 60, 3)
	f.run(8*60, 10*time.Second)
	old := f.hub
	f.hub = NewHub()
	f.hub.SetInstances(7, 7)
	f.hub.SetWorkspaces(old.workspaces)
	f.run(8*60, 10*time.Second)
	f.checkWindows()
}

// A hub that has just started may get reports before it knows the configuration. What was
// admitted before it knew a workspace must not be charged to the workspace's bucket.
func TestHubChargesNothingFromBeforeItKnewTheWorkspace(t *testing.T) {
	for _, n := range []int{7, 25, 118, 300} {
		h := NewHub()
		h.SetInstances(n, n)
		w := &config.Workspace{Name: "w", Rate: 50, Burst: 50}
		report := func(admitted uint64) (left float64) {
			for i := range n {
				l := h.Handle(Report{Instance: fmt.Sprint(i), Started: 1, Usages: []Usage{{Workspace: "w", Admitted: admitted}}}, time.Second)
				left = float64(w.Burst) * l.Share
				for _, level := range l.Levels {
					left = level.Left
				}
			}
			return left
		}
		report(100)
		report(101)
		h.SetWorkspaces(map[string]*config.Workspace{"w": w})
		if left := report(101); left < float64(w.Burst)*initialFill {
			t.Errorf("%d instances: %.0f tokens are left of a burst of %d, although nothing was admitted since", n, left, w.Burst)
		}
	}
}

// The levels of a hub that only one instance reports to are no better than the equal
// share.
func TestHubWithOneReporterIsNotUsed(t *testing.T) {
	s := New("a", 1, 0)
	s.SetInstances(24, 0)
	w := &config.Workspace{Name: "w", Rate: 15, Burst: 15}
	s.SetLevels(Report{}, Levels{Levels: []Level{{"w", 0.6}}, Share: 1.0 / 24}, time.Second)
	if verdict, _ := s.Take(w, time.Second); verdict != Admitted {
		t.Error("refused although the equal share has a token")
	}
}

func TestRestartedInstanceIsNotCountedTwice(t *testing.T) {
	h := NewHub()
	h.SetInstances(1, 1)
	w := &config.Workspace{Name: "w", Rate: 10, Burst: 10}
	h.SetWorkspaces(map[string]*config.Workspace{"w": w})
	report := func(started, admitted uint64) float64 {
		l := h.Handle(Report{Instance: "a", Started: started, Usages: []Usage{{Workspace: "w", Admitted: admitted}}}, 0)
		if len(l.Levels) == 0 {
			return float64(w.Burst)
		}
		return l.Levels[0].Left
	}
	report(1, 0)
	before := report(1, 2)
	if again := report(1, 2); again != before {
		t.Errorf("a repeated report changed the level from %v to %v", before, again)
	}
	if after := report(2, 5); after < before-5 || after > before {
		t.Errorf("level is %v after a restart, was %v before; want 0 to 5 less", after, before)
	}
}

func TestEqualShareGrowsAfterADelayAndShrinksAtOnce(t *testing.T) {
	s := New("a", 1, 4*time.Second)
	s.SetInstances(4, 0)
	s.SetInstances(2, time.Second)
	if got := s.currentShare(4 * time.Second); got != 0.25 {
		t.Errorf("share is %v before the delay has passed, want 0.25", got)
	}
	if got := s.currentShare(5 * time.Second); got != 0.5 {
		t.Errorf("share is %v after the delay, want 0.5", got)
	}
	s.SetInstances(8, 6*time.Second)
	if got := s.currentShare(6 * time.Second); got != 0.125 {
		t.Errorf("share is %v, want the smaller share 0.125 at once", got)
	}
}

func TestRefundedRequestsAreNotReported(t *testing.T) {
	s := New("a", 1, 0)
	w := &config.Workspace{Name: "w", Rate: 1, Burst: 10}
	s.SetInstances(4, 0)
	s.SetLevels(Report{}, Levels{Share: 1}, 0)
	s.Take(w, 0)
	s.Refund("w")
	if r := s.Report(); len(r.Usages) != 0 {
		t.Errorf("reported %v, want no usage", r.Usages)
	}
}

// A started instance that only the store tells of others must not use their quota.
func TestJoiningInstanceGrantsNothingUntilItKnowsTheFleet(t *testing.T) {
	const growDelay = 4 * time.Second
	w := &config.Workspace{Name: "w", Rate: 100, Burst: 100}
	admitted := func(s *Limiter, now time.Duration) (n int) {
		for range 1000 {
			if verdict, wait := s.Take(w, now); verdict != Admitted && wait > time.Second {
				t.Fatalf("a token is expected after %v", wait)
			} else if verdict == Admitted {
				n++
			}
		}
		return n
	}
	start := func() *Limiter {
		s := New("a", 1, growDelay)
		s.SetInstances(1, 0)
		s.Join(0)
		return s
	}
	alone := start()
	alone.SetLevels(Report{}, Levels{Share: 1, Members: 1, Joined: true, Fleet: 1}, time.Second)
	if n := admitted(alone, 0) + admitted(alone, 2*time.Second) + admitted(alone, growDelay-1); n > 1 {
		t.Errorf("%d requests admitted before others have certainly stopped, want 1 at most", n)
	}
	if n := admitted(alone, growDelay+time.Second); n != 100 {
		t.Errorf("%d requests admitted a second after that, want 100", n)
	}
	told := start()
	told.SetLevels(Report{}, Levels{Share: 1, Part: 1, Members: 4, Joined: true, Fleet: 4}, 0)
	if n := admitted(told, 0); n < 100 {
		t.Errorf("%d requests admitted by a hub's levels, want 100 at least", n)
	}
	told.SetInstances(4, 0)
	if told.Joining(0) || told.Instances(0) != 4 {
		t.Errorf("joining: %v, %d instances, want 4", told.Joining(0), told.Instances(0))
	}
}
