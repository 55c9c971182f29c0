// Package freshness bounds how old an instance's knowledge of the accepted
// state may be. It is a deterministic core without I/O.
//
// Evidence says: every change that was accepted before the moment AsOf is
// contained in these versions. The store gives evidence to whoever reads it: a
// read that was sent at time t contains all that was accepted before t. Others
// pull it from peers with its age: evidence that a peer reports as aged a, in
// the answer to a pull sent at time t, holds as of t-a by the puller's own
// monotonic clock, however long the answer took. No two clocks are compared.
//
// That is rule E1. Rule E2 carries rights through an outage of the store. Only
// the writers that the configuration record lists may write on top of it, and
// who is listed changes only by a listed writer's own write. So when each
// listed writer vouches that, up to a moment, it had begun no write beyond what
// is known here, no change was accepted before the earliest of these moments.
//
// Rights that end when evidence grows too old, such as the trust in a key or
// the use of a seat, therefore need no lease renewals of their own: a change
// accepted at time t is observed by every instance by t plus its bound, or the
// instance has stopped using the right.
package freshness

import "time"

// Versions identifies the accepted state that evidence speaks of.
type Versions struct {
	// Config is the revision of the configuration record.
	Config uint64
	// Seats is the version of the seat table of the instance's own zone.
	Seats uint64
}

// Covers tells whether the versions are at least as new as others.
func (v Versions) Covers(other Versions) bool {
	return v.Config >= other.Config && v.Seats >= other.Seats
}

// Evidence is what one instance can vouch for to another.
type Evidence struct {
	Versions Versions
	// Age is the time since the moment AsOf; negative means no evidence.
	Age time.Duration
	// Vouchers are those of the listed writers that the instance has.
	Vouchers []Voucher
}

// Tracker holds the newest evidence of one instance. It is not safe for
// concurrent use.
type Tracker struct {
	// Zone is the availability zone whose seat table this instance holds.
	Zone string
	// LocalWriter accounts for this instance's own writes.
	LocalWriter LocalWriter

	held     Versions // state that this instance holds
	asOf     time.Time
	writers  []WriterID
	received map[WriterID]receivedVoucher
}

// RecordHeld records the state that this instance has in force.
func (t *Tracker) RecordHeld(v Versions) {
	t.held = Versions{Config: max(t.held.Config, v.Config), Seats: max(t.held.Seats, v.Seats)}
}

// Observe records that all changes accepted before asOf are contained in the
// versions. It is ignored unless this instance holds them.
func (t *Tracker) Observe(asOf time.Time, v Versions) {
	if t.held.Covers(v) && asOf.After(t.asOf) {
		t.asOf = asOf
	}
}

// Merge records evidence that a peer gave in answer to a pull.
func (t *Tracker) Merge(pullSent time.Time, e Evidence) {
	if e.Age >= 0 {
		t.Observe(pullSent.Add(-e.Age), e.Versions)
	}
	for _, v := range e.Vouchers {
		t.mergeVoucher(pullSent, v)
	}
}

// Evidence returns what this instance can vouch for now.
func (t *Tracker) Evidence(now time.Time) Evidence {
	t.applyVouchers(now)
	e := Evidence{Age: -1, Vouchers: t.vouchersToSend(now)}
	if !t.asOf.IsZero() {
		e.Versions, e.Age = t.held, now.Sub(t.asOf)
	}
	return e
}

// AsOf returns the moment up to which this instance knows every accepted
// change, as far as worked out by the last call of Observe, Evidence or Fresh;
// zero if it never had evidence.
func (t *Tracker) AsOf() time.Time { return t.asOf }

// Fresh tells whether the evidence is within a bound.
func (t *Tracker) Fresh(now time.Time, bound time.Duration) bool {
	t.applyVouchers(now)
	return !t.asOf.IsZero() && now.Sub(t.asOf) <= bound
}

// applyVouchers advances the moment as far as rule E2 allows.
func (t *Tracker) applyVouchers(now time.Time) {
	if upTo, ok := t.vouchedUpTo(now); ok {
		t.Observe(upTo, t.held)
	}
}
