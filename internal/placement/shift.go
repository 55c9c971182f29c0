package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// ppm is the unit of shares, in parts per whole.
	ppm = 1_000_000
	// minShiftOutcomes is the number of moved requests that a step needs before
	// it is judged by their failures.
	minShiftOutcomes = 20
	// maxShiftFailures is the part of failed requests above which a ramp steps
	// back, in percent.
	maxShiftFailurePercent = 5
	// maxShiftSlowdown is the ratio of the moved requests' average latency to
	// the others' above which a ramp holds; crossRegionAllowance is added for
	// the longer way.
	maxShiftLatencyRatio        = 2
	crossRegionLatencyAllowance = 50 * time.Millisecond
)

// shift moves requests of one route while it keeps, on this instance, the
// moved requests within the cap at every prefix of the sequence of requests.
// What holds on every instance holds for the fleet's sums. The requests seen
// and moved count anew from each step, so that a larger share never moves a
// backlog at once.
type shift struct {
	config.Shift

	capPPM, stepPPM int64
	stepNumber      int64
	seen, moved     int64 // since the shift came in force here
	stepSeen        int64
	stepMoved       int64
	stepSince       time.Time

	movedStats, stayedStats outcomeStats // moved and other requests of this step
}

// evidence sums up the outcomes of requests.
type outcomeStats struct {
	answers, failures  int64
	meanLatencySeconds float64 // average, in seconds
}

func (e *outcomeStats) add(outcome Outcome, took time.Duration) {
	if outcome != Answered {
		e.failures++
		return
	}
	e.answers++
	e.meanLatencySeconds = movingAverage(e.meanLatencySeconds, took.Seconds(), latencyWeight)
}

func (e *outcomeStats) tooManyFailures() bool {
	n := e.answers + e.failures
	return n >= minShiftOutcomes && e.failures*100 > n*maxShiftFailurePercent
}

// updateShifts starts new shifts and those whose terms have changed, and
// forgets ended ones.
func (p *Placer) updateShifts(snapshot *config.Snapshot, now time.Time) {
	known := p.shifts
	p.shifts = map[string]*shift{}
	for _, c := range snapshot.Document.Shifts {
		s := known[c.Route]
		if s == nil || s.Shift != c {
			s = newShift(c, now)
		}
		// One shift for a route moves away from here at a time: the first.
		if c.From == p.homeRegion.name && p.shifts[c.Route] == nil {
			p.shifts[c.Route] = s
		}
	}
}

func newShift(c config.Shift, now time.Time) *shift {
	return &shift{Shift: c, capPPM: int64(c.Cap * ppm), stepPPM: int64(c.Step * ppm), stepNumber: 1, stepSince: now}
}

// shiftOf returns the shift that applies to a request from here. Retries are
// part of a request that was counted already.
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

// share returns the part of the requests that may move now.
func (s *shift) allowedPPM() int64 { return min(s.capPPM, s.stepNumber*s.stepPPM) }

// mayMove tells whether the next request may move.
func (s *shift) mayMove() bool {
	return (s.stepMoved+1)*ppm <= s.allowedPPM()*(s.stepSeen+1)
}

// place counts a request that was placed.
func (s *shift) countPlaced(moved bool) {
	s.seen++
	s.stepSeen++
	if moved {
		s.moved++
		s.stepMoved++
	}
}

// learn takes over the outcome of a request of the route.
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

// advance takes the next step of the ramp once the present one has lasted long
// enough and the moved requests show that the destination bears it. Without
// answers from there the ramp holds.
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

// step begins a step of the ramp and counts anew.
func (s *shift) beginStep(stepNumber int64, now time.Time) {
	s.stepNumber, s.stepSince = stepNumber, now
	s.stepSeen, s.stepMoved = 0, 0
	s.movedStats, s.stayedStats = outcomeStats{}, outcomeStats{}
}

// ShiftState is the progress of a shift on one instance.
type ShiftState struct {
	Name string
	// Share that may move now, 0 to 1.
	Share float64
	// Seen and Moved count the requests since the shift came in force here.
	Seen, Moved int64
}

// Shifts returns the progress of the shifts that start here.
func (p *Placer) Shifts() []ShiftState {
	out := make([]ShiftState, 0, len(p.shifts))
	for _, s := range p.shifts {
		out = append(out, ShiftState{Name: s.Name, Share: float64(s.allowedPPM()) / ppm, Seen: s.seen, Moved: s.moved})
	}
	return out
}
