package limit

import (
	"math"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
)

const (
	// demandWindow is the time over which the arrival rate is averaged.
	demandWindow = time.Second
	// stockHorizon is the time whose expected requests one ask covers.
	prefetchWindow = 100 * time.Millisecond
	// lowStock is the time that the tokens in stock should last at least.
	prefetchThreshold = 50 * time.Millisecond
	// reportDelay is how long reports wait for an ask to travel with.
	maxReportDelay = 5 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after an ask without success.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minRetryAfter is the least delay that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// owner is what this instance believes of an owner of another instance.
type owner struct {
	zone        string
	hashRank    uint64
	allotment   allotment
	instance    string // last instance that answered for the seat, or ""
	available   float64
	availableAt time.Time     // moment of level
	minRTT      time.Duration // least time that an answer took
	failures    int
	nextAsk     time.Time
}

// estimate returns the tokens that the owner probably has, less those that
// wait for tokens want.
func (o *owner) estimateAvailable(now time.Time) float64 {
	return min(o.allotment.burst, o.available+now.Sub(o.availableAt).Seconds()*o.allotment.rate)
}

// queueing returns how long an ask sent now will probably wait for a token.
func (o *owner) expectedWait(now time.Time) time.Duration {
	missing := 1 - o.estimateAvailable(now)
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / o.allotment.rate * float64(time.Second))
	return max(0, wait-o.minRTT/2)
}

func (o *owner) setAvailable(available float64, now time.Time) {
	o.available, o.availableAt = available, now
}

// fail makes the next asks rarer, up to a bound.
func (o *owner) backOff(now time.Time) {
	o.nextAsk = now.Add(min(maxBackoff, minBackoff<<min(o.failures, 10)))
	o.failures++
}

// demand is what this instance needs of a workspace's tokens.
type demand struct {
	arrivalRate    float64 // requests per second
	arrivalRateAt  time.Time
	waiting        []waitingRequest
	pendingAsks    []pendingAsk
	heldGrants     []heldGrant
	pendingReports []pendingReport
}

type waitingRequest struct {
	ticket   uint64
	deadline time.Time
}

type pendingAsk struct {
	id        uint64
	owner     *owner
	sent      time.Time
	timeoutAt time.Time // when it counts as lost
	tokens    int
	timedOut  bool // counts as lost, but a grant may still come
}

// granted are tokens of another instance's share.
type heldGrant struct {
	from     string
	id       uint64
	tokens   int
	received time.Time
	expires  time.Time
}

type pendingReport struct {
	to     string
	report Report
	sendBy time.Time
}

func (d *demand) idle() bool {
	return len(d.waiting)+len(d.pendingAsks)+len(d.heldGrants)+len(d.pendingReports) == 0
}

// arrived counts a request in the arrival rate.
func (d *demand) recordArrival(now time.Time) {
	if elapsed := now.Sub(d.arrivalRateAt); elapsed > 0 {
		d.arrivalRate *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		d.arrivalRateAt = now
	}
	d.arrivalRate += 1 / demandWindow.Seconds()
}

func (d *demand) expectedRequests(window time.Duration) int {
	return int(d.arrivalRate * window.Seconds())
}

func (d *demand) heldTokens() int {
	sum := 0
	for _, g := range d.heldGrants {
		sum += g.tokens
	}
	return sum
}

func (d *demand) askedTokens() int {
	sum := 0
	for _, p := range d.pendingAsks {
		if !p.timedOut {
			sum += p.tokens
		}
	}
	return sum
}

// spendGranted uses a token that another instance granted.
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
		l.returnGrant(w, *g, now)
		w.demand.heldGrants = slices.Delete(w.demand.heldGrants, 0, 1)
	}
	return true
}

// dropExpired drops granted tokens that may not be used any more.
func (l *Limiter) dropExpiredGrants(w *workspace, now time.Time) {
	w.demand.heldGrants = slices.DeleteFunc(w.demand.heldGrants, func(g heldGrant) bool { return now.After(g.expires) })
}

// returnIdle gives back tokens that nobody is expected to use soon.
func (l *Limiter) returnIdleGrants(w *workspace, now time.Time) {
	needed := w.demand.expectedRequests(prefetchWindow)
	w.demand.heldGrants = slices.DeleteFunc(w.demand.heldGrants, func(g heldGrant) bool {
		idle := needed == 0 || now.Sub(g.received) >= prefetchWindow
		needed -= min(needed, g.tokens)
		if idle {
			l.returnGrant(w, g, now)
		}
		return idle
	})
}

// expireAsks counts asks without an answer as lost. The tokens of a late grant
// are welcome for as long as they may be used.
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

func (l *Limiter) returnGrant(w *workspace, g heldGrant, now time.Time) {
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

// flushReports sends the reports that found no ask to travel with.
func (l *Limiter) sendDueReports(w *workspace, now time.Time) {
	for len(w.demand.pendingReports) > 0 && !now.Before(w.demand.pendingReports[0].sendBy) {
		to := w.demand.pendingReports[0].to
		l.send(Outgoing{Instance: to, Message: Message{Reports: w.demand.takeReports(to)}})
	}
}

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

// serveWaiting gives tokens to waiting requests, oldest first, and refuses
// those that waited too long.
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

// bestOwner returns the owner that will probably give a token first, or nil if
// none will before the deadline.
func (l *Limiter) fastestOwner(w *workspace, now, deadline time.Time) *owner {
	var best *owner
	var bestTokenAt time.Time
	for _, o := range w.owners {
		if o.zone == l.options.AvailabilityZone && l.ownsShare(w, now) {
			o.setAvailable(w.share.uncommitted(), now)
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

// stockUp asks in advance for the requests that are to be expected.
func (l *Limiter) prefetch(w *workspace, now time.Time) {
	d := &w.demand
	expected := d.expectedRequests(prefetchWindow)
	if expected == 0 || d.hasOpenAsk() || d.heldTokens() >= max(1, d.expectedRequests(prefetchThreshold)) {
		return
	}
	if l.ownsShare(w, now) && w.share.tokens >= float64(expected) {
		return
	}
	if o := l.fastestOwner(w, now, now.Add(l.options.MaxWait)); o != nil && o.estimateAvailable(now) >= 2 && !now.Before(o.nextAsk) {
		l.sendAsk(w, o, 1, now)
	}
}

// asking tells whether an ask is under way.
func (d *demand) hasOpenAsk() bool {
	return slices.ContainsFunc(d.pendingAsks, func(p pendingAsk) bool { return !p.timedOut })
}

// ask asks for the requests that wait and have no ask under way.
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

// giveUp refuses the requests that came last, if nothing may come any more.
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

// receiveGrant takes tokens into stock if their ask is still under way.
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

// answered learns from an answer that took the given time.
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

// retryAfter is when a refused caller may try again.
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
