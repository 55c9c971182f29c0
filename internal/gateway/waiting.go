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
	// minWait is the least time between two choices of a target for one waiting request.
	minWait = 5 * time.Millisecond
	// hopelessWork is the fraction of a route's usual work from which a request with less
	// time left cannot be answered. It is well below 1, since a target that has the object
	// cached needs a fraction of the usual work.
	hopelessWork = 0.25
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
// If targets have no room, the request waits for some as long as it can still be answered
// within its latency objective. The object makes requests for the same object prefer the
// same target.
func (c *call) chooseTarget(object string) *refusal {
	for {
		p, refused := c.tryTarget(object)
		if p == nil {
			return refused
		}
		if refused := c.await(p); refused != nil {
			return refused
		}
		if refused := c.followConfiguration(object); refused != nil {
			return refused
		}
	}
}

// await waits until a request may choose a target again.
func (c *call) await(p *place) *refusal {
	began := clock.SinceBoot()
	timer := time.NewTimer(max(p.retryIn, minWait))
	defer timer.Stop()
	what := mayTry
	select {
	case what = <-p.turns:
	case <-timer.C:
	case <-c.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting.leave(p.ticket)
	c.waited += clock.SinceBoot() - began
	switch {
	case what == displaced:
		c.endWait("outranked")
		return &refusal{http.StatusServiceUnavailable, "outranked", retryAfterNoTarget}
	case c.ctx.Err() != nil:
		c.waiting.wake(c.waiting.line.Next(p.target)) // the turn may have been this request's
		return &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
	}
	return nil
}

// tryTarget asks the balancer for a target. It returns a place in the line if the request
// is to wait for room.
func (c *call) tryTarget(object string) (*place, *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.SinceBoot()
	work, known := c.balancer.ExpectedWork(c.route.Name)
	if c.remaining() < max(minTimeForTarget, time.Duration(hopelessWork*float64(work))) {
		return nil, &refusal{http.StatusServiceUnavailable, "deadline", retryAfterNoTarget}
	}
	if !known {
		work = c.route.LatencyObjective / 2
	}
	r := admission.Request{Priority: c.priority(), Route: c.route.Name, Work: work, Objective: c.route.LatencyObjective, Left: c.timeToAnswer()}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	line := c.waiting.line
	if !c.counted {
		c.counted = true
		line.Asked(c.service, r, now)
	}
	yield := line.Yield(c.service, r, now)
	grant, ok := c.balancer.Choose(affinity.Request{
		Service: c.service, Object: object, ID: c.id, HomeRegions: c.homeRegions, Exclude: c.excluded,
		Route: c.route.Name, Objective: c.route.LatencyObjective, Urgent: c.priority() <= urgentPriority, YieldTo: yield.Objective, YieldShare: yield.Share,
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
	if d.Send {
		if c.attempts == 0 {
			line.Sent(c.service, r, now)
		}
		c.endWait("sent")
		return nil, nil
	}
	if ok {
		c.balancer.Done(grant, affinity.Report{Outcome: affinity.Abandoned}, now)
		c.waiting.wake(d.First)
	}
	if d.Ticket == 0 {
		c.endWait("too-late")
		return nil, &refusal{http.StatusServiceUnavailable, string(affinity.Full), max(retryAfterNoTarget, grant.RoomIn)}
	}
	return c.waiting.enter(d, grant.Target.ID), nil
}

// timeToAnswer returns the time until the end of the latency objective or of the deadline,
// whichever is earlier; 0 if there is no objective.
func (c *call) timeToAnswer() time.Duration {
	if c.route.LatencyObjective <= 0 {
		return 0
	}
	return min(c.route.LatencyObjective-(clock.SinceBoot()-c.startSinceBoot), c.remaining())
}

// endWait notes how the waiting of a request ended, if it has waited. The caller holds the
// lock.
func (c *call) endWait(outcome string) {
	if c.waited > 0 {
		c.waiting.line.Ended(c.service, c.priority(), outcome == "sent")
		c.Metrics.Add(metrics.Label("waits_total", "outcome", outcome), 1)
	}
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
