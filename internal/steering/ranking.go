package steering

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// slotCount is the number of groups into which the blocks of an availability
	// zone are hashed. All blocks of a group get the same answer.
	slotCount = 1 << 14
	// rankedPerSlot is the number of instances that a ring names for a group.
	rankedPerSlot = 2

	noCandidate = math.MaxUint16
)

// zoneRanking ranks the instances of one availability zone for each group of blocks by
// weighted rendezvous hashing: a change of one instance moves only the groups
// that it gains or loses, and two views that differ in one instance agree on
// all other groups.
type zoneRanking struct {
	candidates []Candidate
	slots      [][rankedPerSlot]uint16 // positions in candidates, best first
}

// buildZoneRanking returns the previous ring if its candidates are the same.
func buildZoneRanking(candidates []Candidate, previous *zoneRanking) *zoneRanking {
	if previous != nil && slices.Equal(candidates, previous.candidates) {
		return previous
	}
	r := &zoneRanking{candidates: candidates, slots: make([][rankedPerSlot]uint16, slotCount)}
	seeds := make([]uint64, len(candidates))
	for i := range candidates {
		seeds[i] = xxhash.Sum64String(candidates[i].hashKey())
	}
	weighted := !equalWeights(candidates)
	for slot := range r.slots {
		r.slots[slot] = rankCandidates(candidates, seeds, uint64(slot), weighted)
	}
	return r
}

// rankCandidates returns the best candidates for a group of blocks.
func rankCandidates(candidates []Candidate, seeds []uint64, slot uint64, weighted bool) [rankedPerSlot]uint16 {
	best := [rankedPerSlot]uint16{noCandidate, noCandidate}
	var scores [rankedPerSlot]float64
	for i := range candidates {
		score := uniform(slotHash(seeds[i], slot))
		if weighted {
			score = candidates[i].Weight / -math.Log(score)
		}
		switch {
		case score > scores[0]:
			scores[1], best[1] = scores[0], best[0]
			scores[0], best[0] = score, uint16(i)
		case score > scores[1]:
			scores[1], best[1] = score, uint16(i)
		}
	}
	return best
}

// memberAt returns the instance at a rank of a group, nil if there is none.
func (r *zoneRanking) memberAt(slot uint64, rank int) *membership.Member {
	i := r.slots[slot][rank]
	if i == noCandidate {
		return nil
	}
	return &r.candidates[i].Member
}

func equalWeights(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Weight != candidates[0].Weight {
			return false
		}
	}
	return true
}

func slotHash(seed, slot uint64) uint64 {
	return Block(seed ^ (slot+1)*0x9e3779b97f4a7c15).hash()
}

// uniform maps a hash to the open interval (0, 1). An instance with the score
// weight / -ln(u) ranks first in proportion to its weight; with equal weights
// that order is the order of u.
func uniform(h uint64) float64 {
	const mantissaBits = 53
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
