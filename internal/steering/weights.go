package steering

import "math"

const (
	// minWeight keeps every live instance in use, so that its load stays known.
	minWeight = 0.05
	maxWeight = 1.0
	// maxWeightDecrease bounds the change of a weight in one adjustment.
	maxWeightDecrease = 0.1
	// weightGranularity is the granularity of weights: smaller changes do not move
	// callers.
	weightGranularity = 0.05
	// toleratedLoadRatio is the load above the average that is tolerated.
	toleratedLoadRatio = 1.1
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
	case utilization > average*toleratedLoadRatio && utilization > minBalancedUtilization:
		weight -= min(maxWeightDecrease, weight*(1-average/utilization))
	case utilization < average:
		weight += weightGranularity
	}
	weight = math.Round(weight/weightGranularity) * weightGranularity
	return min(max(weight, minWeight), maxWeight)
}

// minBalancedUtilization is the utilization below which an uneven load does no harm.
const minBalancedUtilization = 0.3
