// Package invariant checks at run time what the system guarantees. A violation is
// counted and logged in production, and fails a test.
package invariant

import (
	"fmt"
	"sync"
)

// Name identifies one guarantee.
type Name string

// Guarantees that the program checks.
const (
	// ShiftWithinCap: a shift moves no larger share of requests than config.Shift.Cap.
	ShiftWithinCap Name = "shift-within-cap"
	// RegionWithinBudget: an instance has no more requests in flight in a region than
	// its share of the region's limit.
	RegionWithinBudget Name = "region-within-budget"
	// LinkWithinBudget: an instance uses no more of a link between regions than its
	// share of the bandwidth.
	LinkWithinBudget Name = "link-within-budget"
	// TargetWithinSlots: an instance has no more requests in flight at a target than
	// its share of the target's slots.
	TargetWithinSlots Name = "target-within-slots"
	// KeyOfWorkspace: a request runs only for a workspace that has its key and is not
	// cut off.
	KeyOfWorkspace Name = "key-of-workspace"
	// KeyNotForwarded: a caller's key is not sent to a target.
	KeyNotForwarded Name = "key-not-forwarded"
	// RateWithinLimit: no token of a workspace's limit is used that the limit does not
	// allow.
	RateWithinLimit Name = "rate-within-limit"
	// WholeAnswer: a response that is passed on as complete has as many bytes as its
	// Content-Length says.
	WholeAnswer Name = "whole-answer"
	// NotRunIsTrue: if a caller is told that its request did not run, no attempt at a
	// target may have run it.
	NotRunIsTrue Name = "not-run-is-true"
	// AtMostOnce: a request that must not be repeated runs at most once.
	AtMostOnce Name = "at-most-once"
	// LeavingGetsNothing: a target that is drained, leaves or pauses gets no new
	// requests.
	LeavingGetsNothing Name = "leaving-gets-nothing"
	// ShutdownCutsNothing: an orderly shutdown lets all requests in flight finish.
	ShutdownCutsNothing Name = "shutdown-cuts-nothing"
	// VersionNeverReverts: an instance does not replace its configuration by one of a
	// lower version.
	VersionNeverReverts Name = "version-never-reverts"
)

// Recorder counts violations. The zero value is ready for use.
type Recorder struct {
	// OnViolation, if set, is called for each violation, with a description of it.
	OnViolation func(name Name, detail string)

	mu     sync.Mutex
	counts map[Name]int64
}

// Check records a violation of the guarantee if ok is false. format and args describe
// the violation. It returns ok. A nil recorder records nothing.
func (r *Recorder) Check(ok bool, name Name, format string, args ...any) bool {
	if ok || r == nil {
		return ok
	}
	r.mu.Lock()
	if r.counts == nil {
		r.counts = map[Name]int64{}
	}
	r.counts[name]++
	r.mu.Unlock()
	if r.OnViolation != nil {
		r.OnViolation(name, fmt.Sprintf(format, args...))
	}
	return false
}

// Counts returns the number of violations of each guarantee that was violated.
func (r *Recorder) Counts() map[Name]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Name]int64, len(r.counts))
	for name, n := range r.counts {
		out[name] = n
	}
	return out
}
