// Package once lets a request that may not be repeated run once only, also if
// its caller sends it again through another instance. Before such a request
// runs, its id is claimed in the platform's store.
//
// The core (Try) is a deterministic state machine that reads the store's
// answers; the shell (Store) makes the calls.
package once

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// KeyPrefix begins the store's key of each claim.
const KeyPrefix = "once/"

// Result is what came of a claim.
type Result int

// Results of a claim.
const (
	// Unavailable: whether the request ran before cannot be told; it must not
	// run now.
	Unavailable Result = iota
	// Claimed: the request is this caller's to run.
	Claimed
	// Duplicate: the request was claimed before and may have run.
	Duplicate
)

// Claim is the right to run one request.
type Claim struct {
	Key      string
	Revision uint64
}

// Key returns the store's key of a workspace's request id.
func Key(workspace, id string) string {
	digest := sha256.Sum256([]byte(workspace + "\x00" + id))
	return KeyPrefix + hex.EncodeToString(digest[:])
}

// Step is a call to the store that a claim needs next.
type Step int

// Calls to the store.
const (
	Create     Step = iota // create the key with the nonce as its value
	ReadBack               // read the key
	RenewLease             // take a new lease, then create the key
	Done                   // none: the result is known
)

// maxCreates bounds the creations that one claim tries.
const maxCreates = 2

// Attempt is one claim in progress. Its nonce tells its own success, whose answer
// was lost, from that of another.
type Attempt struct {
	Nonce string

	createCalls int
	result      Result
	revision    uint64
}

// Start returns the first call.
func (t *Attempt) Start() Step {
	t.createCalls++
	return Create
}

// HandleCreate takes in the answer of a creation.
func (t *Attempt) HandleCreate(swapped bool, current platform.Entry, err error) Step {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		return ReadBack
	case errors.Is(err, platform.ErrLeaseExpired) && t.createCalls < maxCreates:
		t.createCalls++
		return RenewLease
	case err != nil:
		return Done
	case swapped:
		return t.recordClaimed(current)
	}
	return t.foundExisting(current)
}

// HandleRead takes in the answer of a read after a creation without an answer.
func (t *Attempt) HandleRead(current platform.Entry, err error) Step {
	switch {
	case err != nil:
		return Done
	case current.Revision != 0:
		return t.foundExisting(current)
	case t.createCalls < maxCreates:
		return t.Start()
	}
	return Done
}

// Result returns the result after Stop, and the revision of the claim.
func (t *Attempt) Result() (Result, uint64) { return t.result, t.revision }

func (t *Attempt) foundExisting(current platform.Entry) Step {
	if string(current.Value) == t.Nonce {
		return t.recordClaimed(current)
	}
	t.result = Duplicate
	return Done
}

func (t *Attempt) recordClaimed(current platform.Entry) Step {
	t.result, t.revision = Claimed, current.Revision
	return Done
}
