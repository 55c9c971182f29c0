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
	megabyte = 1_000_000 // bytes
	// fleetWarmup is the simulated time in which all instances of a fleet learn of
	// each other.
	fleetWarmup        = 10 * time.Second
	timedCallCount     = 200_000
	lookupAddressCount = 1 << 16
	choiceTargetCount  = 300
	slotsPerTarget     = 100 // requests that a target executes at once
)

// liveHeapMB returns the size of the live heap in MB.
func liveHeapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / megabyte
}

// heapPerInstanceMB returns the heap in MB that one instance of a simulated fleet
// uses for its view of the members and its list of the chunks of the configuration.
// The chunks themselves do not count, since the simulated instances share them.
func heapPerInstanceMB(size int, seed uint64) float64 {
	beforeMB := liveHeapMB()
	o := fleetsim.MeasuredOptions(size, seed)
	f := fleetsim.New(o)
	f.Bus.Run(fleetWarmup)
	usedMB := liveHeapMB() - beforeMB - float64(o.Chunks*o.ChunkBytes)/megabyte
	runtime.KeepAlive(f)
	return usedMB / float64(size)
}

// zoneTopology derives the region of an availability zone from a name as zoneName
// gives it.
type zoneTopology struct{}

// RegionOf implements steering.Topology.
func (zoneTopology) RegionOf(zone string) string { return zone[:len(zone)-2] }

// zoneName names an availability zone after its region and its number there. Each
// region has three.
func zoneName(index int) string { return fmt.Sprintf("region-%d-%d", index/3, index%3) }

// randomAssignments assigns IPv4 blocks to random sites, in runs of 1 to 64
// successive blocks. A block is a /24, so there are 1<<24. A block may occur twice.
func randomAssignments(count int) []steering.Assignment {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([]steering.Assignment, 0, count)
	for len(out) < count {
		start := random.IntN(1 << 24)
		for i := range min(1+random.IntN(64), count-len(out)) {
			out = append(out, steering.Assignment{Block: steering.Block((start + i) % (1 << 24)), Site: steering.SiteID(random.IntN(designSites))})
		}
	}
	return out
}

func makeCandidates(instances int) []steering.Candidate {
	out := make([]steering.Candidate, instances)
	for i := range out {
		out[i] = steering.Candidate{Weight: 1, Member: membership.Member{
			Name: fmt.Sprintf("instance-%04d", i), AvailabilityZone: zoneName(i % designZones), State: membership.Live,
		}}
	}
	return out
}

func makeSites(count int) []steering.Site {
	out := make([]steering.Site, count)
	for i := range out {
		out[i] = steering.Site{Name: fmt.Sprintf("site-%03d", i), AvailabilityZone: zoneName(i % designZones), Demand: 1}
	}
	return out
}

// measureSteering measures the steering table, the directory and look-ups at the
// size that the system is designed for, except that the table has the given number
// of blocks.
func measureSteering(blocks int) []ReportLine {
	assignments, sites, candidates := randomAssignments(blocks), makeSites(designSites), makeCandidates(DesignInstances)
	beforeMB := liveHeapMB()
	table := &steering.Table{}
	table.Assign(assignments)
	tableMB := liveHeapMB() - beforeMB
	directory := steering.BuildDirectory(table, sites, zoneTopology{}, candidates, nil)
	directoryMB := liveHeapMB() - beforeMB - tableMB
	start := time.Now()
	rebuilt := steering.BuildDirectory(table, sites, zoneTopology{}, candidates[1:], directory)
	incrementalRebuildTime := time.Since(start)
	start = time.Now()
	steering.BuildDirectory(table, sites, zoneTopology{}, candidates, nil)
	fullRebuildTime := time.Since(start)
	runtime.KeepAlive(rebuilt)
	lookupTime := measureLookup(directory, assignments)
	newLine := func(cost, unit, mechanism string, value, budget float64) ReportLine {
		return ReportLine{Role: "entry instance", Cost: cost, Unit: unit, Mechanism: mechanism, AtTarget: value, Measured: true, Budget: budget}
	}
	lookupsPerInstance := float64(designLookupsPerSecond) / DesignInstances
	return []ReportLine{
		newLine("steering table", "MB", "packed pages", tableMB, budgetMemoryMB),
		newLine("steering table", "B/block", "packed pages", tableMB*megabyte/float64(table.Blocks()), 0),
		newLine("directory", "MB", "a ring for each zone", directoryMB, budgetMemoryMB),
		newLine("directory rebuilt for one instance", "ms", "rings reused", milliseconds(incrementalRebuildTime), 0),
		newLine("directory rebuilt whole", "ms", "a ring for each zone", milliseconds(fullRebuildTime), 0),
		newLine("rebuilds, 2 for each replacement", "% of a core", "rings reused", 100*incrementalRebuildTime.Seconds()*2*designReplacementsPerDay/secondsPerDay, budgetCPUPercent),
		newLine("one look-up", "ns", "table and ring", float64(lookupTime), 1000),
		newLine("look-ups, decision only", "% of a core", "table and ring", 100*lookupTime.Seconds()*lookupsPerInstance, budgetCPUPercent),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureLookup returns the mean time of a look-up of an address in a random one of
// the assigned blocks.
func measureLookup(d *steering.Directory, assignments []steering.Assignment) time.Duration {
	random := rand.New(rand.NewPCG(3, 4))
	addresses := make([]netip.Addr, lookupAddressCount)
	for i := range addresses {
		addresses[i] = assignments[random.IntN(len(assignments))].Block.Prefix().Addr()
	}
	instanceCount := 0
	took := meanCallTime(func(i int) {
		answer := d.Lookup(addresses[i%len(addresses)])
		instanceCount += len(answer.Instances())
	})
	runtime.KeepAlive(instanceCount)
	return took
}

// meanCallTime returns the mean time of timedCallCount calls.
func meanCallTime(call func(i int)) time.Duration {
	start := time.Now()
	for i := range timedCallCount {
		call(i)
	}
	return time.Since(start) / timedCallCount
}

// fixedSeat is a seat.Provider that always allows the use of the same seat.
type fixedSeat struct{ seat seat.Seat }

func (f fixedSeat) Seat(time.Time) (seat.Seat, bool)    { return f.seat, true }
func (f fixedSeat) Reserve(time.Time) (seat.Seat, bool) { return f.seat, true }

// measureDecisions measures two decisions on a request: whether the rate limit of
// its workspace allows it, and which target gets it.
func measureDecisions() []ReportLine {
	now := time.Unix(0, 0)
	snapshot := config.Compile(1, decisionDocument())
	newLine := func(role, cost, mechanism string, took time.Duration) ReportLine {
		return ReportLine{Role: role, Cost: cost, Unit: "ns", Mechanism: mechanism, AtTarget: float64(took), Measured: true}
	}
	return []ReportLine{
		newLine("rate-share owner", "token of the own share", "limit.Take", measureTake(snapshot, now)),
		newLine("entry instance", fmt.Sprintf("choice among %d targets", choiceTargetCount), "placement.Choose", measureChoose(snapshot, now)),
	}
}

// decisionDocument returns a configuration with one service of choiceTargetCount
// targets, and one workspace whose rate limit is never reached.
func decisionDocument() *config.Document {
	service := config.Service{Name: "service", Slots: slotsPerTarget}
	for i := range choiceTargetCount {
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

// oneSeat returns the only seat of a fleet with one instance.
func oneSeat() seat.Seat {
	return seat.Seat{Clean: true, AvailabilityZone: zoneName(0), ZoneSeats: 1, FleetSeats: 1, TableVersion: 1, AssignedVersion: 1}
}

// measureTake returns the mean time to admit a request by the instance's own share
// of a rate limit, without asking other instances.
func measureTake(snapshot *config.Snapshot, now time.Time) time.Duration {
	limiter := ratelimit.New(ratelimit.Options{
		Instance: "instance", AvailabilityZone: zoneName(0), SettleTime: time.Second, GrantLifetime: time.Second,
		MaxWait: time.Second, AskTimeout: time.Second,
		Seat:       func(time.Time) (seat.Seat, bool) { return oneSeat(), true },
		SeatHolder: func(int) string { return "instance" },
		Layout: func(*config.Snapshot) []ratelimit.ZoneSeats {
			return []ratelimit.ZoneSeats{{AvailabilityZone: zoneName(0), Seats: 1}}
		},
	})
	limiter.Update(snapshot, now)
	limiter.RefreshShares(now)
	now = now.Add(time.Minute)
	return meanCallTime(func(int) {
		now = now.Add(time.Microsecond)
		if !limiter.Take("workspace", now).Allowed {
			panic("experiment: a request was refused below the rate limit")
		}
		limiter.CollectOutput()
	})
}

// measureChoose returns the mean time to choose a target for a request and to
// report the request as answered.
func measureChoose(snapshot *config.Snapshot, now time.Time) time.Duration {
	placer := placement.New(placement.Options{
		AvailabilityZone: zoneName(0), Seats: fixedSeat{oneSeat()}, MaxFleetLayoutLag: time.Second, MaxZoneLayoutLag: time.Second,
	})
	placer.Update(snapshot, now)
	now = now.Add(time.Hour)
	request := placement.Request{Route: snapshot.RoutesByName["route"], Workspace: "workspace"}
	return meanCallTime(func(int) {
		grant, err := placer.Choose(request, now)
		if err != nil {
			panic(fmt.Sprintf("experiment: no target was chosen: %v", err))
		}
		placer.Done(grant, placement.Answered, now)
	})
}
