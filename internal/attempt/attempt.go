// Package attempt decides what the outcome of one try of a request is and
// whether another try is allowed. It is a deterministic core without I/O.
package attempt

// Outcome is what is known of a request after a try.
type Outcome string

// Outcomes. Only NotRun allows another try of a request that may not be
// repeated.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// MaxTries bounds the tries of one request.
const MaxTries = 3

// Retry tells whether another try is allowed after the given number of tries.
func Retry(outcome Outcome, repeatable bool, tries int) bool {
	if tries >= MaxTries {
		return false
	}
	return outcome == NotRun || outcome == Unknown && repeatable
}
