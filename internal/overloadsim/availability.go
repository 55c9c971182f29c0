package overloadsim

import "time"

// NoticesFrom is when targets begin to pause or to leave, once their caches are warm.
const NoticesFrom = 8 * time.Second

// AvailabilityScenario is a load under which some targets pause or leave, and the same
// load without these targets.
type AvailabilityScenario struct {
	Scenario
	// WithoutThem has as many targets fewer, from the start, as pause at a time or leave.
	WithoutThem Scenario
}

// AvailabilityScenarios returns the scenarios for targets that pause or leave, near the
// full load of the deployment "cooperative, grown".
func AvailabilityScenarios() []AvailabilityScenario {
	var list []AvailabilityScenario
	add := func(name string, one int, disturb func(*Scenario)) {
		s := scenarioNamed("cooperative, grown")
		s.Retries = true
		s.Name = name
		without := s
		without.Missing = func(target int) bool { return target%one == 0 }
		disturb(&s)
		list = append(list, AvailabilityScenario{s, without})
	}
	add("a tenth pause by turns", 10, func(s *Scenario) { s.PausedUntil = pauseByTurns(10) })
	add("a third pause by turns", 3, func(s *Scenario) { s.PausedUntil = pauseByTurns(3) })
	add("a tenth leave unannounced", 10, func(s *Scenario) {
		s.LeavesAt = func(target int) time.Duration {
			if target%10 != 0 {
				return 0
			}
			return NoticesFrom + time.Duration(target)*20*time.Millisecond
		}
	})
	return list
}

// pauseByTurns returns pauses in which one of n targets is at any time, from NoticesFrom
// on. They last 1 to 5 s.
func pauseByTurns(n int) func(target int, at time.Duration) time.Duration {
	return func(target int, at time.Duration) time.Duration {
		end := NoticesFrom
		for turn := 0; end <= at; turn++ {
			end += time.Duration(1+turn%5) * time.Second
			if at < end && target%n == turn%n {
				return end
			}
		}
		return 0
	}
}

// scenarioNamed returns one of Scenarios.
func scenarioNamed(name string) Scenario {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	panic("overloadsim: no scenario " + name)
}
