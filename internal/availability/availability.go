// Package availability holds, for one process of a target, whether one instance sends
// requests to it. It combines what the target's registration says, what the process
// says in its responses, and how its responses turn out.
package availability

import (
	"math"
	"time"
)

// State is the availability of a process. The chart availability says which follows
// which.
type State string

// States of a process. Where several apply, the state is the one that comes last here.
const (
	Serving   State = "serving"
	Returning State = "returning" // after a pause: gets a growing part of its requests
	Trial     State = "trial"     // after an ejection, until it has recovered: one request at a time while the last one failed
	Ejected   State = "ejected"   // gets no requests unless there is no other target
	Paused    State = "paused"    // gets no requests, as it asked for
	Leaving   State = "leaving"   // gets no requests, as it shuts down
)

// Source says what changed the state of a process.
type Source string

// Sources of changes.
const (
	Registration Source = "registration" // the target's registration
	Response     Source = "response"     // the head of one of the process's responses
	Ejection     Source = "ejection"     // failures, slow responses, or the recovery from them
	Timer        Source = "timer"        // the end of a pause, a return or an ejection
)

// Change is a change of a process's state. Ejections and recoveries are changes even
// if the state stays the same, as when a paused process is ejected.
type Change struct {
	From, To State
	Source   Source
	// Reason is the reason of an ejection, or Recovered; empty for other sources.
	Reason EjectionReason
	// For is the length of the ejection, pause or return that begins; 0 if none does.
	For             time.Duration
	Failures        int     // consecutive
	FailureRate     float64 // moving average, 0 to 1
	RelativeLatency float64 // moving average, in multiples of the routes' medians
}

// Notice is what the head of a target's response says about the requests that the
// target wants from this instance.
type Notice struct {
	Leaving bool          // it shuts down and wants no further requests
	Pause   time.Duration // it wants no requests for this long; none if not above 0
}

// ReturnDuration is the time after a pause in which the requests come back to the
// process, so that it does not get them all at once.
const ReturnDuration = time.Second

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// event is an event of the chart availability.
type event string

const (
	leave         event = "leave"
	stay          event = "stay"
	pause         event = "pause"
	pauseEnded    event = "pause-ended"
	returned      event = "returned"
	eject         event = "eject"
	ejectionEnded event = "ejection-ended"
	recovered     event = "recover"
)

// transitions maps a state and an event to the next state, as the chart does.
var transitions = map[State]map[event]State{
	Serving:   {leave: Leaving, pause: Paused, eject: Ejected},
	Ejected:   {leave: Leaving, pause: Paused, ejectionEnded: Trial},
	Trial:     {leave: Leaving, pause: Paused, eject: Ejected, recovered: Returning},
	Paused:    {leave: Leaving, pauseEnded: Returning},
	Returning: {leave: Leaving, pause: Paused, eject: Ejected, returned: Serving},
	Leaving:   {stay: Returning},
}

// Process is the availability of one process of a target at one instance. It is not
// safe for concurrent use. Its methods take the present time as a duration on a
// monotonic clock that counts suspensions.
type Process struct {
	state State
	ends  time.Duration // when the state may change without another call; never if it does not

	draining    bool          // the registration says so
	saidLeaving bool          // a response said so, which holds for good
	pausedSince time.Duration // begin of the latest pause
	pausedUntil time.Duration // its end; 0 if there was none
	// rejectedInPause is true if a rejection in the latest pause has been counted.
	rejectedInPause bool

	health health

	record func(Change)
}

// New returns a process that is Serving. Changes of its state are passed to record.
func New(record func(Change)) *Process { return &Process{state: Serving, ends: never, record: record} }

// State returns the state at the given time.
func (p *Process) State(now time.Duration) State {
	if now >= p.ends {
		p.advance(now, Timer)
	}
	return p.state
}

// Refuses reports whether the process must get no request at all, since it is paused
// or leaving, as of the latest call with a time.
func (p *Process) Refuses() bool { return p.state == Paused || p.state == Leaving }

// LastPause returns the length and the end of the latest pause, 0 and 0 if there was
// none.
func (p *Process) LastPause() (length, until time.Duration) {
	return p.pausedUntil - p.pausedSince, p.pausedUntil
}

// SetDraining takes in whether the registration, or another source whose newer word
// replaces its older one, says that the process leaves.
func (p *Process) SetDraining(draining bool, now time.Duration) {
	p.State(now)
	p.draining = draining
	p.advance(now, Registration)
}

// Leave takes in a response that says that the process leaves. The process is Leaving
// from then on, whatever its registration says.
func (p *Process) Leave(now time.Duration) {
	p.State(now)
	p.saidLeaving = true
	p.advance(now, Response)
}

// Pause takes in a response that asks for no requests for the duration d. It extends a
// pause that would end earlier and does not shorten one. Durations that are not above
// 0 have no effect.
func (p *Process) Pause(d, now time.Duration) {
	if d <= 0 {
		return
	}
	p.State(now)
	until := never
	if d < until-now {
		until = now + d
	}
	if now >= p.pausedUntil {
		p.pausedSince, p.rejectedInPause = now, false
	}
	p.pausedUntil = max(p.pausedUntil, until)
	p.advance(now, Response)
}

// Asked reports whether the process has said something in a response that still has an
// effect: that it leaves, or a pause with the return after it.
func (p *Process) Asked(now time.Duration) bool {
	return p.saidLeaving || now < p.pausedUntil || p.returning(now)
}

// returning reports whether the time of return after a pause is not yet over.
func (p *Process) returning(now time.Duration) bool {
	return p.pausedUntil > 0 && now >= p.pausedUntil && now-p.pausedUntil < ReturnDuration
}

// ReturnedShare returns the fraction of its requests that the process may get after a
// pause: it grows from 0 to 1 within ReturnDuration, and is 1 without a pause.
func (p *Process) ReturnedShare(now time.Duration) float64 {
	if !p.returning(now) {
		return 1
	}
	return float64(now-p.pausedUntil) / float64(ReturnDuration)
}

// advance fires the events that are due, and records the change if the state differs
// afterwards.
func (p *Process) advance(now time.Duration, source Source) {
	from := p.state
	p.fireDue(now)
	if p.state != from {
		p.record(p.change(from, source, "", p.remaining(now)))
	}
}

// fireDue fires the events that are due and sets when the next may be.
func (p *Process) fireDue(now time.Duration) {
	for e := p.due(now); e != ""; e = p.due(now) {
		p.state = transitions[p.state][e]
	}
	p.ends = never
	if d := p.remaining(now); d > 0 {
		p.ends = now + d
	}
}

// due returns the event that leads from the present state towards the one that applies
// at the given time, or "" if this is the present one.
func (p *Process) due(now time.Duration) event {
	unless := func(s State, e event) event {
		if p.state == s {
			return ""
		}
		return e
	}
	switch {
	case p.draining || p.saidLeaving:
		return unless(Leaving, leave)
	case p.state == Leaving:
		return stay
	case now < p.pausedUntil:
		return unless(Paused, pause)
	case p.state == Paused:
		return pauseEnded
	case now < p.health.ejectedUntil:
		return unless(Ejected, eject)
	case p.state == Ejected:
		return ejectionEnded
	case p.health.ejectionDuration > 0:
		return unless(Trial, eject)
	case p.state == Trial:
		return recovered
	case p.state == Returning && !p.returning(now):
		return returned
	}
	return ""
}

// remaining returns the time to the planned end of the present state, 0 if it has none.
func (p *Process) remaining(now time.Duration) time.Duration {
	switch p.state {
	case Paused:
		return p.pausedUntil - now
	case Ejected:
		return p.health.ejectedUntil - now
	case Returning:
		return ReturnDuration - (now - p.pausedUntil)
	}
	return 0
}

func (p *Process) change(from State, source Source, reason EjectionReason, d time.Duration) Change {
	return Change{
		From: from, To: p.state, Source: source, Reason: reason, For: d,
		Failures: p.health.consecutiveFailures, FailureRate: p.health.failureRate, RelativeLatency: math.Exp(p.health.logRelativeLatency),
	}
}
