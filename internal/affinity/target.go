// Package affinity chooses a target for each request by weighted rendezvous hashing of
// the object that the request concerns. A target that has served an object lately has
// it cached and serves it faster. All instances of a region prefer the same target
// for an object without communicating.
//
// It is made for many callers that ask for few objects, and for more load than the
// slots could bear without caches. Requests therefore wait for the target that has the
// object cached, or are refused there. Sent to another target, they would be slow and
// would delay the requests there.
package affinity

import (
	"math"
	"time"
)

// Target is a registered back end of a service.
type Target struct {
	ID               string
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Region           string
	Slots            int // requests that it runs at the same time
	// Leaving is true if the target is shutting down and wants no further requests.
	Leaving bool
	// ColdFor is how long the target stays cold after this registration: its caches
	// are empty, so it gets requests at a limited rate.
	ColdFor time.Duration
	// Revision identifies the registration; a new one with ColdFor starts another
	// cold start.
	Revision uint64
	// Started identifies the target's process, by its start in Unix milliseconds. A
	// different value means a restart.
	Started int64
	// Age is the time since the start of the target's process when it was passed to
	// SetTargets. A balancer that has just started infers from it since when requests
	// have been moving to the target.
	Age time.Duration
}

// replaces reports whether the target, which has the same address as another, uses it
// after that one: it started later or, if both started at the same time, was
// registered later.
func (t Target) replaces(other Target) bool {
	if t.Started != other.Started {
		return t.Started > other.Started
	}
	return t.Revision > other.Revision
}

// Parameters of the health checks by observed responses. A failure rate is an
// exponential moving average of failures, 0 to 1. A relative latency is a multiple of
// the median latency of the request's route.
const (
	// minEjection and maxEjection bound the length of an ejection, which doubles each
	// time until the target has recovered. The first is about the time in which a
	// crashed process restarts.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// failuresToEject is the number of consecutive failures after which a target is
	// ejected; fewer may be lost responses.
	failuresToEject = 3
	// failureRateWeight is the weight of the newest response in the failure rate.
	failureRateWeight = 0.1
	// minEjectFailureRate is the failure rate from which a target is ejected although
	// some of its responses are good: moving its objects to other targets then costs
	// less than the failures.
	minEjectFailureRate = 0.4
	// minFailureRateExcess is how far the target's failure rate must also be above the
	// mean of its service: if all targets fail alike, its objects are no better off
	// elsewhere. It is three standard deviations of the moving average at a true
	// failure rate of one half.
	minFailureRateExcess = 0.35
	// lowFailureRate is the mean failure rate of a service below which consecutive
	// failures or a failed trial show that a target is down. Above it they happen by
	// chance.
	lowFailureRate = 0.2
	// reportedLoadTTL is the time over which a load reported by a target fades to 0.
	reportedLoadTTL = 2 * time.Second
	// relativeLatencyWeight is the weight of the newest response in the moving
	// average of a target's relative latency.
	relativeLatencyWeight = 0.25
	// slowRelativeLatency is the relative latency above which a target is slow. A
	// request whose object is not cached takes about three times as long.
	slowRelativeLatency = 3.0
	// minLatencySamples is the number of responses before the relative latency of a
	// target counts.
	minLatencySamples = 3
	// slowEjection is the least length of the ejection of a slow target.
	slowEjection = 3 * time.Second
	// maxCachedObjects is the number of objects that a target is assumed to have
	// cached at most.
	maxCachedObjects = 32
)

// targetState is what this instance knows of a target.
type targetState struct {
	Target
	idHash uint64 // hash of Target.ID
	group  *targetGroup

	inFlight int // requests sent by this instance and not done
	// The load that the last response reported, when it came, and how many of these
	// requests were this instance's.
	reportedLoad     int
	reportedAt       time.Duration
	inFlightAtReport int
	respondedAt      time.Duration // last good response or rejection

	consecutiveFailures int     // until the next good response
	failureRate         float64 // moving average, 0 to 1
	ejectedUntil        time.Duration
	ejectionDuration    time.Duration // of the last ejection; 0 after a recovery
	trialInFlight       bool          // after an ejection for failures, one request probes the target

	logRelativeLatency float64 // moving average of the natural logarithm of the relative latency
	latencySamples     int     // responses since the start or the last ejection for slowness

	// The end of the cold start, and the token bucket that limits this instance's
	// requests until then.
	coldUntil      time.Duration
	coldTokens     float64
	coldRefilledAt time.Duration

	countedSlots float64 // slots counted in regionMix.slots; 0 if the target was not usable then

	cachedObjects map[uint64]time.Duration // hash of object → time of the last response for it

	recordEjection func(Ejection)
}

// EjectionReason says why a target was ejected, which means that it gets no requests
// for a time unless there is no other target.
type EjectionReason string

// Reasons of ejections.
const (
	Unreached    EjectionReason = "unreached"       // a request could not be sent, or another target had the address
	FailedInARow EjectionReason = "failed-in-a-row" // several consecutive failures
	FailsOften   EjectionReason = "fails-often"     // a high failure rate, clearly above its service's mean
	FailedTrial  EjectionReason = "failed-trial"    // the first request after an ejection failed
	Slow         EjectionReason = "slow"            // a high latency relative to the routes' medians
	// Recovered ends an ejection.
	Recovered EjectionReason = "recovered"
)

// Ejection is the ejection of a target, or its recovery if the reason is Recovered.
type Ejection struct {
	Target, Service string
	Reason          EjectionReason
	For             time.Duration // length of the ejection
	Failures        int           // consecutive
	FailureRate     float64       // moving average, 0 to 1
	RelativeLatency float64       // moving average, in multiples of the routes' medians
}

// load estimates the number of requests at the target, running and queued: those of
// this instance, and those of others by the last report, which count less as it ages.
func (s *targetState) load(now time.Duration) float64 {
	return float64(s.inFlight) + reportWeight(s.reportedAt, now)*s.reportedOthers()
}

// reportedOthers returns the number of other instances' requests by the last report.
func (s *targetState) reportedOthers() float64 {
	return max(float64(s.reportedLoad-s.inFlightAtReport), 0)
}

// ejected reports whether the target gets no requests: during an ejection, and after
// it while the outcome of the trial request is unknown.
func (s *targetState) ejected(now time.Duration) bool { return now < s.ejectedUntil || s.trialInFlight }

// cold reports whether the target is in a cold start, with empty caches.
func (s *targetState) cold(now time.Duration) bool { return now < s.coldUntil }

// hasCached reports whether the target probably has the object cached, because it
// answered a request for it lately.
func (s *targetState) hasCached(object uint64) bool {
	_, ok := s.cachedObjects[object]
	return ok
}

// markCached notes that the target answered a request for the object, and forgets the
// least recently used object beyond maxCachedObjects.
func (s *targetState) markCached(object uint64, now time.Duration) {
	if s.cachedObjects == nil {
		s.cachedObjects = make(map[uint64]time.Duration, maxCachedObjects)
	}
	s.cachedObjects[object] = now
	if len(s.cachedObjects) <= maxCachedObjects {
		return
	}
	oldest, at := object, now
	for o, t := range s.cachedObjects {
		if t < at {
			oldest, at = o, t
		}
	}
	delete(s.cachedObjects, oldest)
}

// recordFailure counts a failure. It ejects the target if it was unreachable, or if it
// keeps failing while its service, which has the given mean failure rate, does better.
func (s *targetState) recordFailure(now time.Duration, unreachable bool, meanFailureRate float64) {
	s.consecutiveFailures++
	s.failureRate += (1 - s.failureRate) * failureRateWeight
	switch {
	case unreachable:
		s.eject(now, minEjection, Unreached)
	case s.consecutiveFailures >= failuresToEject && meanFailureRate < lowFailureRate:
		s.eject(now, minEjection, FailedInARow)
	case s.failureRate >= minEjectFailureRate && s.failureRate >= meanFailureRate+minFailureRateExcess:
		s.eject(now, minEjection, FailsOften)
	case s.trialInFlight && meanFailureRate < lowFailureRate:
		s.eject(now, minEjection, FailedTrial)
	}
	s.trialInFlight = false
}

// recordRejection counts a request that the target rejected although it had free
// slots. A retry costs the caller little, so consecutive rejections alone do not eject
// the target. One that rejects far more often than the others does not serve its
// objects and is ejected.
func (s *targetState) recordRejection(now time.Duration, meanFailureRate float64) {
	s.failureRate += (1 - s.failureRate) * failureRateWeight
	if s.failureRate >= minEjectFailureRate && s.failureRate >= meanFailureRate+minFailureRateExcess {
		s.eject(now, minEjection, FailsOften)
	}
}

// eject starts an ejection twice as long as the last one since the target's recovery,
// at least minDuration and at most maxEjection.
func (s *targetState) eject(now, minDuration time.Duration, reason EjectionReason) {
	s.trialInFlight = false
	s.ejectionDuration = min(max(2*s.ejectionDuration, minDuration), maxEjection)
	s.ejectedUntil = now + s.ejectionDuration
	s.recordEjection(Ejection{Target: s.ID, Service: s.Service, Reason: reason, For: s.ejectionDuration, Failures: s.consecutiveFailures, FailureRate: s.failureRate, RelativeLatency: math.Exp(s.logRelativeLatency)})
}

// recordSuccess counts a good response. The target has recovered once its failure rate
// is under half of minEjectFailureRate and its relative latency under the square root
// of slowRelativeLatency.
func (s *targetState) recordSuccess(now time.Duration) {
	s.consecutiveFailures, s.trialInFlight, s.respondedAt = 0, false, now
	s.failureRate -= s.failureRate * failureRateWeight
	if s.ejectionDuration > 0 && s.failureRate < minEjectFailureRate/2 && s.logRelativeLatency < math.Log(slowRelativeLatency)/2 {
		s.ejectionDuration = 0
		s.recordEjection(Ejection{Target: s.ID, Service: s.Service, Reason: Recovered, FailureRate: s.failureRate, RelativeLatency: math.Exp(s.logRelativeLatency)})
	}
}

// recordLatency adds a response's relative latency to the moving average and ejects the
// target if it is slow.
func (s *targetState) recordLatency(relativeLatency float64, now time.Duration) {
	s.logRelativeLatency += (math.Log(relativeLatency) - s.logRelativeLatency) * relativeLatencyWeight
	s.latencySamples++
	if s.latencySamples >= minLatencySamples && s.logRelativeLatency > math.Log(slowRelativeLatency) {
		s.eject(now, slowEjection, Slow)
		s.logRelativeLatency, s.latencySamples = math.Log(slowRelativeLatency)*(1-relativeLatencyWeight), 0 // just below the limit, so that a few slow responses eject again
	}
}
