// Package quota limits the requests of each workspace to its rate and burst over the
// whole fleet. One instance, the hub, keeps a token bucket per workspace for the
// fleet. Several times a second, each instance reports to it what it has admitted, and
// receives the levels of the buckets. An instance that has no recent levels falls back
// to an equal share of the quota, in a token bucket of its own. The hub does not give
// out the shares of instances that do not report to it.
//
// In a large fleet, an aggregator in each availability zone adds up the reports of its
// instances and forwards the total to the hub.
//
// A central bucket is needed since there are many small workspaces whose requests
// arrive at any instance: an equal share of such a quota is less than one request.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// initialFill is the fraction of the burst that a new bucket holds. It is below 1
	// because a fleet that restarts as a whole must not grant the burst twice.
	initialFill = 0.5
	// ReportInterval is the time between two reports to the hub.
	ReportInterval = 200 * time.Millisecond
	// levelTTL is how long levels are used, counted from Limiter.levelsAt. The tokens
	// of older levels may have been spent at other instances.
	levelTTL = 900 * time.Millisecond
	// refillLookAhead is the time whose refill is added to a level, because it may be
	// spent before the next level arrives.
	refillLookAhead = ReportInterval
	// unevenUseFactor is how many times its part of a level one instance may spend
	// before the next level arrives, because requests are spread unevenly.
	unevenUseFactor = 1.5
	// idleUsageShare is the fraction of an equal share of a level that an instance may
	// spend even if it has admitted nothing lately.
	idleUsageShare = 0.5
	// minReportingInstances is the number of instances that must report to a hub for
	// its levels to be used instead of the equal share.
	minReportingInstances = 2.0
	// reserveTime times the rate is the level below which fewer and fewer instances
	// admit one more request. It is about the time from admitting a request to
	// receiving a level that accounts for it, in a fleet with aggregators.
	reserveTime = 500 * time.Millisecond
	// askFill is the fraction of the fleet's burst above which a request is not refused
	// because this instance has spent its part of the level: the tokens are there, and
	// new levels tell how many of them it may have.
	askFill = 0.25
	// completeShare is the Levels.Share from which levels show the state of the fleet. A hub
	// that has just taken over has heard from few instances.
	completeShare = 0.5
	// maxAskTime is the time without complete levels in which requests ask for some before
	// they are refused by the equal share. After that the instance is likely cut off.
	maxAskTime = 2 * time.Second
	// minSpendTokens is what an instance may spend at least between two levels while
	// over half of the burst is left, because two requests may arrive together by
	// chance.
	minSpendTokens = 2.0
)

// Usage is the number of a workspace's requests that an instance has admitted since it
// started.
type Usage struct {
	Workspace string
	Admitted  uint64
	// Settled is how many of them a hub has counted or the equal share has covered. A hub
	// that does not know the reporter counts from here.
	Settled uint64
}

// Report tells the hub what an instance has admitted.
type Report struct {
	Instance string
	// Started identifies the instance's process by its start, in Unix nanoseconds.
	Started uint64
	Usages  []Usage
	// Members is the number of instances that the report covers; 0 means 1.
	Members int
	// Carries says that the usages have Settled. Reporters of older versions have not.
	Carries bool
	// Held are the levels that the reporter got last, if they came from another hub, and
	// HeldAt is when they were current, on the receiver's clock.
	Held   *Levels
	HeldAt time.Duration
	// Guest says that another hub may still give out the reporter's share. The receiver
	// counts the usages, but gives out no share for them.
	Guest bool
	// Release says that the reporter moves to another hub. The receiver counts the usages
	// and stops giving out the reporter's share.
	Release bool
	// Fleet is the number of instances by which a reporter that is about to stop sets its
	// equal share; 0 from others. It counts instances that are not registered any more.
	Fleet int
	// Echo is Levels.SentAt of the latest response that the reporter has got from the
	// receiver's process; 0 for none.
	Echo time.Duration
}

// Level is the level of a workspace's bucket in the whole fleet.
type Level struct {
	Workspace string
	Left      float64 // tokens, one per request; below 0 if too many were admitted
}

// Levels is the response to a report. The buckets of workspaces that are not listed are
// full.
type Levels struct {
	Levels []Level
	// Share is the fraction of the quotas that this hub gives out, 0 to 1: the
	// instances that report to it, divided by all instances.
	Share float64
	// Part is the reporter's fraction of the requests that all reporters have
	// admitted lately, 0 to 1.
	Part float64
	// Age is how old the levels were when the response was sent.
	Age time.Duration
	// Members is the number of instances whose shares make up the levels.
	Members int
	// Joined says that the reporter's share is one of them.
	Joined bool
	// Released says that the hub no longer gives out the reporter's share: the reporter has
	// asked for it, or the hub is about to stop. The reporter's fraction 1/Members of the
	// levels is its own, to be handed to the next hub.
	Released bool
	// SentAt is when the receiver responded, on its clock.
	SentAt time.Duration
	// Fleet is the number of instances among which the hub divides the quotas.
	Fleet int
	// Generation identifies the hub's process: its start, in Unix nanoseconds.
	Generation uint64
	// NoLevels says that an aggregator has no recent levels of the hub.
	NoLevels bool
}

// Limiter admits or refuses requests at one instance. It is not safe for concurrent
// use. Its methods take the present time as a duration on a monotonic clock.
type Limiter struct {
	name    string
	started uint64
	buckets map[string]*bucket
	share   float64 // equal share of one instance: 1 / number of instances
	// growDelay delays an increase of the share until the instances that held the
	// rest have certainly stopped.
	growDelay      time.Duration
	pendingShare   float64 // share from pendingShareAt on; 0 if no increase is pending
	pendingShareAt time.Duration
	grownAt        time.Duration // when an increase last took effect
	leaving        bool          // the share does not grow any more
	joiningUntil   time.Duration // until then, the number of instances is not known; see Join

	levels    map[string]float64 // tokens left, by workspace; buckets not listed are full
	levelsAt  time.Duration      // when the report that the levels respond to was sent, less Levels.Age
	hasLevels bool
	hubShare  float64 // Levels.Share
	part      float64 // Levels.Part
	// held are the latest levels that include this instance's share, and heldAt is when they
	// were current.
	held   *Levels
	heldAt time.Duration
	// completeAt is when the latest complete levels were current, or the first request
	// was decided if there were none yet.
	completeAt time.Duration
	hasDecided bool
}

// Verdict says whether a request is admitted.
type Verdict int

// Verdicts on a request.
const (
	// Exceeded means that the workspace's quota is used up.
	Exceeded Verdict = iota
	// Admitted means that the request's token has been taken.
	Admitted
	// Undecided means that the quota may have room, but that this instance knows too
	// little to use it. With newer levels, Take may decide. Without, the request is refused.
	Undecided
)

// bucket is the state of one workspace at one instance.
type bucket struct {
	tokens     float64 // of the equal share
	refilledAt time.Duration

	admitted uint64 // requests admitted since the start; see Usage
	reported uint64 // value of admitted in the report that the current levels answer
	settled  uint64 // value of admitted in the last report that got a response
	// byShare is how many requests the equal share has admitted since that report.
	byShare uint64
}

// New returns the limiter of a named instance, whose process started at the given Unix
// time in nanoseconds, in a fleet of one. Its equal share grows only growDelay after
// the number of instances has fallen.
func New(name string, started uint64, growDelay time.Duration) *Limiter {
	return &Limiter{name: name, started: started, buckets: map[string]*bucket{}, share: 1, growDelay: growDelay}
}

// SetInstances sets the number of instances that share the quota. The equal share
// shrinks at once but grows only after the delay given to New.
func (s *Limiter) SetInstances(n int, now time.Duration) {
	share := 1 / float64(max(n, 1))
	switch {
	case share > s.share && s.leaving:
	case share <= s.share:
		s.share, s.pendingShare = share, 0
	case share != s.pendingShare:
		s.pendingShare, s.pendingShareAt = share, now+s.growDelay
	}
}

// learnFleet shrinks the share for a time if the hub counts more instances: some may be
// about to stop, which a process that has just started can't know. What the hub counted, as of
// a time, before the last increase does not count: the hub may have it from this instance.
func (s *Limiter) learnFleet(n int, asOf, now time.Duration) {
	if n == 0 || 1/float64(n) >= s.currentShare(now) || asOf < s.grownAt {
		return
	}
	if s.pendingShare == 0 {
		s.pendingShare = s.share
	}
	s.share, s.pendingShareAt = 1/float64(n), now+s.growDelay
}

// Join says that this instance has just started, and that others may have served before. Some
// may be about to stop and not be registered any more, so their number is not known until a hub
// that others report to tells it, or until they have certainly stopped, growDelay after now. The
// equal share grants one request of each workspace meanwhile.
func (s *Limiter) Join(now time.Duration) { s.joiningUntil = now + s.growDelay }

// Joining reports whether the number of instances is still unknown; see Join.
func (s *Limiter) Joining(now time.Duration) bool { return now < s.joiningUntil }

// Leave keeps the share from growing, because this instance is about to stop: others may
// be about to stop as well, and not be counted any more.
func (s *Limiter) Leave() { s.leaving, s.pendingShare = true, 0 }

// Leaving reports whether Leave was called.
func (s *Limiter) Leaving() bool { return s.leaving }

// Instances returns the number of instances by which the equal share is set at present.
func (s *Limiter) Instances(now time.Duration) int { return int(math.Round(1 / s.currentShare(now))) }

// currentShare returns the equal share, after putting a due increase into effect.
func (s *Limiter) currentShare(now time.Duration) float64 {
	if s.pendingShare > 0 && now >= s.pendingShareAt {
		s.share, s.pendingShare, s.grownAt = s.pendingShare, 0, now
	}
	return s.share
}

// Take decides on one more request of the workspace and takes its token if it is admitted.
// If not, the second result is the expected time until a token is available.
func (s *Limiter) Take(w *config.Workspace, now time.Duration) (Verdict, time.Duration) {
	if w.Rate <= 0 {
		return Admitted, 0
	}
	if !s.hasDecided {
		s.hasDecided, s.completeAt = true, max(s.completeAt, now)
	}
	share := s.currentShare(now)
	rate, burst := w.Rate*share, max(float64(w.Burst)*share, 1)
	b := s.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: 1, refilledAt: now}
		if !s.Joining(now) {
			b.tokens = max(burst*initialFill, 1)
		}
		s.buckets[w.Name] = b
	}
	if !s.Joining(now) {
		b.tokens = min(b.tokens+rate*(now-max(b.refilledAt, s.joiningUntil)).Seconds(), burst)
	}
	b.refilledAt = now
	if s.HasRecentLevels(now) && s.hubShare >= minReportingInstances*share {
		if verdict := s.takeFromLevel(b, w, share, now); verdict != Admitted {
			return verdict, time.Duration((1 - min(s.levels[w.Name], 0)) / w.Rate * float64(time.Second))
		}
		// If the hub falls silent, the equal share is granted on top of what the hub
		// has granted, so at most one token is kept in its bucket meanwhile.
		b.tokens = min(max(b.tokens-1, 0), 1)
		return Admitted, 0
	}
	if b.tokens < 1 {
		return s.undecided(now), time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	b.admitted++
	b.byShare++
	return Admitted, 0
}

// undecided returns the verdict on a request for which the equal share, or the levels of a
// hub that knows few instances, have no token.
func (s *Limiter) undecided(now time.Duration) Verdict {
	if now-s.completeAt < maxAskTime {
		return Undecided
	}
	return Exceeded
}

// takeFromLevel admits a request if it is within this instance's part of the level
// of the workspace's bucket in the fleet.
func (s *Limiter) takeFromLevel(b *bucket, w *config.Workspace, share float64, now time.Duration) Verdict {
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
	taken := float64(b.admitted - b.reported)
	if left < 1 || taken+1 > max(part, minSpend) {
		switch {
		case left-taken > float64(w.Burst)*s.hubShare*askFill && left-taken >= 1:
			return Undecided
		case s.hubShare < completeShare:
			return s.undecided(now)
		}
		return Exceeded
	}
	// If every instance admitted one more request, a level that is almost used up
	// would be exceeded, so the probability falls with what is left.
	if reserve := w.Rate * s.hubShare * reserveTime.Seconds(); part < 1 && left < reserve && s.pseudoRandom(b, now) > left/reserve {
		return Exceeded
	}
	b.admitted++
	return Admitted
}

// Status is the state of a workspace's quota that a decision was based on, for logs.
type Status struct {
	Rate  float64 // requests per second, of the fleet
	Burst int     // requests, of the fleet
	// Left is the number of tokens in the fleet's bucket by the hub's last response if
	// Hub is true, otherwise in this instance's bucket of the equal share.
	Left float64
	// Hub is true if the hub's levels are used, false if the equal share is.
	Hub bool
	// Age is the age of the hub's levels; 0 without them.
	Age time.Duration
	// Taken is the number of requests that this instance has admitted since the report
	// that the levels answer, so that the levels do not include them; 0 if Hub is false.
	Taken uint64
}

// Status returns the present state of the workspace's quota.
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

// pseudoRandom returns a number from 0 to 1, by a hash of the instance, the time and
// the count of admitted requests. Instances therefore draw different numbers, and the
// same inputs give the same result.
func (s *Limiter) pseudoRandom(b *bucket, now time.Duration) float64 {
	h := xxhash.Sum64String(s.name) ^ uint64(now) ^ b.admitted<<32
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// HasRecentLevels reports whether the hub's last levels are younger than levelTTL.
func (s *Limiter) HasRecentLevels(now time.Duration) bool {
	return s.hasLevels && now-s.levelsAt < levelTTL
}

// Report returns the next report to the hub or the zone's aggregator.
func (s *Limiter) Report() Report {
	r := Report{Instance: s.name, Started: s.started, Carries: true, Usages: make([]Usage, 0, len(s.buckets)), Held: s.held, HeldAt: s.heldAt}
	for name, b := range s.buckets {
		if b.admitted > 0 {
			r.Usages = append(r.Usages, Usage{name, b.admitted, min(b.settled+b.byShare, b.admitted)})
		}
	}
	if s.leaving {
		r.Fleet = int(math.Round(1 / s.share))
	}
	return r
}

// SetLevels stores the response to the report r, which was sent at sentAt, unless it is
// older than the stored one. Levels of a hub that does not give out this instance's share
// yet, and knows little of the fleet, do not replace recent ones.
func (s *Limiter) SetLevels(r Report, l Levels, sentAt time.Duration) {
	charged := l.Joined || l.Released || l.SentAt == 0 // the latter by older versions
	for _, u := range r.Usages {
		if b := s.buckets[u.Workspace]; charged && b != nil && u.Admitted >= b.settled {
			b.byShare -= min(u.Settled-min(b.settled, u.Settled), b.byShare)
			b.settled = u.Admitted
		}
	}
	at := sentAt
	sentAt -= l.Age
	s.learnFleet(l.Fleet, sentAt, at)
	if l.Share >= completeShare && l.Members != 1 {
		s.joiningUntil = min(s.joiningUntil, at)
	}
	if s.hasLevels && sentAt < s.levelsAt {
		return
	}
	if l.Joined || l.Released {
		s.held, s.heldAt = &l, sentAt
	} else if l.Share < completeShare && s.HasRecentLevels(at) {
		return
	}
	s.levelsAt, s.hasLevels, s.hubShare, s.part = sentAt, true, l.Share, l.Part
	if l.Share >= completeShare {
		s.completeAt = sentAt
	}
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

// Refund takes back the admission of one request that was not run, unless all admitted
// requests were already included in the report that the current levels answer. Tokens
// of the equal share are not given back.
func (s *Limiter) Refund(workspace string) {
	if b := s.buckets[workspace]; b != nil && b.admitted > max(b.reported, b.settled) {
		b.admitted--
	}
}
