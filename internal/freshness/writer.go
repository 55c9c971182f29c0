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

	writesInFlight int
	// config is the newest configuration record that this process has written.
	writtenConfig uint64
	// unknownBase is the newest record revision on top of which a write
	// of unknown outcome was made. The write is settled once a newer version
	// is known, because its compare-and-swap can no longer succeed.
	unknownConfigBase uint64
	configUnknown     bool
	// unknownSeats holds the same for seat tables: the bases not yet settled.
	unknownSeatsBases []SeatsVersion
	knownSeats        []SeatsVersion
	retired           bool
}

// BeginConfigWrite must be called before a write of the configuration record is
// sent. Every successful call is followed by one call of EndConfig.
func (w *LocalWriter) BeginConfigWrite() error { return w.begin() }

// BeginSeatsWrite must be called before a write of a seat table is sent. Every
// successful call is followed by one call of EndSeats.
func (w *LocalWriter) BeginSeatsWrite() error { return w.begin() }

func (w *LocalWriter) begin() error {
	if w.retired {
		return ErrRetired
	}
	w.writesInFlight++
	return nil
}

// EndConfigWrite records the end of a write on top of the record revision base.
func (w *LocalWriter) EndConfigWrite(base uint64, o Outcome) {
	w.writesInFlight--
	switch o {
	case OutcomeUnknown:
		w.unknownConfigBase, w.configUnknown = max(w.unknownConfigBase, base), true
	case OutcomeAccepted:
		w.writtenConfig = max(w.writtenConfig, base+1)
	}
}

// EndSeatsWrite records the end of a write of a zone's seat table on top of the
// version base.
func (w *LocalWriter) EndSeatsWrite(zone string, base uint64, o Outcome) {
	w.writesInFlight--
	switch o {
	case OutcomeUnknown:
		w.unknownSeatsBases = append(w.unknownSeatsBases, SeatsVersion{zone, base})
	case OutcomeAccepted:
		w.RecordSeatsRead(zone, base+1)
	}
}

// RecordSeatsRead records that the process has read a version of a zone's seat
// table, which settles its earlier writes of unknown outcome.
func (w *LocalWriter) RecordSeatsRead(zone string, version uint64) {
	w.unknownSeatsBases = slices.DeleteFunc(w.unknownSeatsBases, func(s SeatsVersion) bool {
		return s.AvailabilityZone == zone && s.Version < version
	})
	i := slices.IndexFunc(w.knownSeats, func(s SeatsVersion) bool { return s.AvailabilityZone == zone })
	if i < 0 {
		w.knownSeats = append(w.knownSeats, SeatsVersion{zone, version})
		return
	}
	w.knownSeats[i].Version = max(w.knownSeats[i].Version, version)
}

// Retire ends the writing of this process for good. From then on its voucher
// is final.
func (w *LocalWriter) Retire() { w.retired = true }

// Retired tells whether this process has ended its writing.
func (w *LocalWriter) Retired() bool { return w.retired }

// canVouch tells whether every write of this process is settled, given the
// record revision that the instance holds.
func (w *LocalWriter) canVouch(held uint64) bool {
	if w.configUnknown && max(held, w.writtenConfig) > w.unknownConfigBase {
		w.configUnknown = false
	}
	return w.writesInFlight == 0 && !w.configUnknown && len(w.unknownSeatsBases) == 0
}

func (w *LocalWriter) voucher(held uint64) Voucher {
	return Voucher{Writer: w.ID, Config: max(held, w.writtenConfig), Seats: slices.Clone(w.knownSeats), Final: w.retired}
}
