package experiment

import (
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
	// minPlottedShare is the smallest share of a budget that is drawn. Smaller
	// shares, such as 0, are drawn as minPlottedShare, because the axis is
	// logarithmic.
	minPlottedShare = 1e-4
	plotAxisMin     = 1e-8 // leaves room below the curves for the legend
	plotAxisMax     = 10   // times the budget
)

// WritePlot writes one plot, in SVG, with a curve for each cost that was measured with
// simulated fleets and has a budget. The curve shows the cost as a share of its budget
// against the number of instances. Both axes are logarithmic.
func (r Report) WritePlot(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Cost as a share of its budget"
	p.X.Label.Text, p.Y.Label.Text = "instances", "share of the budget"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	p.Legend.Left = true
	p.Y.Min, p.Y.Max = plotAxisMin, plotAxisMax
	var curves []any
	for _, l := range r.Lines {
		if points := l.shares(); len(points) > 0 {
			curves = append(curves, l.Cost, points)
		}
	}
	return writeSVG(w, p, curves)
}

// writeSVG draws the curves, which are names and points by turns, on the plot.
func writeSVG(w io.Writer, p *plot.Plot, curves []any) error {
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return errors.Wrap(err, "experiment: cannot draw the plot")
	}
	p.Add(plotter.NewGrid())
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return err
}

// shares returns the points as shares of the budget, none if there is no budget.
func (l ReportLine) shares() plotter.XYs {
	var out plotter.XYs
	for _, p := range l.Points {
		if l.Budget > 0 {
			out = append(out, plotter.XY{X: float64(p.Size), Y: max(minPlottedShare, p.Value/l.Budget)})
		}
	}
	return out
}
