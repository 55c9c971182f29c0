package admission

import (
	"math"
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

// counter counts requests, those of the past less the older they are.
type counter struct {
	asked, sent float64
	at          time.Duration
}

// decay ages the counts.
func (c *counter) decay(memory, now time.Duration) {
	if now > c.at {
		f := math.Exp(-float64(now-c.at) / float64(memory))
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
	c.decay(shareMemory, now)
	return c
}

// forget removes the counters that have become negligible.
func (s *shares) forget(now time.Duration) {
	for key, c := range s.counters {
		if c.decay(shareMemory, now); c.asked < 1 {
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
