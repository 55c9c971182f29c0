package changefeed

import (
	"slices"
	"time"
)

const (
	// StoreSource is the name of the store itself among the sources; all others
	// are names of instances.
	StoreSource = ""
	// fanout is the largest number of instances of its zone, and for a head of other
	// heads, that follow one instance while none fails. Each of them is sent all targets
	// when a fleet starts. With 4,000 instances in a zone, at most three others stand
	// between an instance and the zone's head.
	fanout = 16
	// minRetryPause and maxRetryPause bound the time, doubled with each
	// failure, before a failed source is tried again. minRetryPause is about the
	// time in which a killed process restarts.
	minRetryPause = time.Second
	maxRetryPause = 2 * time.Second
)

// SourceChooser knows the sources, the store and other instances, from which an
// instance may receive changes. The instances of an availability zone form a tree, and so
// do the heads, the first instances of each of a region's zones, so that a change crosses a
// zone's border once. The first head follows the store, and each other instance prefers its
// parent, then another one above it, then the store. If none of these is current, any other
// instance will do; a Search finds one. A SourceChooser is not safe for concurrent use.
type SourceChooser struct {
	preferred []string // best first; ends with the store
	others    []string // all other live instances, in the order in which they are asked
	next      int      // index in others of the next one to ask
	failed    map[string]failure
	hops      int               // see Hops
	zones     map[string]string // of the instances of this region
}

// failure describes a source that has failed.
type failure struct {
	retryAt time.Duration // time from which the source may be tried again
	pause   time.Duration // before that retry; doubled at the next failure
}

// NewSourceChooser returns a chooser whose only source is the store.
func NewSourceChooser() *SourceChooser {
	return &SourceChooser{preferred: []string{StoreSource}, failed: map[string]failure{}, hops: 1}
}

// SetLiveInstances sets the live instances: those of this region and those of the other
// regions, each in the order that all instances use, self included, and further ones that
// may be asked last although they are not known to live. Failures of instances that are
// no longer sources are forgotten.
func (c *SourceChooser) SetLiveInstances(self string, region, otherRegions, further []string) {
	rank := max(slices.Index(region, self), 0)
	c.setPreferred(self, region)
	c.others, c.next = nil, 0
	// Instances begin at different places, so that together they ask all others soon. One
	// of this region and one of the other regions follow each other, so that a current
	// instance is found soon wherever it is.
	for i := range max(len(region), len(otherRegions)) {
		c.addOther(self, region, rank+1+i, i)
		c.addOther(self, otherRegions, rank+i, i)
	}
	for i := range further {
		c.addOther(self, further, rank+i, i)
	}
	for name := range c.failed {
		if !slices.Contains(c.preferred, name) && !slices.Contains(c.others, name) {
			delete(c.failed, name)
		}
	}
}

// setPreferred sets the preferred sources and the hops of an instance of a region.
func (c *SourceChooser) setPreferred(self string, region []string) {
	zone, heads := c.zoneAndHeads(self, region)
	rank, headRank := max(slices.Index(zone, self), 0), 0
	if len(zone) > 0 {
		headRank = slices.Index(heads, zone[0])
	}
	c.preferred = nil
	for _, r := range parents(rank) {
		c.preferred = append(c.preferred, zone[r])
	}
	if rank <= 1 { // the head, or the instance that takes its place
		for _, r := range parents(headRank) {
			c.preferred = append(c.preferred, heads[r])
		}
	}
	c.preferred = append(c.preferred, StoreSource)
	c.hops = max(depth(headRank)+depth(rank), 1)
}

// zoneAndHeads returns the instances of self's availability zone and the first instances
// of the zones, the heads, in the region's order.
func (c *SourceChooser) zoneAndHeads(self string, region []string) (zone, heads []string) {
	seen := map[string]bool{}
	for _, name := range region {
		z := c.zones[name]
		if z == c.zones[self] {
			zone = append(zone, name)
		}
		if !seen[z] {
			seen[z] = true
			heads = append(heads, name)
		}
	}
	return zone, heads
}

// depth returns the number of calls between the first instance of a tree and the one with
// the given rank.
func depth(rank int) int {
	n := 0
	for ; rank > 0; rank = parents(rank)[0] {
		n++
	}
	return n
}

// addOther adds an instance of a list, which starts again at its end, unless all of the
// list have been added or it is a preferred source.
func (c *SourceChooser) addOther(self string, list []string, index, added int) {
	if added >= len(list) {
		return
	}
	if name := list[index%len(list)]; name != self && !slices.Contains(c.preferred, name) {
		c.others = append(c.others, name)
	}
}

// parents returns the ranks of the instances that the instance with the given rank
// follows in preference to the store, the preferred one first. A rank is a 0-based
// index in the order of a zone's instances, or of a region's heads. Rank 0 follows none,
// and rank 1 follows rank 0. Ranks 2 to fanout follow rank 0 or, if that has failed, rank 1. A higher
// rank r follows its parent in the tree, rank (r-1)/fanout, or, if that has failed,
// the parent of its parent.
func parents(rank int) []int {
	switch {
	case rank == 0:
		return nil
	case rank == 1:
		return []int{0}
	case rank <= fanout:
		return []int{0, 1}
	}
	parent := (rank - 1) / fanout
	return []int{parent, (parent - 1) / fanout}
}

// Hops returns the number of calls between instances on the way from the store to this
// instance while no source fails, and at least 1.
func (c *SourceChooser) Hops() int { return c.hops }

// preference returns the position of a source in the order of preference, from 0. All
// sources that are not preferred have the same one.
func (c *SourceChooser) preference(name string) int {
	if i := slices.Index(c.preferred, name); i >= 0 {
		return i
	}
	return len(c.preferred)
}

// IsAbove reports whether a source is an instance that this one prefers to the store.
func (c *SourceChooser) IsAbove(name string) bool {
	return c.preference(name) < c.preference(StoreSource)
}

// BetterDue reports whether a source that is preferred to the given one may be tried.
func (c *SourceChooser) BetterDue(current string, now time.Duration) bool {
	for _, name := range c.preferred[:c.preference(current)] {
		if now >= c.failed[name].retryAt {
			return true
		}
	}
	return false
}

// MarkFailed records that a source did not respond.
func (c *SourceChooser) MarkFailed(name string, now time.Duration) {
	c.pause(name, now, minRetryPause, maxRetryPause)
}

// MarkBehind records that a source responded but is not current. It may be soon, as it
// searches for a source itself.
func (c *SourceChooser) MarkBehind(name string, now time.Duration) {
	c.pause(name, now, searchInterval, minRetryPause)
}

// pause keeps a source from being tried for a time that doubles with each failure.
func (c *SourceChooser) pause(name string, now, shortest, longest time.Duration) {
	pause := min(max(2*c.failed[name].pause, shortest), longest)
	c.failed[name] = failure{now + pause, pause}
}

// MarkCurrent records that a source is current, which ends its pause.
func (c *SourceChooser) MarkCurrent(name string) { delete(c.failed, name) }

// SetZones sets the availability zones of the instances of this region, by name, for the
// next SetLiveInstances. Instances without one count as one zone.
func (c *SourceChooser) SetZones(zones map[string]string) { c.zones = zones }
