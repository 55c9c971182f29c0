package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

// Affinity is the product's own policy, which knows from the configuration what part of
// a scenario's requests has a home.
func Affinity(s Scenario) PolicyFactory {
	return affinityOnly(map[string]float64{regionName(0): s.Homed}, len(s.Regions))
}

// unaware is the product's policy with a given knowledge of homes.
func affinityOnly(homed map[string]float64, regions int) PolicyFactory {
	return func(name, region string, targets []affinity.Target) Policy {
		b := affinity.New(name, region, regions)
		b.SetTargets(targets, 0)
		b.SetHomeRegionShares(homed)
		return b
	}
}

// Spill is a baseline: the target of an object's hash, or the next one when an
// instance has a target's slots in use, never refusing.
func Spill(_, _ string, targets []affinity.Target) Policy {
	return &spill{targets: targets, inFlight: map[string]int{}}
}

type spill struct {
	targets  []affinity.Target
	inFlight map[string]int
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

// Random is a baseline: any target that may run the request.
func Random(name, _ string, targets []affinity.Target) Policy {
	return &random{targets: targets, state: xxhash.Sum64String(name)}
}

type random struct {
	targets []affinity.Target
	state   uint64
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
