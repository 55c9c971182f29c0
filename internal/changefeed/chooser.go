package changefeed

import (
	"slices"
	"time"
)

const (
	// StoreSource is the name of the store itself among the sources; all others
	// are names of instances.
	StoreSource = ""
	// fanout is the largest number of instances that follow one instance while
	// none fails. Each of them is sent all targets when a fleet starts. With
	// 4,000 instances in a region, at most three others stand between an
	// instance and the store.
	fanout = 16
	// maxExtraSources is how many further instances of the region are tried if
	// the store does not respond.
	maxExtraSources = 2
	// minRetryPause and maxRetryPause bound the time, doubled with each
	// failure, before a failed source is tried again. minRetryPause is about the
	// time in which a killed process restarts.
	minRetryPause = time.Second
	maxRetryPause = 4 * time.Second
)

// SourceChooser decides from which source, the store or another instance, an
// instance receives changes. The instances of a region form a tree. The first
// instance follows the store, and each other instance follows its parent. If the
// parent has failed, the instance follows another one above it in the tree, or else
// the store. An instance that cannot reach the store follows further instances of
// its region, and finally instances of other regions. A SourceChooser is not safe
// for concurrent use.
type SourceChooser struct {
	sources []string // in order of preference
	failed  map[string]failure
}

// failure describes a source that has failed.
type failure struct {
	retryAt time.Duration // time from which the source may be tried again
	pause   time.Duration // before that retry; doubled at the next failure
}

// NewSourceChooser returns a chooser whose only source is the store.
func NewSourceChooser() *SourceChooser {
	return &SourceChooser{sources: []string{StoreSource}, failed: map[string]failure{}}
}

// SetLiveInstances sets the live instances: those of this region, in the order
// that all of them use, self included, and the first ones of the other regions.
// Failures of instances that are no longer sources are forgotten.
func (c *SourceChooser) SetLiveInstances(self string, region, otherRegions []string) {
	rank := max(slices.Index(region, self), 0)
	c.sources = nil
	for _, parentRank := range parents(rank) {
		c.sources = append(c.sources, region[parentRank])
	}
	c.sources = append(c.sources, StoreSource)
	successors := region[min(rank+1, len(region)):]
	c.sources = append(c.sources, successors[:min(maxExtraSources, len(successors))]...)
	c.sources = append(c.sources, otherRegions...)
	for name := range c.failed {
		if !slices.Contains(c.sources, name) {
			delete(c.failed, name)
		}
	}
}

// parents returns the ranks of the instances that the instance with the given rank
// follows in preference to the store, the preferred one first. A rank is a 0-based
// index in the region's order. Rank 0 follows only the store, and rank 1 follows
// rank 0. Ranks 2 to fanout follow rank 0 or, if that has failed, rank 1. A higher
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

// Choose returns the first source that has not failed or may be tried again by
// now; if there is none, the one that may be tried again soonest.
func (c *SourceChooser) Choose(now time.Duration) string {
	best := c.sources[0]
	for _, name := range c.sources {
		if now >= c.failed[name].retryAt {
			return name
		}
		if c.failed[name].retryAt < c.failed[best].retryAt {
			best = name
		}
	}
	return best
}

// RetryDelay returns the time to wait before a source may be tried again; 0 if
// it may be tried now.
func (c *SourceChooser) RetryDelay(name string, now time.Duration) time.Duration {
	return max(c.failed[name].retryAt-now, 0)
}

// MarkFailed records that a source did not respond or was not current.
func (c *SourceChooser) MarkFailed(name string, now time.Duration) {
	pause := min(max(2*c.failed[name].pause, minRetryPause), maxRetryPause)
	c.failed[name] = failure{now + pause, pause}
}

// MarkCurrent records that a source is current, which ends its pause.
func (c *SourceChooser) MarkCurrent(name string) { delete(c.failed, name) }
