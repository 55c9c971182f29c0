// Package steering answers which instances a caller should use, and for how
// long. It is a deterministic core without I/O.
package steering

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// AnswerTTL is how long a caller may cache an answer.
	AnswerTTL = 5 * time.Second
	// answerInstances is the number of instances that an answer names.
	answerInstances = 3
)

// Answer names the instances that a caller should use, best first.
type Answer struct {
	Instances []membership.Member
	TTL       time.Duration
}

// Lookup ranks the live instances for a caller. preferred tells whether an
// instance is near the caller; near ones come first, and rendezvous hashing
// spreads callers over each group.
func Lookup(caller string, members []membership.Member, preferred func(membership.Member) bool) Answer {
	type ranked struct {
		member membership.Member
		near   bool
		score  uint64
	}
	var all []ranked
	for _, m := range members {
		if m.State == membership.Live {
			all = append(all, ranked{m, preferred(m), xxhash.Sum64String(caller + "\x00" + m.Name)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		if a.score > b.score {
			return -1
		}
		return 1
	})
	answer := Answer{TTL: AnswerTTL}
	for _, r := range all[:min(len(all), answerInstances)] {
		answer.Instances = append(answer.Instances, r.member)
	}
	return answer
}
