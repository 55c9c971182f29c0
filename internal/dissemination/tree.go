package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// WatchersPerZone is the number of instances of an availability zone that
	// read the store.
	WatchersPerZone = 2
	// fanOut is the number of instances that pull from one instance.
	fanOut = 4
)

// tree orders the instances of each availability zone by rendezvous hashing.
// The first ones are watchers; each of the others pulls from the instance that
// its place names. Views may differ: any instance answers any pull.
type tree struct {
	zone          []rankedMember // own zone in rank order
	ownRank       int            // own place, -1 if unknown
	otherWatchers []rankedMember // watchers of the other zones
}

// rankedMember is a member with its rendezvous score.
type rankedMember struct {
	membership.Member
	score uint64
}

func (t *tree) build(self membership.Member, members []membership.Member) {
	t.zone = t.zone[:0]
	best := map[string][]rankedMember{}
	var zones []string
	for _, m := range members {
		if m.Name != self.Name && m.State != membership.Live {
			continue
		}
		r := rankedMember{Member: m, score: xxhash.Sum64String("watch/" + m.Name)}
		if m.AvailabilityZone == self.AvailabilityZone {
			t.zone = append(t.zone, r)
			continue
		}
		first := best[m.AvailabilityZone]
		if first == nil {
			zones = append(zones, m.AvailabilityZone)
		}
		first = append(first, r)
		slices.SortFunc(first, compareRanked)
		best[m.AvailabilityZone] = first[:min(WatchersPerZone, len(first))]
	}
	slices.SortFunc(t.zone, compareRanked)
	t.ownRank = slices.IndexFunc(t.zone, func(m rankedMember) bool { return m.Name == self.Name })
	t.otherWatchers = t.otherWatchers[:0]
	slices.Sort(zones)
	for _, zone := range zones {
		t.otherWatchers = append(t.otherWatchers, best[zone]...)
	}
}

func compareRanked(a, b rankedMember) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
}

func (t *tree) isWatcher() bool { return t.ownRank >= 0 && t.ownRank < WatchersPerZone }

// parents returns whom to pull from, the usual one first; the others are the
// watchers and the relays that are no further from them.
func (t *tree) parents() []rankedMember {
	if t.ownRank < WatchersPerZone {
		return nil
	}
	first := (t.ownRank - WatchersPerZone) / fanOut
	out := []rankedMember{t.zone[first]}
	for i := range max(WatchersPerZone, first) {
		if i != first {
			out = append(out, t.zone[i])
		}
	}
	return out
}

// children returns the instances that usually pull from this one.
func (t *tree) children() []rankedMember {
	if t.ownRank < 0 {
		return nil
	}
	first := min(WatchersPerZone+fanOut*t.ownRank, len(t.zone))
	return t.zone[first:min(first+fanOut, len(t.zone))]
}
