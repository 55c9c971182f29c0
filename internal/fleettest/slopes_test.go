package fleettest

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
)

var slopes = flag.String("slopes", "7,40", "comma-separated fleet sizes to measure")

func TestSlopes(t *testing.T) {
	var all []Figures
	for text := range strings.SplitSeq(*slopes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		f := Measure(size, 1)
		all = append(all, f)
		if f.Violations > 0 || f.FalseDeaths > 0 || f.InForceRestart >= inForceTarget || f.AgeMax >= KeyFreshness {
			t.Errorf("out of bounds: %+v", f)
		}
	}
	if err := WriteFigures(os.Stdout, all); err != nil {
		t.Fatal(err)
	}
}
