// Package platform is the narrow interface to the platform that the system
// runs on: a small key-value store with compare-and-swap, leases and watches,
// and a lagging list of instances.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes bounds one value of the store.
const MaxValueBytes = 1 << 20

// Errors of the store. ErrUnknownOutcome means that a write may or may not
// have taken effect: read before trying again.
var (
	ErrUnavailable    = errors.New("platform store is unavailable")
	ErrUnknownOutcome = errors.New("platform store gave no answer; the write may have taken effect")
	ErrLeaseExpired   = errors.New("lease does not exist or has expired")
	ErrValueTooLarge  = errors.New("value exceeds the store's limit")
	// ErrHistoryGone means that a watch cannot go on from its revision; list
	// again.
	ErrHistoryGone = errors.New("the store no longer has this history")
)

// Entry is one key with its value. Revision 0 means that it does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	LeaseID  uint64
}

// Write is one compare-and-swap.
type Write struct {
	Key string
	// ExpectedRevision is the revision the key must have; 0: must not exist.
	ExpectedRevision uint64
	Value            []byte
	LeaseID          uint64
	Delete           bool
	// Requires lists other keys that must be unchanged for the write to take
	// effect.
	Requires []Condition
}

// Condition is the revision that a key must have; 0: it must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Change is one change that a watch reports.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Store is the key-value store. Every method counts as one call against its
// limits, and a watch counts as one for as long as it waits.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap reports whether the write took effect, and the written key's
	// entry after it. It takes no effect if the key's revision or a required one
	// differs.
	CompareAndSwap(ctx context.Context, w Write) (bool, Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, id uint64) error
	RevokeLease(ctx context.Context, id uint64) error
	// Watch calls onChange for each change with a revision above after, until
	// the context ends or the connection breaks. onChange with no changes marks
	// progress: everything up to the revision has been delivered.
	Watch(ctx context.Context, prefix string, afterRevision uint64, onChange func(changes []Change, revision uint64)) error
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// States of instances in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name             string
	AvailabilityZone string
	Address          string // IP:port for callers
	PeerAddress      string // IP:port for other instances
	State            InstanceState
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}
