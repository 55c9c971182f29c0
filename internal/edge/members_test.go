package edge

import (
	"fmt"
	"slices"
	"testing"

	"github.com/turmericfield/turmericfield/internal/config"
)

func noHomeRegions(string) []config.RegionSet { return nil }

// fleetOf returns the view that instance i0 has of a fleet of n instances in three
// availability zones of two regions.
func fleetOf(n int) *members {
	zones := []struct{ name, region string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	var list []member
	for i := range n {
		z := zones[i%len(zones)]
		list = append(list, member{Name: fmt.Sprint("i", i), Address: "x", AvailabilityZone: z.name, Region: z.region, Weight: 1})
	}
	m := newMembers(Settings{Name: "i0", AvailabilityZone: "a1", Region: "a"}, func() bool { return true }, noHomeRegions)
	m.replace(list)
	return m
}

// Up to maxFlatFleet instances report to the hub directly; a larger fleet reports by
// availability zone.
func TestLargeFleetReportsByZone(t *testing.T) {
	if _, ok := fleetOf(maxFlatFleet).zoneAggregator(0); ok {
		t.Error("a fleet of maxFlatFleet instances has zone aggregators")
	}
	m := fleetOf(maxFlatFleet + 1)
	first, ok := m.zoneAggregator(0)
	if !ok || first.AvailabilityZone != "a1" {
		t.Errorf("first aggregator: got %+v, %v, want one in a1", first, ok)
	}
	if next, _ := m.zoneAggregator(1); next.Name == first.Name || next.AvailabilityZone != "a1" {
		t.Errorf("after %s: got %+v, want another instance in a1", first.Name, next)
	}
}

// All instances of a region must rank it alike, or they would not agree on whom to
// follow.
func TestInstancesOfARegionAgreeOnRanks(t *testing.T) {
	m := fleetOf(12)
	region, otherRegions := m.rankedNames()
	if len(region) != 8 || len(otherRegions) != 1 || !slices.Contains(region, "i0") {
		t.Errorf("got %q of the region and %q of others, want 8 with i0, and 1", region, otherRegions)
	}
	other := fleetOf(12)
	other.self = m.list[0]
	other.list = append([]member{m.self}, m.list[1:]...)
	if same, _ := other.rankedNames(); other.self.Region == m.self.Region && !slices.Equal(region, same) {
		t.Errorf("i0 ranks %q, another instance of the region ranks %q", region, same)
	}
}

func TestUnchangedFleetIsNotReportedAsChanged(t *testing.T) {
	m := fleetOf(3)
	list := slices.Clone(m.list)
	slices.Reverse(list)
	if _, changed := m.replace(list); changed {
		t.Error("the same instances in another order count as a change")
	}
	if _, changed := m.replace(list[1:]); !changed {
		t.Error("the removal of an instance does not count as a change")
	}
}

func TestInstanceThatKnowsNoOthersIsNotNamedToOtherRegions(t *testing.T) {
	m := newMembers(Settings{Name: "i0", AvailabilityZone: "a1", Region: "a", Listen: "x"}, func() bool { return true }, noHomeRegions)
	if got := m.lookup("host", "b").Addresses; len(got) != 0 {
		t.Errorf("caller in another region, fleet unknown: got %q", got)
	}
	if got := m.lookup("host", "a").Addresses; len(got) != 1 {
		t.Errorf("caller in the region, fleet unknown: got %q, want the instance itself", got)
	}
	m.replace(nil)
	if got := m.lookup("host", "b").Addresses; len(got) != 1 {
		t.Errorf("only instance of the fleet: got %q, want it", got)
	}
}

func TestCallersAreNamedInstancesOfTheirRegionOrOfHomeRegions(t *testing.T) {
	list := []member{{Name: "a1", Region: "a"}, {Name: "b1", Region: "b"}, {Name: "c1", Region: "c"}, {Name: "c2", Region: "c"}}
	for _, test := range []struct {
		region string
		homes  []config.RegionSet
		want   []string
	}{
		{"a", nil, []string{"a1"}},
		{"a", []config.RegionSet{{"b"}}, []string{"a1"}},
		{"d", nil, []string{"a1", "b1", "c1", "c2"}},
		{"d", []config.RegionSet{{"c"}}, []string{"c1", "c2"}},
		{"d", []config.RegionSet{{"b", "c"}, {"a", "b"}}, []string{"b1"}},
		{"d", []config.RegionSet{{"a"}, {"c"}}, []string{"a1", "c1", "c2"}},
		{"d", []config.RegionSet{{"a"}, {"c"}, {"c"}}, []string{"c1", "c2"}},
		{"d", []config.RegionSet{{"b"}, {"d"}, {"d"}}, []string{"b1"}},
		{"d", []config.RegionSet{{"d"}}, []string{"a1", "b1", "c1", "c2"}},
	} {
		var got []string
		for _, instance := range suitable(list, test.region, test.homes) {
			got = append(got, instance.Name)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("callers in %s, home regions %v: got %q, want %q", test.region, test.homes, got, test.want)
		}
	}
}
