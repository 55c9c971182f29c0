package freshness

import (
	"slices"
	"time"
)

// WriterID identifies one process that may write control records. A restarted
// instance has another incarnation and counts as another writer.
type WriterID struct {
	Instance    string
	Incarnation uint64
}

// SeatsVersion is the version of one availability zone's seat table.
type SeatsVersion struct {
	AvailabilityZone string
	Version          uint64
}

// Voucher is a writer's statement that, up to a moment, it had begun no write of a
// control record beyond the given versions, and that the outcome of all its writes
// was known.
type Voucher struct {
	Writer WriterID
	// Config is the newest revision of the configuration record that the writer
	// knew.
	Config uint64
	// Seats lists the newest versions of the seat tables that the writer has
	// written or read.
	Seats []SeatsVersion
	// Age is the time since the moment of the statement.
	Age time.Duration
	// Final says that the writer will never write again, so that the statement
	// does not age.
	Final bool
}

// receivedVoucher is a voucher with the moment of its statement on the local
// monotonic clock.
type receivedVoucher struct {
	Voucher
	asOf time.Time
}

// SetWriters records the writers that the configuration record in force lists.
// It is called together with RecordInForce.
func (t *Tracker) SetWriters(writers []WriterID) {
	t.writers = slices.Clone(writers)
	for id := range t.received {
		if !slices.Contains(t.writers, id) {
			delete(t.received, id)
		}
	}
}

// Listed tells whether the configuration record in force lists a writer, which may
// then write on top of it.
func (t *Tracker) Listed(id WriterID) bool { return slices.Contains(t.writers, id) }

// vouchedUpTo returns the moment up to which every listed writer has vouched for
// the versions in force, and whether there is one. At least one of the vouchers
// must not be final: once all listed writers have stopped, another process may
// list itself without any of them knowing.
func (t *Tracker) vouchedUpTo(now time.Time) (time.Time, bool) {
	upTo, anyStillWriting := now, false
	for _, id := range t.writers {
		v, ok := t.voucherOf(id, now)
		if !ok || v.Config > t.inForce.Config || v.seatsOf(t.Zone) > t.inForce.Seats {
			return time.Time{}, false
		}
		if v.Final {
			continue
		}
		anyStillWriting = true
		if v.asOf.Before(upTo) {
			upTo = v.asOf
		}
	}
	return upTo, anyStillWriting
}

// voucherOf returns the newest voucher of a writer, if there is one.
func (t *Tracker) voucherOf(id WriterID, now time.Time) (receivedVoucher, bool) {
	if id == t.LocalWriter.ID {
		return receivedVoucher{t.LocalWriter.voucher(t.inForce.Config), now}, t.LocalWriter.canVouch(t.inForce.Config)
	}
	v, ok := t.received[id]
	return v, ok
}

// seatsOf returns the version of a zone's seat table, or 0 if it is not listed.
func (v Voucher) seatsOf(zone string) uint64 {
	for _, s := range v.Seats {
		if s.AvailabilityZone == zone {
			return s.Version
		}
	}
	return 0
}

// mergeVoucher keeps a voucher received from a peer if it is the newest of a
// listed writer. A final voucher replaces every other, and only another final one
// replaces it.
func (t *Tracker) mergeVoucher(pullSent time.Time, v Voucher) {
	if v.Age < 0 || v.Writer == t.LocalWriter.ID || !t.Listed(v.Writer) {
		return
	}
	asOf := pullSent.Add(-v.Age)
	old, ok := t.received[v.Writer]
	if ok && !v.Final && (old.Final || !asOf.After(old.asOf)) {
		return
	}
	if t.received == nil {
		t.received = map[WriterID]receivedVoucher{}
	}
	t.received[v.Writer] = receivedVoucher{Voucher: v, asOf: asOf}
}

// vouchersToSend returns the vouchers to report to a peer, in the order of the
// listed writers, this process's own among them if it can vouch.
func (t *Tracker) vouchersToSend(now time.Time) []Voucher {
	var out []Voucher
	for _, id := range t.writers {
		if id == t.LocalWriter.ID {
			if t.LocalWriter.canVouch(t.inForce.Config) {
				out = append(out, t.LocalWriter.voucher(t.inForce.Config))
			}
			continue
		}
		if latest, ok := t.received[id]; ok {
			v := latest.Voucher
			v.Age = now.Sub(latest.asOf)
			out = append(out, v)
		}
	}
	return out
}
