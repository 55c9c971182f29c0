package platform

import "github.com/cockroachdb/errors"

// A store that comes back as an older copy of itself gives revisions out again. Its era
// rises each time. A revision holds the era in its upper bits and the store's own number in
// the lower ones, so that plain comparison orders by era first. A store without eras has era 0.
const (
	revisionNumberBits = 48
	// MaxEra is the highest era that a revision can hold. It leaves the sign bit of an
	// int64 free.
	MaxEra = 1<<(63-revisionNumberBits) - 1
	// MaxRevisionNumber is the highest number that a revision can hold.
	MaxRevisionNumber = 1<<revisionNumberBits - 1
)

// ErrRevisionRange means that an era or a store's number does not fit into a revision.
var ErrRevisionRange = errors.New("store's era or revision is too high")

// ComposeRevision returns the revision of a number that the store has given out in an
// era. Number 0 stands for a key that does not exist, and is revision 0 in each era.
func ComposeRevision(era, number uint64) (uint64, error) {
	switch {
	case era > MaxEra || number > MaxRevisionNumber:
		return 0, errors.Wrapf(ErrRevisionRange, "era %d of at most %d, revision %d of at most %d", era, MaxEra, number, uint64(MaxRevisionNumber))
	case number == 0:
		return 0, nil
	}
	return era<<revisionNumberBits | number, nil
}

// RevisionEra returns the store's era in which a revision was given out.
func RevisionEra(revision uint64) uint64 { return revision >> revisionNumberBits }

// RevisionNumber returns the store's own number of a revision.
func RevisionNumber(revision uint64) uint64 { return revision & MaxRevisionNumber }
