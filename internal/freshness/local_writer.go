package freshness

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrRetired is returned for a write of a process whose voucher is final.
var ErrRetired = errors.New("this instance is shutting down and no longer writes control records")

// Outcome is what is known about a write after its attempt has ended.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeRejected means that the write did not and will not take effect.
	OutcomeRejected Outcome = iota
	// OutcomeAccepted means that the write took effect.
	OutcomeAccepted
	// OutcomeUnknown means that the write may have taken effect or may do so later.
	OutcomeUnknown
)

// LocalWriter accounts for this process's own writes of control records, so that it
// knows when it can vouch for them. Each write is a compare-and-swap on top of a
// base, the version that the writer has read.
type LocalWriter struct {
	ID WriterID

	writesInFlight int
	// writtenConfig is the newest revision of the configuration record that this
	// process has written.
	writtenConfig uint64
	// unknownConfigBase is the newest revision of the configuration record on top
	// of which a write of unknown outcome was made, while configUnknown. The
	// uncertainty ends once a newer revision is known, because the compare-and-swap
	// can no longer succeed then.
	unknownConfigBase uint64
	configUnknown     bool
	// unknownSeatsBases are the versions of seat tables on top of which writes of
	// unknown outcome were made. They are removed once a newer version is read.
	unknownSeatsBases []SeatsVersion
	knownSeats        []SeatsVersion // newest version of each table written or read
	retired           bool
}

// BeginConfigWrite must be called before a write of the configuration record is
// sent. Every successful call is followed by one call of EndConfigWrite.
func (w *LocalWriter) BeginConfigWrite() error { return w.begin() }

// BeginSeatsWrite must be called before a write of a seat table is sent. Every
// successful call is followed by one call of EndSeatsWrite.
func (w *LocalWriter) BeginSeatsWrite() error { return w.begin() }

func (w *LocalWriter) begin() error {
	if w.retired {
		return ErrRetired
	}
	w.writesInFlight++
	return nil
}

// EndConfigWrite records the outcome of a write on top of the configuration
// record's revision base.
func (w *LocalWriter) EndConfigWrite(base uint64, o Outcome) {
	w.writesInFlight--
	switch o {
	case OutcomeUnknown:
		w.unknownConfigBase, w.configUnknown = max(w.unknownConfigBase, base), true
	case OutcomeAccepted:
		w.writtenConfig = max(w.writtenConfig, base+1)
	}
}

// EndSeatsWrite records the outcome of a write of a zone's seat table on top of
// the version base.
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
// table. Writes of unknown outcome on top of older versions can no longer succeed
// and are forgotten.
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

// Retire ends the writing of control records by this process for good. From then
// on its voucher is final.
func (w *LocalWriter) Retire() { w.retired = true }

// Retired tells whether Retire was called.
func (w *LocalWriter) Retired() bool { return w.retired }

// canVouch tells whether the outcome of every write of this process is known,
// given the revision of the configuration record that the instance has in force.
func (w *LocalWriter) canVouch(inForce uint64) bool {
	if w.configUnknown && max(inForce, w.writtenConfig) > w.unknownConfigBase {
		w.configUnknown = false
	}
	return w.writesInFlight == 0 && !w.configUnknown && len(w.unknownSeatsBases) == 0
}

// voucher returns this process's own voucher as of now, given the revision of the
// configuration record that the instance has in force.
func (w *LocalWriter) voucher(inForce uint64) Voucher {
	return Voucher{Writer: w.ID, Config: max(inForce, w.writtenConfig), Seats: slices.Clone(w.knownSeats), Final: w.retired}
}
