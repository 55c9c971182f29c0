package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// WatchersPerZone is the number of instances in each availability zone that
	// read the store.
	WatchersPerZone = 2
	// fanOut is the largest number of children of an instance in the tree.
	fanOut = 4
)

// tree orders the instances of each availability zone by a hash of their names.
// The first WatchersPerZone instances are the zone's watchers, which read the store.
// The parent of each other instance follows from its rank in that order, as in a
// heap that is stored in a slice. Instances may have different views of the fleet
// and so of the tree; this does no harm, as any instance answers the pull of any
// other.
type tree struct {
	zoneMembers   []rankedMember // instances of the own availability zone, by rank
	ownRank       int            // index of this instance in zoneMembers, -1 if it is not there
	otherWatchers []rankedMember // watchers of the other availability zones
}

// rankedMember is a member with its score, a hash of its name. The member with the
// lowest score ranks first.
type rankedMember struct {
	membership.Member
	score uint64
}

// build arranges this instance and the live ones among the members.
func (t *tree) build(self membership.Member, members []membership.Member) {
	t.zoneMembers = t.zoneMembers[:0]
	best := map[string][]rankedMember{}
	var zones []string
	for _, m := range members {
		if m.Name != self.Name && m.State != membership.Live {
			continue
		}
		r := rankedMember{Member: m, score: xxhash.Sum64String("watch/" + m.Name)}
		if m.AvailabilityZone == self.AvailabilityZone {
			t.zoneMembers = append(t.zoneMembers, r)
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
	slices.SortFunc(t.zoneMembers, compareRanked)
	t.ownRank = slices.IndexFunc(t.zoneMembers, func(m rankedMember) bool { return m.Name == self.Name })
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

// parents returns the instances that this one may pull from: first its parent in
// the tree, then the alternatives, which are the watchers and all instances that
// rank before the parent. A watcher has none.
func (t *tree) parents() []rankedMember {
	if t.ownRank < WatchersPerZone {
		return nil
	}
	first := (t.ownRank - WatchersPerZone) / fanOut
	out := []rankedMember{t.zoneMembers[first]}
	for i := range max(WatchersPerZone, first) {
		if i != first {
			out = append(out, t.zoneMembers[i])
		}
	}
	return out
}

// children returns the instances whose parent in the tree is this one.
func (t *tree) children() []rankedMember {
	if t.ownRank < 0 {
		return nil
	}
	first := min(WatchersPerZone+fanOut*t.ownRank, len(t.zoneMembers))
	return t.zoneMembers[first:min(first+fanOut, len(t.zoneMembers))]
}
