package split

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/turmericfield/turmericfield/internal/config"
)

// maxDeviation is how far a service's share of the requests may be from its weight.
const maxDeviation = 0.1

func TestSharesStayNearTheirWeights(t *testing.T) {
	for _, weights := range [][]float64{{90, 10}, {50, 50}, {1, 0}, {70, 20, 10}, {99, 1}} {
		route := &config.Route{Name: "r"}
		sum := 0.0
		for i, w := range weights {
			route.Split = append(route.Split, config.SplitPart{Service: fmt.Sprint("s", i), Weight: w})
			sum += w
		}
		s := New(1)
		counts := map[string]float64{}
		const n, objects = 300, 20 // with few objects, keeping each at one service would miss the weights
		for i := range n {
			counts[s.Choose(route, fmt.Sprint("o", i*i%objects))]++
		}
		for _, p := range route.Split {
			if off := math.Abs(counts[p.Service]/n - p.Weight/sum); off > maxDeviation {
				t.Errorf("weights %v: share of %s is %.2f off its weight", weights, p.Service, off)
			}
		}
	}
}

func TestNewWeightsApplyFromTheNextRequest(t *testing.T) {
	s := New(1)
	before := &config.Route{Name: "r", Split: []config.SplitPart{{Service: "a", Weight: 100}, {Service: "b", Weight: 0}}}
	for i := range 1000 {
		if got := s.Choose(before, fmt.Sprint(i)); got != "a" {
			t.Fatalf("request %d went to %s, which has no weight", i, got)
		}
	}
	after := &config.Route{Name: "r", Split: []config.SplitPart{{Service: "a", Weight: 0}, {Service: "b", Weight: 100}}}
	for i := range 100 {
		if got := s.Choose(after, fmt.Sprint(i)); got != "b" {
			t.Fatalf("request %d after the change went to %s, which has no weight", i, got)
		}
	}
}

func TestRouteWithoutSplitUsesItsService(t *testing.T) {
	if got := New(1).Choose(&config.Route{Service: "only"}, "o"); got != "only" {
		t.Fatal(got)
	}
}

// fleetRequests sends n requests of a route to random instances and returns the largest
// deviation of a part's share from its weight. Half of the requests concern one object.
func fleetRequests(fleet []*Splitter, route *config.Route, n int, r *rand.Rand) float64 {
	counts, sum := map[string]float64{}, 0.0
	for range n {
		object := "hot"
		if r.IntN(2) == 0 {
			object = fmt.Sprint(r.IntN(40))
		}
		counts[fleet[r.IntN(len(fleet))].Choose(route, object)]++
	}
	for _, p := range route.Split {
		sum += p.Weight
	}
	worst := 0.0
	for _, p := range route.Split {
		worst = max(worst, math.Abs(counts[p.Service]/float64(n)-p.Weight/sum))
	}
	return worst
}

// The shares of a split must be near their weights among few requests of the whole
// fleet, right after a change of the weights and later.
func TestSharesOverAllInstancesStayNearTheirWeights(t *testing.T) {
	const requests, maxFleetDeviation = 200, 0.2
	for _, instances := range []int{1, 7, 25, 100, 300} {
		for _, weights := range [][]float64{{50, 50}, {90, 10}, {75, 25}, {10, 90}, {70, 20, 10}} {
			for seed := range uint64(20) {
				r := rand.New(rand.NewPCG(seed, 1))
				fleet := make([]*Splitter, instances)
				for i := range fleet {
					fleet[i] = New(r.Uint64())
				}
				route := &config.Route{Name: "r"}
				for i, w := range weights {
					route.Split = append(route.Split, config.SplitPart{Service: fmt.Sprint("s", i), Weight: w})
				}
				for window := range 20 {
					if off := fleetRequests(fleet, route, requests, r); off > maxFleetDeviation {
						t.Errorf("%d instances, weights %v, seed %d, window %d: a share is %.2f off", instances, weights, seed, window, off)
					}
				}
			}
		}
	}
}
