// Package attempt takes one request through its tries. It is a deterministic
// core without I/O: events of a try come in, and the next step goes out. It
// decides whether another try is allowed, and what a caller may truthfully be
// told of a request that has no answer.
package attempt

import "time"

// Outcome is what is known of a request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// MaxTries bounds the tries of one request.
const MaxTries = 3

// EventKind is what happened to a try.
type EventKind int

// Kinds of events. The first group proves that the try did not run.
const (
	// NoTarget: placement had no target for a try.
	NoTarget EventKind = iota
	// DialFailed: no connection to the target was made.
	DialFailed
	// WroteNothing: a connection was made, but no byte was sent on it.
	WroteNothing
	// Shed: the target said in a proven answer that it did not run the request.
	Shed

	// ConnectionBroken: the connection failed after something was sent on it.
	ConnectionBroken
	// HeaderTimeout: no answer came within the decision's HeaderWait.
	HeaderTimeout
	// WrongRequestID: the answer belongs to another request.
	WrongRequestID
	// NoEndMark: the answer has no mark of its end, so that a cut could not be
	// told from it.
	NoEndMark

	// AnswerHeader: the header of this request's own answer has come.
	AnswerHeader
	// BodyComplete: the whole answer has been passed on.
	BodyComplete
	// BodyCutShort: the answer broke off while it was passed on.
	BodyCutShort
)

// String returns the event's name in logs and metrics.
func (k EventKind) String() string {
	return [...]string{
		NoTarget: "no-target", DialFailed: "dial-failed", WroteNothing: "wrote-nothing", Shed: "shed",
		ConnectionBroken: "broken", HeaderTimeout: "silent", WrongRequestID: "wrong-request-id", NoEndMark: "unprovable",
		AnswerHeader: "answered", BodyComplete: "complete", BodyCutShort: "cut-short",
	}[k]
}

// ProvesNotRun tells whether the event proves that its try did not run.
func (k EventKind) ProvesNotRun() bool { return k <= Shed }

// Event is the end of a step of the current try.
type Event struct {
	Kind EventKind
	// BodyConsumed says that the request's body cannot be sent again.
	BodyConsumed bool
	// RequestEnded says that the deadline has passed or the caller has gone.
	RequestEnded bool
	// Remaining is the time to the deadline.
	Remaining time.Duration
}

// Action is what to do next.
type Action int

// Actions.
const (
	// Try sends the request to a target that has not had it.
	Try Action = iota
	// Forward passes the answer on to the caller.
	Forward
	// ReplyNotRun ends the request with a refusal.
	ReplyNotRun
	// ReplyUnknown ends the request, which may have run, without an answer.
	ReplyUnknown
	// Abort breaks the caller's connection, so that a part of an answer is
	// never taken for a whole one.
	Abort
	// Finish ends the request: its answer has been passed on.
	Finish
)

// Decision is the next step of a request.
type Decision struct {
	Action Action
	// NewConnection says that the try uses a connection that no request has
	// used before, on which nothing replays it.
	NewConnection bool
	// HeaderWait bounds the time until the answer's header of a try; 0 means
	// the deadline alone does.
	HeaderWait time.Duration
}

// Machine is one request. It is not safe for concurrent use.
type Machine struct {
	repeatable bool
	budget     *Budget
	tries      int
	mayHaveRun bool
}

// New returns the machine of a request. Repeatable says that running it twice
// does no harm. Requests of one instance share the budget.
func New(repeatable bool, budget *Budget) *Machine {
	return &Machine{repeatable: repeatable, budget: budget}
}

// Start returns the first step; remaining is the time to the deadline.
func (m *Machine) Start(remaining time.Duration) Decision {
	m.budget.earn()
	return m.nextTry(remaining)
}

// Tries returns the number of tries begun.
func (m *Machine) Tries() int { return m.tries }

// MayHaveRun tells whether a target may have run the request.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun }

// Outcome returns what may be told of the request if it gets no answer.
func (m *Machine) Outcome() Outcome {
	if m.mayHaveRun {
		return Unknown
	}
	return NotRun
}

// Handle takes in an event and returns the next step.
func (m *Machine) Handle(e Event) Decision {
	if !e.Kind.ProvesNotRun() {
		m.mayHaveRun = true
	}
	switch e.Kind {
	case AnswerHeader:
		return Decision{Action: Forward}
	case BodyComplete:
		return Decision{Action: Finish}
	case BodyCutShort:
		return Decision{Action: Abort}
	case NoTarget:
		return m.reply()
	}
	if m.mayRetry(e) {
		return m.nextTry(e.Remaining)
	}
	return m.reply()
}

func (m *Machine) mayRetry(e Event) bool {
	if e.RequestEnded || e.Remaining <= 0 || e.BodyConsumed || m.tries >= MaxTries {
		return false
	}
	if m.mayHaveRun && !m.repeatable {
		return false
	}
	if e.Kind == DialFailed || e.Kind == WroteNothing {
		return true // costs no target any work
	}
	return m.budget.spend()
}

func (m *Machine) nextTry(remaining time.Duration) Decision {
	m.tries++
	d := Decision{Action: Try, NewConnection: !m.repeatable || m.tries > 1}
	if m.repeatable && m.tries < MaxTries {
		d.HeaderWait = remaining / headerWaitDivisor
	}
	return d
}

// headerWaitParts: a try that may be repeated waits for this part of the
// remaining time, so that another one still has time to finish.
const headerWaitDivisor = 2

func (m *Machine) reply() Decision {
	if m.mayHaveRun {
		return Decision{Action: ReplyUnknown}
	}
	return Decision{Action: ReplyNotRun}
}
