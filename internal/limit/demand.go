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
	stockHorizon = 100 * time.Millisecond
	// lowStock is the time that the tokens in stock should last at least.
	lowStock = 50 * time.Millisecond
	// reportDelay is how long reports wait for an ask to travel with.
	reportDelay = 5 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after an ask without success.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minRetryAfter is the least delay that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// owner is what this instance believes of an owner of another instance.
type owner struct {
	zone      string
	rank      uint64
	allotment allotment
	holder    string // last instance that answered for the seat, or ""
	level     float64
	at        time.Time     // moment of level
	rtt       time.Duration // least time that an answer took
	failures  int
	notBefore time.Time
}

// estimate returns the tokens that the owner probably has, less those that
// wait for tokens want.
func (o *owner) estimate(now time.Time) float64 {
	return min(o.allotment.burst, o.level+now.Sub(o.at).Seconds()*o.allotment.rate)
}

// queueing returns how long an ask sent now will probably wait for a token.
func (o *owner) queueing(now time.Time) time.Duration {
	missing := 1 - o.estimate(now)
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / o.allotment.rate * float64(time.Second))
	return max(0, wait-o.rtt/2)
}

func (o *owner) learn(level float64, now time.Time) { o.level, o.at = level, now }

// fail makes the next asks rarer, up to a bound.
func (o *owner) fail(now time.Time) {
	o.notBefore = now.Add(min(maxBackoff, minBackoff<<min(o.failures, 10)))
	o.failures++
}

// demand is what this instance needs of a workspace's tokens.
type demand struct {
	arrivals float64 // requests per second
	last     time.Time
	waiting  []waiter
	pending  []pendingAsk
	stock    []granted
	reports  []pendingReport
}

type waiter struct {
	ticket   uint64
	deadline time.Time
}

type pendingAsk struct {
	id     uint64
	owner  *owner
	sent   time.Time
	lost   time.Time // when it counts as lost
	tokens int
	late   bool // counts as lost, but a grant may still come
}

// granted are tokens of another instance's share.
type granted struct {
	from    string
	id      uint64
	tokens  int
	since   time.Time
	expires time.Time
}

type pendingReport struct {
	to     string
	report Report
	due    time.Time
}

func (d *demand) idle() bool {
	return len(d.waiting)+len(d.pending)+len(d.stock)+len(d.reports) == 0
}

// arrived counts a request in the arrival rate.
func (d *demand) arrived(now time.Time) {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		d.arrivals *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		d.last = now
	}
	d.arrivals += 1 / demandWindow.Seconds()
}

func (d *demand) expected(over time.Duration) int { return int(d.arrivals * over.Seconds()) }

func (d *demand) stocked() int {
	sum := 0
	for _, g := range d.stock {
		sum += g.tokens
	}
	return sum
}

func (d *demand) asked() int {
	sum := 0
	for _, p := range d.pending {
		if !p.late {
			sum += p.tokens
		}
	}
	return sum
}

// spendGranted uses a token that another instance granted.
func (l *Limiter) spendGranted(w *workspace, now time.Time) bool {
	l.dropExpired(w, now)
	if len(w.demand.stock) == 0 {
		return false
	}
	g := &w.demand.stock[0]
	g.tokens--
	l.options.Invariants.Check(g.tokens >= 0 && !now.After(g.expires), invariant.RateWithinLimit,
		"workspace %s: grant %d has %d tokens left and expires at %s", w.name, g.id, g.tokens, g.expires)
	if g.tokens == 0 {
		l.report(w, *g, now)
		w.demand.stock = slices.Delete(w.demand.stock, 0, 1)
	}
	return true
}

// dropExpired drops granted tokens that may not be used any more.
func (l *Limiter) dropExpired(w *workspace, now time.Time) {
	w.demand.stock = slices.DeleteFunc(w.demand.stock, func(g granted) bool { return now.After(g.expires) })
}

// returnIdle gives back tokens that nobody is expected to use soon.
func (l *Limiter) returnIdle(w *workspace, now time.Time) {
	needed := w.demand.expected(stockHorizon)
	w.demand.stock = slices.DeleteFunc(w.demand.stock, func(g granted) bool {
		idle := needed == 0 || now.Sub(g.since) >= stockHorizon
		needed -= min(needed, g.tokens)
		if idle {
			l.report(w, g, now)
		}
		return idle
	})
}

// expireAsks counts asks without an answer as lost. The tokens of a late grant
// are welcome for as long as they may be used.
func (l *Limiter) expireAsks(w *workspace, now time.Time) {
	for i := range w.demand.pending {
		if p := &w.demand.pending[i]; !p.late && !now.Before(p.lost) {
			p.late = true
			p.owner.holder = ""
			p.owner.fail(now)
		}
	}
	w.demand.pending = slices.DeleteFunc(w.demand.pending, func(p pendingAsk) bool {
		return now.Sub(p.sent) >= l.options.GrantLifetime
	})
}

func (l *Limiter) report(w *workspace, g granted, now time.Time) {
	r := Report{Workspace: w.name, GrantID: g.id, Returned: g.tokens}
	if g.from == l.options.Instance {
		w.share.settle(r.GrantID, r.Returned, l.options.Invariants)
		return
	}
	l.active[w.name] = w
	w.demand.reports = append(w.demand.reports, pendingReport{
		to: g.from, due: now.Add(reportDelay), report: r,
	})
}

// flushReports sends the reports that found no ask to travel with.
func (l *Limiter) flushReports(w *workspace, now time.Time) {
	for len(w.demand.reports) > 0 && !now.Before(w.demand.reports[0].due) {
		to := w.demand.reports[0].to
		l.send(Outgoing{Instance: to, Message: Message{Reports: w.demand.takeReports(to)}})
	}
}

func (d *demand) takeReports(to string) []Report {
	var out []Report
	d.reports = slices.DeleteFunc(d.reports, func(r pendingReport) bool {
		if r.to == to {
			out = append(out, r.report)
		}
		return r.to == to
	})
	return out
}

// serveWaiting gives tokens to waiting requests, oldest first, and refuses
// those that waited too long.
func (l *Limiter) serveWaiting(w *workspace, now time.Time) {
	d := &w.demand
	for len(d.waiting) > 0 {
		first := d.waiting[0]
		decision := Decision{Allowed: l.spend(w, now)}
		if !decision.Allowed {
			if now.Before(first.deadline) {
				return
			}
			decision.RetryAfter = w.retryAfter()
		}
		d.waiting = d.waiting[1:]
		l.resolved = append(l.resolved, Resolution{Ticket: first.ticket, Decision: decision})
	}
}

// bestOwner returns the owner that will probably give a token first, or nil if
// none will before the deadline.
func (l *Limiter) bestOwner(w *workspace, now, deadline time.Time) *owner {
	var best *owner
	var first time.Time
	for _, o := range w.owners {
		if o.zone == l.options.AvailabilityZone && l.owns(w, now) {
			o.learn(w.share.level(), now)
			if o.level >= 0 && o.failures > 1 {
				o.failures, o.notBefore = 1, now.Add(minBackoff)
			}
		}
		expected := now.Add(o.rtt + o.queueing(now))
		if next := o.notBefore.Add(o.rtt); expected.Before(next) {
			expected = next
		}
		if !expected.After(deadline) && (best == nil || expected.Before(first)) {
			best, first = o, expected
		}
	}
	return best
}

// stockUp asks in advance for the requests that are to be expected.
func (l *Limiter) stockUp(w *workspace, now time.Time) {
	d := &w.demand
	expected := d.expected(stockHorizon)
	if expected == 0 || d.asking() || d.stocked() >= max(1, d.expected(lowStock)) {
		return
	}
	if l.owns(w, now) && w.share.tokens >= float64(expected) {
		return
	}
	if o := l.bestOwner(w, now, now.Add(l.options.MaxWait)); o != nil && o.estimate(now) >= 2 && !now.Before(o.notBefore) {
		l.sendAsk(w, o, 1, now)
	}
}

// asking tells whether an ask is under way.
func (d *demand) asking() bool {
	return slices.ContainsFunc(d.pending, func(p pendingAsk) bool { return !p.late })
}

// ask asks for the requests that wait and have no ask under way.
func (l *Limiter) ask(w *workspace, now time.Time) {
	for {
		d := &w.demand
		missing := len(d.waiting) - d.asked()
		if missing <= 0 {
			return
		}
		o := l.bestOwner(w, now, d.waiting[len(d.waiting)-1].deadline)
		if o == nil {
			l.giveUp(w, missing)
			return
		}
		if now.Before(o.notBefore) {
			return
		}
		l.sendAsk(w, o, max(1, min(missing, int(o.estimate(now)))), now)
	}
}

// giveUp refuses the requests that came last, if nothing may come any more.
func (l *Limiter) giveUp(w *workspace, count int) {
	d := &w.demand
	if len(d.pending) > 0 || slices.ContainsFunc(w.owners, func(o *owner) bool { return o.failures > 0 }) {
		return
	}
	keep := len(d.waiting) - count
	for _, waiting := range d.waiting[keep:] {
		l.resolved = append(l.resolved, Resolution{Ticket: waiting.ticket, Decision: Decision{RetryAfter: w.retryAfter()}})
	}
	d.waiting = d.waiting[:keep]
}

func (l *Limiter) sendAsk(w *workspace, o *owner, tokens int, now time.Time) {
	d := &w.demand
	a := Ask{ID: l.nextID(), Workspace: w.name, Asker: l.options.Instance, Tokens: tokens,
		Extra: d.expected(stockHorizon), Wait: l.options.MaxWait}
	if len(d.waiting) > 0 {
		a.Wait = max(0, d.waiting[len(d.waiting)-1].deadline.Sub(now)-o.rtt)
	}
	lost := now.Add(l.options.AskTimeout + o.queueing(now))
	o.learn(o.estimate(now)-float64(tokens), now)
	d.pending = append(d.pending, pendingAsk{id: a.ID, owner: o, sent: now, lost: lost, tokens: tokens})
	l.active[w.name] = w
	if o.zone == l.options.AvailabilityZone && l.owns(w, now) {
		l.receiveAsk(a, now)
		return
	}
	m := Message{Asks: []Ask{a}}
	if o.holder != "" {
		m.Reports = d.takeReports(o.holder)
		l.send(Outgoing{Instance: o.holder, Message: m})
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
	i := slices.IndexFunc(w.demand.pending, func(p pendingAsk) bool { return p.id == g.AskID })
	if i < 0 {
		return
	}
	p := w.demand.pending[i]
	w.demand.pending = slices.Delete(w.demand.pending, i, i+1)
	p.owner.answered(g, now, now.Sub(p.sent))
	if g.Tokens > 0 {
		p.owner.holder = from
		w.demand.stock = append(w.demand.stock, granted{
			from: from, id: g.ID, tokens: g.Tokens, since: now, expires: p.sent.Add(l.options.GrantLifetime),
		})
	}
	l.serveWaiting(w, now)
	l.ask(w, now)
}

// answered learns from an answer that took the given time.
func (o *owner) answered(g Grant, now time.Time, took time.Duration) {
	o.learn(g.Level, now)
	if o.rtt == 0 || took < o.rtt {
		o.rtt = took
	}
	if g.Tokens <= 0 {
		o.fail(now)
		return
	}
	o.failures, o.notBefore = 0, time.Time{}
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
