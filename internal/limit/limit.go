// Package limit holds a workspace's rate and burst over the whole fleet. It is
// a deterministic core without I/O.
package limit

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Decision is the answer to one request for a token.
type Decision struct {
	Allowed bool
	// Ticket, if not 0, says that the decision is still open: it comes as the
	// resolution of this ticket.
	Ticket uint64
	// RetryAfter is when a refused caller may try again.
	RetryAfter time.Duration
}

// StaticShares gives every instance an equal share of rate and burst. It is
// the baseline against which other ways are measured: it never exceeds the
// limits, but refuses rightful requests when load is uneven.
type StaticShares struct {
	instances int
	buckets   map[string]*bucket
}

type bucket struct {
	rate, burst float64
	tokens      float64
	updated     time.Time
}

// NewStaticShares returns a limiter for a fleet of the given size.
func NewStaticShares(instances int) *StaticShares {
	return &StaticShares{instances: max(instances, 1), buckets: map[string]*bucket{}}
}

// Update takes over the limits of a configuration.
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

// Take asks for one token of a workspace.
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

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		b.updated = now
	}
}
