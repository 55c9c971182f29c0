package overloadsim

import (
	"cmp"
	"maps"
	"slices"
	"testing"
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// designScenarios are the loads that the affinity policy was designed for.
var designScenarios = []string{"cooperative, grown", "burst", "one home with few targets"}

// seeds is the number of simulations, each with another placement of objects, that a
// comparison takes the mean of. In a single one, the placement by hash changes the
// fraction in time by 0.005.
const seeds = 16

// mean returns the mean over all seeds of the fraction of requests answered in time.
func mean(s Scenario, policy PolicyFactory) float64 {
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += Simulate(s, seed, policy).InTimeShare()
	}
	return sum / seeds
}

// Under the loads that it was designed for, affinity must answer more requests in time
// than either baseline.
func TestAffinityBeatsBothBaselinesInDesignScenarios(t *testing.T) {
	for _, name := range designScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scenario(t, name)
			own, spill, random := mean(s, Affinity(s)), mean(s, Spill), mean(s, Random)
			if own <= spill || own <= random {
				t.Errorf("in time: %.4f by affinity, %.4f by spilling, %.4f at random; want the first highest", own, spill, random)
			}
		})
	}
}

func TestAffinityIsNeverWorseThanSpilling(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			if own, spill := mean(s, Affinity(s)), mean(s, Spill); own < spill {
				t.Errorf("in time: %.4f by affinity, %.4f by spilling; want no less", own, spill)
			}
		})
	}
}

// A burst must not leave a lasting overload behind, in which targets have none of the
// objects cached that they are asked for.
func TestServiceRecoversAfterABurst(t *testing.T) {
	s := scenario(t, "burst")
	for seed := range uint64(4) {
		windows := Simulate(s, seed, Affinity(s)).Windows
		before, after := windows[3], windows[len(windows)-3]
		if after < 0.9*before {
			t.Errorf("seed %d: fraction in time %.2f before the burst, %.2f near the end, want 0.9 of that at least; by window: %.2f", seed, before, after, windows)
		}
	}
}

// If all targets reject half of the requests, objects must stay at their targets, so that
// the accepted requests are answered in time.
func TestAcceptedRequestsStayInTimeWhileAllTargetsReject(t *testing.T) {
	s := scenario(t, "all targets reject half")
	for seed := range uint64(4) {
		r := Simulate(s, seed, Affinity(s))
		if during := r.Windows[6]; during < 0.5 {
			t.Errorf("seed %d: fraction in time %.2f while half of the requests are rejected and retried once, want 0.5 at least; by window: %.2f", seed, during, r.Windows)
		}
	}
}

// Requests bound to a home region with few targets must slow down other requests less if
// the policy keeps these targets free for them.
func TestRequestsBoundToAHomeRegionHarmFewOthers(t *testing.T) {
	s := scenario(t, "one home with few targets")
	if spared, affinityOnly := mean(s, Affinity(s)), mean(s, affinityOnly(nil, len(s.Regions))); spared < affinityOnly {
		t.Errorf("in time: %.4f with slots kept free in the home region, %.4f without; want no less", spared, affinityOnly)
	}
}

// Instances must refuse at once what a region with too few targets cannot serve in time.
// Only requests sent before the first response can have been accepted in ignorance.
func TestRequestsBoundToAFullRegionDoNotTimeOut(t *testing.T) {
	s := scenario(t, "one home with too few targets")
	rate := s.Homed * s.Rate(0) * float64(len(s.Regions))
	limit := int(rate * s.ColdServiceTime.Seconds())
	for seed := range uint64(4) {
		if homed := Simulate(s, seed, Affinity(s)).Homed; homed.Failed > limit {
			t.Errorf("seed %d: %d requests timed out, want at most %d, of %+v", seed, homed.Failed, limit, homed)
		}
	}
}

// Where requests are bound to a region whose targets can keep only a part of their objects
// cached, at least half of that part of the requests must be answered in time.
func TestRequestsBoundToFewTargetsFindTheirObjectsCached(t *testing.T) {
	s := scenario(t, "large home with few targets")
	objects := 0
	for _, region := range s.Regions {
		objects += region.Objects
	}
	cached := float64(s.CacheSize*s.Regions[0].Targets) / float64(objects)
	inTime := 0.0
	for seed := range uint64(seeds) {
		inTime += Simulate(s, seed, Affinity(s)).Homed.InTimeShare() / seeds
	}
	if inTime < cached/2 {
		t.Errorf("%.3f of the requests are answered in time, want %.3f at least: %.2f of the objects fit into the caches", inTime, cached/2, cached)
	}
}

// Preferring some objects where targets are overloaded must starve no others: the tenth of
// the objects that is served least must be answered at least a quarter as often as all.
func TestNoObjectIsStarvedByOverload(t *testing.T) {
	for _, name := range []string{"large home with few targets", "one home with too few targets"} {
		s := scenario(t, name)
		for seed := range uint64(4) {
			result := Simulate(s, seed, Affinity(s))
			objects := slices.SortedFunc(maps.Values(result.HomedByObject), func(a, b *Counts) int { return cmp.Compare(a.AnsweredShare(), b.AnsweredShare()) })
			var least Counts
			for _, c := range objects[:len(objects)/10] {
				least.Asked, least.InTime, least.Late = least.Asked+c.Asked, least.InTime+c.InTime, least.Late+c.Late
			}
			if all := result.Homed.AnsweredShare(); least.AnsweredShare() < all/4 {
				t.Errorf("%s, seed %d: %.2f of the requests for a tenth of the objects are answered, %.2f of all", name, seed, least.AnsweredShare(), all)
			}
		}
	}
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	s := scenario(t, "circuit")
	a, b := Simulate(s, 3, Affinity(s)), Simulate(s, 3, Affinity(s))
	if a.InTime != b.InTime || a.Late != b.Late || a.Refused != b.Refused || a.Failed != b.Failed {
		t.Errorf("the same seed gave %+v and %+v", a, b)
	}
}
