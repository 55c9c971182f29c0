package steering

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// slotCount is the number of slots that client blocks are hashed to. All
	// blocks of a slot that are assigned to the same availability zone get the
	// same answer.
	slotCount = 1 << 14
	// rankedPerSlot is the number of instances that a ranking keeps for a slot.
	rankedPerSlot = 2

	// noCandidate marks a rank of a slot that no candidate fills.
	noCandidate = math.MaxUint16
)

// zoneRanking holds the best instances of one availability zone for each slot,
// found by weighted rendezvous hashing. A change of one instance moves only the
// slots that this instance gains or loses. Likewise, two instances whose views
// of the fleet differ in one member give the same answers for all other slots.
type zoneRanking struct {
	candidates []Candidate
	slots      [][rankedPerSlot]uint16 // indexes of candidates, best first
}

// buildZoneRanking ranks the candidates for every slot. It returns the previous
// ranking, which may be nil, if that has the same candidates.
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

// rankCandidates returns the indexes of the best candidates for a slot. seeds
// holds the hashes of the candidates' keys. If weighted is false, all weights
// are equal and the scores leave them out, which gives the same order faster.
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

// memberAt returns the instance at a rank for a slot, or nil if there is none. A
// slot is a hash value of address blocks; rank 0 is the best.
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

// slotHash returns a uniformly distributed hash of a seed and a slot number.
func slotHash(seed, slot uint64) uint64 {
	return Block(seed ^ (slot+1)*0x9e3779b97f4a7c15).hash()
}

// uniform maps a hash to a number u in the open interval (0, 1). If candidates
// are ordered by the score weight / -ln(u), each one comes first with a
// probability in proportion to its weight. With equal weights that order is the
// order of u.
func uniform(h uint64) float64 {
	const mantissaBits = 53
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
