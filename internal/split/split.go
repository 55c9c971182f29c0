// Package split distributes a route's requests over the services of its traffic split.
// It keeps the share of each service near its weight. As far as that allows, requests
// for the same object go to the same service.
package split

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// maxLead bounds how many requests a service may have received beyond its share
	// of the route's requests, and maxLeadRatio which part of all these requests. A
	// request that would bring its object's service that far beyond its share goes to
	// another service. Hot objects lead to the same service on all instances, so that
	// with larger bounds the shares of the fleet would deviate visibly from the weights.
	maxLead      = 3.0
	maxLeadRatio = 0.05
	// halveAfter is the number of requests at which all counts are halved, so that
	// older requests count less.
	halveAfter = 400.0
)

// Splitter chooses the service for each request. It is not safe for concurrent use.
type Splitter struct {
	routes map[string]*routeCounts
	random *rand.Rand
}

// routeCounts counts the requests of a route since the last change of its split.
type routeCounts struct {
	parts []config.SplitPart
	sent  []float64 // requests by part; older ones count less
	total float64   // sum of sent
}

// New returns a splitter that has counted no requests and takes its random numbers from
// a source with this seed.
func New(seed uint64) *Splitter {
	return &Splitter{routes: map[string]*routeCounts{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// Choose returns the service for a request of the route. Requests with the same object
// prefer the same service; an empty object means that there is none.
func (s *Splitter) Choose(route *config.Route, object string) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	c := s.routes[route.Name]
	if c == nil || !sameParts(c.parts, route.Split) {
		c = &routeCounts{parts: route.Split, sent: make([]float64, len(route.Split))}
		s.routes[route.Name] = c
	}
	i := c.choose(object, s.random)
	c.record(i)
	return route.Split[i].Service
}

// choose returns the index of the part that a request goes to. A part's share of the
// requests is its weight divided by the sum of all weights. The request goes to the part
// that the object's hash falls into, unless that part would then have received more
// requests beyond its share than it may. In that case, or without an object, it goes to
// one of the parts with a deficit: the part's share of all requests, including this one,
// less the requests that the part has received. The choice among them is random in
// proportion to their deficits, so that instances do not all choose alike.
func (c *routeCounts) choose(object string, random *rand.Rand) int {
	sum := 0.0
	for _, p := range c.parts {
		sum += p.Weight
	}
	if sum <= 0 {
		return 0
	}
	hashed := -1
	if object != "" {
		point := float64(xxhash.Sum64String(object)>>11) / (1 << 53) * sum
		for i, p := range c.parts {
			if point -= p.Weight; point < 0 {
				hashed = i
				break
			}
		}
	}
	deficits, all, last := make([]float64, len(c.parts)), 0.0, 0
	for i, p := range c.parts {
		deficit := (c.total+1)*p.Weight/sum - c.sent[i]
		if i == hashed && 1-deficit < min(maxLead, maxLeadRatio*(c.total+1)) {
			return hashed
		}
		if p.Weight > 0 && deficit > 0 {
			deficits[i], last = deficit, i
			all += deficit
		}
	}
	point := random.Float64() * all
	for i, deficit := range deficits {
		if point -= deficit; point < 0 {
			return i
		}
	}
	return last
}

// record counts a request to the part with index i.
func (c *routeCounts) record(i int) {
	c.sent[i]++
	c.total++
	if c.total < halveAfter {
		return
	}
	for i := range c.sent {
		c.sent[i] /= 2
	}
	c.total /= 2
}

// sameParts reports whether two splits have the same services and weights.
func sameParts(a, b []config.SplitPart) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
