package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// distance orders targets by how near they are to the instance.
type distance int

const (
	distanceZone distance = iota
	distanceRegion
	distanceAcross
	distancePaused // added for a target that refused a request a moment ago
)

var reasons = [...]Reason{distanceZone: ReasonOwnZone, distanceRegion: ReasonOwnRegion, distanceAcross: ReasonOtherRegion}

const (
	// slowStart is the time in which a cold target's share grows to the whole.
	slowStart = 10 * time.Second
	// coldShare is the part of its share that a cold target begins with.
	coldShare = 0.2
	// shedPause is how long a target that refused a request comes last.
	shedPause = 100 * time.Millisecond
	// ejectAfter is the number of failures in a row that ejects a target.
	ejectAfter = 5
	// ejectTime is how long the first ejection lasts; each further one in a row
	// lasts twice as long as the one before, up to maxEjectTime.
	ejectTime    = 5 * time.Second
	maxEjectTime = 40 * time.Second
	// maxEjectedPart bounds the ejected targets of a service: one in so many.
	maxEjectedPart = 3
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.1
	// slowFactor is the ratio to the service's average latency above which a
	// target counts as slow.
	slowFactor = 1.5
	// reportMaxAge is the age above which a reported load is ignored.
	reportMaxAge = 2 * time.Second
)

// service is the placer's view of a config.Service.
type service struct {
	targets []*target
	latency float64       // average over the targets' answers, in seconds
	settle  time.Duration // the longest time that a request stays in flight
	used    int           // requests in flight from this instance
	peaks   [2]int        // most requests in flight in this period and the last
	rolled  time.Time     // when this period began
	short   int           // requests without a free slot since the last ask
	toward  string        // region that a shift found no slot in since then
	asked   time.Time
}

// target is the placer's view of a config.Target.
type target struct {
	config.Target
	service  *service
	region   *region
	distance distance

	slots          pool // dealt out over the fleet's seats
	used           int  // requests in flight from this instance
	share          int  // result of Placer.ownSlots
	lent, borrowed int
	shareOf        uint64 // value of Placer.shares that share belongs to

	drained bool // by the configuration
	leaving bool // by a sign of the target or of the platform

	coldSince  time.Time // zero if warm
	shedUntil  time.Time
	ejectUntil time.Time
	failures   int     // in a row
	ejections  int     // in a row
	latency    float64 // average, in seconds; 0 before the first answer
	lastChoice uint64
	report     Report
	reported   time.Time // when the report was true
	polled     time.Time // when this instance last polled the target
}

// slots returns the requests that this instance may have in flight on a
// target.
func (p *Placer) slots(t *target, now time.Time) int {
	return max(0, p.ownSlots(t, now)-t.lent) + t.borrowed
}

// ownSlots returns this instance's share of a target's slots without loans.
func (p *Placer) ownSlots(t *target, now time.Time) int {
	if t.shareOf == p.shares {
		return t.share
	}
	n := 0
	if t.distance == distanceZone {
		n = t.slots.share(&p.zone, p.options.MaxZoneLayoutLag, now)
	}
	t.share, t.shareOf = n, p.shares
	return n
}

// accepts tells whether a target may get new work.
func (t *target) accepts(now time.Time) bool {
	return !t.drained && !t.leaving && !now.Before(t.ejectUntil)
}

// rank orders targets by distance; those that refused a request a moment ago
// come after all others.
func (t *target) rank(now time.Time) distance {
	if now.Before(t.shedUntil) {
		return t.distance + distancePaused
	}
	return t.distance
}

// warmth returns the part of its share that a target may use now.
func (t *target) warmth(now time.Time) float64 {
	if t.coldSince.IsZero() {
		return 1
	}
	age := now.Sub(t.coldSince)
	if age >= slowStart {
		t.coldSince = time.Time{}
		return 1
	}
	return coldShare + (1-coldShare)*age.Seconds()/slowStart.Seconds()
}

// warm limits a share by the target's warmth, to at least one request.
func (t *target) warm(share int, now time.Time) int {
	if share <= 1 || t.coldSince.IsZero() {
		return share
	}
	return max(1, int(float64(share)*t.warmth(now)))
}

// score is lower for better targets: the part of the share in use, over the
// warmth, times the latency where it stands out. Reports decide only between
// otherwise equal targets.
func (t *target) score(share int, now time.Time) float64 {
	score := (float64(t.used) + 1) / float64(share) / t.warmth(now)
	if slow := t.service.latency * slowFactor; slow > 0 && t.latency > slow {
		score *= t.latency / slow
	}
	if t.report.Slots > 0 && now.Sub(t.reported) <= reportMaxAge {
		const hint = 1e-3
		score *= 1 + hint*min(1, float64(t.report.InFlight)/float64(t.report.Slots))
	}
	return score
}

// learn takes over the outcome of a request.
func (t *target) learn(outcome Outcome, took time.Duration, now time.Time) {
	if outcome == Answered {
		t.failures, t.ejections = 0, 0
		t.latency = average(t.latency, took.Seconds(), latencyWeight)
		t.service.latency = average(t.service.latency, took.Seconds(), latencyWeight/float64(len(t.service.targets)))
		return
	}
	if outcome == NotRun {
		t.shedUntil = now.Add(shedPause)
	}
	t.failures++
	if t.failures >= ejectAfter && !now.Before(t.ejectUntil) && t.service.mayEject(now) {
		t.failures = 0
		t.ejectUntil = now.Add(min(ejectTime<<t.ejections, maxEjectTime))
		t.ejections = min(t.ejections+1, 3)
		t.coldSince = t.ejectUntil
	}
}

// mayEject tells whether one more target of the service may be ejected.
func (s *service) mayEject(now time.Time) bool {
	ejected := 0
	for _, t := range s.targets {
		if now.Before(t.ejectUntil) {
			ejected++
		}
	}
	return (ejected+1)*maxEjectedPart <= len(s.targets)
}

func average(old, value, weight float64) float64 {
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
	if t == nil || !at.After(t.reported) {
		return Unchanged
	}
	t.report, t.reported = r, at
	if r.Draining == t.leaving {
		return Unchanged
	}
	t.leaving = r.Draining
	if t.leaving {
		return BeganLeaving
	}
	t.coldSince = now
	return StoppedLeaving
}

// MarkLeaving marks a target as leaving at the first sign from any source, such as
// an answer of its own or the platform. A report made later that it is not
// draining takes the mark away.
func (p *Placer) MarkLeaving(name string, now time.Time) LeavingChange {
	return p.ApplyReport(Report{Target: name, Draining: true}, now)
}
