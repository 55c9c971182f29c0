package gateway

import (
	"math/rand/v2"
	"testing"
)

// All instances together must stay within the fleet's retry budget in any
// window, whatever the number of instances, while every request asks for a
// retry.
func TestFleetKeepsItsRetryBudget(t *testing.T) {
	const ratio, extra, window = 0.2, 64.0, 10
	for _, n := range []int{1, 7, 25, 100, 1600} {
		var fleet []*retryBudget
		for range n {
			b := newRetryBudget(ratio, extra)
			b.setInstances(n)
			fleet = append(fleet, b)
		}
		random := rand.New(rand.NewPCG(uint64(n), 1))
		var sent, retries [60]float64 // per second
		for second := range sent {
			load := 300
			if second >= 20 && second < 25 {
				load = 20 // requests per second; low load, without failures, so that unused retry budget accumulates
			}
			for range load {
				b := fleet[random.IntN(n)]
				b.earn("s")
				sent[second]++
				// Nothing fails until second 25, so that every instance has
				// saved as many retries as it can.
				if second >= 25 && b.spend("s") {
					retries[second]++
				}
			}
		}
		for start := 0; start+window <= len(sent); start++ {
			requests, before, windowRetries := 0.0, 0.0, 0.0
			for i := start; i < start+window; i++ {
				requests += sent[i]
				windowRetries += retries[i]
				if i-window >= 0 {
					before += sent[i-window]
				}
			}
			if bound := ratio*max(requests, before) + extra; windowRetries > bound {
				t.Errorf("%d instances made %.0f retries within %d s; the budget is %.0f", n, windowRetries, window, bound)
				break
			}
		}
		if total := sum(retries[:]); total < 100 {
			t.Errorf("%d instances made only %.0f retries", n, total)
		}
	}
}

func sum(list []float64) float64 {
	s := 0.0
	for _, x := range list {
		s += x
	}
	return s
}
