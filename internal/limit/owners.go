package limit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

// tokensPerOwner is the least burst, in tokens, that one owner has. A bucket
// of less than a few tokens overflows before a token is asked for.
const minTokensPerOwner = 5

// ZoneSeats is the number of seats of one availability zone.
type ZoneSeats struct {
	AvailabilityZone string
	Seats            int
}

// allotment is the part of a workspace's rate and burst that one seat has.
type allotment struct {
	seat  int // index within the zone
	rate  float64
	burst float64
}

// allot divides a workspace's rate and burst over one seat in each of several
// zones, by rendezvous hashing. It depends on nothing but its arguments, so
// that all instances with one configuration agree.
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

func ownerSeat(workspace string, z ZoneSeats) int {
	best, bestHash := 0, uint64(0)
	for i := range z.Seats {
		if hash := hashRank(workspace, z.AvailabilityZone, uint64(i)+1); hash >= bestHash {
			best, bestHash = i, hash
		}
	}
	return best
}

func hashRank(a, b string, n uint64) uint64 {
	key := make([]byte, 0, 64)
	key = append(append(append(key, a...), 0), b...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(key, n))
}
