package edge

import (
	"fmt"
	"slices"
	"testing"
)

// fleetOf returns the view of instance i0 of a fleet in three zones of two regions.
func fleetOf(n int) *members {
	zones := []struct{ name, region string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	var list []member
	for i := range n {
		z := zones[i%len(zones)]
		list = append(list, member{Name: fmt.Sprint("i", i), Address: "x", AvailabilityZone: z.name, Region: z.region, Weight: 1})
	}
	m := newMembers(Settings{Name: "i0", AvailabilityZone: "a1", Region: "a"}, func() bool { return true })
	m.replace(list)
	return m
}

func TestLargeFleetReportsByZone(t *testing.T) {
	if _, ok := fleetOf(maxFlatFleet).zoneHub(0); ok {
		t.Error("a small fleet has sums of zones")
	}
	m := fleetOf(maxFlatFleet + 1)
	first, ok := m.zoneHub(0)
	if !ok || first.AvailabilityZone != "a1" {
		t.Errorf("%+v, %v", first, ok)
	}
	if next, _ := m.zoneHub(1); next.Name == first.Name || next.AvailabilityZone != "a1" {
		t.Errorf("after %s comes %+v", first.Name, next)
	}
}

func TestInstancesOfARegionAgreeOnRanks(t *testing.T) {
	m := fleetOf(12)
	region, elsewhere := m.rankedNames()
	if len(region) != 8 || len(elsewhere) != 1 || !slices.Contains(region, "i0") {
		t.Errorf("%q and %q", region, elsewhere)
	}
	other := fleetOf(12)
	other.self = m.list[0]
	other.list = append([]member{m.self}, m.list[1:]...)
	if same, _ := other.rankedNames(); other.self.Region == m.self.Region && !slices.Equal(region, same) {
		t.Errorf("%q, seen from another %q", region, same)
	}
}

func TestUnchangedFleetIsNotReportedAsChanged(t *testing.T) {
	m := fleetOf(3)
	list := slices.Clone(m.list)
	slices.Reverse(list)
	if _, changed := m.replace(list); changed {
		t.Error("the same instances in another order are news")
	}
	if _, changed := m.replace(list[1:]); !changed {
		t.Error("an instance that left is no news")
	}
}
