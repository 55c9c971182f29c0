// Package admission decides which requests wait for room at a target, which of them is
// sent next, and which are refused. It answers two loads: bursts in which callers ask for
// more than the targets' slots bear, and requests of different priority, deadline and work
// that compete for the same targets.
//
// A request waits at its instance and not in a target's queue, because only here can a
// more important one that comes later still go first.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Request holds the properties of a request that its place in a line depends on.
type Request struct {
	Priority  int    // 0 is the highest
	Workspace string // empty if there is none
	Route     string
	// Work is the expected time in a slot of a target.
	Work time.Duration
	// Objective is the route's latency objective; 0 if it has none.
	Objective time.Duration
	// Left is the time until the end of the latency objective or of the request's deadline,
	// whichever is earlier; 0 or less if the request must not wait.
	Left time.Duration
	// HasWaited says that the request has waited before. It gives way to another one only once.
	HasWaited bool
}

// Ticket identifies a waiting request. 0 is none.
type Ticket uint64

// Line holds the waiting requests of one instance, ordered for each target by what a refusal
// costs their callers. It is not safe for concurrent use. Its methods take the present time
// as a duration on a monotonic clock.
type Line struct {
	max      int
	last     Ticket
	waiting  map[Ticket]*waiter
	byTarget map[string][]*waiter // the next one to be sent first
	shares   *shares
	claims   claims
	outcomes map[outcomeKey]*outcomes
}

// outcomeKey names requests of which some go before others at a service.
type outcomeKey struct {
	service  string
	priority int
}

// outcomes tells how the waiting for a service ended lately.
type outcomes struct {
	sent    float64 // share of the waiting requests that were sent in time, 0 to 1
	refused int     // requests since the last one that waited although sent is too small
}

const (
	// outcomeWeight is the weight, from 0 to 1, of the newest waiting request in the moving
	// average of outcomes.
	outcomeWeight = 0.05
	// minSent is the share of waiting requests sent in time from which others wait too: less
	// often than not, waiting only delays a refusal.
	minSent = 0.5
	// trialInterval is the number of requests of which one waits nevertheless, to learn
	// whether it helps again.
	trialInterval = 16
)

// waiter is a waiting request.
type waiter struct {
	Request
	ticket Ticket
	target string
	// latestStart is the latest time at which the request may be sent to be answered within
	// Request.Left.
	latestStart time.Duration
}

// Offer is what a target has for a request.
type Offer struct {
	Target string // empty if there is none to wait for
	// Granted says that the target has room.
	Granted bool
	// RoomIn is the expected time until the target has room for one more request.
	RoomIn time.Duration
	// QueueWait is how long the request may still wait in the target's queue then.
	QueueWait time.Duration
	// Interval is the expected time between two requests that leave the target.
	Interval time.Duration
}

// Decision says what happens to a request. If it neither is sent nor has a ticket, it is to
// be refused at once, as it cannot be answered in time.
type Decision struct {
	Send bool
	// Ticket is set if the request waits, and RetryIn then is the expected time until there
	// is room for it.
	Ticket  Ticket
	RetryIn time.Duration
	// First is a waiting request that goes before this one, for which the target may have room
	// too.
	First Ticket
	// Displaced are requests that cannot be sent in time any more because this one goes
	// before them, or for which the line has no room. They have left it and are to be refused.
	Displaced []Ticket
}

// NewLine returns an empty line for at most maxWaiting requests.
func NewLine(maxWaiting int) *Line {
	return &Line{max: maxWaiting, waiting: map[Ticket]*waiter{}, byTarget: map[string][]*waiter{}, shares: newShares(), claims: claims{}, outcomes: map[outcomeKey]*outcomes{}}
}

// Asked counts a request that callers have sent to a service, whether it will wait or not.
func (l *Line) Asked(service string, r Request, now time.Duration) {
	l.shares.asked(service, r, now)
	l.claims.asked(service, r, now)
}

// Sent counts a request that has been given a target.
func (l *Line) Sent(service string, r Request, now time.Duration) {
	l.shares.sent(service, r, now)
	l.claims.sent(service, r, now)
}

// Ended notes how the waiting of a request of a priority for a service ended: with its send
// in time, or without. Requests whose callers left do not count.
func (l *Line) Ended(service string, priority int, sent bool) {
	o := l.outcomesOf(service, priority)
	o.sent *= 1 - outcomeWeight
	if sent {
		o.sent += outcomeWeight
	}
}

func (l *Line) outcomesOf(service string, priority int) *outcomes {
	key := outcomeKey{service, priority}
	o := l.outcomes[key]
	if o == nil {
		o = &outcomes{sent: 1}
		l.outcomes[key] = o
	}
	return o
}

// waitingHelps reports whether a request is likely to be sent if it waits, or is to wait to
// learn that. While many instances wait for the same targets, the expected times until
// there is room are too short.
func (l *Line) waitingHelps(service string, priority int) bool {
	o := l.outcomesOf(service, priority)
	if o.sent >= minSent {
		return true
	}
	o.refused++
	if o.refused < trialInterval {
		return false
	}
	o.refused = 0
	return true
}

// Yield returns how far a request gives way to requests of higher priority that compete with
// it for a service lately. A starving one does not.
func (l *Line) Yield(service string, r Request, now time.Duration) Yield {
	if l.Starving(service, r, now) {
		return Yield{}
	}
	return l.claims.yield(service, r.Priority, now)
}

// Starving reports whether the request's route or workspace gets less than a quarter of the
// common share of a service. Such requests go before all others.
func (l *Line) Starving(service string, r Request, now time.Duration) bool {
	return l.shares.starving(service, r, now)
}

// Decide decides about a request that does not wait yet, or whose turn it was. Requests wait
// only while those of different priority compete for the service: others gain nothing by it
// that a refusal at once does not give their callers sooner.
func (l *Line) Decide(service string, r Request, o Offer, now time.Duration) Decision {
	w := &waiter{Request: l.shares.promoted(service, r, now), target: o.Target, latestStart: now + r.Left - r.Work - o.QueueWait}
	if o.Granted {
		line := l.byTarget[o.Target]
		if len(line) == 0 || compare(line[0], w) >= 0 {
			return Decision{Send: true}
		}
		first := line[0].ticket
		if !r.HasWaited && r.Left > 0 {
			o.RoomIn = o.Interval
			if d := l.join(w, o, now); d.Ticket != 0 {
				d.First = first
				return d
			}
		}
		return Decision{Send: true, First: first}
	}
	if o.Target == "" || r.Left <= 0 || !l.claims.compete(service, now) || !l.waitingHelps(service, r.Priority) {
		return Decision{}
	}
	return l.join(w, o, now)
}

// join adds a request to the line of its target if it can be sent in time.
func (l *Line) join(w *waiter, o Offer, now time.Duration) Decision {
	line := l.byTarget[o.Target]
	at, _ := slices.BinarySearchFunc(line, w, compare)
	for at < len(line) && compare(line[at], w) == 0 {
		at++
	}
	startsAt := func(position int) time.Duration {
		return now + o.RoomIn + time.Duration(position)*o.Interval
	}
	if startsAt(at) > w.latestStart {
		return Decision{}
	}
	var d Decision
	if len(l.waiting) >= l.max {
		lowest := l.lowest()
		if compare(lowest, w) <= 0 {
			return Decision{}
		}
		l.Leave(lowest.ticket)
		d.Displaced = append(d.Displaced, lowest.ticket)
		line = l.byTarget[o.Target] // the lowest one goes after w, so w's place is the same
	}
	l.last++
	w.ticket = l.last
	l.waiting[w.ticket] = w
	d.Ticket, d.RetryIn = w.ticket, max(startsAt(at)-now, o.Interval)
	line = slices.Insert(line, at, w)
	kept := line[:at+1]
	for _, behind := range line[at+1:] {
		if startsAt(len(kept)) > behind.latestStart {
			delete(l.waiting, behind.ticket)
			d.Displaced = append(d.Displaced, behind.ticket)
			continue
		}
		kept = append(kept, behind)
	}
	l.byTarget[o.Target] = kept
	return d
}

// lowest returns the waiting request that goes after all others.
func (l *Line) lowest() *waiter {
	var lowest *waiter
	for _, line := range l.byTarget {
		if last := line[len(line)-1]; lowest == nil || compare(last, lowest) > 0 {
			lowest = last
		}
	}
	return lowest
}

// Next returns the request that is to be sent next to a target, or 0. It stays in the line.
func (l *Line) Next(target string) Ticket {
	if line := l.byTarget[target]; len(line) > 0 {
		return line[0].ticket
	}
	return 0
}

// Leave removes a request that is sent, refused or abandoned.
func (l *Line) Leave(t Ticket) {
	w := l.waiting[t]
	if w == nil {
		return
	}
	delete(l.waiting, t)
	line := slices.DeleteFunc(l.byTarget[w.target], func(other *waiter) bool { return other == w })
	if len(line) == 0 {
		delete(l.byTarget, w.target)
		return
	}
	l.byTarget[w.target] = line
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.waiting) }

// compare orders waiting requests: by priority, then those first that need much less work,
// so that more are answered in all, then those with less time left.
func compare(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(workClass(a.Work), workClass(b.Work)), cmp.Compare(a.latestStart, b.latestStart))
}

// workClass returns the same number for amounts of work within a factor of two, since
// expectations are no more exact than that.
func workClass(work time.Duration) int {
	class := 0
	for work > time.Millisecond {
		work /= 2
		class++
	}
	return class
}
