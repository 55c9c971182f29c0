// Package split distributes a route's requests over the services of its
// traffic split. It keeps each part near its weight while an object stays with
// one service where that is possible.
package split

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// maxLead is how many requests a part may be ahead of its weight before an
	// object leaves its own part; more would show in the shares of short spans.
	maxLead = 3.0
	// memory is the number of requests after which old shares count half.
	halveAfter = 400.0
)

// Splitter chooses the part for each request. It is not safe for concurrent use.
type Splitter struct {
	routes map[string]*routeCounts
}

type routeCounts struct {
	parts []config.SplitPart
	sent  []float64
	total float64
}

// New returns an empty splitter.
func New() *Splitter { return &Splitter{routes: map[string]*routeCounts{}} }

// Choose returns the service for a request of the route. Requests with the same
// object prefer the same service.
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
	i := c.choose(object)
	c.record(i)
	return route.Split[i].Service
}

func (c *routeCounts) choose(object string) int {
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
	neediest, maxDeficit := 0, 0.0
	for i, p := range c.parts {
		deficit := (c.total+1)*p.Weight/sum - c.sent[i]
		if p.Weight > 0 && (maxDeficit == 0 || deficit > maxDeficit) {
			neediest, maxDeficit = i, deficit
		}
		if i == hashed && deficit > 1-maxLead {
			return hashed
		}
	}
	return neediest
}

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
