package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// distance orders targets by how near they are to the instance.
type distance int

const (
	distanceSameZone distance = iota
	distanceSameRegion
	distanceOtherRegion
	refusalPenalty // added for a target that refused a request a moment ago
)

var reasonByDistance = [...]Reason{distanceSameZone: ReasonOwnZone, distanceSameRegion: ReasonOwnRegion, distanceOtherRegion: ReasonOtherRegion}

const (
	// slowStart is the time in which a cold target's share grows to the whole.
	slowStartDuration = 10 * time.Second
	// coldShare is the part of its share that a cold target begins with.
	slowStartMinFraction = 0.2
	// shedPause is how long a target that refused a request comes last.
	refusalPenaltyDuration = 100 * time.Millisecond
	// ejectAfter is the number of failures in a row that ejects a target.
	failuresToEject = 5
	// ejectTime is how long the first ejection lasts; each further one in a row
	// lasts twice as long as the one before, up to maxEjectTime.
	firstEjectDuration = 5 * time.Second
	maxEjectDuration   = 40 * time.Second
	// maxEjectedPart bounds the ejected targets of a service: one in so many.
	targetsPerEjection = 3
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.1
	// slowFactor is the ratio to the service's average latency above which a
	// target counts as slow.
	slowLatencyRatio = 1.5
	// reportMaxAge is the age above which a reported load is ignored.
	maxReportAge = 2 * time.Second
)

// service is the placer's view of a config.Service.
type service struct {
	targets            []*target
	meanLatencySeconds float64       // average over the targets' answers, in seconds
	maxRequestTime     time.Duration // the longest time that a request stays in flight
	inFlight           int           // requests in flight from this instance
	recentPeaks        [2]int        // most requests in flight in this period and the last
	peakWindowStart    time.Time     // when this period began
	shortage           int           // requests without a free slot since the last ask
	shortageRegion     string        // region that a shift found no slot in since then
	lastLoanRequest    time.Time
}

// target is the placer's view of a config.Target.
type target struct {
	config.Target
	service  *service
	region   *region
	distance distance

	slotPool           pool // dealt out over the fleet's seats
	inFlight           int  // requests in flight from this instance
	cachedOwnSlots     int  // result of Placer.ownSlots
	lent, borrowed     int
	cachedShareVersion uint64 // value of Placer.shares that share belongs to

	drained bool // by the configuration
	leaving bool // by a sign of the target or of the platform

	slowStartSince       time.Time // zero if warm
	refusalPenaltyUntil  time.Time
	ejectedUntil         time.Time
	consecutiveFailures  int     // in a row
	consecutiveEjections int     // in a row
	meanLatencySeconds   float64 // average, in seconds; 0 before the first answer
	lastChoice           uint64
	report               Report
	reportedAt           time.Time // when the report was true
	lastPolled           time.Time // when this instance last polled the target
}

// slots returns the requests that this instance may have in flight on a
// target.
func (p *Placer) usableSlots(t *target, now time.Time) int {
	return max(0, p.ownSlots(t, now)-t.lent) + t.borrowed
}

// ownSlots returns this instance's share of a target's slots without loans.
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

// accepts tells whether a target may get new work.
func (t *target) acceptsWork(now time.Time) bool {
	return !t.drained && !t.leaving && !now.Before(t.ejectedUntil)
}

// rank orders targets by distance; those that refused a request a moment ago
// come after all others.
func (t *target) rank(now time.Time) distance {
	if now.Before(t.refusalPenaltyUntil) {
		return t.distance + refusalPenalty
	}
	return t.distance
}

// warmth returns the part of its share that a target may use now.
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

// warm limits a share by the target's warmth, to at least one request.
func (t *target) limitDuringSlowStart(share int, now time.Time) int {
	if share <= 1 || t.slowStartSince.IsZero() {
		return share
	}
	return max(1, int(float64(share)*t.slowStartFraction(now)))
}

// score is lower for better targets: the part of the share in use, over the
// warmth, times the latency where it stands out. Reports decide only between
// otherwise equal targets.
func (t *target) score(share int, now time.Time) float64 {
	score := (float64(t.inFlight) + 1) / float64(share) / t.slowStartFraction(now)
	if slow := t.service.meanLatencySeconds * slowLatencyRatio; slow > 0 && t.meanLatencySeconds > slow {
		score *= t.meanLatencySeconds / slow
	}
	if t.report.Slots > 0 && now.Sub(t.reportedAt) <= maxReportAge {
		const reportWeight = 1e-3
		score *= 1 + reportWeight*min(1, float64(t.report.InFlight)/float64(t.report.Slots))
	}
	return score
}

// learn takes over the outcome of a request.
func (t *target) recordOutcome(outcome Outcome, took time.Duration, now time.Time) {
	if outcome == Answered {
		t.consecutiveFailures, t.consecutiveEjections = 0, 0
		t.meanLatencySeconds = movingAverage(t.meanLatencySeconds, took.Seconds(), latencyWeight)
		t.service.meanLatencySeconds = movingAverage(t.service.meanLatencySeconds, took.Seconds(), latencyWeight/float64(len(t.service.targets)))
		return
	}
	if outcome == NotRun {
		t.refusalPenaltyUntil = now.Add(refusalPenaltyDuration)
	}
	t.consecutiveFailures++
	if t.consecutiveFailures >= failuresToEject && !now.Before(t.ejectedUntil) && t.service.mayEject(now) {
		t.consecutiveFailures = 0
		t.ejectedUntil = now.Add(min(firstEjectDuration<<t.consecutiveEjections, maxEjectDuration))
		t.consecutiveEjections = min(t.consecutiveEjections+1, 3)
		t.slowStartSince = t.ejectedUntil
	}
}

// mayEject tells whether one more target of the service may be ejected.
func (s *service) mayEject(now time.Time) bool {
	ejected := 0
	for _, t := range s.targets {
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	return (ejected+1)*targetsPerEjection <= len(s.targets)
}

func movingAverage(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + (value-old)*weight
}

// Report is what is known of a target's own account of itself.
type Report struct {
	Target string
	// InFlight and Slots are a hint: they may be old or wrong.
	InFlight, Slots int
	// Draining says that the target wants no new work.
	Draining bool
	// Age is the time since the target gave the report.
	Age time.Duration
}

// LeavingChange is what a report changed.
type LeavingChange int

// Changes by a report.
const (
	Unchanged LeavingChange = iota
	BeganLeaving
	StoppedLeaving
)

// ApplyReport takes over a report. An older one than the newest is ignored. A
// target that stops draining starts cold.
func (p *Placer) ApplyReport(r Report, now time.Time) LeavingChange {
	t := p.targets[r.Target]
	at := now.Add(-r.Age)
	if t == nil || !at.After(t.reportedAt) {
		return Unchanged
	}
	t.report, t.reportedAt = r, at
	if r.Draining == t.leaving {
		return Unchanged
	}
	t.leaving = r.Draining
	if t.leaving {
		return BeganLeaving
	}
	t.slowStartSince = now
	return StoppedLeaving
}

// MarkLeaving marks a target as leaving at the first sign from any source, such as
// an answer of its own or the platform. A report made later that it is not
// draining takes the mark away.
func (p *Placer) MarkLeaving(name string, now time.Time) LeavingChange {
	return p.ApplyReport(Report{Target: name, Draining: true}, now)
}
