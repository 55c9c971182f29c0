package steering

import "math"

const (
	// minWeight keeps every live instance in use, so that its load stays known.
	minWeight = 0.05
	maxWeight = 1.0
	// weightStep bounds the change of a weight in one adjustment.
	weightStep = 0.1
	// weightGrid is the granularity of weights: smaller changes do not move
	// callers.
	weightGrid = 0.05
	// loadSlack is the load above the average that is tolerated.
	loadSlack = 1.1
)

// AdjustWeight returns the next weight of an instance from its utilization and
// the average of its availability zone, both from 0 to 1. An instance above
// the average loses weight in small steps, one below it regains it, so that
// load is bounded without moving all callers at once. Without a measurement
// (utilization below 0) the weight stays as it is.
func AdjustWeight(weight, utilization, average float64) float64 {
	if utilization < 0 || average < 0 {
		return weight
	}
	switch {
	case utilization > average*loadSlack && utilization > loadFloor:
		weight -= min(weightStep, weight*(1-average/utilization))
	case utilization < average:
		weight += weightGrid
	}
	weight = math.Round(weight/weightGrid) * weightGrid
	return min(max(weight, minWeight), maxWeight)
}

// loadFloor is the utilization below which an uneven load does no harm.
const loadFloor = 0.3
