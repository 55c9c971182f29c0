// Package experiment measures what it costs to run the system, with simulated
// fleets of instances and with the code that serves requests, and compares each
// cost with its budget at the size that the system is designed for. Costs that
// depend on the number of instances are extrapolated to that size.
package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/turmericfield/turmericfield/internal/fleetsim"
)

// The size that the system is designed for, and what it may cost there.
const (
	// DesignInstances is the number of instances, in all availability zones.
	DesignInstances          = 1600
	designZones              = 22
	designSites              = 300       // locations of clients; see steering.Site
	designBlocks             = 2_300_000 // client address blocks in the steering table
	designLookupsPerSecond   = 710_000   // steering look-ups of the whole fleet
	designChangesPerDay      = 4_300     // of the configuration
	designReplacementsPerDay = 390       // instances that end and are replaced
	secondsPerDay            = 86_400

	// Budgets for the costs at that size. Those of processor, memory and bytes are
	// for one instance.

	budgetCPUPercent          = 4.1 // of one core
	budgetMemoryMB            = 64
	budgetBytesPerSecond      = 5_000 // sent
	budgetInForceSeconds      = 18    // until the last instance uses a new configuration
	budgetStoreReadsPerSecond = 2_000 // of the whole fleet
)

// minFittedSize is the smallest simulated fleet, in instances, that has as many
// zones as the design; see fleetsim.MeasuredOptions.
const minFittedSize = 3 * designZones

// MaxInstances is the largest simulated fleet. It bounds the memory of a run.
const MaxInstances = 2_000

// Options of a run.
type Options struct {
	// Sizes are the numbers of instances of the simulated fleets, ascending.
	Sizes []int
	// Seed is the seed of the simulated message losses and delays.
	Seed uint64
	// Blocks is the number of client address blocks in the steering table; 0
	// stands for the number that the system is designed for.
	Blocks int
}

// Point is the cost of one simulated fleet.
type Point struct {
	Size  int     // of the fleet, in instances
	Value float64 // in the unit of the report line
}

// ReportLine is one line of the report: a cost with its budget. The report is
// printed as JSON under the names of the fields.
type ReportLine struct {
	// Role is the part of the system that bears the cost, Cost names it, and
	// Mechanism is what causes it.
	Role, Cost, Unit, Mechanism string
	// Points are the costs of the simulated fleets; none if the cost was measured
	// without them.
	Points []Point
	// Slope is the growth of the cost for each 100 instances more, in Unit.
	Slope float64
	// AtTarget is the cost at the size that the system is designed for, in Unit:
	// measured, or else extrapolated to DesignInstances.
	AtTarget float64
	// Measured says that AtTarget was measured at that size.
	Measured bool
	// Budget is what the cost may be at most, in Unit; 0: it has no budget.
	Budget float64
}

// Margin returns the budget divided by the cost: below 1, the cost exceeds its
// budget. It is 0 if there is no budget or no cost to compare.
func (l ReportLine) Margin() float64 {
	if l.AtTarget <= 0 {
		return 0
	}
	return l.Budget / l.AtTarget
}

// ExceedsBudget reports whether the cost is above its budget, if it has one.
func (l ReportLine) ExceedsBudget() bool { return l.Budget > 0 && l.AtTarget > l.Budget }

// Report is the result of a run.
type Report struct {
	Fleets []fleetsim.Measurement // one for each size in Options.Sizes
	Lines  []ReportLine
}

// Run measures fleets of the given sizes, the steering table and decisions.
func Run(o Options) Report {
	if o.Blocks == 0 {
		o.Blocks = designBlocks
	}
	var r Report
	heapLine := ReportLine{
		Role: "entry instance", Cost: "memory of membership and dissemination", Unit: "MB",
		Mechanism: "membership, dissemination", Budget: budgetMemoryMB,
	}
	for _, size := range o.Sizes {
		heapLine.Points = append(heapLine.Points, Point{size, heapPerInstanceMB(size, o.Seed)})
		r.Fleets = append(r.Fleets, fleetsim.Measure(size, o.Seed))
	}
	r.Lines = append(fleetLines(r.Fleets), heapLine)
	for i := range r.Lines {
		r.Lines[i].extrapolate()
	}
	r.Lines = append(r.Lines, measureSteering(o.Blocks)...)
	r.Lines = append(r.Lines, measureDecisions()...)
	return r
}

// fleetLines returns the costs that the simulated fleets measured, each with one
// point for each fleet.
func fleetLines(fleets []fleetsim.Measurement) []ReportLine {
	changesPerSecond := float64(designChangesPerDay) / secondsPerDay
	costs := []struct {
		line  ReportLine
		value func(fleetsim.Measurement) float64
	}{
		{ReportLine{Role: "entry instance", Cost: "bytes sent, mean", Unit: "B/s", Mechanism: "probes, gossip, pulls", Budget: budgetBytesPerSecond},
			func(f fleetsim.Measurement) float64 { return f.BytesPerSecond }},
		{ReportLine{Role: "watcher or relay", Cost: "bytes sent, busiest", Unit: "B/s", Mechanism: "serving pulls", Budget: budgetBytesPerSecond},
			func(f fleetsim.Measurement) float64 { return f.BusiestPerSecond }},
		{ReportLine{Role: "entry instance", Cost: "bytes sent for changes", Unit: "B/s", Mechanism: "deltas with a manifest", Budget: budgetBytesPerSecond},
			func(f fleetsim.Measurement) float64 { return f.BytesPerChange * changesPerSecond }},
		{ReportLine{Role: "entry instance", Cost: "processor of the cores", Unit: "% of a core", Mechanism: "membership, dissemination", Budget: budgetCPUPercent},
			func(f fleetsim.Measurement) float64 { return f.CPU }},
		{ReportLine{Role: "entry instance", Cost: "oldest evidence", Unit: "s", Mechanism: "pulls with an age", Budget: fleetsim.KeyFreshness.Seconds()},
			func(f fleetsim.Measurement) float64 { return f.AgeMax.Seconds() }},
		{ReportLine{Role: "fleet", Cost: "change in force on the last", Unit: "s", Mechanism: "hints and relays", Budget: budgetInForceSeconds},
			func(f fleetsim.Measurement) float64 { return f.InForce.Seconds() }},
		{ReportLine{Role: "fleet", Cost: "the same, a zone restarting", Unit: "s", Mechanism: "hints and relays", Budget: budgetInForceSeconds},
			func(f fleetsim.Measurement) float64 { return f.InForceRestart.Seconds() }},
		{ReportLine{Role: "store", Cost: "reads, record and list", Unit: "1/s", Mechanism: "few watchers per zone", Budget: budgetStoreReadsPerSecond},
			func(f fleetsim.Measurement) float64 { return f.StoreReads + f.ListReads }},
	}
	out := make([]ReportLine, 0, len(costs))
	for _, c := range costs {
		for _, f := range fleets {
			c.line.Points = append(c.line.Points, Point{f.Size, c.value(f)})
		}
		out = append(out, c.line)
	}
	return out
}

// extrapolate sets Slope, AtTarget and Measured from the points. Fleets with fewer
// zones than the design have costs on another line, so they are left out of the fit
// if at least two others remain.
func (l *ReportLine) extrapolate() {
	points := slices.DeleteFunc(slices.Clone(l.Points), func(p Point) bool { return p.Size < minFittedSize })
	if len(points) < 2 {
		points = l.Points
	}
	slope, intercept := fit(points)
	l.Slope = 100 * slope
	l.AtTarget = max(0, intercept+slope*DesignInstances)
	for _, p := range l.Points {
		if p.Size == DesignInstances {
			l.AtTarget, l.Measured = p.Value, true
		}
	}
}

// fit returns the straight line of least squares through the points. With one
// point, or none, its slope is 0.
func fit(points []Point) (slope, intercept float64) {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		size := float64(p.Size)
		sumX, sumY, sumXX, sumXY = sumX+size, sumY+p.Value, sumXX+size*size, sumXY+size*p.Value
	}
	if denominator := n*sumXX - sumX*sumX; denominator > 0 {
		slope = (n*sumXY - sumX*sumY) / denominator
	}
	return slope, (sumY - slope*sumX) / max(1, n)
}

// WriteText prints a table of the simulated fleets and one of the costs.
func (r Report) WriteText(w io.Writer) error {
	if err := fleetsim.WriteMeasurements(w, r.Fleets); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nrole\tcost\tunit\tmechanism\tper 100 instances\tat %d\tbudget\tmargin\n", DesignInstances)
	for _, l := range r.Lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4g%s\t%s\n", l.Role, l.Cost, l.Unit, l.Mechanism, l.slopeText(), l.AtTarget, l.sourceText(), l.budgetText())
	}
	return t.Flush()
}

func (l ReportLine) slopeText() string {
	if len(l.Points) < 2 {
		return "-"
	}
	return fmt.Sprintf("%.3g", l.Slope)
}

// sourceText tells how AtTarget was found.
func (l ReportLine) sourceText() string {
	if l.Measured {
		return " measured"
	}
	return " by slope"
}

// budgetText returns the columns budget and margin.
func (l ReportLine) budgetText() string {
	switch {
	case l.Budget == 0:
		return "-\t-"
	case l.AtTarget <= 0:
		return fmt.Sprintf("%g\t-", l.Budget)
	case l.ExceedsBudget():
		return fmt.Sprintf("%g\tMISSED, %.2g", l.Budget, l.Margin())
	}
	return fmt.Sprintf("%g\t%.2g times", l.Budget, l.Margin())
}
