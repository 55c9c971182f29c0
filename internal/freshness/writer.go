package freshness

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrRetired refuses a write of a process that has given its final voucher.
var ErrRetired = errors.New("this instance is leaving and writes no control record any more")

// Outcome is what is known of a write that has ended.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeRejected means that the write did not and will not take effect.
	OutcomeRejected Outcome = iota
	// OutcomeAccepted means that the write took effect.
	OutcomeAccepted
	// OutcomeUnknown means that the write may yet take effect.
	OutcomeUnknown
)

// LocalWriter accounts for the control records that this process writes itself.
type LocalWriter struct {
	ID WriterID

	inFlight int
	// config is the newest configuration record that this process has written.
	config uint64
	// unknownBase is the newest record revision on top of which a write
	// of unknown outcome was made. The write is settled once a newer version
	// is known, because its compare-and-swap can no longer succeed.
	unknownBase uint64
	unsettled   bool
	// unknownSeats holds the same for seat tables: the bases not yet settled.
	unknownSeats []SeatsVersion
	seats        []SeatsVersion
	retired      bool
}

// BeginConfigWrite must be called before a write of the configuration record is
// sent. Every successful call is followed by one call of EndConfig.
func (a *LocalWriter) BeginConfigWrite() error { return a.begin() }

// BeginSeatsWrite must be called before a write of a seat table is sent. Every
// successful call is followed by one call of EndSeats.
func (a *LocalWriter) BeginSeatsWrite() error { return a.begin() }

func (a *LocalWriter) begin() error {
	if a.retired {
		return ErrRetired
	}
	a.inFlight++
	return nil
}

// EndConfigWrite records the end of a write on top of the record revision base.
func (a *LocalWriter) EndConfigWrite(base uint64, o Outcome) {
	a.inFlight--
	switch o {
	case OutcomeUnknown:
		a.unknownBase, a.unsettled = max(a.unknownBase, base), true
	case OutcomeAccepted:
		a.config = max(a.config, base+1)
	}
}

// EndSeatsWrite records the end of a write of a zone's seat table on top of the
// version base.
func (a *LocalWriter) EndSeatsWrite(zone string, base uint64, o Outcome) {
	a.inFlight--
	switch o {
	case OutcomeUnknown:
		a.unknownSeats = append(a.unknownSeats, SeatsVersion{zone, base})
	case OutcomeAccepted:
		a.RecordSeatsRead(zone, base+1)
	}
}

// RecordSeatsRead records that the process has read a version of a zone's seat
// table, which settles its earlier writes of unknown outcome.
func (a *LocalWriter) RecordSeatsRead(zone string, version uint64) {
	a.unknownSeats = slices.DeleteFunc(a.unknownSeats, func(s SeatsVersion) bool {
		return s.AvailabilityZone == zone && s.Version < version
	})
	i := slices.IndexFunc(a.seats, func(s SeatsVersion) bool { return s.AvailabilityZone == zone })
	if i < 0 {
		a.seats = append(a.seats, SeatsVersion{zone, version})
		return
	}
	a.seats[i].Version = max(a.seats[i].Version, version)
}

// Retire ends the writing of this process for good. From then on its voucher
// is final.
func (a *LocalWriter) Retire() { a.retired = true }

// Retired tells whether this process has ended its writing.
func (a *LocalWriter) Retired() bool { return a.retired }

// canVouch tells whether every write of this process is settled, given the
// record revision that the instance holds.
func (a *LocalWriter) canVouch(held uint64) bool {
	if a.unsettled && max(held, a.config) > a.unknownBase {
		a.unsettled = false
	}
	return a.inFlight == 0 && !a.unsettled && len(a.unknownSeats) == 0
}

func (a *LocalWriter) voucher(held uint64) Voucher {
	return Voucher{Writer: a.ID, Config: max(held, a.config), Seats: slices.Clone(a.seats), Final: a.retired}
}
