package gateway

import (
	"net/http"
	"time"

	"github.com/turmericfield/turmericfield/internal/admission"
	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
)

const (
	// maxWaiting bounds the requests that wait at an instance. Their bodies take up to
	// maxBufferedRequestBody each.
	maxWaiting = 512
	// minWait is the least time between two choices of a target for one waiting request,
	// unless it is woken.
	minWait = 10 * time.Millisecond
)

// waitingRoom holds the requests that wait for room at a target and wakes them. The
// gateway's lock guards it.
type waitingRoom struct {
	line  *admission.Line
	turns map[admission.Ticket]chan turn
}

// turn says why a waiting request is woken.
type turn int

const (
	mayTry    turn = iota // there may be room at its target
	displaced             // requests that go first leave it no time
)

func newWaitingRoom() *waitingRoom {
	return &waitingRoom{line: admission.NewLine(maxWaiting), turns: map[admission.Ticket]chan turn{}}
}

// wake tells a waiting request to choose a target again; 0 is none.
func (w *waitingRoom) wake(t admission.Ticket) { w.tell(t, mayTry) }

func (w *waitingRoom) tell(t admission.Ticket, what turn) {
	select {
	case w.turns[t] <- what:
	default: // told already, or no longer waiting
	}
}

// enter carries out a decision by which a request waits, and returns its place.
func (w *waitingRoom) enter(d admission.Decision, target string) *place {
	for _, t := range d.Displaced {
		w.tell(t, displaced)
		delete(w.turns, t)
	}
	turns := make(chan turn, 1)
	w.turns[d.Ticket] = turns
	return &place{ticket: d.Ticket, target: target, turns: turns, retryIn: d.RetryIn}
}

// leave removes a request from the line.
func (w *waitingRoom) leave(t admission.Ticket) {
	w.line.Leave(t)
	delete(w.turns, t)
}

// place is a request's place in the line.
type place struct {
	ticket  admission.Ticket
	target  string
	turns   <-chan turn
	retryIn time.Duration // expected time until there is room
}

// chooseTarget asks the balancer for the target of the next attempt, and stores its grant.
// If targets have no room, the request may wait for some as long as it can still be answered
// within its latency objective. The object makes requests for the same object prefer the
// same target.
func (c *call) chooseTarget(object string) *refusal {
	var p *place
	for {
		next, refused := c.tryTarget(object, p)
		if next == nil {
			c.endWait(p, refused)
			return refused
		}
		p = next
		if refused = c.await(p); refused == nil {
			refused = c.followConfiguration(object)
		}
		if refused != nil {
			c.mu.Lock()
			c.waiting.leave(p.ticket)
			c.mu.Unlock()
			c.endWait(p, refused)
			return refused
		}
	}
}

// await waits until a request may choose a target again. Its place stays its own.
func (c *call) await(p *place) *refusal {
	began := clock.SinceBoot()
	defer func() { c.waited += clock.SinceBoot() - began }()
	timer := time.NewTimer(max(p.retryIn, minWait))
	defer timer.Stop()
	select {
	case what := <-p.turns:
		if what == displaced {
			return &refusal{http.StatusServiceUnavailable, "outranked", retryAfterNoTarget}
		}
	case <-timer.C:
	case <-c.ctx.Done():
		return &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
	}
	return nil
}

// endWait notes how the waiting of a request ended, if it has waited, and passes its turn on
// unless it is sent to the target that it waited for.
func (c *call) endWait(p *place, refused *refusal) {
	if p == nil {
		return
	}
	outcome := "sent"
	switch {
	case refused != nil && c.callerHasLeft():
		outcome = "left"
	case refused != nil && refused.reason == "outranked":
		outcome = "outranked"
	case refused != nil:
		outcome = "too-late"
	}
	c.Metrics.Add(metrics.Label("waits_total", "outcome", outcome), 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome != "left" {
		c.waiting.line.Ended(c.service, c.priority(), refused == nil)
	}
	if refused != nil || c.grant.Target.ID != p.target {
		c.waiting.wake(c.waiting.line.Next(p.target))
	}
}

// tryTarget asks the balancer for a target. It returns a place in the line if the request
// is to wait for room; p is the one that it has, or nil.
func (c *call) tryTarget(object string, p *place) (*place, *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p != nil {
		c.waiting.leave(p.ticket)
	}
	if c.remaining() < minTimeForTarget {
		return nil, &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
	}
	now := clock.SinceBoot()
	r := c.admissionRequest(p != nil)
	line := c.waiting.line
	if !c.counted {
		c.counted = true
		line.Asked(c.service, r, now)
	}
	c.yield = line.Yield(c.service, r, now)
	grant, ok := c.balancer.Choose(affinity.Request{
		Service: c.service, Object: object, ID: c.id, HomeRegions: c.homeRegions, Exclude: c.excluded,
		Route: c.route.Name, Objective: c.route.LatencyObjective, Urgent: c.priority() <= urgentPriority, YieldTo: c.yield.Objective, YieldShare: c.yield.Share,
		TimeOfDay: time.Duration(time.Now().UnixNano()),
	}, now)
	c.grant = grant
	switch {
	case !ok && grant.Reason == affinity.Unavailable:
		return nil, &refusal{http.StatusServiceUnavailable, string(grant.Reason), retryAfterPause(grant.Wait, c.remaining())}
	case !ok && grant.Reason != affinity.Full:
		return nil, &refusal{http.StatusServiceUnavailable, string(grant.Reason), retryAfterNoTarget}
	}
	d := line.Decide(c.service, r, admission.Offer{
		Target: grant.Target.ID, Granted: ok, RoomIn: grant.RoomIn, QueueWait: grant.QueueWait, Interval: grant.Interval,
	}, now)
	c.waiting.wake(d.First)
	switch {
	case d.Send:
		if c.attempts == 0 {
			line.Sent(c.service, r, now)
		}
		return nil, nil
	case ok:
		c.balancer.Done(grant, affinity.Report{Outcome: affinity.Abandoned}, now)
	case d.Ticket == 0:
		return nil, &refusal{http.StatusServiceUnavailable, string(affinity.Full), max(retryAfterNoTarget, grant.RoomIn)}
	}
	return c.waiting.enter(d, grant.Target.ID), nil
}

// admissionRequest returns what the request's place in the line depends on. The caller holds
// the lock.
func (c *call) admissionRequest(hasWaited bool) admission.Request {
	work, known := c.balancer.ExpectedWork(c.route.Name)
	if !known {
		work = c.route.LatencyObjective / 2
	}
	r := admission.Request{Priority: c.priority(), Route: c.route.Name, Work: work, Objective: c.route.LatencyObjective, HasWaited: hasWaited}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	// A retry has its budget already, which is for now and not for later, and the server may
	// not notice that the caller leaves while its body is unread.
	if c.attempts == 0 && c.streamedBody == nil {
		r.Left = c.timeToAnswer()
	}
	return r
}

// timeToAnswer returns the time until the end of the latency objective or of the deadline,
// whichever is earlier; 0 if there is no objective.
func (c *call) timeToAnswer() time.Duration {
	if c.route.LatencyObjective <= 0 {
		return 0
	}
	return min(c.route.LatencyObjective-(clock.SinceBoot()-c.startSinceBoot), c.remaining())
}

// done reports the end of a grant's request to the balancer and lets the next request that
// waits for the target try.
func (c *call) done(report affinity.Report) {
	c.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		b.Done(c.grant, report, now)
		c.waiting.wake(c.waiting.line.Next(c.grant.Target.ID))
	})
}

// urgentPriority is the largest priority value, and so the lowest priority,
// that counts as urgent.
const urgentPriority = 1

// priority returns the priority of the workspace if it has one, else that of
// the route; 0 is the highest.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}
