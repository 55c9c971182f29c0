package limit

import (
	"math"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
)

// rounding is the tolerance, in tokens, for sums of fractions.
const tokenTolerance = 1e-6

// share is the part of a workspace's rate and burst that a seat has. What is
// left in it and what it has lent never exceed its burst together: a lent
// token can be used at any later moment of its life, so that it must not be
// refilled before it has been used or can't be any more.
type share struct {
	workspace    string
	current      allotment // in force
	upcoming     allotment // in force from the moment nextAt on
	upcomingFrom time.Time // zero if now is final

	assignedVersion   uint64
	tokens            float64
	updated           time.Time
	outstanding       map[uint64]outstandingGrant
	outstandingTokens int
	queuedAsks        []queuedAsk
}

// queuedAsk is an ask that waits for tokens.
type queuedAsk struct {
	ask      Ask
	deadline time.Time
}

// loan is a grant whose tokens may still be used by the asker.
type outstandingGrant struct {
	tokens  int
	expires time.Time
}

// update takes over the allotment of another configuration. Whatever grows
// does so only when no instance goes by an older configuration any more.
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
	s.capTokens()
}

// suspend leaves nothing in force until the next allotment has settled.
func (s *share) suspend() {
	s.current, s.upcomingFrom, s.tokens = allotment{seat: s.current.seat}, time.Time{}, 0
}

// refill brings the share to the present moment.
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

func (s *share) addTokens(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		s.tokens += elapsed.Seconds() * s.current.rate
		s.updated = now
		s.capTokens()
	}
}

func (s *share) capTokens() {
	s.tokens = min(s.tokens, max(0, s.current.burst-float64(s.outstandingTokens)))
}

// begin empties the share if its seat came to this process anew.
func (s *share) emptyIfReassigned(assignedVersion uint64, now time.Time) {
	if s.assignedVersion != assignedVersion {
		s.assignedVersion, s.tokens, s.updated = assignedVersion, 0, now
	}
}

// spend uses one token if there is one.
func (s *share) takeToken(invariants *invariant.Recorder) bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.checkInvariant(invariants)
	return true
}

// lend gives tokens away. They are deducted before the message is sent, so
// that a lost message loses them.
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

// settle ends a loan. A repeated report or one of an expired loan changes
// nothing.
func (s *share) closeGrant(id uint64, returned int, invariants *invariant.Recorder) {
	g, ok := s.outstanding[id]
	if !ok {
		return
	}
	s.removeGrant(id)
	s.tokens += float64(max(0, min(returned, g.tokens)))
	s.capTokens()
	s.checkInvariant(invariants)
}

// level returns the tokens left, less those that waiting asks want.
func (s *share) uncommitted() float64 {
	sum := s.tokens
	for _, q := range s.queuedAsks {
		sum -= float64(q.ask.Tokens)
	}
	return sum
}

// hopeful tells whether an ask will probably get a token in time.
func (s *share) canServeInTime(a Ask) bool {
	return s.uncommitted()+a.Wait.Seconds()*s.current.rate >= 1
}

func (s *share) removeGrant(id uint64) {
	s.outstandingTokens -= s.outstanding[id].tokens
	delete(s.outstanding, id)
}

func (s *share) checkInvariant(invariants *invariant.Recorder) {
	sum := s.tokens + float64(s.outstandingTokens)
	invariants.Check(s.tokens >= -tokenTolerance && (sum <= s.current.burst+tokenTolerance || s.tokens <= tokenTolerance), invariant.RateWithinLimit,
		"workspace %s: %g tokens and %d lent exceed the burst %g", s.workspace, s.tokens, s.outstandingTokens, s.current.burst)
}
