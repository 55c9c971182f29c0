// Package ratelimit enforces the rate (requests per second) and the burst (requests
// at once) of each workspace over the whole fleet. Every request costs a token.
//
// A workspace's limit is divided over a few seats in different availability
// zones; package seat assigns each seat to one instance at a time. The instance
// that holds such a seat is an owner: it keeps a token bucket with its part of
// the limit, and the other instances ask it for tokens. Limiter is one
// instance's side of this.
//
// The package does no I/O and reads no clock: its caller passes in the time and
// the messages received, and sends the messages that come out.
package ratelimit

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Decision says whether one request may proceed.
type Decision struct {
	// Allowed says that the request got a token.
	Allowed bool
	// Ticket, if not 0, says that the request waits for a token: the final
	// decision comes later as the Resolution with this ticket.
	Ticket uint64
	// RetryAfter is how long a refused caller should wait before it tries again.
	RetryAfter time.Duration
}

// StaticShares gives every instance an equal, fixed share of each workspace's
// rate and burst. It is the baseline that Limiter is compared with: it never
// exceeds the limits, but refuses requests that are within them when the load
// is spread unevenly over the instances.
type StaticShares struct {
	instances int
	buckets   map[string]*bucket
}

// bucket is a token bucket.
type bucket struct {
	rate, burst float64 // tokens per second, and the most tokens it holds
	tokens      float64 // tokens it held at the moment updated
	updated     time.Time
}

// NewStaticShares returns the limiter of one instance in a fleet of the given
// size.
func NewStaticShares(instances int) *StaticShares {
	return &StaticShares{instances: max(instances, 1), buckets: map[string]*bucket{}}
}

// Update applies the limits of a configuration. A bucket that exists keeps its
// tokens, up to the new burst.
func (s *StaticShares) Update(snapshot *config.Snapshot, now time.Time) {
	for name, w := range snapshot.Workspaces {
		rate, burst := w.Rate/float64(s.instances), float64(w.Burst)/float64(s.instances)
		b := s.buckets[name]
		if b == nil {
			s.buckets[name] = &bucket{rate: rate, burst: burst, tokens: burst, updated: now}
			continue
		}
		b.refill(now)
		b.rate, b.burst = rate, burst
		b.tokens = min(b.tokens, burst)
	}
}

// Take takes one token of a workspace. An unknown workspace is refused.
func (s *StaticShares) Take(workspace string, now time.Time) Decision {
	b := s.buckets[workspace]
	if b == nil {
		return Decision{}
	}
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return Decision{Allowed: true}
	}
	wait := (1 - b.tokens) / b.rate
	return Decision{RetryAfter: time.Duration(wait * float64(time.Second))}
}

// refill adds the tokens accrued since the last update.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		b.updated = now
	}
}
