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
	badWeight = 0.1
	// badShare is the share of failures from which a target is ejected although
	// some of its answers are good: moving its objects then costs less than
	// their failures.
	badShare = 0.4
	// worseBy is how much more than the others a target must fail; where all
	// fail alike, its objects are no better off elsewhere. It is three times the
	// spread of a share of one half.
	worseBy = 0.35
	// seldom is the share of failures of a whole service up to which some
	// failures in a row tell that a target is down.
	seldom = 0.2
	// reportLife is the time after which a reported load counts nothing.
	reportLife = 2 * time.Second
	// paceWeight is the weight of the newest answer in the pace of a target.
	paceWeight = 0.25
	// slowPace is the pace, in multiples of what is usual, from which a target
	// is slow; a request without a warm cache takes about three times as long.
	slowPace = 3.0
	// slowAnswers is the number of answers before a pace counts.
	slowAnswers = 3
	// slowEjection is how long a slow target gets nothing.
	slowEjection = 3 * time.Second
	// rememberedObjects bounds the objects that a target is taken to know.
	rememberedObjects = 32
)

// state is what this instance knows of a target.
type state struct {
	Target
	seed uint64 // hash of the id

	inFlight int
	// The load in the last answer, and this instance's part of it.
	reported   int
	reportedAt time.Duration
	ownThen    int
	answeredAt time.Duration

	failures     int     // in a row
	bad          float64 // share of failures, newest first
	ejectedUntil time.Duration
	ejection     time.Duration
	trial        bool // one request tries an ejected target

	pace    float64 // log of its times relative to what is usual
	answers int

	coldUntil time.Duration
	coldToken float64
	coldAt    time.Duration

	objects map[uint64]time.Duration // hash → last answer

	note func(Ejection)
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
func (s *state) load(now time.Duration) float64 {
	own := float64(s.inFlight)
	age := now - s.reportedAt
	if s.reportedAt == 0 || age >= reportLife {
		return own
	}
	others := max(float64(s.reported-s.ownThen), 0)
	return own + others*(1-float64(age)/float64(reportLife))
}

func (s *state) ejected(now time.Duration) bool { return now < s.ejectedUntil || s.trial }

// cold tells whether the target has started or lost its caches lately.
func (s *state) cold(now time.Duration) bool { return now < s.coldUntil }

// knows tells whether the target answered for the object lately.
func (s *state) knows(object uint64) bool {
	_, ok := s.objects[object]
	return ok
}

func (s *state) remember(object uint64, now time.Duration) {
	if s.objects == nil {
		s.objects = make(map[uint64]time.Duration, rememberedObjects)
	}
	s.objects[object] = now
	if len(s.objects) <= rememberedObjects {
		return
	}
	oldest, at := object, now
	for o, t := range s.objects {
		if t < at {
			oldest, at = o, t
		}
	}
	delete(s.objects, oldest)
}

// fail notes a failure and ejects the target if it keeps failing and others of
// its service, which fail the usual share, do better.
func (s *state) fail(now time.Duration, certain bool, usual float64) {
	s.failures++
	s.bad += (1 - s.bad) * badWeight
	switch {
	case certain:
		s.eject(now, minEjection, Unreached)
	case s.failures >= failuresToEject && usual < seldom:
		s.eject(now, minEjection, FailedInARow)
	case s.bad >= badShare && s.bad >= usual+worseBy:
		s.eject(now, minEjection, FailsOften)
	case s.trial && usual < seldom:
		s.eject(now, minEjection, FailedTrial)
	}
	s.trial = false
}

// reject notes that the target rejected a request though it had room. Another try
// costs the caller little, so some rejections in a row do not eject it; one that
// rejects far more than others does not serve its objects.
func (s *state) reject(now time.Duration, usual float64) {
	s.bad += (1 - s.bad) * badWeight
	if s.bad >= badShare && s.bad >= usual+worseBy {
		s.eject(now, minEjection, FailsOften)
	}
}

func (s *state) eject(now, least time.Duration, why EjectionReason) {
	s.trial = false
	s.ejection = min(max(2*s.ejection, least), maxEjection)
	s.ejectedUntil = now + s.ejection
	s.note(Ejection{Target: s.ID, Service: s.Service, Reason: why, For: s.ejection, Failures: s.failures, FailureRate: s.bad, RelativeLatency: math.Exp(s.pace)})
}

func (s *state) succeed(now time.Duration) {
	s.failures, s.trial, s.answeredAt = 0, false, now
	s.bad -= s.bad * badWeight
	if s.ejection > 0 && s.bad < badShare/2 && s.pace < math.Log(slowPace)/2 {
		s.ejection = 0
		s.note(Ejection{Target: s.ID, Service: s.Service, Reason: Recovered, FailureRate: s.bad, RelativeLatency: math.Exp(s.pace)})
	}
}

// timed notes how long an answer took in multiples of what is usual.
func (s *state) timed(multiple float64, now time.Duration) {
	s.pace += (math.Log(multiple) - s.pace) * paceWeight
	s.answers++
	if s.answers >= slowAnswers && s.pace > math.Log(slowPace) {
		s.eject(now, slowEjection, Slow)
		s.pace, s.answers = math.Log(slowPace)*(1-paceWeight), 0 // one slow answer ejects again
	}
}
