package config

import "slices"

// RegionSet names the only regions that may do something. Nil means all regions; an
// empty set that is not nil means none.
type RegionSet []string

// Bound reports whether the set excludes some regions.
func (s RegionSet) Bound() bool { return s != nil }

// Has reports whether the region is in the set. A target of an unknown availability
// zone has the region "", which only an unbound set has.
func (s RegionSet) Has(region string) bool {
	return s == nil || region != "" && slices.Contains(s, region)
}

// Intersect returns the regions that are in both sets.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case s == nil:
		return other
	case other == nil:
		return s
	}
	common := RegionSet{}
	for _, region := range s {
		if slices.Contains(other, region) {
			common = append(common, region)
		}
	}
	return common
}
