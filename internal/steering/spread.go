package steering

import (
	"maps"
	"slices"
)

// maxLoadRatio is the largest load of an availability zone's instances, relative
// to the mean of the fleet, that callers are steered to for nearness.
const maxLoadRatio = 1.25

// share is the part of a zone's callers that another zone serves.
type share struct {
	zone string
	part float64 // of the callers, 0 to 1
}

// spreadDemand assigns the demand of each availability zone to zones with live
// instances: to the zone itself up to its bounded capacity, and what is above
// it to the nearest zones that have room. The result depends on its arguments
// only, so that instances with the same view give the same answers.
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

func placedDemand(shares []share, demand float64) float64 {
	var sum float64
	for _, s := range shares {
		sum += s.part * demand
	}
	return sum
}

// pickZone returns the zone whose part of the shares holds u, from 0 to 1.
func pickZone(shares []share, u float64) string {
	for _, s := range shares[:len(shares)-1] {
		if u < s.part {
			return s.zone
		}
		u -= s.part
	}
	return shares[len(shares)-1].zone
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
