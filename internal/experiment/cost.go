package experiment

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/fleetsim"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	"github.com/turmericfield/turmericfield/internal/seat"
	"github.com/turmericfield/turmericfield/internal/steering"
)

const (
	megabyte      = 1_000_000
	fleetWarmup   = 10 * time.Second // virtual time until all know all
	timedCalls    = 200_000
	lookupAddrs   = 1 << 16
	choiceTargets = 300
	choiceSlots   = 100
)

// heapMB returns the live heap in MB.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / megabyte
}

// fleetHeap returns the heap of one simulated instance in MB: its view of the
// members and its copy of the record's list of chunks. The chunks themselves,
// which the instances of the process share, do not count.
func fleetHeap(size int, seed uint64) float64 {
	before := heapMB()
	o := fleetsim.MeasuredOptions(size, seed)
	f := fleetsim.New(o)
	f.Bus.Run(fleetWarmup)
	used := heapMB() - before - float64(o.Chunks*o.ChunkBytes)/megabyte
	runtime.KeepAlive(f)
	return used / float64(size)
}

// regions is a topology whose zones are named by region and number.
type regions struct{}

// RegionOf implements steering.Topology.
func (regions) RegionOf(zone string) string { return zone[:len(zone)-2] }

func zoneName(z int) string { return fmt.Sprintf("region-%d-%d", z/3, z%3) }

// blocksOf returns runs of IPv4 blocks that are assigned to random sites.
func blocksOf(count int) []steering.Assignment {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([]steering.Assignment, 0, count)
	for len(out) < count {
		start := random.IntN(1 << 24)
		for i := range min(1+random.IntN(64), count-len(out)) {
			out = append(out, steering.Assignment{Block: steering.Block((start + i) % (1 << 24)), Site: steering.SiteID(random.IntN(targetSites))})
		}
	}
	return out
}

func candidatesOf(instances int) []steering.Candidate {
	out := make([]steering.Candidate, instances)
	for i := range out {
		out[i] = steering.Candidate{Weight: 1, Member: membership.Member{
			Name: fmt.Sprintf("instance-%04d", i), AvailabilityZone: zoneName(i % targetZones), State: membership.Live,
		}}
	}
	return out
}

func sitesOf(count int) []steering.Site {
	out := make([]steering.Site, count)
	for i := range out {
		out[i] = steering.Site{Name: fmt.Sprintf("site-%03d", i), AvailabilityZone: zoneName(i % targetZones), Demand: 1}
	}
	return out
}

// steeringLines measures the table, the directory and look-ups at the target's
// size.
func steeringLines(blocks int) []Line {
	assignments, sites, candidates := blocksOf(blocks), sitesOf(targetSites), candidatesOf(TargetInstances)
	before := heapMB()
	table := &steering.Table{}
	table.Assign(assignments)
	tableMB := heapMB() - before
	directory := steering.BuildDirectory(table, sites, regions{}, candidates, nil)
	directoryMB := heapMB() - before - tableMB
	start := time.Now()
	next := steering.BuildDirectory(table, sites, regions{}, candidates[1:], directory)
	rebuild := time.Since(start)
	start = time.Now()
	steering.BuildDirectory(table, sites, regions{}, candidates, nil)
	whole := time.Since(start)
	runtime.KeepAlive(next)
	lookup := lookupTime(directory, assignments)
	line := func(cost, unit, mechanism string, value, budget float64) Line {
		return Line{Role: "entry instance", Cost: cost, Unit: unit, Mechanism: mechanism, AtTarget: value, Measured: true, Budget: budget}
	}
	perInstance := float64(targetLookups) / TargetInstances
	return []Line{
		line("steering table", "MB", "packed pages", tableMB, budgetMemory),
		line("steering table", "B/block", "packed pages", tableMB*megabyte/float64(table.Blocks()), 0),
		line("directory", "MB", "a ring for each zone", directoryMB, budgetMemory),
		line("directory rebuilt for one instance", "ms", "rings reused", milliseconds(rebuild), 0),
		line("directory rebuilt whole", "ms", "a ring for each zone", milliseconds(whole), 0),
		line("rebuilds, 2 for each replacement", "% of a core", "rings reused", 100*rebuild.Seconds()*2*targetTurnover/secondsPerDay, budgetCPU),
		line("one look-up", "ns", "table and ring", float64(lookup), 1000),
		line("look-ups, decision only", "% of a core", "table and ring", 100*lookup.Seconds()*perInstance, budgetCPU),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func lookupTime(d *steering.Directory, assignments []steering.Assignment) time.Duration {
	random := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, lookupAddrs)
	for i := range addrs {
		addrs[i] = assignments[random.IntN(len(assignments))].Block.Prefix().Addr()
	}
	named := 0
	took := perCall(func(i int) {
		answer := d.Lookup(addrs[i%len(addrs)])
		named += len(answer.Instances())
	})
	runtime.KeepAlive(named)
	return took
}

// perCall returns the mean time of a call.
func perCall(call func(i int)) time.Duration {
	start := time.Now()
	for i := range timedCalls {
		call(i)
	}
	return time.Since(start) / timedCalls
}

// holder is the right to the only seat of a fleet.
type holder struct{ seat seat.Seat }

func (h holder) Seat(time.Time) (seat.Seat, bool)    { return h.seat, true }
func (h holder) Reserve(time.Time) (seat.Seat, bool) { return h.seat, true }

// decisionLines measures the decisions on a request.
func decisionLines() []Line {
	now := time.Unix(0, 0)
	snapshot := config.Compile(1, decisionDocument())
	line := func(role, cost, mechanism string, took time.Duration) Line {
		return Line{Role: role, Cost: cost, Unit: "ns", Mechanism: mechanism, AtTarget: float64(took), Measured: true}
	}
	return []Line{
		line("rate-share owner", "token of the own share", "limit.Take", takeTime(snapshot, now)),
		line("entry instance", fmt.Sprintf("choice among %d targets", choiceTargets), "placement.Choose", chooseTime(snapshot, now)),
	}
}

func decisionDocument() *config.Document {
	service := config.Service{Name: "service", Slots: choiceSlots}
	for i := range choiceTargets {
		service.Targets = append(service.Targets, config.Target{
			Name: fmt.Sprintf("target-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), AvailabilityZone: zoneName(0),
		})
	}
	return &config.Document{
		Regions:           []config.Region{{Name: "region-0", LinkMbps: 1000}},
		AvailabilityZones: []config.AvailabilityZone{{Name: zoneName(0), Region: "region-0"}},
		Services:          []config.Service{service},
		Routes:            []config.Route{{Name: "route", Service: service.Name, Class: config.ClassInteractive, TimeoutMillis: 1000}},
		Workspaces:        []config.Workspace{{Name: "workspace", Rate: 1e9, Burst: 1e9, Routes: []string{"route"}}},
	}
}

func oneSeat() seat.Seat {
	return seat.Seat{Clean: true, AvailabilityZone: zoneName(0), ZoneSeats: 1, FleetSeats: 1, Version: 1, AssignedVersion: 1}
}

func takeTime(snapshot *config.Snapshot, now time.Time) time.Duration {
	l := ratelimit.New(ratelimit.Options{
		Instance: "instance", AvailabilityZone: zoneName(0), SettleTime: time.Second, GrantLifetime: time.Second,
		MaxWait: time.Second, AskTimeout: time.Second,
		Seat:   func(time.Time) (seat.Seat, bool) { return oneSeat(), true },
		Holder: func(int) string { return "instance" },
		Layout: func(*config.Snapshot) []ratelimit.ZoneSeats {
			return []ratelimit.ZoneSeats{{AvailabilityZone: zoneName(0), Seats: 1}}
		},
	})
	l.Update(snapshot, now)
	l.RefreshShares(now)
	now = now.Add(time.Minute)
	return perCall(func(int) {
		now = now.Add(time.Microsecond)
		if !l.Take("workspace", now).Allowed {
			panic("experiment: a full share refuses")
		}
		l.Drain()
	})
}

func chooseTime(snapshot *config.Snapshot, now time.Time) time.Duration {
	p := placement.New(placement.Options{
		AvailabilityZone: zoneName(0), Seats: holder{oneSeat()}, MaxFleetLayoutLag: time.Second, MaxZoneLayoutLag: time.Second,
	})
	p.Update(snapshot, now)
	now = now.Add(time.Hour)
	request := placement.Request{Route: snapshot.RoutesByName["route"], Workspace: "workspace"}
	return perCall(func(int) {
		grant, err := p.Choose(request, now)
		if err != nil {
			panic(fmt.Sprintf("experiment: no target: %v", err))
		}
		p.Done(grant, placement.Answered, now)
	})
}
