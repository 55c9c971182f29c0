package ratelimit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

// minTokensPerOwner is the smallest burst, in tokens, that a limit is divided
// into, unless the workspace's whole burst is smaller. A bucket of only a few
// tokens would be full, and lose what accrues, before anyone asks for a token.
const minTokensPerOwner = 5

// ZoneSeats is the number of seats in one availability zone.
type ZoneSeats struct {
	AvailabilityZone string
	Seats            int
}

// allotment is the part of a workspace's limit that one seat owns.
type allotment struct {
	seat  int     // index within the zone
	rate  float64 // tokens per second
	burst float64 // tokens
}

// divide divides a workspace's rate and burst equally over one seat in each of
// several zones, and returns the parts by zone. Zones and seats are chosen by
// rendezvous hashing. The result depends on nothing but the arguments, so that
// all instances with the same configuration agree on it.
func divide(w *config.Workspace, zones []ZoneSeats) map[string]allotment {
	candidates := make([]ZoneSeats, 0, len(zones))
	for _, z := range zones {
		if z.Seats > 0 {
			candidates = append(candidates, z)
		}
	}
	slices.SortFunc(candidates, func(a, b ZoneSeats) int {
		return cmp.Or(cmp.Compare(hashRank(w.Name, a.AvailabilityZone, 0), hashRank(w.Name, b.AvailabilityZone, 0)),
			cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	ownerCount := min(len(candidates), max(1, w.Burst/minTokensPerOwner))
	out := make(map[string]allotment, ownerCount)
	for _, z := range candidates[:ownerCount] {
		out[z.AvailabilityZone] = allotment{
			seat: ownerSeat(w.Name, z), rate: w.Rate / float64(ownerCount), burst: float64(w.Burst) / float64(ownerCount),
		}
	}
	return out
}

// ownerSeat returns the index of the zone's seat that owns the workspace's part.
func ownerSeat(workspace string, z ZoneSeats) int {
	best, bestHash := 0, uint64(0)
	for i := range z.Seats {
		if hash := hashRank(workspace, z.AvailabilityZone, uint64(i)+1); hash >= bestHash {
			best, bestHash = i, hash
		}
	}
	return best
}

// hashRank returns the hash that orders the choices of rendezvous hashing.
func hashRank(a, b string, n uint64) uint64 {
	key := make([]byte, 0, 64)
	key = append(append(append(key, a...), 0), b...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(key, n))
}
