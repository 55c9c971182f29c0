package steering

import "math"

const (
	// minWeight is above 0 so that every live instance gets some load and its
	// utilization can still be measured.
	minWeight = 0.05
	maxWeight = 1.0
	// maxWeightDecrease is the largest decrease of a weight in one adjustment,
	// before rounding to weightGranularity.
	maxWeightDecrease = 0.1
	// weightGranularity is the unit that weights are rounded to, so that smaller
	// changes move no clients. It is also the increase of one adjustment.
	weightGranularity = 0.05
	// toleratedLoadRatio is the ratio of an instance's utilization to the average
	// up to which its weight is not decreased.
	toleratedLoadRatio = 1.1
)

// AdjustWeight returns the next weight of an instance from its utilization and
// the average utilization of its availability zone, both from 0 to 1. The weight
// of an instance well above the average is decreased and that of one below it is
// increased. Both happen in small steps, so that not too many clients move at
// once. A negative utilization or average means that there is no measurement;
// the weight then stays as it is.
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

// minBalancedUtilization is the utilization up to which an instance keeps its
// weight even if it is above the average, because an uneven load does no harm
// there.
const minBalancedUtilization = 0.3
