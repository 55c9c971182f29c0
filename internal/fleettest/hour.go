package fleettest

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/turmericfield/turmericfield/internal/membership"
)

// OutageMeasurement say what an hour of trouble and the return cost.
type OutageMeasurement struct {
	Outage string
	Size   int
	// FalseDeaths is the largest number of living members that one instance
	// took as gone at the end of the hour.
	FalseDeaths int
	// InForceDelay is the time after the end until the newest version is in force
	// everywhere; ConvergedAfter until also everybody takes everybody as live.
	InForceDelay, ConvergedAfter time.Duration
	// BytesPerSecond is what an instance sends while the fleet returns, as a
	// mean; BusiestBytesPerSecond is the busiest instance's.
	BytesPerSecond, BusiestBytesPerSecond float64
	Violations                            int
}

// MeasureRegionCutOff cuts one region off from all others and the store for an
// hour with a change every 20 s.
func MeasureRegionCutOff(size int, seed uint64) OutageMeasurement {
	return measureOutage("one region apart", size, seed, func(f *Fleet) {
		f.Partition(func(s Location) int {
			if s.Region == 1 {
				return 1
			}
			return 0
		})
	}, (*Fleet).Heal)
}

// MeasureStoreDown takes the store away for an hour.
func MeasureStoreDown(size int, seed uint64) OutageMeasurement {
	return measureOutage("store down", size, seed, func(f *Fleet) { f.Store.Down = true }, func(f *Fleet) { f.Store.Down = false })
}

func measureOutage(outage string, size int, seed uint64, begin, end func(*Fleet)) OutageMeasurement {
	o := MeasuredOptions(size, seed)
	o.TickPeriod = 200 * time.Millisecond
	f := New(o)
	f.Bus.Run(settlePeriod)
	begin(f)
	for range int(time.Hour / changePeriod) {
		if !f.Store.Down {
			f.Store.Accept(f.Bus.Now)
		}
		f.Bus.Run(changePeriod)
	}
	out := OutageMeasurement{Outage: outage, Size: size}
	for _, n := range f.Nodes {
		out.FalseDeaths = max(out.FalseDeaths, size-len(n.View.Members()))
	}
	end(f)
	f.measureRecovery(&out)
	out.Violations = len(f.Violations)
	return out
}

func (f *Fleet) measureRecovery(out *OutageMeasurement) {
	before := f.trafficByNode()
	version := f.Store.Accept(f.Bus.Now)
	out.InForceDelay, _ = f.Bus.RunUntil(convergenceLimit, pollStep, func() bool { return f.InForceEverywhere(version) })
	rest, _ := f.Bus.RunUntil(10*convergenceLimit, time.Second, f.converged)
	out.ConvergedAfter = out.InForceDelay + rest
	for n, t := range f.trafficByNode() {
		rate := (t.sent() - before[n].sent()) / out.ConvergedAfter.Seconds()
		out.BytesPerSecond += rate / float64(len(f.Nodes))
		out.BusiestBytesPerSecond = max(out.BusiestBytesPerSecond, rate)
	}
}

// whole tells whether everybody takes all others as live, apart from single
// suspicions.
func (f *Fleet) converged() bool {
	for _, n := range f.Nodes {
		if len(n.View.Members()) != len(f.Nodes) {
			return false
		}
	}
	suspected := 0
	for _, n := range f.Nodes {
		for _, m := range n.View.Members() {
			if m.State == membership.Suspected {
				suspected++
			}
		}
	}
	return suspected <= len(f.Nodes)
}

// WriteOutageMeasurements prints a table with one line for each run.
func WriteOutageMeasurements(w io.Writer, all []OutageMeasurement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "trouble\tsize\tfalse deaths\tin force\twhole\tB/s\tbusiest B/s\tviolations")
	for _, f := range all {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%.0f\t%.0f\t%d\n", f.Outage, f.Size, f.FalseDeaths, f.InForceDelay, f.ConvergedAfter, f.BytesPerSecond, f.BusiestBytesPerSecond, f.Violations)
	}
	return t.Flush()
}
