package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// ppm is the whole, 100 %, of a fraction in parts per million.
	ppm = 1_000_000
	// minShiftOutcomes is the number of moved requests in a step that must have
	// ended before their failures can end the step.
	minShiftOutcomes = 20
	// maxShiftFailurePercent is the percentage of failed moved requests above
	// which the ramp goes back one step.
	maxShiftFailurePercent = 5
	// The ramp does not go on while the mean latency of moved requests exceeds
	// maxShiftLatencyRatio times that of the others plus
	// crossRegionLatencyAllowance, which allows for the longer network path.
	// Without answers to other requests, any latency is accepted.
	maxShiftLatencyRatio        = 2
	crossRegionLatencyAllowance = 50 * time.Millisecond
)

// shift moves a growing fraction of one route's requests to another region. The
// fraction grows step by step up to the configured cap.
//
// After each request, the moved fraction of the requests that this instance has
// placed since the shift began is within the cap. Since that holds on every
// instance, it holds for the whole fleet. mayMove counts only the requests of the
// present step; with the totals, a larger fraction would at once move many
// requests in a row to catch up.
type shift struct {
	config.Shift

	capPPM, stepPPM int64
	stepNumber      int64 // from 1; the fraction is this times stepPPM, up to capPPM
	seen, moved     int64 // requests placed since the shift began on this instance
	stepSeen        int64 // the same, in this step
	stepMoved       int64
	stepSince       time.Time // when this step began

	movedStats, stayedStats outcomeStats // moved and other requests that ended in this step
}

// outcomeStats counts the outcomes of requests. Every outcome other than Answered
// is a failure.
type outcomeStats struct {
	answers, failures  int64
	meanLatencySeconds float64 // moving average over answered requests
}

// add counts one request that has ended.
func (s *outcomeStats) add(outcome Outcome, took time.Duration) {
	if outcome != Answered {
		s.failures++
		return
	}
	s.answers++
	s.meanLatencySeconds = movingAverage(s.meanLatencySeconds, took.Seconds(), latencyWeight)
}

// tooManyFailures reports whether enough requests have ended and more than
// maxShiftFailurePercent of them failed.
func (s *outcomeStats) tooManyFailures() bool {
	n := s.answers + s.failures
	return n >= minShiftOutcomes && s.failures*100 > n*maxShiftFailurePercent
}

// updateShifts starts the shifts that are new or changed in the configuration,
// and forgets those that it no longer has.
func (p *Placer) updateShifts(snapshot *config.Snapshot, now time.Time) {
	known := p.shifts
	p.shifts = map[string]*shift{}
	for _, c := range snapshot.Document.Shifts {
		s := known[c.Route]
		if s == nil || s.Shift != c {
			s = newShift(c, now)
		}
		// Of several shifts of a route out of the own region, the first applies.
		if c.From == p.homeRegion.name && p.shifts[c.Route] == nil {
			p.shifts[c.Route] = s
		}
	}
}

// newShift returns a shift at its first step.
func newShift(c config.Shift, now time.Time) *shift {
	return &shift{Shift: c, capPPM: int64(c.Cap * ppm), stepPPM: int64(c.Step * ppm), stepNumber: 1, stepSince: now}
}

// shiftOf returns the shift that applies to a request, or nil. A retry has none,
// since the request was counted at its first try.
func (p *Placer) shiftOf(r Request, now time.Time) *shift {
	if len(p.shifts) == 0 || len(r.Exclude) > 0 {
		return nil
	}
	s := p.shifts[r.Route.Name]
	if s != nil {
		s.advanceRamp(now)
	}
	return s
}

// allowedPPM returns the fraction of requests that may be moved in this step, in
// parts per million.
func (s *shift) allowedPPM() int64 { return min(s.capPPM, s.stepNumber*s.stepPPM) }

// mayMove reports whether the moved fraction stays allowed if the next request is
// moved.
func (s *shift) mayMove() bool {
	return (s.stepMoved+1)*ppm <= s.allowedPPM()*(s.stepSeen+1)
}

// countPlaced counts a request of the route that was placed.
func (s *shift) countPlaced(moved bool) {
	s.seen++
	s.stepSeen++
	if moved {
		s.moved++
		s.stepMoved++
	}
}

// recordOutcome records how a request of the route ended. If too many moved
// requests of this step have failed, the ramp goes back one step.
func (s *shift) recordOutcome(moved bool, outcome Outcome, took time.Duration, now time.Time) {
	if !moved {
		s.stayedStats.add(outcome, took)
		return
	}
	s.movedStats.add(outcome, took)
	if s.movedStats.tooManyFailures() {
		s.beginStep(max(1, s.stepNumber-1), now)
	}
}

// advanceRamp begins the next step of the ramp once the present one has lasted for
// StepSeconds and moved requests have been answered. If their mean latency is too
// high, it begins the present step again; if none was answered, it waits.
func (s *shift) advanceRamp(now time.Time) {
	if now.Sub(s.stepSince) < time.Duration(s.StepSeconds)*time.Second || s.movedStats.answers == 0 {
		return
	}
	slow := s.stayedStats.meanLatencySeconds*maxShiftLatencyRatio + crossRegionLatencyAllowance.Seconds()
	if s.stayedStats.answers > 0 && s.movedStats.meanLatencySeconds > slow {
		s.beginStep(s.stepNumber, now)
		return
	}
	if s.allowedPPM() < s.capPPM {
		s.beginStep(s.stepNumber+1, now)
	}
}

// beginStep begins a step of the ramp, from 1, and resets the counts of a step.
func (s *shift) beginStep(stepNumber int64, now time.Time) {
	s.stepNumber, s.stepSince = stepNumber, now
	s.stepSeen, s.stepMoved = 0, 0
	s.movedStats, s.stayedStats = outcomeStats{}, outcomeStats{}
}

// ShiftState is the progress of a shift on one instance.
type ShiftState struct {
	Name string
	// Share is the fraction of requests that may be moved now, 0 to 1.
	Share float64
	// Seen and Moved count the route's requests, and the moved ones of them, that
	// this instance has placed since the shift began on it.
	Seen, Moved int64
}

// Shifts returns the progress of the shifts out of the own region, in no
// particular order.
func (p *Placer) Shifts() []ShiftState {
	out := make([]ShiftState, 0, len(p.shifts))
	for _, s := range p.shifts {
		out = append(out, ShiftState{Name: s.Name, Share: float64(s.allowedPPM()) / ppm, Seen: s.seen, Moved: s.moved})
	}
	return out
}
