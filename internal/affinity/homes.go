package affinity

import (
	"math"
	"time"
)

// Requests that are bound to home regions with few targets, which they overload, are the
// load that this file answers. They can go nowhere else, and their objects are more than
// these targets can keep cached. If requests are then spread over the targets by chance
// and refused by chance, almost none finds its object cached, and each occupies a slot for
// several times as long.

const (
	// slowTogetherFactor is how many times the mean relative latency of the other
	// targets a slow one must have to be avoided by requests that only these targets may
	// run. It is above what chance makes of targets that all miss their caches.
	slowTogetherFactor = 2.0
	// minPressure and maxPressure are the loads per slot of the targets that may run a
	// request between which the preference for some objects grows from nothing to its
	// full extent.
	minPressure = 0.7
	maxPressure = 1.1
	// preferenceSpan is the largest number of requests per slot by which the load at which
	// a request is refused differs from the mean because of its object.
	preferenceSpan = 0.5
	// preferenceTurn is the time in which each object has been preferred and put back once.
	// While it stays cached at a target, an object is asked for many times; no caller
	// waits longer than that for its turn.
	preferenceTurn = 30 * time.Second
)

// slowTogether reports whether a target is ejected only because it is slow, while the
// other targets that may run the request are hardly faster. Evading it would then only
// take objects away from where they are cached.
func slowTogether(c candidate, candidates []candidate, now time.Duration) bool {
	latency, slow := c.process.EjectedOnlyForSlowness(now)
	if !slow {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range candidates {
		if l, known := other.process.RelativeLatency(); known && other.targetState != c.targetState {
			sum += l
			n++
		}
	}
	return n > 0 && latency < slowTogetherFactor*sum/float64(n)
}

// pressure returns how far the targets that may run a request are overloaded, from 0 to 1.
func pressure(utilization float64) float64 {
	return min(max((utilization-minPressure)/(maxPressure-minPressure), 0), 1)
}

// preference returns, in requests per slot, how much later than at the usual load the
// target's requests for an object are refused under full pressure, or earlier if it is
// below 0. All instances prefer the same objects at a target, so that these stay cached
// there, and each object in its turn. The mean over all objects is 0.
func preference(object uint64, s *targetState, timeOfDay time.Duration) float64 {
	const salt = 0x9e3779b97f4a7c15 // makes the preference independent of the rank of the target
	_, order := math.Modf(uniform(object^s.idHash^salt) + (timeOfDay%preferenceTurn).Seconds()/preferenceTurn.Seconds())
	return preferenceSpan * (1 - 2*order)
}
