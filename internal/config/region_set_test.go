package config

import "testing"

func TestRegionSetsWithoutACommonRegionAllowNone(t *testing.T) {
	none := RegionSet{"a"}.Intersect(RegionSet{"b"})
	for _, region := range []string{"", "a", "b"} {
		if none.Has(region) {
			t.Errorf("%q is allowed", region)
		}
	}
	if !none.Bound() || !none.Intersect(nil).Bound() {
		t.Error("an empty set counts as unbound")
	}
	var all RegionSet
	if !all.Has("") || !all.Has("a") || all.Bound() {
		t.Error("nil does not mean all regions")
	}
	if got := all.Intersect(RegionSet{"a"}); !got.Has("a") || got.Has("b") {
		t.Errorf("all regions and a: got %v", got)
	}
}
