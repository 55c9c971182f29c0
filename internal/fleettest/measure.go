package fleettest

import (
	"fmt"
	"io"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/turmericfield/turmericfield/internal/membership"
)

// Shape of the fleet that the figures are for.
const (
	measuredLoss       = 0.05
	measuredJitter     = 5 * time.Millisecond
	measuredListLag    = 30 * time.Second
	measuredChunks     = 256
	measuredChunkBytes = 4 << 10
	settlePeriod       = 60 * time.Second
	steadyPeriod       = 60 * time.Second
	changeCount        = 5
	changePeriod       = 20 * time.Second
	stateCheckPeriod   = 5 * time.Second
	pollStep           = 100 * time.Millisecond
	convergenceLimit   = 2 * time.Minute
)

// Measurement are the costs of one fleet.
type Measurement struct {
	Size int
	// BytesPerSecond is what an instance sends on the wire, as a mean; it
	// receives as much. BusiestBytesPerSecond is the busiest instance's.
	BytesPerSecond, BusiestBytesPerSecond float64
	// CallsPerSecond is the number of remote calls that an instance makes.
	CallsPerSecond float64
	// CPUPercent is the processor time of an instance per second, in percent of a
	// core. It includes the driver's own.
	CPUPercent float64
	// FalseSuspicions counts the living members that anyone suspected, FalseDeaths
	// those that anyone took as gone, in the steady period.
	FalseSuspicions, FalseDeaths int
	// StoreReadsPerSecond and ListReadsPerSecond are calls per second at the platform.
	StoreReadsPerSecond, ListReadsPerSecond float64
	// AgeMedian and AgeMax are ages of the evidence behind trust in keys.
	AgeMedian, AgeP99, AgeMax time.Duration
	// InForceDelay is the time until a change was in force on the last instance.
	InForceDelay time.Duration
	// BytesPerChange is what an instance sends for one change: hints and the
	// pulls that bring the change, with their answers.
	BytesPerChange float64
	// InForceDelayInRestart is the same while one zone restarts.
	InForceDelayInRestart time.Duration
	// SuspectedAfter and GoneAfter are the times until nobody takes a dead instance as
	// live, and until all take it as gone.
	SuspectedAfter, GoneAfter time.Duration
	Violations                int
}

// MeasuredOptions returns the options of the fleet that the figures are for.
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

// Measure runs a fleet through a steady period, changes, the restart of a zone
// and a death.
func Measure(size int, seed uint64) Measurement {
	f := New(MeasuredOptions(size, seed))
	f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.InForceEverywhere(1) })
	f.Bus.Run(settlePeriod)
	out := Measurement{Size: size}
	f.measureSteady(&out)
	f.measureChanges(&out)
	version := f.Store.Accept(f.Bus.Now)
	f.RestartZone(0)
	out.InForceDelayInRestart, _ = f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.InForceEverywhere(version) })
	f.Bus.Run(settlePeriod)
	f.measureDeath(&out)
	out.Violations = len(f.Violations)
	return out
}

func (f *Fleet) measureSteady(out *Measurement) {
	var ages []time.Duration
	f.onKeyCheck = func(n *Node, _ bool) {
		if f.Bus.Rand.IntN(16) == 0 {
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
		out.BusiestBytesPerSecond = max(out.BusiestBytesPerSecond, sent/seconds)
		out.CallsPerSecond += float64(t.Calls-before[n].Calls) / 2 / seconds / size
	}
	out.CPUPercent = 100 * (cpuTime() - cpu).Seconds() / seconds / size
	out.StoreReadsPerSecond, out.ListReadsPerSecond = float64(f.Store.Reads-reads)/seconds, float64(f.Store.ListReads-lists)/seconds
	out.FalseSuspicions, out.FalseDeaths = len(suspected), len(gone)
	slices.Sort(ages)
	out.AgeMedian, out.AgeP99, out.AgeMax = ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1]
}

// falseBeliefs collects living members that anyone suspects or takes as gone.
func (f *Fleet) collectFalseStates(suspected, gone map[string]bool) {
	living := map[string]bool{}
	for _, n := range f.Nodes {
		living[n.Member.Name] = true
	}
	for _, n := range f.Nodes {
		for _, m := range n.View.PossiblyRunning() {
			switch {
			case !living[m.Name]:
			case m.State == membership.Suspected:
				suspected[m.Name] = true
			case m.State == membership.Gone:
				gone[m.Name] = true
			}
		}
	}
}

func (f *Fleet) measureChanges(out *Measurement) {
	before := f.totalChangeBytes()
	for range changeCount {
		version := f.Store.Accept(f.Bus.Now)
		took, _ := f.Bus.RunUntil(changePeriod, pollStep, func() bool { return f.InForceEverywhere(version) })
		out.InForceDelay = max(out.InForceDelay, took)
		f.Bus.Run(changePeriod - took)
	}
	out.BytesPerChange = float64(f.totalChangeBytes()-before) / float64(len(f.Nodes)) / changeCount
}

func (f *Fleet) totalChangeBytes() int64 {
	sum := int64(0)
	for _, n := range f.Nodes {
		sum += n.Traffic.ChangeBytes
	}
	return sum
}

func (f *Fleet) measureDeath(out *Measurement) {
	victim := f.Nodes[len(f.Nodes)/2]
	f.Kill(victim)
	name := victim.Member.Name
	out.SuspectedAfter, _ = f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.StateCounts(name)[membership.Live] == 0 })
	rest, _ := f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.StateCounts(name)[membership.Gone] == len(f.Nodes) })
	out.GoneAfter = out.SuspectedAfter + rest
}

// RestartZone kills all processes of a zone and starts fresh ones.
func (f *Fleet) RestartZone(zone int) {
	for _, n := range slices.Clone(f.Nodes) {
		if n.Location.Zone == zone {
			f.Kill(n)
			f.Start(n.Member.Name, n.Location)
		}
	}
}

// sent is half of the bytes of the calls made and served: over the fleet, each
// byte counts once.
func (t Traffic) sent() float64 { return float64(t.MadeBytes+t.ServedBytes) / 2 }

func (f *Fleet) trafficByNode() map[*Node]Traffic {
	out := make(map[*Node]Traffic, len(f.Nodes))
	for _, n := range f.Nodes {
		out[n] = n.Traffic
	}
	return out
}

// processTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// WriteMeasurements prints a table with one line for each fleet.
func WriteMeasurements(w io.Writer, all []Measurement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "size\tB/s\tbusiest B/s\tcalls/s\tCPU %\tfalse susp.\tfalse deaths\tstore reads/s\tlist reads/s\tage p50\tage p99\tage max\tin force\tB/change\tin force, zone restart\tsuspected\tgone\tviolations")
	for _, f := range all {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.1f\t%.3f\t%d\t%d\t%.1f\t%.1f\t%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\t%d\n",
			f.Size, f.BytesPerSecond, f.BusiestBytesPerSecond, f.CallsPerSecond, f.CPUPercent, f.FalseSuspicions, f.FalseDeaths,
			f.StoreReadsPerSecond, f.ListReadsPerSecond, f.AgeMedian.Round(pollStep), f.AgeP99.Round(pollStep), f.AgeMax.Round(pollStep), f.InForceDelay,
			f.BytesPerChange, f.InForceDelayInRestart, f.SuspectedAfter, f.GoneAfter, f.Violations)
	}
	return t.Flush()
}
