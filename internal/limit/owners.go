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
const tokensPerOwner = 5

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
func allot(w *config.Workspace, zones []ZoneSeats) map[string]allotment {
	ranked := make([]ZoneSeats, 0, len(zones))
	for _, z := range zones {
		if z.Seats > 0 {
			ranked = append(ranked, z)
		}
	}
	slices.SortFunc(ranked, func(a, b ZoneSeats) int {
		return cmp.Or(cmp.Compare(rank(w.Name, a.AvailabilityZone, 0), rank(w.Name, b.AvailabilityZone, 0)),
			cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	owners := min(len(ranked), max(1, w.Burst/tokensPerOwner))
	out := make(map[string]allotment, owners)
	for _, z := range ranked[:owners] {
		out[z.AvailabilityZone] = allotment{
			seat: bestSeat(w.Name, z), rate: w.Rate / float64(owners), burst: float64(w.Burst) / float64(owners),
		}
	}
	return out
}

func bestSeat(workspace string, z ZoneSeats) int {
	best, bestRank := 0, uint64(0)
	for i := range z.Seats {
		if r := rank(workspace, z.AvailabilityZone, uint64(i)+1); r >= bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

func rank(a, b string, n uint64) uint64 {
	key := make([]byte, 0, 64)
	key = append(append(append(key, a...), 0), b...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(key, n))
}
