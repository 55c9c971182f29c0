package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/gaissmai/bart"
)

// heapBytes returns the heap in use after a full garbage collection. Two
// collections also free the contents of sync.Pools.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTableMemory reports the bytes that a block takes in a Table and, as a
// baseline, in a general-purpose prefix table.
func BenchmarkTableMemory(b *testing.B) {
	assignments := benchmarkAssignments()
	b.Run("packed", func(b *testing.B) {
		for range b.N {
			before := heapBytes()
			table := &Table{}
			table.Assign(assignments)
			b.ReportMetric(float64(heapBytes()-before)/float64(table.Blocks()), "B/block")
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
			runtime.KeepAlive(table)
		}
	})
	b.Run("prefix-table", func(b *testing.B) {
		for range b.N {
			before := heapBytes()
			table := &bart.Table[SiteID]{}
			for _, a := range assignments {
				table.Insert(a.Block.Prefix(), a.Site)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(table.Size()), "B/block")
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
			runtime.KeepAlive(table)
		}
	})
	runtime.KeepAlive(assignments)
}

// BenchmarkLookup measures Directory.Lookup, alone and beside a writer that
// reassigns blocks of the table without pause.
func BenchmarkLookup(b *testing.B) {
	assignments := benchmarkAssignments()
	table := &Table{}
	table.Assign(assignments)
	sites := make([]Site, benchmarkSites)
	for i := range sites {
		sites[i] = Site{Name: fmt.Sprint(i), AvailabilityZone: fmt.Sprintf("r%d-%d", i%22/3, i%22%3), Demand: 1}
	}
	d := BuildDirectory(table, sites, topology{}, fleetOf(22, 73), nil)
	addrs := make([]netip.Addr, 1<<16)
	random := rand.New(rand.NewPCG(3, 4))
	for i := range addrs {
		addrs[i] = assignments[random.IntN(len(assignments))].Block.Prefix().Addr()
	}
	lookups := func(b *testing.B) {
		b.ReportAllocs()
		var named int
		for i := range b.N {
			answer := d.Lookup(addrs[i%len(addrs)])
			named += len(answer.Instances())
		}
		if named == 0 {
			b.Fatal("no answer contains an instance")
		}
	}
	b.Run("alone", lookups)
	b.Run("beside-updates", func(b *testing.B) {
		var stop atomic.Bool
		done := make(chan int)
		go func() {
			n := 0
			for ; !stop.Load(); n++ {
				a := assignments[n%len(assignments)]
				table.Assign([]Assignment{{a.Block, SiteID(n % benchmarkSites)}})
			}
			done <- n
		}()
		lookups(b)
		stop.Store(true)
		b.ReportMetric(float64(<-done)/b.Elapsed().Seconds(), "updates/s")
	})
}

// BenchmarkBuild measures the building of the directory and of the table of a
// large fleet, each as a whole and after one change.
func BenchmarkBuild(b *testing.B) {
	sites := sitesOf(22)
	fleet := fleetOf(22, 73)
	before := heapBytes()
	full := BuildDirectory(&Table{}, sites, topology{}, fleet, nil)
	b.Logf("directory of %d instances: %.1f MiB", len(fleet), float64(heapBytes()-before)/(1<<20))
	b.Run("whole", func(b *testing.B) {
		for range b.N {
			BuildDirectory(&Table{}, sites, topology{}, fleet, nil)
		}
	})
	b.Run("one-lost", func(b *testing.B) {
		for range b.N {
			BuildDirectory(full.table, sites, topology{}, fleet[1:], full)
		}
	})
	b.Run("table", func(b *testing.B) {
		assignments := benchmarkAssignments()
		for b.Loop() {
			(&Table{}).Assign(assignments)
		}
	})
	b.Run("one-block", func(b *testing.B) {
		table := &Table{}
		table.Assign(benchmarkAssignments())
		for i := range b.N {
			table.Assign([]Assignment{{Block(i % (1 << 24)), SiteID(i % benchmarkSites)}})
		}
	})
}

// BenchmarkImbalance reports, for 2.3 million blocks of uneven load, the ratio of
// the busiest instance's load to the mean, and the share of blocks that move to
// another instance when instances are lost or replaced.
func BenchmarkImbalance(b *testing.B) {
	cases := []struct {
		name        string
		zones, each int
		lost        int
	}{{"one-of-7-lost", 1, 7, 1}, {"one-of-73-lost", 1, 73, 1}, {"zone-of-22-lost", 22, 73, 73}, {"390-replaced", 22, 73, 0}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			fleet := fleetOf(c.zones, c.each)
			before := BuildDirectory(&Table{}, sitesOf(c.zones), topology{}, fleet, nil)
			next := append([]Candidate(nil), fleet[c.lost:]...)
			if c.lost == 0 {
				for i := range 390 {
					next[i*4].Key, next[i*4].Member.Name = next[i*4].Member.Name, next[i*4].Member.Name+"-next"
				}
			}
			after := BuildDirectory(&Table{}, sitesOf(c.zones), topology{}, next, before)
			for range b.N {
				worst, moved := imbalance(before, after, c.zones)
				b.ReportMetric(worst, "peak/mean")
				b.ReportMetric(moved, "moved")
			}
		})
	}
}

// imbalance assigns random blocks to the first-ranked instances of the zones. It
// returns the ratio of the busiest instance's load to the mean in after, and the
// share of blocks whose first-ranked instance differs from that in before.
func imbalance(before, after *Directory, zones int) (worst, moved float64) {
	random := rand.New(rand.NewPCG(5, 6))
	load := map[string]float64{}
	var total float64
	changed := 0
	for i := range benchmarkBlocks {
		slot := Block(random.Uint64N(1<<24)).hash() % slotCount
		weight := 1 / (0.01 + random.Float64()) // heavy-tailed, by a factor of up to 100
		was, is := before.bySite[i%zones].answer(slot), after.bySite[i%zones].answer(slot)
		name := is.Instances()[0].Name
		load[name] += weight
		total += weight
		if was.Instances()[0].Name != name {
			changed++
		}
	}
	mean := total / float64(len(load))
	for _, l := range load {
		worst = max(worst, l/mean)
	}
	return worst, float64(changed) / benchmarkBlocks
}
