package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
)

const (
	// demandWindow is the time over which the arrival rate is averaged.
	demandWindow = time.Second
	// prefetchWindow is how far ahead an ask looks: it also asks for tokens for the
	// requests that are expected within this time. Granted tokens that stay unused
	// for prefetchWindow go back to their owner.
	prefetchWindow = 100 * time.Millisecond
	// prefetchThreshold is the time that granted tokens should last: if they don't
	// cover the requests expected within it, more are asked for.
	prefetchThreshold = 50 * time.Millisecond
	// maxReportDelay is how long a report waits for an ask to the same owner, to
	// be sent in one message with it.
	maxReportDelay = 5 * time.Millisecond
	// minBackoff and maxBackoff bound the pause before an owner is asked again
	// after a refusal or a timeout. The pause doubles with each failure in a row.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minRetryAfter is the shortest delay that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// owner is what this instance knows about the owner of one part of a workspace's
// limit: the instance that keeps the token bucket for that part and grants tokens from
// it. The owner may be this instance itself.
type owner struct {
	zone        string
	hashRank    uint64 // hash by which the owners of other zones are sorted, lowest first
	allotment   allotment
	instance    string  // instance that sent the last grant, or "" if it is not known
	available   float64 // tokens at availableAt, less those that queued asks want
	availableAt time.Time
	minRTT      time.Duration // shortest time from an ask to its answer; 0 before the first
	failures    int           // refusals and timeouts in a row
	nextAsk     time.Time     // no ask is sent before this
}

// estimateAvailable returns the number of tokens that the owner probably has
// now, less those that queued asks want. It may be negative.
func (o *owner) estimateAvailable(now time.Time) float64 {
	return min(o.allotment.burst, o.available+now.Sub(o.availableAt).Seconds()*o.allotment.rate)
}

// expectedWait returns how long an ask sent now will probably wait at the owner
// for a token, once it has arrived there.
func (o *owner) expectedWait(now time.Time) time.Duration {
	missing := 1 - o.estimateAvailable(now)
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / o.allotment.rate * float64(time.Second))
	return max(0, wait-o.minRTT/2)
}

// setAvailable sets the estimate of the tokens that the owner (see the type) has left
// at the time now.
func (o *owner) setAvailable(available float64, now time.Time) {
	o.available, o.availableAt = available, now
}

// backOff counts a refusal or timeout and doubles the pause until the next ask,
// from minBackoff up to maxBackoff.
func (o *owner) backOff(now time.Time) {
	o.nextAsk = now.Add(min(maxBackoff, minBackoff<<min(o.failures, 10)))
	o.failures++
}

// demand tracks this instance's requests for a workspace's tokens and what it
// does to get them from owners.
type demand struct {
	arrivalRate    float64 // average requests per second at arrivalRateAt
	arrivalRateAt  time.Time
	waiting        []waitingRequest // oldest first
	pendingAsks    []pendingAsk
	heldGrants     []heldGrant     // oldest first
	pendingReports []pendingReport // oldest first
}

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	ticket   uint64
	deadline time.Time // refused after this
}

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	id        uint64
	owner     *owner
	sent      time.Time
	timeoutAt time.Time // from this time on, the ask counts as lost
	tokens    int       // number of tokens asked for, without Ask.Extra
	timedOut  bool      // the ask counts as lost, but a grant may still come
}

// heldGrant is a grant of which this instance still has tokens.
type heldGrant struct {
	from     string // instance that granted the tokens
	id       uint64
	tokens   int // number of tokens left
	received time.Time
	expires  time.Time // last moment at which a token may be used
}

// pendingReport is a report that is to be sent by the time sendBy, alone or with an
// ask to the same instance.
type pendingReport struct {
	to     string // instance
	report Report
	sendBy time.Time
}

// idle tells whether there is nothing that a tick has to look after.
func (d *demand) idle() bool {
	return len(d.waiting)+len(d.pendingAsks)+len(d.heldGrants)+len(d.pendingReports) == 0
}

// recordArrival counts a request in the arrival rate, an exponentially weighted
// average over demandWindow.
func (d *demand) recordArrival(now time.Time) {
	if elapsed := now.Sub(d.arrivalRateAt); elapsed > 0 {
		d.arrivalRate *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		d.arrivalRateAt = now
	}
	d.arrivalRate += 1 / demandWindow.Seconds()
}

// expectedRequests returns how many requests will probably arrive in a window.
func (d *demand) expectedRequests(window time.Duration) int {
	return int(d.arrivalRate * window.Seconds())
}

// heldTokens returns the number of granted tokens at hand.
func (d *demand) heldTokens() int {
	sum := 0
	for _, g := range d.heldGrants {
		sum += g.tokens
	}
	return sum
}

// askedTokens returns the number of tokens wanted by asks that may still be
// answered in time.
func (d *demand) askedTokens() int {
	sum := 0
	for _, p := range d.pendingAsks {
		if !p.timedOut {
			sum += p.tokens
		}
	}
	return sum
}

// takeHeldToken uses a token of the oldest held grant, if there is any. The
// owner is told when the grant has no tokens left.
func (l *Limiter) takeHeldToken(w *workspace, now time.Time) bool {
	l.dropExpiredGrants(w, now)
	if len(w.demand.heldGrants) == 0 {
		return false
	}
	g := &w.demand.heldGrants[0]
	g.tokens--
	l.options.Invariants.Check(g.tokens >= 0 && !now.After(g.expires), invariant.RateWithinLimit,
		"workspace %s: grant %d has %d tokens left and expires at %s", w.name, g.id, g.tokens, g.expires)
	if g.tokens == 0 {
		l.report(w, *g, now)
		w.demand.heldGrants = slices.Delete(w.demand.heldGrants, 0, 1)
	}
	return true
}

// dropExpiredGrants drops held grants that may not be used any more.
func (l *Limiter) dropExpiredGrants(w *workspace, now time.Time) {
	w.demand.heldGrants = slices.DeleteFunc(w.demand.heldGrants, func(g heldGrant) bool { return now.After(g.expires) })
}

// returnIdleGrants gives back grants that nobody is expected to use soon: those
// beyond the expected requests, and those held for prefetchWindow.
func (l *Limiter) returnIdleGrants(w *workspace, now time.Time) {
	needed := w.demand.expectedRequests(prefetchWindow)
	w.demand.heldGrants = slices.DeleteFunc(w.demand.heldGrants, func(g heldGrant) bool {
		idle := needed == 0 || now.Sub(g.received) >= prefetchWindow
		needed -= min(needed, g.tokens)
		if idle {
			l.report(w, g, now)
		}
		return idle
	})
}

// timeOutAsks counts asks whose answer is overdue as lost. They are remembered
// until GrantLifetime ends, because the tokens of a late grant may be used until
// then.
func (l *Limiter) timeOutAsks(w *workspace, now time.Time) {
	for i := range w.demand.pendingAsks {
		if p := &w.demand.pendingAsks[i]; !p.timedOut && !now.Before(p.timeoutAt) {
			p.timedOut = true
			p.owner.instance = ""
			p.owner.backOff(now)
		}
	}
	w.demand.pendingAsks = slices.DeleteFunc(w.demand.pendingAsks, func(p pendingAsk) bool {
		return now.Sub(p.sent) >= l.options.GrantLifetime
	})
}

// report tells the owner that a grant's tokens will not be used any more. The
// report is sent by the end of maxReportDelay, or with the next ask.
func (l *Limiter) report(w *workspace, g heldGrant, now time.Time) {
	r := Report{Workspace: w.name, GrantID: g.id, Returned: g.tokens}
	if g.from == l.options.Instance {
		w.share.closeGrant(r.GrantID, r.Returned, l.options.Invariants)
		return
	}
	l.needTick[w.name] = w
	w.demand.pendingReports = append(w.demand.pendingReports, pendingReport{
		to: g.from, sendBy: now.Add(maxReportDelay), report: r,
	})
}

// sendDueReports sends the reports that could not be sent with an ask in time.
func (l *Limiter) sendDueReports(w *workspace, now time.Time) {
	for len(w.demand.pendingReports) > 0 && !now.Before(w.demand.pendingReports[0].sendBy) {
		to := w.demand.pendingReports[0].to
		l.send(Outgoing{Instance: to, Message: Message{Reports: w.demand.takeReports(to)}})
	}
}

// takeReports removes and returns the pending reports to an instance.
func (d *demand) takeReports(to string) []Report {
	var out []Report
	d.pendingReports = slices.DeleteFunc(d.pendingReports, func(r pendingReport) bool {
		if r.to == to {
			out = append(out, r.report)
		}
		return r.to == to
	})
	return out
}

// decideWaiting gives tokens to waiting requests, oldest first, and refuses those
// whose deadline has passed.
func (l *Limiter) decideWaiting(w *workspace, now time.Time) {
	d := &w.demand
	for len(d.waiting) > 0 {
		first := d.waiting[0]
		decision := Decision{Allowed: l.takeToken(w, now)}
		if !decision.Allowed {
			if now.Before(first.deadline) {
				return
			}
			decision.RetryAfter = w.retryAfter()
		}
		d.waiting = d.waiting[1:]
		l.resolutions = append(l.resolutions, Resolution{Ticket: first.ticket, Decision: decision})
	}
}

// fastestOwner returns the owner from which a token will probably come first, or
// nil if none will come before the deadline.
func (l *Limiter) fastestOwner(w *workspace, now, deadline time.Time) *owner {
	var best *owner
	var bestTokenAt time.Time
	for _, o := range w.owners {
		if o.zone == l.options.AvailabilityZone && l.ownsShare(w, now) {
			// This instance's own tokens are known, so that no long pause is needed.
			o.setAvailable(w.share.available(), now)
			if o.available >= 0 && o.failures > 1 {
				o.failures, o.nextAsk = 1, now.Add(minBackoff)
			}
		}
		tokenAt := now.Add(o.minRTT + o.expectedWait(now))
		if earliest := o.nextAsk.Add(o.minRTT); tokenAt.Before(earliest) {
			tokenAt = earliest
		}
		if !tokenAt.After(deadline) && (best == nil || tokenAt.Before(bestTokenAt)) {
			best, bestTokenAt = o, tokenAt
		}
	}
	return best
}

// prefetch asks for tokens for expected requests before they arrive. It does so
// if the tokens at hand are few, no ask is pending, and an owner probably has
// some to spare.
func (l *Limiter) prefetch(w *workspace, now time.Time) {
	d := &w.demand
	expectedRequests := d.expectedRequests(prefetchWindow)
	if expectedRequests == 0 || d.hasOpenAsk() || d.heldTokens() >= max(1, d.expectedRequests(prefetchThreshold)) {
		return
	}
	if l.ownsShare(w, now) && w.share.tokens >= float64(expectedRequests) {
		return
	}
	if o := l.fastestOwner(w, now, now.Add(l.options.MaxWait)); o != nil && o.estimateAvailable(now) >= 2 && !now.Before(o.nextAsk) {
		l.sendAsk(w, o, 1, now)
	}
}

// hasOpenAsk tells whether an ask may still be answered in time.
func (d *demand) hasOpenAsk() bool {
	return slices.ContainsFunc(d.pendingAsks, func(p pendingAsk) bool { return !p.timedOut })
}

// askForWaiting asks owners for tokens for the waiting requests that no pending
// ask covers.
func (l *Limiter) askForWaiting(w *workspace, now time.Time) {
	for {
		d := &w.demand
		uncovered := len(d.waiting) - d.askedTokens()
		if uncovered <= 0 {
			return
		}
		o := l.fastestOwner(w, now, d.waiting[len(d.waiting)-1].deadline)
		if o == nil {
			l.refuseUnservable(w, uncovered)
			return
		}
		if now.Before(o.nextAsk) {
			return
		}
		l.sendAsk(w, o, max(1, min(uncovered, int(o.estimateAvailable(now)))), now)
	}
}

// refuseUnservable refuses the given number of waiting requests, the latest ones,
// for which no owner has a token in time. They keep waiting while an ask is
// pending or an owner has failed to answer, because a token may still come.
func (l *Limiter) refuseUnservable(w *workspace, count int) {
	d := &w.demand
	if len(d.pendingAsks) > 0 || slices.ContainsFunc(w.owners, func(o *owner) bool { return o.failures > 0 }) {
		return
	}
	keep := len(d.waiting) - count
	for _, waiting := range d.waiting[keep:] {
		l.resolutions = append(l.resolutions, Resolution{Ticket: waiting.ticket, Decision: Decision{RetryAfter: w.retryAfter()}})
	}
	d.waiting = d.waiting[:keep]
}

// sendAsk asks an owner for a number of tokens, and for extra tokens for the requests
// expected within prefetchWindow. The ask goes to the instance that sent the owner's
// last grant, or to any instance of the owner's zone if that instance is not known.
func (l *Limiter) sendAsk(w *workspace, o *owner, tokens int, now time.Time) {
	d := &w.demand
	a := Ask{ID: l.nextID(), Workspace: w.name, Asker: l.options.Instance, Tokens: tokens,
		Extra: d.expectedRequests(prefetchWindow), Wait: l.options.MaxWait}
	if len(d.waiting) > 0 {
		a.Wait = max(0, d.waiting[len(d.waiting)-1].deadline.Sub(now)-o.minRTT)
	}
	timeoutAt := now.Add(l.options.AskTimeout + o.expectedWait(now))
	o.setAvailable(o.estimateAvailable(now)-float64(tokens), now)
	d.pendingAsks = append(d.pendingAsks, pendingAsk{id: a.ID, owner: o, sent: now, timeoutAt: timeoutAt, tokens: tokens})
	l.needTick[w.name] = w
	if o.zone == l.options.AvailabilityZone && l.ownsShare(w, now) {
		l.receiveAsk(a, now)
		return
	}
	m := Message{Asks: []Ask{a}}
	if o.instance != "" {
		m.Reports = d.takeReports(o.instance)
		l.send(Outgoing{Instance: o.instance, Message: m})
		return
	}
	l.send(Outgoing{AvailabilityZone: o.zone, Message: m})
}

// receiveGrant adds a grant's tokens to those at hand if its ask is still
// pending. The tokens of other grants are left to expire.
func (l *Limiter) receiveGrant(from string, g Grant, now time.Time) {
	w := l.workspaces[g.Workspace]
	if w == nil {
		return
	}
	i := slices.IndexFunc(w.demand.pendingAsks, func(p pendingAsk) bool { return p.id == g.AskID })
	if i < 0 {
		return
	}
	p := w.demand.pendingAsks[i]
	w.demand.pendingAsks = slices.Delete(w.demand.pendingAsks, i, i+1)
	p.owner.recordAnswer(g, now, now.Sub(p.sent))
	if g.Tokens > 0 {
		p.owner.instance = from
		w.demand.heldGrants = append(w.demand.heldGrants, heldGrant{
			from: from, id: g.ID, tokens: g.Tokens, received: now, expires: p.sent.Add(l.options.GrantLifetime),
		})
	}
	l.decideWaiting(w, now)
	l.askForWaiting(w, now)
}

// recordAnswer updates what is known about the owner from its answer, which came
// rtt after the ask.
func (o *owner) recordAnswer(g Grant, now time.Time, rtt time.Duration) {
	o.setAvailable(g.Level, now)
	if o.minRTT == 0 || rtt < o.minRTT {
		o.minRTT = rtt
	}
	if g.Tokens <= 0 {
		o.backOff(now)
		return
	}
	o.failures, o.nextAsk = 0, time.Time{}
}

// retryAfter returns how long a refused caller should wait: the time in which
// the whole limit accrues one token, but no less than minRetryAfter.
func (w *workspace) retryAfter() time.Duration {
	rate := 0.0
	for _, o := range w.owners {
		rate += o.allotment.rate
	}
	if rate <= 0 {
		return time.Second
	}
	return max(minRetryAfter, time.Duration(float64(time.Second)/rate))
}
