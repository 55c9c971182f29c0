// Package freshness tracks how old an instance's knowledge of the control records
// is: the configuration record and the seat tables in the platform's store. A
// change counts as accepted once the store has taken it.
//
// Evidence consists of versions of these records and a moment AsOf. It says that
// every change accepted before AsOf is contained in the versions. An instance gets
// evidence in two ways, and extends it in a third:
//
//   - By reading the store: what a read that was sent at time t returns contains
//     every change accepted before t.
//   - By pulling from a peer, which reports the age of its evidence. Evidence of
//     age a in the answer to a pull sent at time t holds as of t-a by the puller's
//     own monotonic clock, however long the answer took. The clocks of two
//     instances are never compared.
//   - By vouchers, during an outage of the store. Only the writers that the
//     configuration record lists may write on top of it, and the list changes only
//     by a write of one of them. So if every listed writer vouches that, up to some
//     moment, it had begun no write beyond the versions known here, no change was
//     accepted before the earliest of these moments.
//
// A right such as the trust in a key or the use of a seat ends when the evidence
// is older than a bound. It needs no lease that is renewed: of a change accepted
// at time t, each instance knows by t plus the bound, or it has stopped using the
// right by then.
//
// The package does no I/O and reads no clock.
package freshness

import "time"

// Versions are the versions of the control records that evidence speaks of.
type Versions struct {
	// Config is the revision of the configuration record.
	Config uint64
	// Seats is the version of the seat table of the instance's own availability
	// zone.
	Seats uint64
}

// Covers tells whether both versions are at least as new as the others.
func (v Versions) Covers(other Versions) bool {
	return v.Config >= other.Config && v.Seats >= other.Seats
}

// Evidence is what one instance reports to another that pulls from it.
type Evidence struct {
	Versions Versions
	// Age is the time since the moment AsOf. It is negative if there is no
	// evidence.
	Age time.Duration
	// Vouchers are the newest ones that the instance has of the listed writers.
	Vouchers []Voucher
}

// Tracker holds the newest evidence of one instance. It is not safe for
// concurrent use.
type Tracker struct {
	// Zone is the instance's own availability zone.
	Zone string
	// LocalWriter accounts for this process's own writes of control records.
	LocalWriter LocalWriter

	inForce  Versions                     // versions that this instance has in force
	asOf     time.Time                    // they contain every change accepted before this moment
	writers  []WriterID                   // listed in the configuration record in force
	received map[WriterID]receivedVoucher // the newest of each other listed writer
}

// RecordInForce records the versions that this instance has in force.
func (t *Tracker) RecordInForce(v Versions) {
	t.inForce = Versions{Config: max(t.inForce.Config, v.Config), Seats: max(t.inForce.Seats, v.Seats)}
}

// Observe records evidence: all changes accepted before asOf are contained in the
// versions. It is ignored unless this instance has them in force.
func (t *Tracker) Observe(asOf time.Time, v Versions) {
	if t.inForce.Covers(v) && asOf.After(t.asOf) {
		t.asOf = asOf
	}
}

// Merge records the evidence in a peer's answer to a pull that was sent at a
// moment.
func (t *Tracker) Merge(pullSent time.Time, e Evidence) {
	if e.Age >= 0 {
		t.Observe(pullSent.Add(-e.Age), e.Versions)
	}
	for _, v := range e.Vouchers {
		t.mergeVoucher(pullSent, v)
	}
}

// Evidence returns the evidence to report to a peer now.
func (t *Tracker) Evidence(now time.Time) Evidence {
	t.applyVouchers(now)
	e := Evidence{Age: -1, Vouchers: t.vouchersToSend(now)}
	if !t.asOf.IsZero() {
		e.Versions, e.Age = t.inForce, now.Sub(t.asOf)
	}
	return e
}

// AsOf returns the moment up to which this instance knows every accepted change,
// as of the last call of Observe, Merge, Evidence or Fresh. Vouchers count only
// from the next Evidence or Fresh on. It is zero if there never was evidence.
func (t *Tracker) AsOf() time.Time { return t.asOf }

// Fresh tells whether there is evidence no older than a bound.
func (t *Tracker) Fresh(now time.Time, bound time.Duration) bool {
	t.applyVouchers(now)
	return !t.asOf.IsZero() && now.Sub(t.asOf) <= bound
}

// applyVouchers advances asOf to the moment up to which all listed writers have
// vouched.
func (t *Tracker) applyVouchers(now time.Time) {
	if upTo, ok := t.vouchedUpTo(now); ok {
		t.Observe(upTo, t.inForce)
	}
}
