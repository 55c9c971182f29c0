package admission

import (
	"cmp"
	"slices"
	"time"
)

// window is a time over which the requests of a priority are counted.
type window int

const (
	recent  window = iota // shareMemory
	lasting               // lastingMemory, for an instance that gets few requests for a service
	windows
)

// memory returns the length of the window.
func (w window) memory() time.Duration {
	if w == recent {
		return shareMemory
	}
	return lastingMemory
}

// claim is what requests of one priority ask of a service.
type claim struct {
	counters  [windows]counter
	askedAt   time.Duration // last request
	priority  int
	objective time.Duration // the shortest of those counted
	// protection, 0 to 1, is how far requests of lower priority give way.
	protection float64
}

// decay ages the counts.
func (e *claim) decay(now time.Duration) {
	for w := range windows {
		e.counters[w].decay(w.memory(), now)
	}
}

// window returns the one to go by: the shortest that holds enough requests.
func (e *claim) window() window {
	if e.counters[recent].asked >= minCounted {
		return recent
	}
	return lasting
}

const (
	// lastingMemory is the time over which requests are counted where shareMemory holds too
	// few. A priority that has not asked for so long is forgotten.
	lastingMemory = 30 * time.Second
	// minRecent is the number of requests for a service from which those of shareMemory tell
	// its priorities.
	minRecent = 2 * minCounted
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
		list = slices.DeleteFunc(list, func(e *claim) bool {
			e.decay(now)
			return e.counters[recent].asked < 1 && now-e.askedAt > lastingMemory
		})
		i, _ = slices.BinarySearchFunc(list, r.Priority, func(e *claim, p int) int { return cmp.Compare(e.priority, p) })
		list = slices.Insert(list, i, &claim{counters: [windows]counter{{at: now}, {at: now}}, priority: r.Priority, objective: r.Objective})
		c[service] = list
	}
	c.protect(service, now)
	e := list[i]
	e.askedAt = now
	for w := range windows {
		e.counters[w].asked++
	}
	if r.Objective > 0 && (e.objective == 0 || r.Objective < e.objective) {
		e.objective = r.Objective
	}
}

// sent counts a request that was sent.
func (c claims) sent(service string, r Request, now time.Duration) {
	for _, e := range c[service] {
		if e.priority == r.Priority {
			for w := range windows {
				e.counters[w].sent++
			}
		}
	}
}

// protect ages the counts of a service, and updates the protection of each priority by what
// its requests have got until now.
func (c claims) protect(service string, now time.Duration) {
	var lower [windows]float64 // largest share of the lower priorities
	for _, e := range slices.Backward(c[service]) {
		w := e.window()
		step := float64(max(now-e.counters[w].at, 0)) / float64(balanceTime) * float64(shareMemory) / float64(w.memory())
		if counted := e.counters[w]; counted.asked >= minCounted && counted.share() < lower[w]-minLag {
			e.protection = min(e.protection+step, 1)
		} else {
			e.protection = max(e.protection-step, 0)
		}
		for w := range windows {
			if counted := e.counters[w]; counted.asked >= minCounted {
				lower[w] = max(lower[w], counted.share())
			}
		}
		e.decay(now)
	}
}

// yield returns how far requests of a priority give way to the higher ones that ask for a
// noticeable part of the service: by their protection, to the shortest of their objectives,
// halved for each of them. Where few requests tell how often a higher one is sent, its
// lower ones wait no longer than it does itself, even while it is not protected.
func (c claims) yield(service string, priority int, now time.Duration) Yield {
	var y Yield
	w, least := c.noticeable(service, now)
	for _, e := range c[service] {
		if e.priority >= priority {
			break
		}
		if !e.asks(w, least, now) || e.objective <= 0 {
			continue
		}
		if y.Objective == 0 || e.objective < y.Objective {
			y.Objective = e.objective
		}
		step, share := yieldStep, e.protection
		if e.window() != recent {
			step, share = 1-(1-yieldStep)*e.protection, 1
		}
		y.Objective = time.Duration(step * float64(y.Objective))
		y.Share = max(y.Share, share)
	}
	return y
}

// compete reports whether requests of different priority ask for a noticeable part of the
// service each.
func (c claims) compete(service string, now time.Duration) bool {
	priorities := 0
	w, least := c.noticeable(service, now)
	for _, e := range c[service] {
		if e.asks(w, least, now) {
			priorities++
		}
	}
	return priorities > 1
}

// noticeable returns from how many requests, counted in which window, a priority asks for
// a noticeable part of a service.
func (c claims) noticeable(service string, now time.Duration) (window, float64) {
	c.protect(service, now)
	var all [windows]float64
	for _, e := range c[service] {
		for w := range windows {
			all[w] += e.counters[w].asked
		}
	}
	w := recent
	if all[recent] < minRecent {
		w = lasting
	}
	return w, max(minClaim*all[w], minClaimed)
}

// asks reports whether the priority has asked at least so often, and lately.
func (e *claim) asks(w window, least float64, now time.Duration) bool {
	return e.counters[w].asked >= least && now-e.askedAt <= lastingMemory
}
