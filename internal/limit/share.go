package limit

import (
	"math"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
)

// rounding is the tolerance, in tokens, for sums of fractions.
const rounding = 1e-6

// share is the part of a workspace's rate and burst that a seat has. What is
// left in it and what it has lent never exceed its burst together: a lent
// token can be used at any later moment of its life, so that it must not be
// refilled before it has been used or can't be any more.
type share struct {
	workspace string
	now       allotment // in force
	next      allotment // in force from the moment nextAt on
	nextAt    time.Time // zero if now is final

	tenure  uint64
	tokens  float64
	updated time.Time
	lent    map[uint64]loan
	lentSum int
	queue   []queuedAsk
}

// queuedAsk is an ask that waits for tokens.
type queuedAsk struct {
	ask   Ask
	until time.Time
}

// loan is a grant whose tokens may still be used by the asker.
type loan struct {
	tokens  int
	expires time.Time
}

// update takes over the allotment of another configuration. Whatever grows
// does so only when no instance goes by an older configuration any more.
func (s *share) update(next allotment, now time.Time, settle time.Duration) {
	s.refill(now)
	if next == s.now {
		s.nextAt = time.Time{}
		return
	}
	if s.nextAt.IsZero() || next != s.next {
		s.next, s.nextAt = next, now.Add(settle)
	}
	if next.seat != s.now.seat {
		s.now = allotment{seat: next.seat}
		s.tokens = 0
	}
	s.now.rate = min(s.now.rate, next.rate)
	s.now.burst = min(s.now.burst, next.burst)
	s.cap()
}

// suspend leaves nothing in force until the next allotment has settled.
func (s *share) suspend() {
	s.now, s.nextAt, s.tokens = allotment{seat: s.now.seat}, time.Time{}, 0
}

// refill brings the share to the present moment.
func (s *share) refill(now time.Time) {
	if !s.nextAt.IsZero() && !now.Before(s.nextAt) {
		s.accrue(s.nextAt)
		s.now, s.nextAt = s.next, time.Time{}
	}
	s.accrue(now)
	for id, l := range s.lent {
		if now.After(l.expires) {
			s.forget(id)
		}
	}
}

func (s *share) accrue(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		s.tokens += elapsed.Seconds() * s.now.rate
		s.updated = now
		s.cap()
	}
}

func (s *share) cap() {
	s.tokens = min(s.tokens, max(0, s.now.burst-float64(s.lentSum)))
}

// begin empties the share if its seat came to this process anew.
func (s *share) begin(tenure uint64, now time.Time) {
	if s.tenure != tenure {
		s.tenure, s.tokens, s.updated = tenure, 0, now
	}
}

// spend uses one token if there is one.
func (s *share) spend(checks *invariant.Recorder) bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.check(checks)
	return true
}

// lend gives tokens away. They are deducted before the message is sent, so
// that a lost message loses them.
func (s *share) lend(id uint64, wanted, extra int, expires time.Time, checks *invariant.Recorder) int {
	available := int(math.Floor(s.tokens))
	tokens := min(wanted, available)
	tokens += min(extra, (available-tokens)/2)
	if tokens <= 0 {
		return 0
	}
	s.tokens -= float64(tokens)
	s.lent[id] = loan{tokens: tokens, expires: expires}
	s.lentSum += tokens
	s.check(checks)
	return tokens
}

// settle ends a loan. A repeated report or one of an expired loan changes
// nothing.
func (s *share) settle(id uint64, returned int, checks *invariant.Recorder) {
	l, ok := s.lent[id]
	if !ok {
		return
	}
	s.forget(id)
	s.tokens += float64(max(0, min(returned, l.tokens)))
	s.cap()
	s.check(checks)
}

// level returns the tokens left, less those that waiting asks want.
func (s *share) level() float64 {
	sum := s.tokens
	for _, q := range s.queue {
		sum -= float64(q.ask.Tokens)
	}
	return sum
}

// hopeful tells whether an ask will probably get a token in time.
func (s *share) hopeful(a Ask) bool {
	return s.level()+a.Wait.Seconds()*s.now.rate >= 1
}

func (s *share) forget(id uint64) {
	s.lentSum -= s.lent[id].tokens
	delete(s.lent, id)
}

func (s *share) check(checks *invariant.Recorder) {
	sum := s.tokens + float64(s.lentSum)
	checks.Check(s.tokens >= -rounding && (sum <= s.now.burst+rounding || s.tokens <= rounding), invariant.RateWithinLimit,
		"workspace %s: %g tokens and %d lent exceed the burst %g", s.workspace, s.tokens, s.lentSum, s.now.burst)
}
