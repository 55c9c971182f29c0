// Package idempotency makes sure that a request which must not be repeated runs at
// most once, even if its caller sends it again through another instance. Before
// such a request runs, its id is claimed by creating a key in the platform's
// key-value store.
//
// ClaimAttempt is a deterministic state machine that decides what to do from
// the store's responses; Claimer makes the calls.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// KeyPrefix is the prefix of the store's keys of claims.
const KeyPrefix = "once/"

// Result is the outcome of a claim.
type Result int

// Results of a claim.
const (
	// Unavailable: the store did not tell whether the request was claimed
	// before; it must not be run now.
	Unavailable Result = iota
	// Claimed: the request was not claimed before and may be run by this
	// instance.
	Claimed
	// Duplicate: the request was claimed before and may have been run.
	Duplicate
)

// Claim identifies a claim in the store, so that it can be released.
type Claim struct {
	Key      string
	Revision uint64 // of the key; a release deletes no later claim
}

// Key returns the store's key for a workspace's request id.
func Key(workspace, id string) string {
	digest := sha256.Sum256([]byte(workspace + "\x00" + id))
	return KeyPrefix + hex.EncodeToString(digest[:])
}

// Step is what the caller of a ClaimAttempt has to do next.
type Step int

// Steps of a claim.
const (
	Create     Step = iota // create the key with the nonce as its value, then call HandleCreate
	ReadBack               // read the key, then call HandleRead
	RenewLease             // obtain a new lease, then proceed as for Create
	Done                   // nothing: Result returns the outcome
)

// maxCreates bounds the create calls of one claim.
const maxCreates = 2

// ClaimAttempt is one claim in progress. Its nonce, the value of the created key,
// distinguishes a create call of its own that succeeded although the response
// was lost from a claim by somebody else.
type ClaimAttempt struct {
	Nonce string

	createCalls int
	result      Result
	revision    uint64
}

// Start returns the first step, and counts a create call.
func (a *ClaimAttempt) Start() Step {
	a.createCalls++
	return Create
}

// HandleCreate takes the result of a create call and returns the next step.
// swapped says that the key was created; current is the entry that the store
// holds now.
func (a *ClaimAttempt) HandleCreate(swapped bool, current platform.Entry, err error) Step {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		return ReadBack
	case errors.Is(err, platform.ErrLeaseExpired) && a.createCalls < maxCreates:
		a.createCalls++
		return RenewLease
	case err != nil:
		return Done
	case swapped:
		return a.recordClaimed(current)
	}
	return a.foundExisting(current)
}

// HandleRead takes the result of a read that follows a create call of unknown
// outcome, and returns the next step.
func (a *ClaimAttempt) HandleRead(current platform.Entry, err error) Step {
	switch {
	case err != nil:
		return Done
	case current.Revision != 0:
		return a.foundExisting(current)
	case a.createCalls < maxCreates:
		return a.Start()
	}
	return Done
}

// Result returns the outcome after Done, and the revision of the claimed key.
func (a *ClaimAttempt) Result() (Result, uint64) { return a.result, a.revision }

// foundExisting handles a key that exists: it is this attempt's own if it holds
// the nonce.
func (a *ClaimAttempt) foundExisting(current platform.Entry) Step {
	if string(current.Value) == a.Nonce {
		return a.recordClaimed(current)
	}
	a.result = Duplicate
	return Done
}

func (a *ClaimAttempt) recordClaimed(current platform.Entry) Step {
	a.result, a.revision = Claimed, current.Revision
	return Done
}
