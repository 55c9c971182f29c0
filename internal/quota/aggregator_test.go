package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const testZones = 9

// newZonedFleet returns a fleet whose instances report to one aggregator in each of
// testZones zones.
func newZonedFleet(t *testing.T, n int, rate float64, seed uint64) *fleet {
	f := newFleet(t, n, rate, seed)
	for i := range testZones {
		s := NewAggregator(fmt.Sprint("z", i), 1)
		s.SetWorkspaces(map[string]*config.Workspace{"w": f.workspace})
		f.aggregators = append(f.aggregators, s)
	}
	return f
}

// Load within the quota must be admitted at any size of the fleet, also where an equal
// share is far less than one request.
func TestLoadWithinTheQuotaIsAdmittedInLargeFleets(t *testing.T) {
	for _, n := range []int{100, 400, 1600} {
		f := newZonedFleet(t, n, 15, 1)
		f.run(0, 2*time.Second)
		f.run(8, 30*time.Second)
		if refused := f.asked - len(f.admitted); float64(refused) > 0.02*float64(f.asked) {
			t.Errorf("%d instances refused %d of %d requests within the quota", n, refused, f.asked)
		}
	}
}

func TestLoadBeyondTheQuotaIsLimitedInLargeFleets(t *testing.T) {
	for _, rate := range []float64{15, 60, 300} {
		for _, n := range []int{100, 400, 1600} {
			f := newZonedFleet(t, n, rate, 2)
			f.run(rate/2, 10*time.Second)
			f.run(4*rate, 15*time.Second)
			f.checkWindows()
			if least := rate * 20 * 0.8; float64(len(f.admitted)) < least {
				t.Errorf("rate %.0f, %d instances: admitted %d in 25 s, want %.0f at least", rate, n, len(f.admitted), least)
			}
		}
	}
}

// If an aggregator restarts while its instances go on, nothing may be counted twice and
// no burst granted again.
func TestRestartedAggregatorGrantsNothingTwice(t *testing.T) {
	f := newZonedFleet(t, 100, 60, 3)
	f.run(30, 5*time.Second)
	for i := range f.aggregators {
		f.aggregators[i] = NewAggregator(fmt.Sprint("other z", i), 2)
		f.aggregators[i].SetWorkspaces(map[string]*config.Workspace{"w": f.workspace})
	}
	f.run(240, 10*time.Second)
	f.checkWindows()
}

func TestAggregatorAnswersOnlyWithRecentLevelsOfTheHub(t *testing.T) {
	s := NewAggregator("z", 1)
	if _, ok := s.Handle(Report{Instance: "a", Started: 1}, time.Second); ok {
		t.Error("the aggregator returned levels before the hub has responded")
	}
	s.SetLevels(s.Report(time.Second), Levels{Share: 1, Part: 1}, time.Second)
	if _, ok := s.Handle(Report{Instance: "a", Started: 1}, time.Second); !ok {
		t.Error("the aggregator returned no levels although the hub has just responded")
	}
	if _, ok := s.Handle(Report{Instance: "a", Started: 1}, time.Second+levelTTL); ok {
		t.Error("the aggregator returned levels that are too old")
	}
}
