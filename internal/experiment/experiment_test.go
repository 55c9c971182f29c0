package experiment

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
)

// TestFit checks the fitted line for points on a straight line, for points around
// one, and for too few points.
func TestFit(t *testing.T) {
	for name, c := range map[string]struct {
		points           []Point
		slope, intercept float64
	}{
		"line":  {[]Point{{7, 17}, {100, 110}, {400, 410}}, 1, 10},
		"noise": {[]Point{{0, 1}, {0, 3}, {2, 5}, {2, 7}}, 2, 2},
		"one":   {[]Point{{7, 5}}, 0, 5},
		"none":  {nil, 0, 0},
	} {
		if slope, intercept := fit(c.points); math.Abs(slope-c.slope) > 1e-9 || math.Abs(intercept-c.intercept) > 1e-9 {
			t.Errorf("%s: got slope %g, intercept %g", name, slope, intercept)
		}
	}
}

// TestReportLine checks for four report lines how the cost at the design
// size is found and whether it exceeds the budget: extrapolated and within it, with
// a fleet that is too small for the fit, without a cost, and measured above it.
func TestReportLine(t *testing.T) {
	within := ReportLine{Points: []Point{{100, 100}, {200, 200}}, Budget: 3200}
	within.extrapolate()
	if within.AtTarget != 1600 || within.Measured || within.Margin() != 2 || strings.Contains(within.budgetText(), "MISSED") {
		t.Errorf("cost within its budget: %+v", within)
	}
	small := ReportLine{Points: []Point{{7, 0}, {100, 100}, {200, 200}}}
	small.extrapolate()
	if small.AtTarget != 1600 {
		t.Errorf("a fleet with too few zones changes the fit: %+v", small)
	}
	if free := (ReportLine{Budget: 5}); free.ExceedsBudget() || strings.Contains(free.budgetText(), "MISSED") {
		t.Errorf("no cost: %+v", free)
	}
	over := ReportLine{Points: []Point{{100, 100}, {DesignInstances, 6400}}, Budget: 3200}
	over.extrapolate()
	if over.AtTarget != 6400 || !over.Measured || !strings.Contains(over.budgetText(), "MISSED") {
		t.Errorf("cost above its budget: %+v", over)
	}
}

// TestRun runs the experiment with tiny fleets. It checks that each cost is above 0,
// but for two that are too small to measure here, that the text lists the costs, and
// that the plot is well-formed XML.
func TestRun(t *testing.T) {
	r := Run(Options{Sizes: []int{7, 18}, Seed: 1, Blocks: 10_000})
	for _, l := range r.Lines {
		if l.AtTarget <= 0 && l.Cost != "memory of membership and dissemination" && l.Cost != "processor of the cores" {
			t.Errorf("%s, %s: got %g %s, want above 0", l.Role, l.Cost, l.AtTarget, l.Unit)
		}
	}
	var text, svg bytes.Buffer
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "oldest evidence") {
		t.Errorf("error %v, or no \"oldest evidence\" in the text:\n%s", err, &text)
	}
	if err := r.WritePlot(&svg); err != nil {
		t.Fatal(err)
	}
	for decoder := xml.NewDecoder(&svg); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
