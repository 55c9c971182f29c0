package steering

import (
	"maps"
	"slices"
)

// maxLoadRatio bounds the load that nearness may place on an availability zone:
// its load per unit of weight is at most this multiple of the fleet's mean.
// Demand above it goes to other zones.
const maxLoadRatio = 1.25

// share is the fraction of one zone's demand that a zone serves, which may be the
// same zone or another one.
type share struct {
	zone     string  // the serving zone
	fraction float64 // of the demand, 0 to 1
}

// spreadDemand assigns the demand of each availability zone to zones with live
// instances. A zone serves its own demand up to its capacity (see maxLoadRatio);
// the excess goes to the nearest zones that have capacity left. The result, by
// the zone of the demand, depends on the arguments only, so that instances with
// the same view of the fleet give the same answers.
func spreadDemand(sites []Site, byZone map[string][]Candidate, topology Topology) map[string][]share {
	demand, total := demandByZone(sites)
	room, capacity := map[string]float64{}, 0.0
	for _, list := range byZone {
		capacity += totalWeight(list)
	}
	for zone, list := range byZone {
		room[zone] = totalWeight(list) / capacity * total * maxLoadRatio
	}
	shares := map[string][]share{}
	for distance := range maxDistance + 1 {
		for _, zone := range sortedKeys(demand) {
			unplaced := demand[zone] - placedDemand(shares[zone], demand[zone])
			for _, other := range sortedKeys(room) {
				if unplaced <= 0 || distanceBetween(zone, other, topology) != distance {
					continue
				}
				amount := min(unplaced, room[other])
				if amount <= 0 {
					continue
				}
				room[other] -= amount
				unplaced -= amount
				shares[zone] = append(shares[zone], share{other, amount / demand[zone]})
			}
		}
	}
	return shares
}

// demandByZone sums the demand of the sites for each availability zone, and in
// total.
func demandByZone(sites []Site) (demand map[string]float64, total float64) {
	demand = map[string]float64{}
	for _, s := range sites {
		demand[s.AvailabilityZone] += s.Demand
		total += s.Demand
	}
	return demand, total
}

func totalWeight(list []Candidate) float64 {
	var sum float64
	for _, c := range list {
		sum += c.Weight
	}
	return sum
}

// placedDemand returns how much of a zone's demand the shares cover.
func placedDemand(shares []share, demand float64) float64 {
	var sum float64
	for _, s := range shares {
		sum += s.fraction * demand
	}
	return sum
}

// pickZone maps a number u between 0 and 1 to a serving zone. The interval is
// divided among the shares in their order, each as long as its fraction.
func pickZone(shares []share, u float64) string {
	for _, s := range shares[:len(shares)-1] {
		if u < s.fraction {
			return s.zone
		}
		u -= s.fraction
	}
	return shares[len(shares)-1].zone
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
