package split

import (
	"fmt"
	"math"
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
		s := New()
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
	s := New()
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
	if got := New().Choose(&config.Route{Service: "only"}, "o"); got != "only" {
		t.Fatal(got)
	}
}
