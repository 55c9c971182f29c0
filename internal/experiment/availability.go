package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/turmericfield/turmericfield/internal/overloadsim"
)

// AvailabilityRow shows how requests ended while some targets paused or left, as the mean
// over all seeds.
type AvailabilityRow struct {
	Scenario string `json:"load"`
	// Policy is "own" for the product's, "ignoring" for the same without what targets say,
	// and "without them" for the product's where these targets do not exist.
	Policy string `json:"policy"`
	// InTime is the fraction of requests answered in time from the first pause or departure
	// on. Refused and Failed are fractions of all requests.
	InTime  float64 `json:"in_time"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Retries and Uncached are fractions of all requests: sends to a further target, and
	// requests that a target ran without the object in its cache.
	Retries  float64 `json:"retries"`
	Uncached float64 `json:"uncached"`
	// MaxPerPause and SentToLeaving are the largest values of all seeds; see
	// overloadsim.Result.
	MaxPerPause   int `json:"max_per_pause"`
	SentToLeaving int `json:"sent_to_leaving"`
	// Windows is, for each two seconds, the fraction answered in time.
	Windows []float64 `json:"windows"`
}

// AvailabilityLoads returns the names of the scenarios that RunAvailability plays.
func AvailabilityLoads() []string {
	var names []string
	for _, s := range overloadsim.AvailabilityScenarios() {
		names = append(names, s.Name)
	}
	return names
}

// RunAvailability plays targets that pause or leave, with the given number of seeds.
func RunAvailability(seeds int) []AvailabilityRow {
	var rows []AvailabilityRow
	for _, s := range overloadsim.AvailabilityScenarios() {
		own := overloadsim.Affinity(s.Scenario)
		rows = append(rows,
			availabilityRow(s.Name, "own", s.Scenario, own, seeds),
			availabilityRow(s.Name, "ignoring", s.Scenario, overloadsim.IgnoringNotices(own), seeds),
			availabilityRow(s.Name, "without them", s.WithoutThem, overloadsim.Affinity(s.WithoutThem), seeds))
	}
	return rows
}

// availabilityRow plays one scenario under one policy, with seeds from 0.
func availabilityRow(name, policy string, s overloadsim.Scenario, factory overloadsim.PolicyFactory, seeds int) AvailabilityRow {
	row := AvailabilityRow{Scenario: name, Policy: policy}
	for seed := range uint64(seeds) {
		r := overloadsim.Simulate(s, seed, factory)
		share := func(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) / float64(seeds) }
		row.InTime += r.InTimeShareFrom(overloadsim.NoticesFrom) / float64(seeds)
		row.Refused += share(r.Refused)
		row.Failed += share(r.Failed)
		row.Retries += share(r.Retries)
		row.Uncached += share(r.Uncached)
		row.MaxPerPause = max(row.MaxPerPause, r.MaxPerPause)
		row.SentToLeaving = max(row.SentToLeaving, r.SentToLeaving)
		for i, x := range r.Windows {
			if i == len(row.Windows) {
				row.Windows = append(row.Windows, 0)
			}
			row.Windows[i] += x / float64(seeds)
		}
	}
	return row
}

// WriteAvailabilityTable writes the rows as a table with aligned columns.
func WriteAvailabilityTable(w io.Writer, rows []AvailabilityRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\tpolicy\tin time\trefused\tfailed\tretries\tuncached\tin a pause\tto leaving") // Flush returns the error
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\n", r.Scenario, r.Policy, r.InTime, r.Refused, r.Failed, r.Retries, r.Uncached, r.MaxPerPause, r.SentToLeaving)
	}
	return table.Flush()
}

// WriteAvailabilityPlot writes a plot, in SVG, of the fraction answered in time against
// the time, with a curve for each policy of the named scenario.
func WriteAvailabilityPlot(w io.Writer, scenario string, rows []AvailabilityRow) error {
	p := plot.New()
	p.Title.Text = scenario
	p.X.Label.Text, p.Y.Label.Text = "seconds", "answered in time"
	p.Y.Min, p.Y.Max = 0, 1
	var curves []any
	for _, r := range rows {
		if r.Scenario != scenario {
			continue
		}
		var points plotter.XYs
		for i, x := range r.Windows {
			points = append(points, plotter.XY{X: float64(i) * overloadsim.Window.Seconds(), Y: x})
		}
		curves = append(curves, r.Policy, points)
	}
	return writeSVG(w, p, curves)
}
