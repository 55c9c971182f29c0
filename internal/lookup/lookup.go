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
	// largestNamedRatio is the fraction of the answers that name the largest of uneven
	// instances. A smaller one makes answers shorter; with a larger one, connections that
	// callers keep gather at the large instances, since these are in nearly each answer.
	largestNamedRatio = 0.4
	// keptRatio is the fraction of callers' connections that are assumed to be kept from
	// one answer to the next, if it names their instance. Shares are exact for this
	// fraction, and near their parts below and somewhat above it.
	keptRatio = 0.2
	// evenRatio is the largest ratio of capacities of instances that count as alike.
	evenRatio = 1.1
	// leastRatio is the least capacity that is told apart, as a fraction of the largest.
	leastRatio = 0.001
	// maxSteps bounds the search for probabilities, which takes 4 to 10 steps.
	maxSteps = 50
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
	c.named = min(max(int(math.Round(sum*largestNamedRatio)), MinNamed), c.named)
	c.probability = probabilities(parts, float64(c.named))
	return c
}

// probabilities returns the probability with which each instance is to be named, by its
// part of the capacity. They add up to named, which is below the number of parts.
//
// An instance of probability q is picked for q/named of the new connections, and loses a
// kept connection with probability 1-q at each answer. With a fraction k of the
// connections kept from one answer to the next, its share of the requests is therefore
// proportional to q/(1-kq), which is to be proportional to its part p: q = cp/(1+kcp).
func probabilities(parts []float64, named float64) []float64 {
	q := make([]float64, len(parts))
	// Newton's method for the c whose probabilities add up to named. The sum is a concave
	// function of c, so that c rises to it from below.
	c := 0.0
	for _, p := range parts {
		c += p
	}
	c = named / c
	for range maxSteps {
		sum, slope := 0.0, 0.0
		for i, p := range parts {
			d := 1 + keptRatio*c*p
			if q[i] = c * p / d; q[i] >= 1 {
				q[i] = 1
			} else {
				slope += p / (d * d)
			}
			sum += q[i]
		}
		if named-sum < 1e-9 || slope <= 0 {
			break
		}
		c += (named - sum) / slope
	}
	return q
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
