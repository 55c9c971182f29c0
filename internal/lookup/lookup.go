// Package lookup decides which instances a look-up names to callers, so that instances of
// uneven sizes get requests by what they can carry. Callers pick one of the named
// addresses at random for each new connection, keep an answer for some seconds, and drop
// connections to addresses that a later answer lacks.
package lookup

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	// MinNamed is the least number of instances in an answer, if there are as many, so
	// that a caller whose instance fails has another one.
	MinNamed = 2
	// MaxNamed is the largest number of instances in an answer.
	MaxNamed = 64
	// evenRatio is the largest ratio of capacities of instances that count as alike.
	evenRatio = 1.1
	// leastRatio is the least capacity that is told apart, as a fraction of the largest.
	leastRatio = 0.001
)

// Instance is one that may be named.
type Instance struct {
	Address  string // IP:port for callers
	Zone     string // its availability zone
	Capacity float64
}

// Chooser chooses the instances that are named in answers to the callers of one region.
// It is safe for concurrent use if its callers' random sources are their own.
type Chooser struct {
	instances []Instance // by availability zone
	named     int        // instances in an answer
	// probability is that of being named, by position in instances; nil if the instances
	// are alike.
	probability []float64
}

// NewChooser returns a Chooser among the instances, which it does not change.
func NewChooser(instances []Instance) *Chooser {
	c := &Chooser{instances: slices.Clone(instances), named: min(len(instances), MaxNamed)}
	if len(instances) <= MinNamed {
		return c
	}
	slices.SortStableFunc(c.instances, func(a, b Instance) int { return strings.Compare(a.Zone, b.Zone) })
	smallest, largest := math.Inf(1), 0.0
	for _, i := range instances {
		smallest, largest = min(smallest, i.Capacity), max(largest, i.Capacity)
	}
	if largest <= smallest*evenRatio {
		return c
	}
	parts, sum := make([]float64, len(c.instances)), 0.0
	for i, instance := range c.instances {
		parts[i] = max(instance.Capacity/largest, leastRatio)
		sum += parts[i]
	}
	// Up to MaxNamed the largest is in nearly each answer, so that callers keep as many
	// connections as they can.
	c.named = min(max(int(sum), MinNamed), c.named)
	c.probability = probabilities(parts, float64(c.named))
	return c
}

// probabilities returns the probability with which each instance is to be named. They are
// proportional to its part of the capacity as far as that is possible, and add up to named,
// which is below the number of parts.
func probabilities(parts []float64, named float64) []float64 {
	q := make([]float64, len(parts))
	for {
		sum := 0.0 // of the parts that are not in each answer
		for i, p := range parts {
			if q[i] < 1 {
				sum += p
			}
		}
		scale, exceeded := named/sum, false
		for i, p := range parts {
			if q[i] < 1 {
				if q[i] = min(scale*p, 1); q[i] == 1 {
					named, exceeded = named-1, true
				}
			}
		}
		if !exceeded {
			return q
		}
	}
}

// Addresses returns the addresses of an answer, in random order.
func (c *Chooser) Addresses(random *rand.Rand) []string {
	order := make([]int, len(c.instances))
	for i := range order {
		order[i] = i
	}
	shuffle := func(part []int) {
		random.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	if c.probability == nil {
		shuffle(order)
		return c.addresses(order[:c.named])
	}
	for from := 0; from < len(order); {
		to := from + 1
		for to < len(order) && c.instances[to].Zone == c.instances[from].Zone {
			to++
		}
		shuffle(order[from:to])
		from = to
	}
	// Systematic sampling: the probabilities are laid end to end, and each instance is
	// named on which one of the points start, start+1, start+2... lies. Each is named with
	// exactly its probability, and each availability zone by its part of the answer.
	chosen := make([]int, 0, c.named)
	next, end := random.Float64(), 0.0
	for n, i := range order {
		end += c.probability[i]
		missing := c.named - len(chosen)
		if missing > 0 && (end > next || missing == len(order)-n) {
			chosen = append(chosen, i)
			next++
		}
	}
	shuffle(chosen)
	return c.addresses(chosen)
}

// addresses returns the addresses of the instances at these positions.
func (c *Chooser) addresses(positions []int) []string {
	list := make([]string, len(positions))
	for i, p := range positions {
		list[i] = c.instances[p].Address
	}
	return list
}
