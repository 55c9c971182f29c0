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
	maxShiftFailures = 5
	// maxShiftSlowdown is the ratio of the moved requests' average latency to
	// the others' above which a ramp holds; crossRegionAllowance is added for
	// the longer way.
	maxShiftSlowdown     = 2
	crossRegionAllowance = 50 * time.Millisecond
)

// shift moves requests of one route while it keeps, on this instance, the
// moved requests within the cap at every prefix of the sequence of requests.
// What holds on every instance holds for the fleet's sums. The requests seen
// and moved count anew from each step, so that a larger share never moves a
// backlog at once.
type shift struct {
	config.Shift

	capPPM, stepPPM int64
	steps           int64
	seen, moved     int64 // since the shift came in force here
	stepSeen        int64
	stepMoved       int64
	stepSince       time.Time

	there, stayed evidence // moved and other requests of this step
}

// evidence sums up the outcomes of requests.
type evidence struct {
	answers, failures int64
	latency           float64 // average, in seconds
}

func (e *evidence) add(outcome Outcome, took time.Duration) {
	if outcome != Answered {
		e.failures++
		return
	}
	e.answers++
	e.latency = average(e.latency, took.Seconds(), latencyWeight)
}

func (e *evidence) failing() bool {
	n := e.answers + e.failures
	return n >= minShiftOutcomes && e.failures*100 > n*maxShiftFailures
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
		if c.From == p.home.name && p.shifts[c.Route] == nil {
			p.shifts[c.Route] = s
		}
	}
}

func newShift(c config.Shift, now time.Time) *shift {
	return &shift{Shift: c, capPPM: int64(c.Cap * ppm), stepPPM: int64(c.Step * ppm), steps: 1, stepSince: now}
}

// shiftOf returns the shift that applies to a request from here. Retries are
// part of a request that was counted already.
func (p *Placer) shiftOf(r Request, now time.Time) *shift {
	if len(p.shifts) == 0 || len(r.Exclude) > 0 {
		return nil
	}
	s := p.shifts[r.Route.Name]
	if s != nil {
		s.advance(now)
	}
	return s
}

// share returns the part of the requests that may move now.
func (s *shift) share() int64 { return min(s.capPPM, s.steps*s.stepPPM) }

// mayMove tells whether the next request may move.
func (s *shift) mayMove() bool {
	return (s.stepMoved+1)*ppm <= s.share()*(s.stepSeen+1)
}

// place counts a request that was placed.
func (s *shift) place(moved bool) {
	s.seen++
	s.stepSeen++
	if moved {
		s.moved++
		s.stepMoved++
	}
}

// learn takes over the outcome of a request of the route.
func (s *shift) learn(moved bool, outcome Outcome, took time.Duration, now time.Time) {
	if !moved {
		s.stayed.add(outcome, took)
		return
	}
	s.there.add(outcome, took)
	if s.there.failing() {
		s.step(max(1, s.steps-1), now)
	}
}

// advance takes the next step of the ramp once the present one has lasted long
// enough and the moved requests show that the destination bears it. Without
// answers from there the ramp holds.
func (s *shift) advance(now time.Time) {
	if now.Sub(s.stepSince) < time.Duration(s.StepSeconds)*time.Second || s.there.answers == 0 {
		return
	}
	slow := s.stayed.latency*maxShiftSlowdown + crossRegionAllowance.Seconds()
	if s.stayed.answers > 0 && s.there.latency > slow {
		s.step(s.steps, now)
		return
	}
	if s.share() < s.capPPM {
		s.step(s.steps+1, now)
	}
}

// step begins a step of the ramp and counts anew.
func (s *shift) step(steps int64, now time.Time) {
	s.steps, s.stepSince = steps, now
	s.stepSeen, s.stepMoved = 0, 0
	s.there, s.stayed = evidence{}, evidence{}
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
		out = append(out, ShiftState{Name: s.Name, Share: float64(s.share()) / ppm, Seen: s.seen, Moved: s.moved})
	}
	return out
}
