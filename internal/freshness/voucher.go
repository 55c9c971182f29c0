package freshness

import (
	"slices"
	"time"
)

// WriterID names one process that may write control records. A restarted
// instance has another incarnation and is another writer.
type WriterID struct {
	Instance    string
	Incarnation uint64
}

// SeatsVersion is the version of one availability zone's seat table.
type SeatsVersion struct {
	AvailabilityZone string
	Version          uint64
}

// Voucher says that, up to a moment, its writer had begun no write of a control
// record beyond the given versions, and had no write of unknown outcome.
type Voucher struct {
	Writer WriterID
	// Config is the newest record revision that the writer knew.
	Config uint64
	// Seats lists the newest seat tables that the writer has written.
	Seats []SeatsVersion
	// Age is the time since the moment that the voucher speaks of.
	Age time.Duration
	// Final says that the writer will never write again.
	Final bool
}

// heldVoucher is a voucher with its moment on the local monotonic clock.
type receivedVoucher struct {
	Voucher
	asOf time.Time
}

// SetWriters records the writers that the configuration record in force lists.
// It is called together with Hold.
func (t *Tracker) SetWriters(writers []WriterID) {
	t.writers = slices.Clone(writers)
	for id := range t.received {
		if !slices.Contains(t.writers, id) {
			delete(t.received, id)
		}
	}
}

// Listed tells whether a writer may write on top of the record in force.
func (t *Tracker) Listed(id WriterID) bool { return slices.Contains(t.writers, id) }

// vouchedUpTo returns the moment up to which every listed writer has vouched.
// One of them at least must still be able to write: when all have ended,
// another process may list itself.
func (t *Tracker) vouchedUpTo(now time.Time) (time.Time, bool) {
	upTo, anyStillWriting := now, false
	for _, id := range t.writers {
		v, ok := t.voucherOf(id, now)
		if !ok || v.Config > t.held.Config || v.seatsOf(t.Zone) > t.held.Seats {
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

func (t *Tracker) voucherOf(id WriterID, now time.Time) (receivedVoucher, bool) {
	if id == t.LocalWriter.ID {
		return receivedVoucher{t.LocalWriter.voucher(t.held.Config), now}, t.LocalWriter.canVouch(t.held.Config)
	}
	v, ok := t.received[id]
	return v, ok
}

func (v Voucher) seatsOf(zone string) uint64 {
	for _, s := range v.Seats {
		if s.AvailabilityZone == zone {
			return s.Version
		}
	}
	return 0
}

// mergeVoucher keeps the newest voucher of each listed writer. A final one is
// never replaced.
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

// givenVouchers lists the vouchers that this instance passes on, its own first.
func (t *Tracker) vouchersToSend(now time.Time) []Voucher {
	var out []Voucher
	for _, id := range t.writers {
		if id == t.LocalWriter.ID {
			if t.LocalWriter.canVouch(t.held.Config) {
				out = append(out, t.LocalWriter.voucher(t.held.Config))
			}
			continue
		}
		if received, ok := t.received[id]; ok {
			v := received.Voucher
			v.Age = now.Sub(received.asOf)
			out = append(out, v)
		}
	}
	return out
}
