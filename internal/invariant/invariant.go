// Package invariant asserts the system's guarantees inside the running
// program. A violation is counted and logged in production and fails a test.
package invariant

import (
	"fmt"
	"sync"
)

// Name identifies one guarantee.
type Name string

// Guarantees that the program asserts.
const (
	ShiftWithinCap      Name = "shift-within-cap"
	RegionWithinBudget  Name = "region-within-budget"
	LinkWithinBudget    Name = "link-within-budget"
	TargetWithinSlots   Name = "target-within-slots"
	KeyOfWorkspace      Name = "key-of-workspace"
	KeyNotForwarded     Name = "key-not-forwarded"
	RateWithinLimit     Name = "rate-within-limit"
	WholeAnswer         Name = "whole-answer"
	NotRunIsTrue        Name = "not-run-is-true"
	AtMostOnce          Name = "at-most-once"
	LeavingGetsNothing  Name = "leaving-gets-nothing"
	ShutdownCutsNothing Name = "shutdown-cuts-nothing"
	VersionNeverReverts Name = "version-never-reverts"
)

// Recorder counts violations. The zero value is ready for use.
type Recorder struct {
	// OnViolation, if set, is called for each violation.
	OnViolation func(name Name, detail string)

	mu     sync.Mutex
	counts map[Name]int64
}

// Check records a violation of the guarantee if the condition is false. It
// returns the condition. A nil recorder checks nothing.
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

// Counts returns the violations of each guarantee.
func (r *Recorder) Counts() map[Name]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Name]int64, len(r.counts))
	for name, n := range r.counts {
		out[name] = n
	}
	return out
}
