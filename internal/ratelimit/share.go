package ratelimit

import (
	"math"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
)

// tokenTolerance is the rounding error, in tokens, that sums of fractional
// tokens may show before an invariant counts as violated.
const tokenTolerance = 1e-6

// share is the token bucket with the part of a workspace's limit that belongs to
// a seat of this instance's zone. It is used only while this instance holds that
// seat.
//
// The tokens in the bucket and those of outstanding grants together never exceed
// the burst. A granted token can be used at any moment until it expires, so the
// bucket must not be refilled in its place before it has been used or has
// expired.
type share struct {
	workspace    string
	current      allotment // in force at present
	upcoming     allotment // replaces current at upcomingFrom
	upcomingFrom time.Time // zero if no change is due

	assignedVersion   uint64  // version of the seat table that assigned the seat
	tokens            float64 // tokens in the bucket at the moment updated
	updated           time.Time
	outstanding       map[uint64]outstandingGrant // by grant ID
	outstandingTokens int                         // sum over outstanding
	queuedAsks        []queuedAsk                 // oldest first
}

// queuedAsk is an ask that the owner holds back until it has a token.
type queuedAsk struct {
	ask      Ask
	deadline time.Time // dropped without an answer after this
}

// outstandingGrant is a grant whose tokens the asker may still use.
type outstandingGrant struct {
	tokens  int
	expires time.Time
}

// update applies the allotment of a new configuration. A smaller rate or burst
// is in force at once. A larger one, or another seat, is in force only after
// growDelay, when no instance uses an older configuration any more: otherwise
// the parts in use could add up to more than the limit.
func (s *share) update(upcoming allotment, now time.Time, growDelay time.Duration) {
	s.refill(now)
	if upcoming == s.current {
		s.upcomingFrom = time.Time{}
		return
	}
	if s.upcomingFrom.IsZero() || upcoming != s.upcoming {
		s.upcoming, s.upcomingFrom = upcoming, now.Add(growDelay)
	}
	if upcoming.seat != s.current.seat {
		s.current = allotment{seat: upcoming.seat}
		s.tokens = 0
	}
	s.current.rate = min(s.current.rate, upcoming.rate)
	s.current.burst = min(s.current.burst, upcoming.burst)
	s.cap()
}

// suspend empties the share and sets its rate and burst to 0. The next update
// puts them in force again after its delay.
func (s *share) suspend() {
	s.current, s.upcomingFrom, s.tokens = allotment{seat: s.current.seat}, time.Time{}, 0
}

// refill brings the share up to date: it applies the upcoming allotment if that
// is due, adds the accrued tokens and drops expired grants.
func (s *share) refill(now time.Time) {
	if !s.upcomingFrom.IsZero() && !now.Before(s.upcomingFrom) {
		s.addTokens(s.upcomingFrom)
		s.current, s.upcomingFrom = s.upcoming, time.Time{}
	}
	s.addTokens(now)
	for id, g := range s.outstanding {
		if now.After(g.expires) {
			s.removeGrant(id)
		}
	}
}

// addTokens adds the tokens accrued up to a moment at the current rate.
func (s *share) addTokens(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		s.tokens += elapsed.Seconds() * s.current.rate
		s.updated = now
		s.cap()
	}
}

// cap discards tokens in excess of the burst less the outstanding tokens.
func (s *share) cap() {
	s.tokens = min(s.tokens, max(0, s.current.burst-float64(s.outstandingTokens)))
}

// emptyIfReassigned empties the share if its seat has been assigned to this
// process anew. An earlier holder may have spent the burst just before.
func (s *share) emptyIfReassigned(assignedVersion uint64, now time.Time) {
	if s.assignedVersion != assignedVersion {
		s.assignedVersion, s.tokens, s.updated = assignedVersion, 0, now
	}
}

// takeToken uses one token of the bucket if there is one.
func (s *share) takeToken(invariants *invariant.Recorder) bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.checkInvariant(invariants)
	return true
}

// grantTokens grants up to the wanted number of tokens, and of the extra ones
// at most half of what is then left, and returns the number granted. Tokens are
// deducted before the grant is sent: if the message is lost, so are they, but
// the limit holds.
func (s *share) grantTokens(id uint64, wanted, extra int, expires time.Time, invariants *invariant.Recorder) int {
	available := int(math.Floor(s.tokens))
	tokens := min(wanted, available)
	tokens += min(extra, (available-tokens)/2)
	if tokens <= 0 {
		return 0
	}
	s.tokens -= float64(tokens)
	s.outstanding[id] = outstandingGrant{tokens: tokens, expires: expires}
	s.outstandingTokens += tokens
	s.checkInvariant(invariants)
	return tokens
}

// closeGrant ends an outstanding grant and puts its unused tokens back. It
// ignores grants that have expired or were closed before, because reports may be
// late or duplicated.
func (s *share) closeGrant(id uint64, returned int, invariants *invariant.Recorder) {
	g, ok := s.outstanding[id]
	if !ok {
		return
	}
	s.removeGrant(id)
	s.tokens += float64(max(0, min(returned, g.tokens)))
	s.cap()
	s.checkInvariant(invariants)
}

// available returns the tokens left, less those that queued asks want. It may
// be negative.
func (s *share) available() float64 {
	sum := s.tokens
	for _, q := range s.queuedAsks {
		sum -= float64(q.ask.Tokens)
	}
	return sum
}

// canServeInTime tells whether an ask will probably get at least one token
// within its Wait.
func (s *share) canServeInTime(a Ask) bool {
	return s.available()+a.Wait.Seconds()*s.current.rate >= 1
}

func (s *share) removeGrant(id uint64) {
	s.outstandingTokens -= s.outstanding[id].tokens
	delete(s.outstanding, id)
}

// checkInvariant reports a violation if the bucket and the outstanding grants
// together exceed the burst. When the burst has just shrunk, outstanding grants
// alone may exceed it; the bucket is empty then.
func (s *share) checkInvariant(invariants *invariant.Recorder) {
	sum := s.tokens + float64(s.outstandingTokens)
	invariants.Check(s.tokens >= -tokenTolerance && (sum <= s.current.burst+tokenTolerance || s.tokens <= tokenTolerance), invariant.RateWithinLimit,
		"workspace %s: %g tokens in the bucket and %d granted exceed the burst of %g", s.workspace, s.tokens, s.outstandingTokens, s.current.burst)
}
