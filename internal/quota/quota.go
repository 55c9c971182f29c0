// Package quota admits requests within each workspace's rate and burst over the
// whole fleet. One instance, the hub, keeps the fleet's buckets; each instance
// tells it what it has admitted and learns the levels several times a second.
// An instance that has not heard from a hub falls back to an equal share, which
// the hub leaves to it.
//
// It answers the load of many small workspaces whose requests land on any
// instance: an equal share of such a quota is less than one request.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// startFill is the part of a burst that is there when nothing is known; a
	// fleet that restarts together must not grant the burst twice.
	initialFill = 0.5
	// ReportInterval is the time between two reports to the hub.
	ReportInterval = 200 * time.Millisecond
	// levelLife is how long a level holds; older ones could be spent elsewhere.
	levelTTL = 900 * time.Millisecond
	// lookAhead is the refill that may be spent before the next level comes.
	refillLookAhead = ReportInterval
	// unevenness is how much more than its part of a level one instance may spend
	// before the next one comes, because callers do not come evenly.
	unevenUseFactor = 1.5
	// idlePart is the part of an equal share that an instance without use has.
	idleUsageShare = 0.5
	// minHeard is how many instances a hub must hear for its levels to be better
	// than an equal share.
	minReportingInstances = 2.0
	// reserveTime times the rate is the level from which on fewer and fewer
	// instances admit one request more: about the time until a level that counts
	// them is back, in a fleet with sums.
	reserveTime = 500 * time.Millisecond
	// spareTokens is what an instance may spend at least while over half of a
	// burst is left: callers come at random, two at a time at times.
	minSpendTokens = 2.0
)

// Usage is what an instance has admitted of a workspace since it started.
type Usage struct {
	Workspace string
	Admitted  uint64
}

// Report tells the hub what an instance has admitted.
type Report struct {
	Instance string
	// Started identifies the start of the instance's process.
	Started uint64
	Usages  []Usage
	// Members is how many instances the report speaks for; 0 means 1.
	Members int
}

// Level is what is left of a workspace's quota in the whole fleet, in requests;
// below 0 if more was admitted.
type Level struct {
	Workspace string
	Left      float64
}

// Levels answers a report. Workspaces that are not listed have their whole
// burst.
type Levels struct {
	Levels []Level
	// Share is the part of the quotas that this hub gives out, 0 to 1.
	Share float64
	// Part is the instance's part in what all that report have used lately, 0 to 1.
	Part float64
	// Age is how old the levels were when they were told.
	Age time.Duration
}

// Limiter admits requests at one instance. It is not safe for concurrent use.
type Limiter struct {
	name    string
	started uint64
	buckets map[string]*bucket
	share   float64 // equal share of one instance, 0 to 1
	// growAfter delays a larger share until the instance that held it has
	// surely stopped.
	growDelay      time.Duration
	pendingShare   float64
	pendingShareAt time.Duration

	levels    map[string]float64 // what is left, by workspace; others have all
	levelsAt  time.Duration      // when the request for them was sent
	hasLevels bool
	hubShare  float64
	part      float64 // of all use
}

type bucket struct {
	tokens     float64 // of the equal share
	refilledAt time.Duration

	admitted uint64
	reported uint64 // part of the last level
}

// New returns the shares of a named instance in a fleet of one, which grow only
// after the delay.
func New(name string, started uint64, growDelay time.Duration) *Limiter {
	return &Limiter{name: name, started: started, buckets: map[string]*bucket{}, share: 1, growDelay: growDelay}
}

// SetInstances sets how many instances share the quota. A share shrinks at once.
func (s *Limiter) SetInstances(n int, now time.Duration) {
	share := 1 / float64(max(n, 1))
	switch {
	case share <= s.share:
		s.share, s.pendingShare = share, 0
	case share != s.pendingShare:
		s.pendingShare, s.pendingShareAt = share, now+s.growDelay
	}
}

func (s *Limiter) currentShare(now time.Duration) float64 {
	if s.pendingShare > 0 && now >= s.pendingShareAt {
		s.share, s.pendingShare = s.pendingShare, 0
	}
	return s.share
}

// Take admits one request of the workspace, or tells after which time there is
// room again.
func (s *Limiter) Take(w *config.Workspace, now time.Duration) (bool, time.Duration) {
	if w.Rate <= 0 {
		return true, 0
	}
	share := s.currentShare(now)
	rate, burst := w.Rate*share, max(float64(w.Burst)*share, 1)
	b := s.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: max(burst*initialFill, 1), refilledAt: now}
		s.buckets[w.Name] = b
	}
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), burst)
	b.refilledAt = now
	if s.HasRecentLevels(now) && s.hubShare >= minReportingInstances*share {
		if !s.takeFromLevel(b, w, share, now) {
			return false, time.Duration((1 - min(s.levels[w.Name], 0)) / w.Rate * float64(time.Second))
		}
		// What an equal share may grant after the hub fell silent comes on top of
		// what the hub has granted before.
		b.tokens = min(max(b.tokens-1, 0), 1)
		return true, 0
	}
	if b.tokens < 1 {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	b.admitted++
	return true, 0
}

// takeLevel admits a request within this instance's part of the fleet's level.
func (s *Limiter) takeFromLevel(b *bucket, w *config.Workspace, share float64, now time.Duration) bool {
	left, listed := s.levels[w.Name]
	if !listed {
		left = float64(w.Burst) * s.hubShare
	}
	left += w.Rate * s.hubShare * refillLookAhead.Seconds()
	minSpend := 1.0
	if left > float64(w.Burst)*s.hubShare/2 {
		minSpend = minSpendTokens
	}
	part := left * max(share/max(s.hubShare, share)*idleUsageShare, s.part) * unevenUseFactor
	if left < 1 || float64(b.admitted-b.reported)+1 > max(part, minSpend) {
		return false
	}
	// Many instances that each admit one request more would exceed a level that is
	// almost used up; so fewer do, the less is left.
	if reserve := w.Rate * s.hubShare * reserveTime.Seconds(); part < 1 && left < reserve && s.pseudoRandom(b, now) > left/reserve {
		return false
	}
	b.admitted++
	return true
}

// Status is what a decision on a workspace's request rested on.
type Status struct {
	Rate  float64 // requests per second of the fleet
	Burst int
	// Left is what was left of the fleet's bucket by the hub's last answer, or of
	// this instance's equal share if there is no such answer, in requests.
	Left float64
	// Hub says that the hub's answer decided, and Age how old it was.
	Hub bool
	Age time.Duration
	// Taken is what this instance has admitted since that answer.
	Taken uint64
}

// Status returns what a decision rests on now, for logs.
func (s *Limiter) Status(w *config.Workspace, now time.Duration) Status {
	out := Status{Rate: w.Rate, Burst: w.Burst, Hub: s.HasRecentLevels(now) && s.hubShare >= minReportingInstances*s.currentShare(now)}
	b := s.buckets[w.Name]
	if b == nil {
		return out
	}
	out.Left = b.tokens
	if out.Hub {
		out.Age, out.Taken = now-s.levelsAt, b.admitted-b.reported
		left, listed := s.levels[w.Name]
		if out.Left = left; !listed {
			out.Left = float64(w.Burst) * s.hubShare
		}
	}
	return out
}

// chance draws a number from 0 to 1.
func (s *Limiter) pseudoRandom(b *bucket, now time.Duration) float64 {
	h := xxhash.Sum64String(s.name) ^ uint64(now) ^ b.admitted<<32
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// HasRecentLevels tells whether a hub answered lately.
func (s *Limiter) HasRecentLevels(now time.Duration) bool {
	return s.hasLevels && now-s.levelsAt < levelTTL
}

// Report returns what to tell the hub.
func (s *Limiter) Report() Report {
	r := Report{Instance: s.name, Started: s.started, Usages: make([]Usage, 0, len(s.buckets))}
	for name, b := range s.buckets {
		if b.admitted > 0 {
			r.Usages = append(r.Usages, Usage{name, b.admitted})
		}
	}
	return r
}

// SetLevels takes the hub's answer to a report that was sent at a time.
func (s *Limiter) SetLevels(r Report, l Levels, sentAt time.Duration) {
	sentAt -= l.Age
	if s.hasLevels && sentAt < s.levelsAt {
		return
	}
	s.levelsAt, s.hasLevels, s.hubShare, s.part = sentAt, true, l.Share, l.Part
	s.levels = make(map[string]float64, len(l.Levels))
	for _, u := range r.Usages {
		if b := s.buckets[u.Workspace]; b != nil {
			b.reported = u.Admitted
		}
	}
	for _, level := range l.Levels {
		s.levels[level.Workspace] = level.Left
	}
}

// Refund gives back what was taken for a request that was not run, unless the
// hub was told already.
func (s *Limiter) Refund(workspace string) {
	if b := s.buckets[workspace]; b != nil && b.admitted > b.reported {
		b.admitted--
	}
}
