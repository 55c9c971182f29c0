// Package affinity chooses the target of a request where a target that ran an
// object lately runs it faster. All instances of a region prefer the same
// target for an object without talking.
//
// It answers the load of many callers that ask for few objects, with more work
// than the slots would bear if no target knew its objects: requests wait for or
// are refused at the target that knows the object rather than made slow, and
// other requests with them, at one that does not.
package affinity

import (
	"math"
	"time"
)

// Target is a registered target.
type Target struct {
	ID               string
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Region           string
	Slots            int
	// Leaving says that the target wants no further requests.
	Leaving bool
	// ColdFor is how long the target stays cold from its registration on, and
	// Revision identifies the registration.
	ColdFor  time.Duration
	Revision uint64
	// Started identifies the start of the target's process.
	Started int64
}

// Limits on a target's judgement.
const (
	// minEjection and maxEjection bound how long a failing target gets nothing;
	// the first is about the time in which a crashed process comes back.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// failuresToEject is the number of failures in a row after which a target
	// is ejected; fewer may be lost answers.
	failuresToEject = 3
	// badWeight is the weight of the newest answer in the share of failures.
	failureRateWeight = 0.1
	// badShare is the share of failures from which a target is ejected although
	// some of its answers are good: moving its objects then costs less than
	// their failures.
	minEjectFailureRate = 0.4
	// worseBy is how much more than the others a target must fail; where all
	// fail alike, its objects are no better off elsewhere. It is three times the
	// spread of a share of one half.
	minFailureRateExcess = 0.35
	// seldom is the share of failures of a whole service up to which some
	// failures in a row tell that a target is down.
	lowFailureRate = 0.2
	// reportLife is the time after which a reported load counts nothing.
	reportedLoadTTL = 2 * time.Second
	// paceWeight is the weight of the newest answer in the pace of a target.
	relativeLatencyWeight = 0.25
	// slowPace is the pace, in multiples of what is usual, from which a target
	// is slow; a request without a warm cache takes about three times as long.
	slowRelativeLatency = 3.0
	// slowAnswers is the number of answers before a pace counts.
	minLatencySamples = 3
	// slowEjection is how long a slow target gets nothing.
	slowEjection = 3 * time.Second
	// rememberedObjects bounds the objects that a target is taken to know.
	maxCachedObjects = 32
)

// state is what this instance knows of a target.
type targetState struct {
	Target
	idHash uint64 // hash of the id

	inFlight int
	// The load in the last answer, and this instance's part of it.
	reportedLoad     int
	reportedAt       time.Duration
	inFlightAtReport int
	answeredAt       time.Duration

	consecutiveFailures int     // in a row
	failureRate         float64 // share of failures, newest first
	ejectedUntil        time.Duration
	ejectionDuration    time.Duration
	trialInFlight       bool // one request tries an ejected target

	logRelativeLatency float64 // log of its times relative to what is usual
	latencySamples     int

	coldUntil      time.Duration
	coldTokens     float64
	coldRefilledAt time.Duration

	cachedObjects map[uint64]time.Duration // hash → last answer

	recordEjection func(Ejection)
}

// EjectionReason tells why a target gets nothing for a time.
type EjectionReason string

// Reasons of ejections.
const (
	Unreached    EjectionReason = "unreached"
	FailedInARow EjectionReason = "failed-in-a-row"
	FailsOften   EjectionReason = "fails-often"
	FailedTrial  EjectionReason = "failed-trial"
	Slow         EjectionReason = "slow"
	// Recovered ends an ejection.
	Recovered EjectionReason = "recovered"
)

// Ejection is a change of what is believed of a target.
type Ejection struct {
	Target, Service string
	Reason          EjectionReason
	For             time.Duration
	Failures        int     // in a row
	FailureRate     float64 // share of failures lately, 0 to 1
	RelativeLatency float64 // of its answers, in multiples of the usual time
}

// load estimates the requests that the target has, running and waiting.
func (s *targetState) load(now time.Duration) float64 {
	own := float64(s.inFlight)
	age := now - s.reportedAt
	if s.reportedAt == 0 || age >= reportedLoadTTL {
		return own
	}
	others := max(float64(s.reportedLoad-s.inFlightAtReport), 0)
	return own + others*(1-float64(age)/float64(reportedLoadTTL))
}

func (s *targetState) ejected(now time.Duration) bool { return now < s.ejectedUntil || s.trialInFlight }

// cold tells whether the target has started or lost its caches lately.
func (s *targetState) cold(now time.Duration) bool { return now < s.coldUntil }

// knows tells whether the target answered for the object lately.
func (s *targetState) hasCached(object uint64) bool {
	_, ok := s.cachedObjects[object]
	return ok
}

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

// fail notes a failure and ejects the target if it keeps failing and others of
// its service, which fail the usual share, do better.
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

// reject notes that the target rejected a request though it had room. Another try
// costs the caller little, so some rejections in a row do not eject it; one that
// rejects far more than others does not serve its objects.
func (s *targetState) recordRejection(now time.Duration, meanFailureRate float64) {
	s.failureRate += (1 - s.failureRate) * failureRateWeight
	if s.failureRate >= minEjectFailureRate && s.failureRate >= meanFailureRate+minFailureRateExcess {
		s.eject(now, minEjection, FailsOften)
	}
}

func (s *targetState) eject(now, minDuration time.Duration, reason EjectionReason) {
	s.trialInFlight = false
	s.ejectionDuration = min(max(2*s.ejectionDuration, minDuration), maxEjection)
	s.ejectedUntil = now + s.ejectionDuration
	s.recordEjection(Ejection{Target: s.ID, Service: s.Service, Reason: reason, For: s.ejectionDuration, Failures: s.consecutiveFailures, FailureRate: s.failureRate, RelativeLatency: math.Exp(s.logRelativeLatency)})
}

func (s *targetState) recordSuccess(now time.Duration) {
	s.consecutiveFailures, s.trialInFlight, s.answeredAt = 0, false, now
	s.failureRate -= s.failureRate * failureRateWeight
	if s.ejectionDuration > 0 && s.failureRate < minEjectFailureRate/2 && s.logRelativeLatency < math.Log(slowRelativeLatency)/2 {
		s.ejectionDuration = 0
		s.recordEjection(Ejection{Target: s.ID, Service: s.Service, Reason: Recovered, FailureRate: s.failureRate, RelativeLatency: math.Exp(s.logRelativeLatency)})
	}
}

// timed notes how long an answer took in multiples of what is usual.
func (s *targetState) recordLatency(relativeLatency float64, now time.Duration) {
	s.logRelativeLatency += (math.Log(relativeLatency) - s.logRelativeLatency) * relativeLatencyWeight
	s.latencySamples++
	if s.latencySamples >= minLatencySamples && s.logRelativeLatency > math.Log(slowRelativeLatency) {
		s.eject(now, slowEjection, Slow)
		s.logRelativeLatency, s.latencySamples = math.Log(slowRelativeLatency)*(1-relativeLatencyWeight), 0 // one slow answer ejects again
	}
}
