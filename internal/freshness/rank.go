package freshness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that could be listed as a writer of control records.
type Candidate struct {
	Instance string
	Region   string
}

// RankWriters orders the candidates of each region by rendezvous hashing. Every
// instance comes to the same order, and the loss of one candidate does not change
// the order of the others. The regions are sorted by name.
func RankWriters(candidates []Candidate) [][]Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(writerHash(a), writerHash(b)), cmp.Compare(a.Instance, b.Instance))
	})
	var regions [][]Candidate
	for _, c := range sorted {
		last := len(regions) - 1
		if last < 0 || regions[last][0].Region != c.Region {
			regions = append(regions, []Candidate{c})
			continue
		}
		regions[last] = append(regions[last], c)
	}
	return regions
}

func writerHash(c Candidate) uint64 { return xxhash.Sum64String(c.Region + "/" + c.Instance) }
