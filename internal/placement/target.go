package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/config"
)

// distance is how far a target is from the instance; lower is nearer.
type distance int

const (
	distanceSameZone distance = iota
	distanceSameRegion
	distanceOtherRegion
	refusalPenalty // added for a target that has just refused a request
)

var reasonByDistance = [...]Reason{distanceSameZone: ReasonOwnZone, distanceSameRegion: ReasonOwnRegion, distanceOtherRegion: ReasonOtherRegion}

const (
	// slowStartDuration is the length of a target's slow start. A target has a slow
	// start when it is new, or when it gets requests again after a drain, leaving or
	// an ejection. During it, the fraction of the target's slots that may be used
	// grows linearly to 1.
	slowStartDuration = 10 * time.Second
	// slowStartMinFraction is the fraction that a slow start begins with.
	slowStartMinFraction = 0.2
	// refusalPenaltyDuration is how long a target comes after all others once it
	// has refused a request.
	refusalPenaltyDuration = 100 * time.Millisecond
	// failuresToEject is the number of consecutive failures after which a target
	// is ejected, that is, gets no requests for a time.
	failuresToEject = 5
	// firstEjectDuration is how long a target's first ejection lasts. Each further
	// one without an answer in between lasts twice as long as the one before, up
	// to maxEjectDuration.
	firstEjectDuration = 5 * time.Second
	maxEjectDuration   = 40 * time.Second
	// maxEjectDoublings is the number of doublings that takes firstEjectDuration to
	// maxEjectDuration.
	maxEjectDoublings = 3
	// targetsPerEjection limits ejections: at most one target in this many of a
	// service is ejected at a time.
	targetsPerEjection = 3
	// latencyWeight is the weight of the newest value in a moving average of
	// latencies.
	latencyWeight = 0.1
	// slowLatencyRatio is the ratio of a target's mean latency to its service's
	// above which the target counts as slow.
	slowLatencyRatio = 1.5
	// maxReportAge is the age above which a target's reported load is ignored.
	maxReportAge = 2 * time.Second
)

// service holds a config.Service's targets and its use by this instance.
type service struct {
	targets            []*target
	meanLatencySeconds float64       // moving average over the answers of all targets
	maxRequestTime     time.Duration // longest timeout of the service's routes
	inFlight           int           // requests in flight from this instance
	recentPeaks        [2]int        // most requests in flight from this instance in the current and the previous peakWindow
	peakWindowStart    time.Time     // when the current peakWindow began
	shortage           int           // requests without a free slot since lastBorrowRequest
	shortageRegion     string        // region that a shift found no slot in since then, or ""
	lastBorrowRequest  time.Time
}

// target is a config.Target with its use by this instance and what this instance
// has found out about it.
type target struct {
	config.Target
	service  *service
	region   *region
	distance distance

	slotPool           pool   // divided among the seats of the target's availability zone
	inFlight           int    // requests in flight from this instance
	cachedOwnSlots     int    // result of Placer.ownSlots at cachedShareVersion
	lent, borrowed     int    // slots lent to and borrowed from other instances
	cachedShareVersion uint64 // value of Placer.shareVersion

	drained bool // by the configuration
	// process tells whether the target leaves or pauses; nil if nothing has said so. Its
	// ejections and trials are not used here. Its time counts from processSince.
	process      *availability.Process
	processSince time.Time

	slowStartSince       time.Time // zero without a slow start
	refusalPenaltyUntil  time.Time
	ejectedUntil         time.Time
	consecutiveFailures  int
	consecutiveEjections int     // since the last answer
	meanLatencySeconds   float64 // moving average; 0 before the first answer
	lastChoice           uint64  // value of Placer.choiceCount at the latest grant; not read
	report               Report
	reportedAt           time.Time // when the target gave the report
	lastPolled           time.Time // by this instance
}

// knownProcess returns the target's process, which begins as serving.
func (t *target) knownProcess(now time.Time) *availability.Process {
	if t.process == nil {
		t.process, t.processSince = availability.New(func(availability.Change) {}), now
	}
	return t.process
}

// usableSlots returns how many requests this instance may have in flight on a
// target.
func (p *Placer) usableSlots(t *target, now time.Time) int {
	return max(0, p.ownSlots(t, now)-t.lent) + t.borrowed
}

// ownSlots returns this instance's share of a target's slots, before loans. It is
// 0 for targets outside the own availability zone.
func (p *Placer) ownSlots(t *target, now time.Time) int {
	if t.cachedShareVersion == p.shareVersion {
		return t.cachedOwnSlots
	}
	n := 0
	if t.distance == distanceSameZone {
		n = t.slotPool.share(&p.zoneEntitlement, p.options.MaxZoneLayoutLag, now)
	}
	t.cachedOwnSlots, t.cachedShareVersion = n, p.shareVersion
	return n
}

// acceptsWork reports whether a target may get new requests.
func (t *target) acceptsWork(now time.Time) bool {
	return !t.drained && !t.refuses(now) && !now.Before(t.ejectedUntil)
}

// processTime returns a time on the clock of the target's process.
func (t *target) processTime(now time.Time) time.Duration { return now.Sub(t.processSince) }

// availability returns whether the target leaves or pauses.
func (t *target) availability(now time.Time) availability.State {
	if t.process == nil {
		return availability.Serving
	}
	return t.process.State(t.processTime(now))
}

// leaving reports whether the target shuts down.
func (t *target) leaving(now time.Time) bool { return t.availability(now) == availability.Leaving }

// refuses reports whether the target must get no request at all, since it leaves or
// pauses.
func (t *target) refuses(now time.Time) bool {
	if t.process == nil {
		return false
	}
	t.availability(now)
	return t.process.Refuses()
}

// pauseLeft returns how long the target's pause still lasts, 0 or less without one.
func (t *target) pauseLeft(now time.Time) time.Duration {
	if t.process == nil {
		return 0
	}
	_, until := t.process.LastPause()
	return until - t.processTime(now)
}

// refusal returns the error for a request that no target of the service may get: an
// UnavailableError if all that are not drained leave or pause, else ErrNoTarget.
func (s *service) refusal(now time.Time) error {
	unavailable := &UnavailableError{}
	refusing := 0
	for _, t := range s.targets {
		if t.drained {
			continue
		}
		switch t.availability(now) {
		case availability.Paused:
			if left := t.pauseLeft(now); unavailable.Wait == 0 || left < unavailable.Wait {
				unavailable.Wait = left
			}
		case availability.Leaving:
		default:
			return ErrNoTarget
		}
		refusing++
	}
	if refusing == 0 {
		return ErrNoTarget
	}
	return unavailable
}

// rank orders targets by distance; those that have just refused a request come
// after all others.
func (t *target) rank(now time.Time) distance {
	if now.Before(t.refusalPenaltyUntil) {
		return t.distance + refusalPenalty
	}
	return t.distance
}

// usableFraction returns the fraction of a target's slots that may be used now: below 1
// during a slow start and while requests return after a pause, 1 otherwise.
func (t *target) usableFraction(now time.Time) float64 {
	if t.process == nil {
		return t.slowStartFraction(now)
	}
	return min(t.slowStartFraction(now), t.process.ReturnedShare(t.processTime(now)))
}

// slowStartFraction returns the fraction of a target's slots that a slow start allows:
// below 1 during one, 1 otherwise.
func (t *target) slowStartFraction(now time.Time) float64 {
	if t.slowStartSince.IsZero() {
		return 1
	}
	age := now.Sub(t.slowStartSince)
	if age >= slowStartDuration {
		t.slowStartSince = time.Time{}
		return 1
	}
	return slowStartMinFraction + (1-slowStartMinFraction)*age.Seconds()/slowStartDuration.Seconds()
}

// limitShare reduces a share of slots to the usable fraction, but to no less than one
// slot.
func (t *target) limitShare(share int, now time.Time) int {
	if share <= 1 || t.slowStartSince.IsZero() && t.process == nil {
		return share
	}
	return max(1, int(float64(share)*t.usableFraction(now)))
}

// score rates a target; the lowest is the best. It is the fraction of the share
// in use, this request included, over the usable fraction. A slow target's
// score is multiplied by the ratio of its mean latency to the limit for slow ones.
// The load that the target reports only decides between otherwise equal targets.
func (t *target) score(share int, now time.Time) float64 {
	score := (float64(t.inFlight) + 1) / float64(share) / t.usableFraction(now)
	if slow := t.service.meanLatencySeconds * slowLatencyRatio; slow > 0 && t.meanLatencySeconds > slow {
		score *= t.meanLatencySeconds / slow
	}
	if t.report.Slots > 0 && now.Sub(t.reportedAt) <= maxReportAge {
		const reportWeight = 1e-3
		score *= 1 + reportWeight*min(1, float64(t.report.InFlight)/float64(t.report.Slots))
	}
	return score
}

// recordOutcome records how a request on the target ended, and ejects the target
// after too many consecutive failures.
func (t *target) recordOutcome(outcome Outcome, took time.Duration, now time.Time) {
	if outcome == Answered {
		t.consecutiveFailures, t.consecutiveEjections = 0, 0
		t.meanLatencySeconds = movingAverage(t.meanLatencySeconds, took.Seconds(), latencyWeight)
		t.service.meanLatencySeconds = movingAverage(t.service.meanLatencySeconds, took.Seconds(), latencyWeight/float64(len(t.service.targets)))
		return
	}
	if outcome == NotRun {
		t.refusalPenaltyUntil = now.Add(refusalPenaltyDuration)
		if t.process != nil && !t.process.CountRejection(t.processTime(now)) {
			return
		}
	}
	t.consecutiveFailures++
	if t.consecutiveFailures >= failuresToEject && !now.Before(t.ejectedUntil) && t.service.mayEject(now) {
		t.consecutiveFailures = 0
		t.ejectedUntil = now.Add(min(firstEjectDuration<<t.consecutiveEjections, maxEjectDuration))
		t.consecutiveEjections = min(t.consecutiveEjections+1, maxEjectDoublings)
		t.slowStartSince = t.ejectedUntil
	}
}

// mayEject reports whether one more target of the service may be ejected.
func (s *service) mayEject(now time.Time) bool {
	ejected := 0
	for _, t := range s.targets {
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	return (ejected+1)*targetsPerEjection <= len(s.targets)
}

// movingAverage returns an exponentially weighted moving average with one more
// value. An old average of 0 means that there was none.
func movingAverage(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + (value-old)*weight
}

// Report is a target's load and state as the target itself gave them, or as they
// were inferred from other signs.
type Report struct {
	Target string
	// InFlight and Slots are the requests that the target runs and those that it
	// can run at once. They may be old or wrong, and are only used as a hint. Slots
	// is 0 if they are not known.
	InFlight, Slots int
	// Draining says that the target must get no new requests.
	Draining bool
	// Age is the time since the target gave the report.
	Age time.Duration
}

// LeavingChange is how a report changed whether a target is leaving.
type LeavingChange int

// Changes by a report.
const (
	// Unchanged also stands for a report that was ignored.
	Unchanged LeavingChange = iota
	BeganLeaving
	StoppedLeaving
)

// ApplyReport takes in a report. One that is not newer than the latest is
// ignored. A target that stops draining begins a slow start.
func (p *Placer) ApplyReport(r Report, now time.Time) LeavingChange {
	t := p.targets[r.Target]
	at := now.Add(-r.Age)
	if t == nil || !at.After(t.reportedAt) {
		return Unchanged
	}
	t.report, t.reportedAt = r, at
	if r.Draining == t.leaving(now) {
		return Unchanged
	}
	t.knownProcess(now).SetDraining(r.Draining, t.processTime(now))
	if r.Draining {
		return BeganLeaving
	}
	t.slowStartSince = now
	return StoppedLeaving
}

// MarkLeaving marks a target as leaving, which stops new requests to it. A later report
// that the target is not draining removes the mark.
func (p *Placer) MarkLeaving(name string, now time.Time) LeavingChange {
	return p.ApplyReport(Report{Target: name, Draining: true}, now)
}

// Observe takes in what a target said in the head of its response to a granted request,
// before or after Done. The caller has made sure that the response is the target's. A
// notice from an address that the target no longer has is ignored. Observe returns
// whether the target left or paused before the response, and whether it does so now.
func (p *Placer) Observe(g Grant, n availability.Notice, now time.Time) (before, after availability.State) {
	t := p.targets[g.Target.Name]
	if t == nil || t.Address != g.Target.Address {
		return availability.Serving, availability.Serving
	}
	before = t.availability(now)
	t.knownProcess(now).Pause(n.Pause, t.processTime(now))
	if n.Leaving {
		p.MarkLeaving(t.Name, now)
	}
	return before, t.availability(now)
}
