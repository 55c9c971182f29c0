package availability

import (
	"math"
	"time"
)

// Parameters of the health checks by observed responses. A failure rate is an
// exponential moving average of failures, 0 to 1. A relative latency is a multiple of
// the median latency of the request's route.
const (
	// MinEjection and maxEjection bound the length of an ejection, which doubles each
	// time until the process has recovered. The first is about the time in which a
	// crashed process restarts.
	MinEjection = time.Second
	maxEjection = 8 * time.Second
	// failuresToEject is the number of consecutive failures after which a process is
	// ejected; fewer may be lost responses.
	failuresToEject = 3
	// failureRateWeight is the weight of the newest response in the failure rate.
	failureRateWeight = 0.1
	// minEjectFailureRate is the failure rate from which a process is ejected although
	// some of its responses are good: moving its objects to other targets then costs
	// less than the failures.
	minEjectFailureRate = 0.4
	// minFailureRateExcess is how far the process's failure rate must also be above the
	// mean of its service: if all targets fail alike, its objects are no better off
	// elsewhere. It is three standard deviations of the moving average at a true
	// failure rate of one half.
	minFailureRateExcess = 0.35
	// lowFailureRate is the mean failure rate of a service below which consecutive
	// failures or a failed trial show that a process is down. Above it they happen by
	// chance.
	lowFailureRate = 0.2
	// relativeLatencyWeight is the weight of the newest response in the moving
	// average of a process's relative latency.
	relativeLatencyWeight = 0.25
	// slowRelativeLatency is the relative latency above which a process is slow. A
	// request whose object is not cached takes about three times as long.
	slowRelativeLatency = 3.0
	// TimeoutRelativeLatency is the relative latency that a request without a response
	// counts as.
	TimeoutRelativeLatency = 2 * slowRelativeLatency
	// minLatencySamples is the number of responses before the relative latency of a
	// process counts.
	minLatencySamples = 3
	// slowEjection is the least length of the ejection of a slow process.
	slowEjection = 3 * time.Second
)

// EjectionReason says why a process was ejected, which means that it gets no requests
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

// health is what the outcomes of requests show of a process.
type health struct {
	respondedAt time.Duration // last good response or rejection

	consecutiveFailures int     // until the next good response
	failureRate         float64 // moving average, 0 to 1
	ejectedUntil        time.Duration
	ejectionDuration    time.Duration  // of the last ejection; 0 after a recovery
	ejectionReason      EjectionReason // of the last ejection
	trialInFlight       bool           // after an ejection for failures, one request probes the process

	logRelativeLatency float64 // moving average of the natural logarithm of the relative latency
	latencySamples     int     // responses since the start or the last ejection for slowness
	ejectionLogLatency float64 // logRelativeLatency that led to the last ejection for slowness
}

// Ejected reports whether the process gets no requests unless there is no other
// target: during an ejection, and after it while the outcome of the trial request is
// unknown.
func (p *Process) Ejected(now time.Duration) bool {
	return now < p.health.ejectedUntil || p.health.trialInFlight
}

// EjectedOnlyForSlowness reports whether the process is ejected because its responses were
// slow, and not because requests failed since. It returns the relative latency that led to
// the ejection.
func (p *Process) EjectedOnlyForSlowness(now time.Duration) (relativeLatency float64, ok bool) {
	h := &p.health
	ok = now < h.ejectedUntil && h.ejectionReason == Slow && !h.trialInFlight
	return math.Exp(h.ejectionLogLatency), ok
}

// RelativeLatency returns the moving average of the relative latency, and false if there
// was no response since the start.
func (p *Process) RelativeLatency() (float64, bool) {
	return math.Exp(p.health.logRelativeLatency), p.health.logRelativeLatency != 0
}

// FailureRate returns the moving average of failures, 0 to 1.
func (p *Process) FailureRate() float64 { return p.health.failureRate }

// RespondedAt returns the time of the last good response or rejection, 0 if there was
// none.
func (p *Process) RespondedAt() time.Duration { return p.health.respondedAt }

// RecordGrant takes in that a request is about to be sent. After an ejection for
// failures it is a trial.
func (p *Process) RecordGrant(now time.Duration) {
	h := &p.health
	if h.ejectionDuration > 0 && now >= h.ejectedUntil && h.consecutiveFailures > 0 {
		h.trialInFlight = true
	}
}

// EndTrial takes in that a request ended in a way that says nothing, or nothing yet,
// about the process. If it was a trial, the next request is one too.
func (p *Process) EndTrial() { p.health.trialInFlight = false }

// RecordFailure counts a failure. It ejects the process if it was unreachable, or if it
// keeps failing while its service, which has the given mean failure rate, does better.
func (p *Process) RecordFailure(now time.Duration, unreachable bool, meanFailureRate float64) {
	h := &p.health
	h.consecutiveFailures++
	h.failureRate += (1 - h.failureRate) * failureRateWeight
	switch {
	case unreachable:
		p.Eject(now, MinEjection, Unreached)
	case h.consecutiveFailures >= failuresToEject && meanFailureRate < lowFailureRate:
		p.Eject(now, MinEjection, FailedInARow)
	case h.failsOften(meanFailureRate):
		p.Eject(now, MinEjection, FailsOften)
	case h.trialInFlight && meanFailureRate < lowFailureRate:
		p.Eject(now, MinEjection, FailedTrial)
	}
	h.trialInFlight = false
}

// failsOften reports whether the failure rate is high, also relative to the mean of the
// service.
func (h *health) failsOften(meanFailureRate float64) bool {
	return h.failureRate >= minEjectFailureRate && h.failureRate >= meanFailureRate+minFailureRateExcess
}

// RecordRejection takes in that the process rejected a request.
func (p *Process) RecordRejection(now time.Duration) {
	p.health.respondedAt, p.health.trialInFlight = now, false
}

// CountRejection takes in that the process rejected a request, and reports whether this
// counts against it. Of the rejections in a pause only one counts: the requests had all
// been sent before the process asked for the pause.
func (p *Process) CountRejection(now time.Duration) bool {
	if p.State(now) != Paused {
		return true
	}
	counts := !p.rejectedInPause
	p.rejectedInPause = true
	return counts
}

// RecordNeedlessRejection counts a request that the process rejected although it had
// free slots. A retry costs the caller little, so consecutive rejections alone do not
// eject the process. One that rejects far more often than the others does not serve its
// objects and is ejected.
func (p *Process) RecordNeedlessRejection(now time.Duration, meanFailureRate float64) {
	if !p.CountRejection(now) {
		return
	}
	p.health.failureRate += (1 - p.health.failureRate) * failureRateWeight
	if p.health.failsOften(meanFailureRate) {
		p.Eject(now, MinEjection, FailsOften)
	}
}

// Eject starts an ejection twice as long as the last one since the process's recovery,
// at least minDuration and at most maxEjection.
func (p *Process) Eject(now, minDuration time.Duration, reason EjectionReason) {
	p.State(now)
	h := &p.health
	h.trialInFlight = false
	h.ejectionDuration, h.ejectionReason = min(max(2*h.ejectionDuration, minDuration), maxEjection), reason
	h.ejectedUntil = now + h.ejectionDuration
	from := p.state
	p.fireDue(now)
	p.record(p.change(from, Ejection, reason, h.ejectionDuration))
}

// RecordSuccess counts a good response. The process has recovered once its failure rate
// is under half of minEjectFailureRate and its relative latency under the square root
// of slowRelativeLatency.
func (p *Process) RecordSuccess(now time.Duration) {
	p.State(now)
	h := &p.health
	h.consecutiveFailures, h.trialInFlight, h.respondedAt = 0, false, now
	h.failureRate -= h.failureRate * failureRateWeight
	if h.ejectionDuration > 0 && h.failureRate < minEjectFailureRate/2 && h.logRelativeLatency < math.Log(slowRelativeLatency)/2 {
		h.ejectionDuration = 0
		from := p.state
		p.fireDue(now)
		p.record(p.change(from, Ejection, Recovered, 0))
	}
}

// RecordLatency adds a response's relative latency to the moving average and ejects the
// process if it is slow.
func (p *Process) RecordLatency(relativeLatency float64, now time.Duration) {
	h := &p.health
	h.logRelativeLatency += (math.Log(relativeLatency) - h.logRelativeLatency) * relativeLatencyWeight
	h.latencySamples++
	if h.latencySamples >= minLatencySamples && h.logRelativeLatency > math.Log(slowRelativeLatency) {
		h.ejectionLogLatency = h.logRelativeLatency
		p.Eject(now, slowEjection, Slow)
		h.logRelativeLatency, h.latencySamples = math.Log(slowRelativeLatency)*(1-relativeLatencyWeight), 0 // just below the limit, so that a few slow responses eject again
	}
}

// ForgetHealth forgets what the outcomes of requests have shown, as for a process that
// is reached at another address. What it said itself stays.
func (p *Process) ForgetHealth(now time.Duration) {
	p.State(now)
	p.health = health{}
	p.advance(now, Registration)
}
