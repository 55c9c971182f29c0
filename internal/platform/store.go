// Package platform is the interface to the platform that the system runs on, and
// its client. The platform offers a small key-value store with compare-and-swap,
// leases and watches, and a list of instances, which lags behind the instances
// that really run.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest size of a value that an instance writes. The store may hold
// larger ones of other writers.
const MaxValueBytes = 1 << 20

// ReadLimits bound what an instance reads of the store, by the memory that it has. What the
// store holds within them is used.
type ReadLimits struct {
	ValueBytes    int // of one value; a larger one is left out
	ResponseBytes int // of one response, without the values that are left out
	CopyBytes     int // of the keys and values of all entries
}

const (
	// valueShare is the fraction 1/valueShare of an instance's memory that one value may
	// have. A value is in memory several times while it is read, decoded and passed on.
	valueShare = 32
	// pageTextBytes is at least the text of a page of a listing without its last entry: of
	// about 500 entries or 1 MB of values, in base64.
	pageTextBytes = 2 << 20
	// minCopyBytes is the limit of a copy for instances with little memory.
	minCopyBytes = 64 << 20
	// defaultMemoryBytes is the memory of an instance whose settings give no limit.
	defaultMemoryBytes = 512 << 20
)

// NewReadLimits returns the limits of an instance with this memory limit in bytes; 0 for
// none. A page of a listing whose last value is at the limit fits into a response.
func NewReadLimits(memoryBytes int64) ReadLimits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	value := max(int(memoryBytes/valueShare), MaxValueBytes)
	return ReadLimits{ValueBytes: value, ResponseBytes: 2*value + pageTextBytes, CopyBytes: max(4*value, minCopyBytes)}
}

// Errors of the store.
var (
	// ErrUnavailable means that a read or watch failed, or that the store refused a
	// write, which then had no effect.
	ErrUnavailable = errors.New("platform store is unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect: read
	// the key before trying again.
	ErrUnknownOutcome = errors.New("platform store gave no answer; the write may have taken effect")
	// ErrRefused means that the platform refused a read or watch, as it does above its
	// limits or while it is down.
	ErrRefused = errors.New("platform store refused the call")
	// ErrUnreadable means that a response came which cannot be read, or which ends
	// early. It shows nothing of what the store holds, also if another call succeeds.
	ErrUnreadable = errors.New("platform store's response cannot be read")
	// ErrTooLarge means that a response is larger than what is read at once: list the
	// keys instead.
	ErrTooLarge      = errors.New("platform store's response is too large")
	ErrLeaseExpired  = errors.New("lease does not exist or has expired")
	ErrValueTooLarge = errors.New("value exceeds the store's limit")
	// ErrHistoryGone means that a watch cannot continue from its revision because
	// the changes after it are no longer kept: list the keys again.
	ErrHistoryGone = errors.New("the store no longer has this history")
)

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // store revision that wrote it; 0: the key does not exist
	LeaseID  uint64 // lease whose end deletes the key; 0: none
	// OmittedBytes is the size of the value if it exceeds ReadLimits.ValueBytes. Value is
	// empty then.
	OmittedBytes int
}

// Write is one compare-and-swap.
type Write struct {
	Key string
	// ExpectedRevision is the revision that the key must have; 0: it must not
	// exist.
	ExpectedRevision uint64
	Value            []byte // at most MaxValueBytes
	LeaseID          uint64 // lease whose end deletes the key; 0: none
	Delete           bool   // deletes the key instead of writing the value
	// Requires lists conditions on other keys, all of which must hold for the
	// write to take effect.
	Requires []Condition
}

// Condition is the revision that a key must have; 0: it must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Change is one change that a watch reports.
type Change struct {
	Entry   Entry // of the key after the change, with the revision that it made
	Deleted bool
	// Difference is that of the value to an earlier one, or nil. The store has none;
	// instances pass large values on by it.
	Difference *Difference
}

// Difference is a value as package delta encodes it.
type Difference struct {
	Base uint64 // revision at which the key had the base; 0: the base is empty
	Data []byte
}

// Store is the key-value store. Each change of a key raises the store's revision.
// Every method counts as one call against the limits that the platform sets, and a
// watch counts as one call for as long as it is open.
//
// Errors are marked with those above (see errors.Is). Reads and watches fail with
// ErrUnavailable, and with ErrRefused, ErrUnreadable or ErrTooLarge if there was a response. A watch
// also fails with ErrHistoryGone.
type Store interface {
	// Get returns the entry of a key, with Revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, and the store's
	// revision, from which a watch can continue.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap reports whether the write took effect, and the written key's
	// entry after it. The write has no effect if the key's revision or a required
	// one differs. After ErrUnknownOutcome it may have taken effect, even if the
	// error is also marked with another.
	CompareAndSwap(ctx context.Context, w Write) (bool, Entry, error)
	// GrantLease returns the ID of a new lease. The lease ends, and the keys
	// written with it are deleted, once it has not been renewed for ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease restarts the lease's time to live.
	RenewLease(ctx context.Context, id uint64) error
	// Watch calls onChange with the changes of keys with the prefix whose revision
	// is above afterRevision, until the context ends or the connection breaks. A
	// call without changes shows progress: all changes up to the revision have
	// been delivered.
	Watch(ctx context.Context, prefix string, afterRevision uint64, onChange func(changes []Change, revision uint64)) error
}

// InstanceState is the state of an instance as the platform knows it.
type InstanceState string

// States of instances in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving" // it is being shut down
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name             string
	AvailabilityZone string
	Address          string // IP:port for callers
	PeerAddress      string // IP:port for other instances
	State            InstanceState
}

// InstanceList is the platform's list of instances. It lags: it can still name
// instances that have ended and lack ones that have started.
type InstanceList interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}
