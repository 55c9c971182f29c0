package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/turmericfield/turmericfield/internal/membership"
)

// Network and configuration of the measured fleet (see Options and Faults), and the
// course of a measurement in virtual time.
const (
	measuredLoss       = 0.05
	measuredJitter     = 5 * time.Millisecond
	measuredListLag    = 30 * time.Second
	measuredChunks     = 256
	measuredChunkBytes = 4 << 10
	settlePeriod       = 60 * time.Second       // not measured, after the start and after a restart
	steadyPeriod       = 60 * time.Second       // measured without changes and faults
	changeCount        = 5                      // measured changes of the configuration
	changePeriod       = 20 * time.Second       // between two changes
	stateCheckPeriod   = 5 * time.Second        // between two looks for false suspicions
	pollStep           = 100 * time.Millisecond // resolution of measured delays
	convergenceLimit   = 2 * time.Minute        // longest time to wait for a change or a death to be known
)

// Measurement is what one run of a fleet measured. "experiment capacity --output
// json" writes its fields under their Go names, durations in nanoseconds.
type Measurement struct {
	Size int // instances of the fleet
	// BytesPerSecond is the mean of what an instance sends on the wire in the steady
	// period; it receives as much. BusiestPerSecond is the bytes per second of the
	// instance that sends most.
	BytesPerSecond, BusiestPerSecond float64
	// CallsPerSecond is the mean number of remote calls that an instance makes.
	CallsPerSecond float64
	// CPU is the processor time of an instance, in percent of a core. It includes
	// that of the simulation itself.
	CPU float64
	// FalseSuspicions and FalseDeaths are the numbers of running members that some
	// instance suspected, or took as gone, in the steady period.
	FalseSuspicions, FalseDeaths int
	// StoreReads and ListReads are the reads per second of the configuration and of
	// the list of instances, by all instances together.
	StoreReads, ListReads float64
	// AgeMedian, Age99 (99th percentile) and AgeMax describe how old the instances'
	// freshness evidence is (see package freshness) when they decide whether to accept
	// workspace keys. The age of the evidence is the time since the moment up to which
	// an instance is sure to know every accepted change.
	AgeMedian, Age99, AgeMax time.Duration
	// InForce is the longest time from the acceptance of a change until it was in
	// force at every instance.
	InForce time.Duration
	// BytesPerChange is the mean number of bytes that an instance sends for one
	// change: hints, and the pulls that fetch the change, with their answers.
	BytesPerChange float64
	// InForceRestart is the delay of a change that is accepted just before all
	// instances of an availability zone restart.
	InForceRestart time.Duration
	// Suspected and Gone are the times from the death of an instance until no other
	// takes it as live, and until all take it as gone.
	Suspected, Gone time.Duration
	Violations      int // number of violated guarantees in the whole run
}

// MeasuredOptions returns the options of a measured fleet: 22 zones in 8 regions, or
// 6 zones in 3 regions if there would be fewer than 3 instances in a zone.
func MeasuredOptions(size int, seed uint64) Options {
	zones, regions := 22, 8
	if size < 3*zones {
		zones, regions = 6, 3
	}
	return Options{
		Size: size, Zones: zones, Regions: regions, Seed: seed,
		Faults: Faults{Loss: measuredLoss, Jitter: measuredJitter}, ListLag: measuredListLag,
		Chunks: measuredChunks, ChunkBytes: measuredChunkBytes,
	}
}

// Measure runs a fleet through a steady period, some changes of the configuration, a
// change during the restart of a zone, and the death of an instance.
func Measure(size int, seed uint64) Measurement {
	f := New(MeasuredOptions(size, seed))
	f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.InForceEverywhere(1) })
	f.Bus.Run(settlePeriod)
	out := Measurement{Size: size}
	f.measureSteady(&out)
	f.measureChanges(&out)
	version := f.Store.Accept(f.Bus.Now)
	f.RestartZone(0)
	out.InForceRestart, _ = f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.InForceEverywhere(version) })
	f.Bus.Run(settlePeriod)
	f.measureDeath(&out)
	out.Violations = len(f.Violations)
	return out
}

// measureSteady measures traffic, processor time, reads, false suspicions and the age
// of evidence in the steady period.
func (f *Fleet) measureSteady(out *Measurement) {
	var ages []time.Duration
	f.onKeyCheck = func(n *Node, _ bool) {
		if f.Bus.Rand.IntN(16) == 0 { // a sample is enough
			ages = append(ages, f.Bus.Now.Sub(n.Freshness.AsOf()))
		}
	}
	before, reads, lists, cpu := f.trafficByNode(), f.Store.Reads, f.Store.ListReads, cpuTime()
	suspected, gone := map[string]bool{}, map[string]bool{}
	for end := f.Bus.Now.Add(steadyPeriod); f.Bus.Now.Before(end); {
		f.Bus.Run(stateCheckPeriod)
		f.collectFalseStates(suspected, gone)
	}
	f.onKeyCheck = nil
	after := f.trafficByNode()
	seconds, size := steadyPeriod.Seconds(), float64(len(f.Nodes))
	for n, t := range after {
		sent := t.sent() - before[n].sent()
		out.BytesPerSecond += sent / seconds / size
		out.BusiestPerSecond = max(out.BusiestPerSecond, sent/seconds)
		out.CallsPerSecond += float64(t.Calls-before[n].Calls) / 2 / seconds / size
	}
	out.CPU = 100 * (cpuTime() - cpu).Seconds() / seconds / size
	out.StoreReads, out.ListReads = float64(f.Store.Reads-reads)/seconds, float64(f.Store.ListReads-lists)/seconds
	out.FalseSuspicions, out.FalseDeaths = len(suspected), len(gone)
	slices.Sort(ages)
	out.AgeMedian, out.Age99, out.AgeMax = ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1]
}

// collectFalseStates adds the names of the running members that some instance
// suspects or takes as gone.
func (f *Fleet) collectFalseStates(suspected, gone map[string]bool) {
	running := map[string]bool{}
	for _, n := range f.Nodes {
		running[n.Member.Name] = true
	}
	for _, n := range f.Nodes {
		for _, m := range n.View.PossiblyRunning() {
			switch {
			case !running[m.Name]:
			case m.State == membership.Suspected:
				suspected[m.Name] = true
			case m.State == membership.Gone:
				gone[m.Name] = true
			}
		}
	}
}

// measureChanges measures the delay and the traffic of changes of the configuration.
func (f *Fleet) measureChanges(out *Measurement) {
	before := f.totalChangeBytes()
	for range changeCount {
		version := f.Store.Accept(f.Bus.Now)
		took, _ := f.Bus.RunUntil(changePeriod, pollStep, func() bool { return f.InForceEverywhere(version) })
		out.InForce = max(out.InForce, took)
		f.Bus.Run(changePeriod - took)
	}
	out.BytesPerChange = float64(f.totalChangeBytes()-before) / float64(len(f.Nodes)) / changeCount
}

// totalChangeBytes returns the sum of Traffic.ChangeBytes over all nodes.
func (f *Fleet) totalChangeBytes() int64 {
	sum := int64(0)
	for _, n := range f.Nodes {
		sum += n.Traffic.ChangeBytes
	}
	return sum
}

// measureDeath kills an instance and measures how long the others take to notice.
func (f *Fleet) measureDeath(out *Measurement) {
	victim := f.Nodes[len(f.Nodes)/2]
	f.Kill(victim)
	name := victim.Member.Name
	out.Suspected, _ = f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.StateCounts(name)[membership.Live] == 0 })
	rest, _ := f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.StateCounts(name)[membership.Gone] == len(f.Nodes) })
	out.Gone = out.Suspected + rest
}

// RestartZone kills all processes of an availability zone and starts others under
// their names.
func (f *Fleet) RestartZone(zone int) {
	for _, n := range slices.Clone(f.Nodes) {
		if n.Location.Zone == zone {
			f.Kill(n)
			f.Start(n.Member.Name, n.Location)
		}
	}
}

// sent estimates the bytes that a node sent as half of the bytes of the calls that it
// made and served. So every byte counts once in the sum over the fleet.
func (t Traffic) sent() float64 { return float64(t.MadeBytes+t.ServedBytes) / 2 }

// trafficByNode returns a copy of the traffic counted so far.
func (f *Fleet) trafficByNode() map[*Node]Traffic {
	out := make(map[*Node]Traffic, len(f.Nodes))
	for _, n := range f.Nodes {
		out[n] = n.Traffic
	}
	return out
}

// cpuTime returns the processor time that this operating system process has used, or
// 0 if it is not known.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// WriteMeasurements writes a table with one line for each fleet.
func WriteMeasurements(w io.Writer, all []Measurement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "size\tB/s\tbusiest B/s\tcalls/s\tCPU %\tfalse susp.\tfalse deaths\tstore reads/s\tlist reads/s\tage p50\tage p99\tage max\tin force\tB/change\tin force, zone restart\tsuspected\tgone\tviolations")
	for _, m := range all {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.1f\t%.3f\t%d\t%d\t%.1f\t%.1f\t%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\t%d\n",
			m.Size, m.BytesPerSecond, m.BusiestPerSecond, m.CallsPerSecond, m.CPU, m.FalseSuspicions, m.FalseDeaths,
			m.StoreReads, m.ListReads, m.AgeMedian.Round(pollStep), m.Age99.Round(pollStep), m.AgeMax.Round(pollStep), m.InForce,
			m.BytesPerChange, m.InForceRestart, m.Suspected, m.Gone, m.Violations)
	}
	return t.Flush()
}
