package fleetsim

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/turmericfield/turmericfield/internal/membership"
)

// OutageMeasurement is what one run with an outage of an hour measured.
type OutageMeasurement struct {
	Outage string // kind of outage
	Size   int    // instances of the fleet
	// FalseDeaths is the largest number of running members that one instance took
	// as gone at the end of the hour.
	FalseDeaths int
	// InForceDelay is the time from the end of the outage until the newest version
	// of the configuration is in force at every instance. ConvergedAfter is the time
	// until, besides, every instance knows every other again.
	InForceDelay, ConvergedAfter time.Duration
	// BytesPerSecond is the mean of what an instance sends between the end of the
	// outage and ConvergedAfter. BusiestBytesPerSecond is that of the instance that
	// sends most.
	BytesPerSecond, BusiestBytesPerSecond float64
	// Violations counts the violated guarantees of the whole run.
	Violations int
}

// MeasureRegionCutOff measures an hour in which one region reaches neither the other
// regions nor the store, while the configuration changes every changePeriod.
func MeasureRegionCutOff(size int, seed uint64) OutageMeasurement {
	return measureOutage("one region apart", size, seed, func(f *Fleet) {
		f.Partition(func(location Location) int {
			if location.Region == 1 {
				return 1
			}
			return 0
		})
	}, (*Fleet).Heal)
}

// MeasureStoreDown measures an hour in which the store answers nobody.
func MeasureStoreDown(size int, seed uint64) OutageMeasurement {
	return measureOutage("store down", size, seed, func(f *Fleet) { f.Store.Down = true }, func(f *Fleet) { f.Store.Down = false })
}

// measureOutage lets a fleet settle, runs an hour between begin and end, and measures
// the recovery.
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

// measureRecovery measures the time after an outage, until the fleet has converged.
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

// converged tells whether no instance takes another as gone. Passing suspicions do
// not matter: there may be as many in all as there are instances.
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

// WriteOutageMeasurements writes a table with one line for each run.
func WriteOutageMeasurements(w io.Writer, all []OutageMeasurement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "trouble\tsize\tfalse deaths\tin force\twhole\tB/s\tbusiest B/s\tviolations")
	for _, m := range all {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%.0f\t%.0f\t%d\n", m.Outage, m.Size, m.FalseDeaths, m.InForceDelay, m.ConvergedAfter, m.BytesPerSecond, m.BusiestBytesPerSecond, m.Violations)
	}
	return t.Flush()
}
