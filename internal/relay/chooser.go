package relay

import (
	"slices"
	"time"
)

const (
	// StoreSource stands for the store itself among the sources of an instance.
	StoreSource = ""
	// fanout is how many instances follow one at most while none fails: each is sent
	// all targets when a fleet starts, and ways to the store stay three long at 4,000
	// instances in a region.
	fanout = 16
	// maxExtraSources is how many more of the region are asked where the store does not answer.
	maxExtraSources = 2
	// minRetryPause and maxPause bound how long a source that failed is left alone;
	// the first is about the time in which a killed process is back.
	minRetryPause = time.Second
	maxRetryPause = 4 * time.Second
)

// SourceChooser decides whom an instance follows. The instances of a region form a tree:
// the first one follows the store, each other its parent, where that has failed
// another one above it, then the store. An instance that the store does not answer
// follows others, of other regions at last. It is not safe for concurrent use.
type SourceChooser struct {
	sources []string // in order of preference
	failed  map[string]failure
}

type failure struct {
	retryAt time.Duration
	pause   time.Duration
}

// NewSourceChooser returns a chooser that knows the store only.
func NewSourceChooser() *SourceChooser {
	return &SourceChooser{sources: []string{StoreSource}, failed: map[string]failure{}}
}

// SetLiveInstances sets the live instances of the own region in their order, the instance
// itself among them, and the first ones of the other regions.
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

// parents returns the ranks that an instance follows before the store.
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

// Choose returns the source to follow: the first one that has not failed lately, or
// the one that may be tried again first.
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

// RetryDelay returns how long to wait before a source may be tried again.
func (c *SourceChooser) RetryDelay(name string, now time.Duration) time.Duration {
	return max(c.failed[name].retryAt-now, 0)
}

// MarkFailed notes that a source did not answer or was not current.
func (c *SourceChooser) MarkFailed(name string, now time.Duration) {
	pause := min(max(2*c.failed[name].pause, minRetryPause), maxRetryPause)
	c.failed[name] = failure{now + pause, pause}
}

// MarkCurrent notes that a source is current.
func (c *SourceChooser) MarkCurrent(name string) { delete(c.failed, name) }
