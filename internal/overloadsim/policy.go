package overloadsim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

// Affinity returns the policy of package affinity, with the scenario's fraction of
// requests that are bound to the first region, as the configuration would give it.
func Affinity(s Scenario) PolicyFactory {
	return affinityOnly(map[string]float64{regionName(0): s.Homed}, len(s.Regions))
}

// affinityOnly returns the policy of package affinity, given by region the fraction of
// requests that are bound to it.
func affinityOnly(homed map[string]float64, regions int) PolicyFactory {
	return func(name, region string, targets []affinity.Target) Policy {
		b := affinity.New(name, region, regions)
		b.SetTargets(targets, 0)
		b.SetHomeRegionShares(homed)
		return b
	}
}

// Spill creates a baseline policy. It chooses a target by the object's hash, or the next
// one in order if the instance already has as many requests in flight there as the
// target has slots. It never refuses a request.
func Spill(_, _ string, targets []affinity.Target) Policy {
	return &spill{targets: targets, inFlight: map[string]int{}}
}

// spill is the policy that Spill creates.
type spill struct {
	targets  []affinity.Target
	inFlight map[string]int // requests of this instance, by target ID
}

// Choose implements Policy.
func (s *spill) Choose(r affinity.Request, _ time.Duration) (affinity.Grant, bool) {
	start := int(xxhash.Sum64String(r.Object) % uint64(len(s.targets)))
	var chosen *affinity.Target
	for i := range s.targets {
		t := &s.targets[(start+i)%len(s.targets)]
		if len(r.HomeRegions) > 0 && t.Region != r.HomeRegions[0] {
			continue
		}
		if chosen == nil {
			chosen = t
		}
		if s.inFlight[t.ID] < t.Slots {
			chosen = t
			break
		}
	}
	s.inFlight[chosen.ID]++
	return affinity.Grant{Target: *chosen}, true
}

// Done implements Policy.
func (s *spill) Done(g affinity.Grant, _ affinity.Report, _ time.Duration) { s.inFlight[g.Target.ID]-- }

// Random creates a baseline policy, which chooses any target that may run the request
// with equal probability and never refuses one.
func Random(name, _ string, targets []affinity.Target) Policy {
	return &random{targets: targets, state: xxhash.Sum64String(name)}
}

// random is the policy that Random creates.
type random struct {
	targets []affinity.Target
	state   uint64 // of a linear congruential generator, seeded by the instance's name
}

// Choose implements Policy.
func (p *random) Choose(r affinity.Request, _ time.Duration) (affinity.Grant, bool) {
	for {
		p.state = p.state*6364136223846793005 + 1442695040888963407
		t := p.targets[int(p.state>>33)%len(p.targets)]
		if len(r.HomeRegions) == 0 || t.Region == r.HomeRegions[0] {
			return affinity.Grant{Target: t}, true
		}
	}
}

// Done implements Policy.
func (p *random) Done(affinity.Grant, affinity.Report, time.Duration) {}
