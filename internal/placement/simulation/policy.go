package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/placement"
)

// Policy is a way of choosing targets.
type Policy string

// Policies.
const (
	// Random picks any target of the own region, TwoChoices the one with the
	// lower reported load of two random ones, and LeastLocal the nearest target
	// with the fewest requests in flight from the same instance.
	Random     Policy = "random"
	TwoChoices Policy = "two choices"
	LeastLocal Policy = "least local"
	// SharesOnly is the policy of package placement, but without loans between
	// instances and without waiting for a free slot.
	SharesOnly Policy = "shares"
	// SharesAndLoans is the policy of package placement, with the waiting of
	// package entry. The product uses it.
	SharesAndLoans Policy = "chosen"
)

// Policies lists all policies; the last is the one that the product uses.
var Policies = []Policy{Random, TwoChoices, LeastLocal, SharesOnly, SharesAndLoans}

// chooser chooses targets for one instance. tried are the targets that refused
// the request before. The returned function is called when the request has ended;
// without a target it is nil.
type chooser interface {
	choose(w *routeTraffic, tried []*target, now time.Time) (*target, func(placement.Outcome, time.Time))
}

// baseline implements the policies that package placement is compared with. Random
// and TwoChoices stay in the own region for the first two tries.
type baseline struct {
	policy   Policy
	zone     int
	rng      *rand.Rand
	inFlight map[*target]int // from this instance
}

func (b *baseline) choose(w *routeTraffic, tried []*target, _ time.Time) (*target, func(placement.Outcome, time.Time)) {
	t := b.pick(w, tried)
	if t == nil {
		return nil, nil
	}
	b.inFlight[t]++
	return t, func(placement.Outcome, time.Time) { b.inFlight[t]-- }
}

// pick returns the target that the policy chooses, or nil.
func (b *baseline) pick(w *routeTraffic, tried []*target) *target {
	if b.policy == LeastLocal {
		return b.pickLeastLoaded(w, tried)
	}
	near, far := []*target{}, []*target{}
	for _, t := range w.targets {
		switch {
		case t.draining || contains(tried, t):
		case t.zone%regions == b.zone%regions:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	if len(near) == 0 || len(tried) > 1 {
		near = append(near, far...)
	}
	if len(near) == 0 {
		return nil
	}
	t := near[b.rng.IntN(len(near))]
	if other := near[b.rng.IntN(len(near))]; b.policy == TwoChoices && other.reportedRunning < t.reportedRunning {
		t = other
	}
	return t
}

// pickLeastLoaded returns, of the nearest targets that this instance has not
// filled by itself, the one with its fewest requests in flight.
func (b *baseline) pickLeastLoaded(w *routeTraffic, tried []*target) (best *target) {
	for _, t := range w.targets {
		if t.draining || contains(tried, t) || b.inFlight[t] >= t.slots {
			continue
		}
		if best == nil || t.distanceFrom(b.zone) < best.distanceFrom(b.zone) || t.distanceFrom(b.zone) == best.distanceFrom(b.zone) && b.inFlight[t] < b.inFlight[best] {
			best = t
		}
	}
	return best
}

// placerChooser chooses with a placer of package placement.
type placerChooser struct {
	*placement.Placer
	targets map[string]*target
}

// newPlacerChooser returns a chooser for an instance whose seat is always held.
func newPlacerChooser(m *model, instance int) *placerChooser {
	s := seatOf(instance)
	static := placement.StaticSeat(s)
	p := placement.New(placement.Options{
		AvailabilityZone: s.AvailabilityZone, Seats: &static, FirstLoanID: uint64(instance) << 32,
		Invariants: &invariant.Recorder{OnViolation: func(invariant.Name, string) { m.result.Violations++ }},
	})
	p.Update(config.Compile(1, m.deployment.Document), m.now)
	return &placerChooser{Placer: p, targets: m.targets}
}

func (s *placerChooser) choose(w *routeTraffic, tried []*target, now time.Time) (*target, func(placement.Outcome, time.Time)) {
	request := placement.Request{Route: w.route}
	for _, t := range tried {
		request.Exclude = append(request.Exclude, t.name)
	}
	g, err := s.Choose(request, now)
	if err != nil {
		return nil, nil
	}
	return s.targets[g.Target.Name], func(o placement.Outcome, at time.Time) { s.Done(g, o, at) }
}

func contains(list []*target, t *target) bool {
	for _, other := range list {
		if other == t {
			return true
		}
	}
	return false
}
