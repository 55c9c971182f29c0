package affinity

import "time"

// groupLoadWeight is the weight, from 0 to 1, of the newest report in the moving average
// of a group's load.
const groupLoadWeight = 0.1

// groupKey identifies the targets of a service in a region.
type groupKey struct{ service, region string }

// targetGroup is what this instance knows of the targets of a service in a region
// together. They get the same mix of requests, so what one reports tells something of
// those that have not answered this instance lately. In a large fleet, or if the targets
// are so congested that an answer takes seconds, these are most.
type targetGroup struct {
	meanLatency float64       // moving average, seconds; 0 before the first response
	load        float64       // moving average of other instances' requests per slot
	reportedAt  time.Duration // last report
}

// group returns the group of the target, which is empty at first.
func (b *Balancer) group(t Target) *targetGroup {
	key := groupKey{t.Service, t.Region}
	g := b.groups[key]
	if g == nil {
		g = &targetGroup{}
		b.groups[key] = g
	}
	return g
}

// recordLoad adds a target's report to the moving average.
func (g *targetGroup) recordLoad(othersPerSlot float64, now time.Duration) {
	if reportWeight(g.reportedAt, now) == 0 {
		g.load = othersPerSlot
	}
	g.load += (othersPerSlot - g.load) * groupLoadWeight
	g.reportedAt = now
}

// othersPerSlot estimates the requests of other instances per slot of a target.
func (g *targetGroup) othersPerSlot(now time.Duration) float64 {
	return g.load * reportWeight(g.reportedAt, now)
}

// loadInGroup estimates the number of requests at the target like load, but as the last
// report ages, the mean of the target's group takes its place.
func (s *targetState) loadInGroup(now time.Duration) float64 {
	unknown := 1 - reportWeight(s.reportedAt, now)
	return s.load(now) + unknown*s.group.othersPerSlot(now)*float64(s.Slots)
}

// expectedLatency returns the mean latency of the group's targets in seconds.
func (g *targetGroup) expectedLatency() float64 {
	if g.meanLatency == 0 {
		return defaultLatency.Seconds()
	}
	return g.meanLatency
}

// recordLatency adds the time that a response took, without the expected wait.
func (g *targetGroup) recordLatency(seconds float64) {
	if g.meanLatency == 0 {
		g.meanLatency = seconds
	}
	g.meanLatency += (seconds - g.meanLatency) * latencyWeight
}

// reportWeight returns how much a report counts, from 1 when it comes to 0 after
// reportedLoadTTL or if there is none.
func reportWeight(reportedAt, now time.Duration) float64 {
	if reportedAt == 0 {
		return 0
	}
	return max(1-float64(now-reportedAt)/float64(reportedLoadTTL), 0)
}
