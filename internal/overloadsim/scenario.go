package overloadsim

import "time"

// Scenarios returns the scenarios to compare policies under. Sizes and rates follow the
// descriptions of the two deployments "cooperative" and "circuit", as they are and grown.
// In each, a service gets more load than its slots could bear without caches.
func Scenarios() []Scenario {
	cooperative := Scenario{
		Regions: []Region{{4, 66}, {12, 66}, {16, 66}}, Instances: 2, Slots: 6, Queue: 18, CacheSize: 26,
		ColdServiceTime: 960 * time.Millisecond, WarmServiceTime: 290 * time.Millisecond, Objective: 650 * time.Millisecond,
		Timeout: 2500 * time.Millisecond, Length: 30 * time.Second, Rate: Steady(81),
	}
	circuit := cooperative
	circuit.Regions = []Region{{10, 92}, {12, 92}, {2, 92}}
	circuit.Slots, circuit.Queue, circuit.Rate = 3, 9, Steady(30)
	cooperativeGrown := cooperative
	cooperativeGrown.Regions, cooperativeGrown.Instances, cooperativeGrown.Rate = []Region{{16, 297}, {62, 297}, {74, 297}}, 8, Steady(398)
	burst, rejecting, homed := cooperative, cooperative, cooperative
	burst.Rate = func(at time.Duration) float64 {
		if at > 8*time.Second && at < 11*time.Second {
			return 81 * 2.5
		}
		return 81
	}
	rejecting.Rejects = func(at time.Duration) float64 {
		if at > 8*time.Second && at < 16*time.Second {
			return 0.5
		}
		return 0
	}
	homed.Homed = 0.06
	homedOverloaded := cooperativeGrown
	homedOverloaded.Homed = 0.2
	homedNarrow := Scenario{
		Regions: []Region{{2, 55}, {6, 55}, {8, 55}}, Instances: 2, Slots: 6, Queue: 18, CacheSize: 43,
		ColdServiceTime: 690 * time.Millisecond, WarmServiceTime: 207 * time.Millisecond, Objective: 460 * time.Millisecond,
		Timeout: 1200 * time.Millisecond, Length: 32 * time.Second, Rate: Steady(34), Homed: 0.3,
	}
	slow, circuitOverloaded := cooperative, circuit
	slow.Slowdown = func(target int, at time.Duration) float64 {
		if target%7 == 0 && at > 8*time.Second && at < 16*time.Second {
			return 4
		}
		return 1
	}
	staysSlow := cooperative
	staysSlow.Slowdown = func(target int, at time.Duration) float64 {
		if target%7 == 0 && at > 4*time.Second {
			return 12
		}
		return 1
	}
	circuitOverloaded.Rate = func(at time.Duration) float64 {
		if at > 4*time.Second && at < 16*time.Second {
			return 30 * 1.8
		}
		return 30
	}
	named := map[string]Scenario{
		"cooperative": cooperative, "circuit": circuit, "cooperative, grown": cooperativeGrown, "burst": burst,
		"all targets reject half": rejecting, "one home with few targets": homed, "one home with too few targets": homedOverloaded, "large home with few targets": homedNarrow,
		"some targets slow": slow, "some targets stay slow": staysSlow, "circuit, overloaded": circuitOverloaded,
	}
	var list []Scenario
	for _, name := range []string{"cooperative", "circuit", "cooperative, grown", "burst", "all targets reject half", "one home with few targets", "one home with too few targets", "large home with few targets", "some targets slow", "some targets stay slow", "circuit, overloaded"} {
		s := named[name]
		s.Name = name
		list = append(list, s)
	}
	return list
}

// Steady returns a constant rate, in requests per second, for Scenario.Rate.
func Steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}
