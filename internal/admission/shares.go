package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareMemory is the time over which requests are counted.
	shareMemory = 4 * time.Second
	// minFairShare is the fraction of the common share of requests sent, below which a route
	// or a workspace goes before all others.
	minFairShare = 0.25
	// minCounted is the number of requests from which a share is taken for known.
	minCounted = 8
	// maxCounters bounds the counters, whose number callers influence by the routes and
	// workspaces that they use.
	maxCounters = 4096
	// highest is the priority of requests whose share is too small.
	highest = math.MinInt
)

// claim is what requests of one priority ask of a service.
type claim struct {
	counter
	priority  int
	objective time.Duration // the shortest of those counted
	// protection, 0 to 1, is how far requests of lower priority give way.
	protection float64
}

const (
	// minClaim is the part of a service's requests that those of a priority make up at least
	// for lower ones to yield to them.
	minClaim = 0.05
	// minClaimed is the number of requests, of which those of the past count less, that a
	// priority has at least for lower ones to yield to it.
	minClaimed = 0.5
	// yieldStep is the factor by which requests of each lower priority leave more room than
	// those of the next higher one.
	yieldStep = 0.5
	// protectedShare is the share of requests sent below which those of lower priority give
	// way further.
	protectedShare = 0.98
	// protectTime is the time in which protection rises from none to full, and exposeTime that
	// in which it falls: a queue that has filled meanwhile takes time to drain.
	protectTime = 500 * time.Millisecond
	exposeTime  = 10 * time.Second
)

// Yield is how far a request gives way to those of higher priority at the same service.
type Yield struct {
	// Objective is the latency objective for which it leaves room in the targets' queues; 0 if
	// there is nothing to give way to.
	Objective time.Duration
	// Share, 0 to 1, is by how much its own limit approaches the one that leaves that room.
	Share float64
}

// claims tells which priorities compete for a service; the highest priority comes first.
type claims map[string][]*claim

// asked counts a request.
func (c claims) asked(service string, r Request, now time.Duration) {
	list := c[service]
	i, known := slices.BinarySearchFunc(list, r.Priority, func(e *claim, p int) int { return cmp.Compare(e.priority, p) })
	if !known {
		list = slices.DeleteFunc(list, func(e *claim) bool { e.decay(now); return e.counter.asked < 1 })
		i, _ = slices.BinarySearchFunc(list, r.Priority, func(e *claim, p int) int { return cmp.Compare(e.priority, p) })
		list = slices.Insert(list, i, &claim{counter: counter{at: now}, priority: r.Priority, objective: r.Objective, protection: 1})
		c[service] = list
	}
	list[i].protect(now)
	list[i].counter.asked++
	if r.Objective > 0 && (list[i].objective == 0 || r.Objective < list[i].objective) {
		list[i].objective = r.Objective
	}
}

// sent counts a request that was sent.
func (c claims) sent(service string, r Request, now time.Duration) {
	for _, e := range c[service] {
		if e.priority == r.Priority {
			e.protect(now)
			e.counter.sent++
		}
	}
}

// protect updates the protection by what the requests have got until now.
func (e *claim) protect(now time.Duration) {
	elapsed := float64(max(now-e.at, 0))
	step := elapsed / float64(protectTime)
	if e.counter.asked >= minCounted && e.share() >= protectedShare {
		step = -elapsed / float64(exposeTime)
	}
	e.protection = min(max(e.protection+step, 0), 1)
	e.decay(now)
}

// yield returns how far requests of a priority give way: to the shortest objective of
// the higher priorities, halved for each of them, if these ask for a noticeable part of the
// service.
func (c claims) yield(service string, priority int, now time.Duration) Yield {
	all := 0.0
	for _, e := range c[service] {
		e.protect(now)
		all += e.counter.asked
	}
	var y Yield
	for _, e := range c[service] {
		if e.priority >= priority {
			break
		}
		if e.counter.asked < max(minClaim*all, minClaimed) || e.objective <= 0 {
			continue
		}
		if y.Objective == 0 || e.objective < y.Objective {
			y.Objective = e.objective
		}
		y.Objective = time.Duration(yieldStep * float64(y.Objective))
		y.Share = max(y.Share, e.protection)
	}
	return y
}

// compete reports whether requests of different priority ask for a noticeable part of the
// service each.
func (c claims) compete(service string, now time.Duration) bool {
	all, priorities := 0.0, 0
	for _, e := range c[service] {
		e.protect(now)
		all += e.counter.asked
	}
	for _, e := range c[service] {
		if e.counter.asked >= max(minClaim*all, minClaimed) {
			priorities++
		}
	}
	return priorities > 1
}

// counter counts requests, those of the past less the older they are.
type counter struct {
	asked, sent float64
	at          time.Duration
}

// decay ages the counts.
func (c *counter) decay(now time.Duration) {
	if now > c.at {
		f := math.Exp(-float64(now-c.at) / float64(shareMemory))
		c.asked, c.sent, c.at = c.asked*f, c.sent*f, now
	}
}

// share returns the fraction of the requests that were sent.
func (c *counter) share() float64 { return c.sent / max(c.asked, 1) }

// counterKey names what is counted: a service, and a route or workspace of it.
type counterKey struct{ service, route, workspace string }

// shares tells which routes and workspaces get far less than their share of a service.
type shares struct {
	counters    map[counterKey]*counter
	forgottenAt time.Duration // when negligible counters were last removed
}

func newShares() *shares { return &shares{counters: map[counterKey]*counter{}} }

// keys returns the counters that a request counts for; the first is the service's.
func keys(service string, r Request) []counterKey {
	k := []counterKey{{service: service}, {service: service, route: r.Route}}
	if r.Workspace != "" {
		k = append(k, counterKey{service: service, workspace: r.Workspace})
	}
	return k
}

// counter returns an aged counter, or nil if there is no room for another one.
func (s *shares) counter(key counterKey, now time.Duration) *counter {
	c := s.counters[key]
	if c == nil {
		if len(s.counters) >= maxCounters && now-s.forgottenAt >= time.Second {
			s.forget(now)
			s.forgottenAt = now
		}
		if len(s.counters) >= maxCounters {
			return nil
		}
		c = &counter{at: now}
		s.counters[key] = c
	}
	c.decay(now)
	return c
}

// forget removes the counters that have become negligible.
func (s *shares) forget(now time.Duration) {
	for key, c := range s.counters {
		if c.decay(now); c.asked < 1 {
			delete(s.counters, key)
		}
	}
}

func (s *shares) asked(service string, r Request, now time.Duration) {
	for _, key := range keys(service, r) {
		if c := s.counter(key, now); c != nil {
			c.asked++
		}
	}
}

func (s *shares) sent(service string, r Request, now time.Duration) {
	for _, key := range keys(service, r) {
		if c := s.counter(key, now); c != nil {
			c.sent++
		}
	}
}

// starving reports whether the request's route or workspace gets less than minFairShare of
// the common share of the service.
func (s *shares) starving(service string, r Request, now time.Duration) bool {
	k := keys(service, r)
	all := s.counter(k[0], now)
	if all == nil {
		return false
	}
	for _, key := range k[1:] {
		if c := s.counter(key, now); c != nil && c.asked >= minCounted && c.share() < minFairShare*all.share() {
			return true
		}
	}
	return false
}

// promoted returns the request, with the highest priority if it is starving.
func (s *shares) promoted(service string, r Request, now time.Duration) Request {
	if s.starving(service, r, now) {
		r.Priority = highest
	}
	return r
}
