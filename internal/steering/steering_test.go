package steering

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/membership"
)

// topology expects zone names of the form <region>-<digit>.
type topology struct{}

func (topology) RegionOf(zone string) string { return zone[:len(zone)-2] }

// instance returns the nth instance of a zone, live and of weight 1.
func instance(zone string, n int) Candidate {
	return Candidate{Weight: 1, Member: membership.Member{
		Name: fmt.Sprintf("%s-%03d", zone, n), AvailabilityZone: zone, State: membership.Live,
	}}
}

// TestMain fixes the seed of the random tests unless the command line sets it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// drawBlock draws a random block. IPv6 blocks have at most 12 significant bits,
// at a random position.
func drawBlock(t *rapid.T) Block {
	if rapid.Bool().Draw(t, "ipv6") {
		return ipv6Flag | Block(rapid.Uint64Range(0, 1<<12-1).Draw(t, "block"))<<rapid.IntRange(0, 36).Draw(t, "shift")
	}
	return Block(rapid.Uint64Range(0, 1<<24-1).Draw(t, "block"))
}

// TestTableMatchesMap compares the packed table with a plain map under random
// changes.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, want := &Table{}, map[Block]SiteID{}
		for range rapid.IntRange(1, 20).Draw(t, "batches") {
			var changes []Assignment
			for range rapid.IntRange(1, 30).Draw(t, "changes") {
				c := Assignment{Block: drawBlock(t), Site: SiteID(rapid.IntRange(0, 300).Draw(t, "site"))}
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					c.Site = NoSite
				}
				changes = append(changes, c)
				want[c.Block] = c.Site
				if c.Site == NoSite {
					delete(want, c.Block)
				}
			}
			table.Assign(changes)
		}
		if table.Blocks() != len(want) {
			t.Fatalf("table has %d blocks, want %d", table.Blocks(), len(want))
		}
		for block, site := range want {
			if got, ok := table.Lookup(block.Prefix().Addr()); !ok || got != site {
				t.Fatalf("block %s: got site %d, %t; want %d", block.Prefix(), got, ok, site)
			}
		}
		absent := drawBlock(t)
		if _, stored := want[absent]; !stored {
			if _, ok := table.Lookup(absent.Prefix().Addr()); ok {
				t.Fatalf("absent block %s is found", absent.Prefix())
			}
		}
	})
}

// TestWidePrefixServesMissingBlocks checks that a prefix shorter than a block's
// decides the site of exactly those addresses in it whose block is not assigned.
func TestWidePrefixServesMissingBlocks(t *testing.T) {
	table := &Table{}
	table.AssignPrefix(netip.MustParsePrefix("10.0.0.0/8"), 7)
	table.Assign([]Assignment{{BlockOf(netip.MustParseAddr("10.1.2.0")), 9}})
	for addr, want := range map[string]SiteID{"10.1.2.3": 9, "10.1.3.3": 7, "::ffff:10.9.9.9": 7, "11.0.0.1": NoSite} {
		if got, _ := table.Lookup(netip.MustParseAddr(addr)); got != want {
			t.Errorf("%s: got site %d, want %d", addr, got, want)
		}
	}
	table.AssignPrefix(netip.MustParsePrefix("10.0.0.0/8"), NoSite)
	if _, ok := table.Lookup(netip.MustParseAddr("10.1.3.3")); ok {
		t.Error("a removed prefix is still found")
	}
}

// fleetOf returns perZone instances in each of a number of zones, three zones to
// a region.
func fleetOf(zones, perZone int) []Candidate {
	var out []Candidate
	for z := range zones {
		for i := range perZone {
			out = append(out, instance(fmt.Sprintf("r%d-%d", z/3, z%3), i))
		}
	}
	return out
}

// sitesOf returns one site in each of the zones of fleetOf, all with the same demand.
func sitesOf(zones int) []Site {
	var out []Site
	for z := range zones {
		out = append(out, Site{Name: fmt.Sprint(z), AvailabilityZone: fmt.Sprintf("r%d-%d", z/3, z%3), Demand: 1})
	}
	return out
}

// TestAnswersSurviveZone checks that every answer begins with an instance of the
// client's availability zone and ends with one of another zone, so that a client
// still has an instance to use when its zone fails.
func TestAnswersSurviveZone(t *testing.T) {
	table := &Table{}
	for site := range 6 {
		table.Assign([]Assignment{{Block(site), SiteID(site)}})
	}
	d := BuildDirectory(table, sitesOf(6), topology{}, fleetOf(6, 2), nil)
	for site := range 6 {
		answer := d.Lookup(Block(site).Prefix().Addr())
		names := answer.Instances()
		if len(names) != MaxAnswerInstances {
			t.Fatalf("site %d: answer has %d instances", site, len(names))
		}
		zone := sitesOf(6)[site].AvailabilityZone
		if first := names[0].AvailabilityZone; first != zone {
			t.Errorf("site %d: first instance is in zone %s, want %s", site, first, zone)
		}
		if last := names[MaxAnswerInstances-1].AvailabilityZone; last == zone {
			t.Errorf("site %d: last instance is in the client's own zone", site)
		}
	}
}

// TestDirectoryNamesOnlyLive builds directories of random fleets and checks that
// answers contain no leaving or suspected instance and no instance twice, and
// that they are empty only if no instance is live.
func TestDirectoryNamesOnlyLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := fleetOf(rapid.IntRange(1, 7).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "perZone"))
		live := 0
		for i := range candidates {
			states := []membership.State{membership.Live, membership.Leaving, membership.Suspected}
			candidates[i].Member.State = rapid.SampledFrom(states).Draw(t, "state")
			if candidates[i].Member.State == membership.Live {
				live++
			}
		}
		table := &Table{}
		table.Assign([]Assignment{{1, 0}})
		d := BuildDirectory(table, sitesOf(7), topology{}, candidates, nil)
		for _, addr := range []string{"0.0.1.1", "10.0.0.1"} {
			answer := d.Lookup(netip.MustParseAddr(addr))
			names := answer.Instances()
			if live == 0 != (len(names) == 0) || len(names) > live {
				t.Fatalf("%d instances are live, answer has %d", live, len(names))
			}
			seen := map[string]bool{}
			for _, m := range names {
				if m.State != membership.Live || seen[m.Name] {
					t.Fatalf("answer contains instance %s in state %s (duplicate: %t)", m.Name, m.State, seen[m.Name])
				}
				seen[m.Name] = true
			}
		}
	})
}

// firstChoices counts, for each instance of a zone, the slots in which it ranks
// first.
func firstChoices(d *Directory, zone string) map[string]int {
	out := map[string]int{}
	for slot := range uint64(slotCount) {
		out[d.rankings[zone].memberAt(slot, 0).Name]++
	}
	return out
}

// TestLossMovesOnlyTheLostShare removes one instance of a zone and checks that
// only the slots of that instance move, and that no remaining instance ends up
// with more than 1.1 times an equal share.
func TestLossMovesOnlyTheLostShare(t *testing.T) {
	fleet := fleetOf(1, 7)
	before := BuildDirectory(&Table{}, sitesOf(1), topology{}, fleet, nil)
	lost := fleet[3].Member.Name
	after := BuildDirectory(&Table{}, sitesOf(1), topology{}, append(fleet[:3:3], fleet[4:]...), before)
	zone := "r0-0"
	for slot := range uint64(slotCount) {
		was, is := before.rankings[zone].memberAt(slot, 0).Name, after.rankings[zone].memberAt(slot, 0).Name
		if was != lost && was != is {
			t.Fatalf("slot %d moved from %s to %s", slot, was, is)
		}
	}
	for name, n := range firstChoices(after, zone) {
		const tolerance = 1.1 // five standard deviations of 16384 slots over 6
		if float64(n) > tolerance*slotCount/6 {
			t.Errorf("instance %s ranks first in %d of %d slots", name, n, slotCount)
		}
	}
}

// TestSpreadStaysWithinBound spreads random demand over zones of random size and
// checks that all demand is placed and that no zone's load per instance exceeds
// maxLoadRatio times the mean.
func TestSpreadStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 22).Draw(t, "zones")
		sites := sitesOf(zones)
		byZone := map[string][]Candidate{}
		live := 0
		for i := range sites {
			sites[i].Demand = rapid.Float64Range(0.1, 10).Draw(t, "demand")
			for n := range rapid.IntRange(0, 5).Draw(t, "instances") {
				zone := sites[i].AvailabilityZone
				byZone[zone] = append(byZone[zone], instance(zone, n))
				live++
			}
		}
		if live == 0 {
			return
		}
		_, total := demandByZone(sites)
		load := map[string]float64{}
		for i, s := range sites {
			var parts float64
			for _, part := range spreadDemand(sites, byZone, topology{})[s.AvailabilityZone] {
				load[part.zone] += part.fraction * sites[i].Demand
				parts += part.fraction
			}
			if parts < 1-1e-9 || parts > 1+1e-9 {
				t.Fatalf("%g of the demand of zone %s is placed, want 1", parts, s.AvailabilityZone)
			}
		}
		for zone, l := range load {
			if bound := maxLoadRatio * total / float64(live) * float64(len(byZone[zone])); l > bound*(1+1e-9) {
				t.Fatalf("zone %s has load %g, above its bound %g", zone, l, bound)
			}
		}
	})
}

// TestWeightsShiftShares checks that an instance of half the usual weight ranks
// first in about half the usual number of slots.
func TestWeightsShiftShares(t *testing.T) {
	fleet := fleetOf(1, 4)
	fleet[0].Weight = 0.5
	shares := firstChoices(BuildDirectory(&Table{}, sitesOf(1), topology{}, fleet, nil), "r0-0")
	got := float64(shares[fleet[0].Member.Name]) / slotCount
	if want := 0.5 / 3.5; got < want*0.85 || got > want*1.15 {
		t.Errorf("instance of weight 0.5 ranks first in a share of %.3f of the slots, want about %.3f", got, want)
	}
}

// TestWeightsConverge lets one instance draw twice the load of the others. Within
// 40 adjustments of bounded size, all utilizations must come close to the
// average. A missing measurement must leave the weight unchanged.
func TestWeightsConverge(t *testing.T) {
	demand := []float64{2, 1, 1, 1, 1, 1, 1} // first instance draws twice the load
	weights := []float64{1, 1, 1, 1, 1, 1, 1}
	load := func() (out []float64, average float64) {
		var total float64
		for i := range weights {
			total += weights[i] * demand[i]
		}
		for i := range weights {
			out = append(out, 0.6*float64(len(weights))*weights[i]*demand[i]/total)
		}
		return out, 0.6
	}
	for range 40 {
		loads, average := load()
		for i := range weights {
			next := AdjustWeight(weights[i], loads[i], average)
			if next < weights[i]-maxWeightDecrease-weightGranularity/2 {
				t.Fatalf("weight of instance %d fell from %g to %g in one adjustment", i, weights[i], next)
			}
			weights[i] = next
		}
	}
	loads, average := load()
	for i, l := range loads {
		if l > average*1.2 {
			t.Errorf("instance %d still has utilization %.2f at an average of %.2f", i, l, average)
		}
	}
	if got := AdjustWeight(0.4, -1, 0.5); got != 0.4 {
		t.Errorf("a missing measurement changed the weight to %g", got)
	}
}

// Size of the table in the benchmarks.
const (
	benchmarkBlocks = 2_300_000
	benchmarkSites  = 300
)

// benchmarkAssignments returns about benchmarkBlocks blocks, nine tenths IPv4 and
// one tenth IPv6, in runs of 1 to 64 neighbouring blocks with random sites. The
// runs are not sorted and may overlap.
func benchmarkAssignments() []Assignment {
	random := rand.New(rand.NewPCG(1, 2))
	var out []Assignment
	for len(out) < benchmarkBlocks*9/10 {
		start := random.IntN(1 << 24)
		for i := range 1 + random.IntN(64) {
			out = append(out, Assignment{Block((start + i) % (1 << 24)), SiteID(random.IntN(benchmarkSites))})
		}
	}
	for len(out) < benchmarkBlocks {
		start := ipv6Flag | Block(random.Uint64N(1<<40))<<8
		for i := range 1 + random.IntN(64) {
			out = append(out, Assignment{start + Block(i), SiteID(random.IntN(benchmarkSites))})
		}
	}
	return out
}
