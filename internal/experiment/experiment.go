// Package experiment measures what a fleet costs and extrapolates it to the
// size that the system is built for.
package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/turmericfield/turmericfield/internal/fleetsim"
)

// The size that the system is built for, and what it may cost there.
const (
	TargetInstances  = 1600
	targetZones      = 22
	targetSites      = 300
	targetBlocks     = 2_300_000
	targetLookups    = 710_000 // per second over the fleet
	targetChanges    = 4_300   // per day
	targetTurnover   = 390     // instances replaced per day
	secondsPerDay    = 86_400
	budgetCPU        = 4.1   // percent of a core
	budgetMemory     = 64    // MB
	budgetBytes      = 5_000 // per second
	budgetInForce    = 18    // seconds
	budgetStoreReads = 2_000 // per second
)

// leastFitted is the least size of a simulated fleet with the target's zones.
const leastFitted = 3 * targetZones

// MaxInstances bounds the size of a simulated fleet, and so its memory.
const MaxInstances = 2_000

// Options of a run.
type Options struct {
	// Sizes of the simulated fleets, ascending.
	Sizes []int
	Seed  uint64
	// Blocks in the steering table; 0 is the size that the system is built for.
	Blocks int
}

// Point is one measured cost.
type Point struct {
	Size  int
	Value float64
}

// Line is one cost with its budget.
type Line struct {
	Role, Cost, Unit, Mechanism string
	Points                      []Point
	// Slope is the growth of the cost for each 100 instances.
	Slope float64
	// AtTarget is the cost at TargetInstances: measured if that is among the
	// sizes, else extrapolated by the fitted line.
	AtTarget float64
	Measured bool
	// Budget is 0 if the cost has none of its own.
	Budget float64
}

// Margin returns how many times the cost fits into its budget; below 1 the
// budget is missed. It is 0 if there is no budget or no cost to compare.
func (l Line) Margin() float64 {
	if l.AtTarget <= 0 {
		return 0
	}
	return l.Budget / l.AtTarget
}

// Missed tells whether the cost exceeds its budget.
func (l Line) Missed() bool { return l.Budget > 0 && l.AtTarget > l.Budget }

// Report is the result of a run.
type Report struct {
	Fleets []fleetsim.Measurement
	Lines  []Line
}

// Run measures fleets of the given sizes, the steering table and decisions.
func Run(o Options) Report {
	if o.Blocks == 0 {
		o.Blocks = targetBlocks
	}
	var r Report
	heap := Line{
		Role: "entry instance", Cost: "memory of membership and dissemination", Unit: "MB",
		Mechanism: "membership, dissemination", Budget: budgetMemory,
	}
	for _, size := range o.Sizes {
		heap.Points = append(heap.Points, Point{size, fleetHeap(size, o.Seed)})
		r.Fleets = append(r.Fleets, fleetsim.Measure(size, o.Seed))
	}
	r.Lines = append(fleetLines(r.Fleets), heap)
	for i := range r.Lines {
		r.Lines[i].extrapolate()
	}
	r.Lines = append(r.Lines, steeringLines(o.Blocks)...)
	r.Lines = append(r.Lines, decisionLines()...)
	return r
}

// fleetLines takes the costs that grow with the fleet from its figures.
func fleetLines(fleets []fleetsim.Measurement) []Line {
	changesPerSecond := float64(targetChanges) / secondsPerDay
	costs := []struct {
		line  Line
		value func(fleetsim.Measurement) float64
	}{
		{Line{Role: "entry instance", Cost: "bytes sent, mean", Unit: "B/s", Mechanism: "probes, gossip, pulls", Budget: budgetBytes},
			func(f fleetsim.Measurement) float64 { return f.BytesPerSecond }},
		{Line{Role: "watcher or relay", Cost: "bytes sent, busiest", Unit: "B/s", Mechanism: "serving pulls", Budget: budgetBytes},
			func(f fleetsim.Measurement) float64 { return f.BusiestPerSecond }},
		{Line{Role: "entry instance", Cost: "bytes sent for changes", Unit: "B/s", Mechanism: "deltas with a manifest", Budget: budgetBytes},
			func(f fleetsim.Measurement) float64 { return f.BytesPerChange * changesPerSecond }},
		{Line{Role: "entry instance", Cost: "processor of the cores", Unit: "% of a core", Mechanism: "membership, dissemination", Budget: budgetCPU},
			func(f fleetsim.Measurement) float64 { return f.CPU }},
		{Line{Role: "entry instance", Cost: "oldest evidence", Unit: "s", Mechanism: "pulls with an age", Budget: fleetsim.KeyFreshness.Seconds()},
			func(f fleetsim.Measurement) float64 { return f.AgeMax.Seconds() }},
		{Line{Role: "fleet", Cost: "change in force on the last", Unit: "s", Mechanism: "hints and relays", Budget: budgetInForce},
			func(f fleetsim.Measurement) float64 { return f.InForce.Seconds() }},
		{Line{Role: "fleet", Cost: "the same, a zone restarting", Unit: "s", Mechanism: "hints and relays", Budget: budgetInForce},
			func(f fleetsim.Measurement) float64 { return f.InForceRestart.Seconds() }},
		{Line{Role: "store", Cost: "reads, record and list", Unit: "1/s", Mechanism: "few watchers per zone", Budget: budgetStoreReads},
			func(f fleetsim.Measurement) float64 { return f.StoreReads + f.ListReads }},
	}
	out := make([]Line, 0, len(costs))
	for _, c := range costs {
		for _, f := range fleets {
			c.line.Points = append(c.line.Points, Point{f.Size, c.value(f)})
		}
		out = append(out, c.line)
	}
	return out
}

// extrapolate sets the slope and the cost at the target's size. Fleets with
// fewer zones than the target follow another line: if there are enough others,
// these alone count.
func (l *Line) extrapolate() {
	points := slices.DeleteFunc(slices.Clone(l.Points), func(p Point) bool { return p.Size < leastFitted })
	if len(points) < 2 {
		points = l.Points
	}
	slope, intercept := fit(points)
	l.Slope = 100 * slope
	l.AtTarget = max(0, intercept+slope*TargetInstances)
	for _, p := range l.Points {
		if p.Size == TargetInstances {
			l.AtTarget, l.Measured = p.Value, true
		}
	}
}

// fit returns the line of least squares through points.
func fit(points []Point) (slope, intercept float64) {
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		size := float64(p.Size)
		x, y, xx, xy = x+size, y+p.Value, xx+size*size, xy+size*p.Value
	}
	if spread := n*xx - x*x; spread > 0 {
		slope = (n*xy - x*y) / spread
	}
	return slope, (y - slope*x) / max(1, n)
}

// WriteText prints the measured fleets and the table of costs.
func (r Report) WriteText(w io.Writer) error {
	if err := fleetsim.WriteMeasurements(w, r.Fleets); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nrole\tcost\tunit\tmechanism\tper 100 instances\tat %d\tbudget\tmargin\n", TargetInstances)
	for _, l := range r.Lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4g%s\t%s\n", l.Role, l.Cost, l.Unit, l.Mechanism, l.slopeText(), l.AtTarget, l.source(), l.budgetText())
	}
	return t.Flush()
}

func (l Line) slopeText() string {
	if len(l.Points) < 2 {
		return "-"
	}
	return fmt.Sprintf("%.3g", l.Slope)
}

func (l Line) source() string {
	if l.Measured {
		return " measured"
	}
	return " by slope"
}

func (l Line) budgetText() string {
	switch {
	case l.Budget == 0:
		return "-\t-"
	case l.AtTarget <= 0:
		return fmt.Sprintf("%g\t-", l.Budget)
	case l.Missed():
		return fmt.Sprintf("%g\tMISSED, %.2g", l.Budget, l.Margin())
	}
	return fmt.Sprintf("%g\t%.2g times", l.Budget, l.Margin())
}
