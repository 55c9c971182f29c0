package fleetsim

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
)

// slopeSizes are the fleet sizes for TestSlopes. Large ones show how the costs of an
// instance grow with the fleet.
var slopeSizes = flag.String("slopes", "7,24", "comma-separated fleet sizes to measure")

// TestSlopes measures fleets of several sizes, checks the bounds that hold at every
// size, and prints the costs.
func TestSlopes(t *testing.T) {
	var all []Measurement
	for text := range strings.SplitSeq(*slopeSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		m := Measure(size, 1)
		all = append(all, m)
		if m.Violations > 0 || m.FalseDeaths > 0 || m.InForceRestart >= maxInForceDelay || m.AgeMax >= KeyFreshness {
			t.Errorf("out of bounds: %+v", m)
		}
	}
	if err := WriteMeasurements(os.Stdout, all); err != nil {
		t.Fatal(err)
	}
}

// outageSizes are the fleet sizes for TestHours.
var outageSizes = flag.String("hours", "18", "comma-separated fleet sizes to measure an hour of trouble with")

// TestHours measures two outages of one hour: a region cut off from the others, and
// an unreachable store. Afterwards the newest configuration must be in force at every
// instance within maxInForceDelay, and all instances must know each other again
// within 10 times convergenceLimit.
func TestHours(t *testing.T) {
	var all []OutageMeasurement
	for text := range strings.SplitSeq(*outageSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, MeasureRegionCutOff(size, 1), MeasureStoreDown(size, 1))
	}
	for _, m := range all {
		if m.Violations > 0 || m.InForceDelay >= maxInForceDelay || m.ConvergedAfter >= 10*convergenceLimit {
			t.Errorf("out of bounds: %+v", m)
		}
	}
	if err := WriteOutageMeasurements(os.Stdout, all); err != nil {
		t.Fatal(err)
	}
}
