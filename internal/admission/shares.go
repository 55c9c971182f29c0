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
	// balanceTime is the time in which the protection of a priority rises from none to full
	// while it is sent less often than a lower one, or falls back. Protecting it further would
	// cost more requests than it saves, as the room that stays free is partly lost for all.
	balanceTime = time.Second
	// minLag is by how much less often, as a share of requests, that is.
	minLag = 0.02
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
		list = slices.Insert(list, i, &claim{counter: counter{at: now}, priority: r.Priority, objective: r.Objective})
		c[service] = list
	}
	c.protect(service, now)
	list[i].counter.asked++
	if r.Objective > 0 && (list[i].objective == 0 || r.Objective < list[i].objective) {
		list[i].objective = r.Objective
	}
}

// sent counts a request that was sent.
func (c claims) sent(service string, r Request, now time.Duration) {
	for _, e := range c[service] {
		if e.priority == r.Priority {
			e.counter.sent++
		}
	}
}

// protect ages the counts of a service, and updates the protection of each priority by what
// its requests have got until now. It returns the number of all requests.
func (c claims) protect(service string, now time.Duration) float64 {
	all := 0.0
	for _, e := range c[service] {
		all += e.counter.asked
	}
	lower := 0.0 // largest share of the lower priorities
	for _, e := range slices.Backward(c[service]) {
		step := float64(max(now-e.at, 0)) / float64(balanceTime)
		if e.counter.asked >= minCounted && e.share() < lower-minLag {
			e.protection = min(e.protection+step, 1)
		} else {
			e.protection = max(e.protection-step, 0)
		}
		if e.counter.asked >= minCounted {
			lower = max(lower, e.share())
		}
		e.decay(now)
	}
	return all
}

// yield returns how far requests of a priority give way: to the shortest objective of
// the higher priorities, halved for each of them, if these ask for a noticeable part of the
// service.
func (c claims) yield(service string, priority int, now time.Duration) Yield {
	all := c.protect(service, now)
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
	all, priorities := c.protect(service, now), 0
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
