package affinity

import "time"

// groupLoadWeight is the weight, from 0 to 1, of the newest report in the moving average
// of a group's load.
const groupLoadWeight = 0.1

// maxGroupLoad bounds the requests per slot of one target that count in its group's load, so
// that a target which reports more than it can have does not keep requests from the others.
const maxGroupLoad = 10.0

const (
	// lastingReports is the number of reports over which an instance that hears rarely of a
	// group keeps its load: twice as many as the average holds.
	lastingReports = 2 / groupLoadWeight
	// maxLasting bounds that in time. It is the oldest report that an instance goes by.
	maxLasting = 10 * time.Second
	// reportIntervalWeight is the weight, from 0 to 1, of the newest interval in the moving
	// average of the time between two reports.
	reportIntervalWeight = 0.2
)

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

	// lastingLoad is an average like load, but over the time in which lastingReports come.
	lastingLoad    float64
	reportInterval time.Duration // moving average of the time between two reports
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
	othersPerSlot = min(othersPerSlot, maxGroupLoad)
	if reportWeight(g.reportedAt, now) == 0 {
		g.load = othersPerSlot
	}
	g.recordLastingLoad(othersPerSlot, now)
	g.load += (othersPerSlot - g.load) * groupLoadWeight
	g.reportedAt = now
}

// recordLastingLoad adds a target's report to the moving average over a longer time.
func (g *targetGroup) recordLastingLoad(othersPerSlot float64, now time.Duration) {
	since := now - g.reportedAt
	if g.reportedAt == 0 || since >= maxLasting {
		g.lastingLoad = othersPerSlot
		return
	}
	if g.reportInterval == 0 {
		g.reportInterval = since
	}
	g.reportInterval += time.Duration(reportIntervalWeight * float64(since-g.reportInterval))
	g.lastingLoad += (othersPerSlot - g.lastingLoad) * min(max(2*float64(since)/float64(g.lasting()), groupLoadWeight), 1)
}

// lasting returns the time over which the group's load fades for requests that yield.
func (g *targetGroup) lasting() time.Duration {
	if g.reportInterval == 0 {
		return maxLasting
	}
	return min(max(lastingReports*g.reportInterval, reportedLoadTTL), maxLasting)
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

// lastingLoadInGroup estimates the load like loadInGroup, but an instance that rarely hears
// of the group keeps what it heard for longer.
func (s *targetState) lastingLoadInGroup(now time.Duration) float64 {
	unknown, g := 1-reportWeight(s.reportedAt, now), s.group
	if g.reportedAt == 0 {
		return s.load(now)
	}
	fresh := max(1-float64(now-g.reportedAt)/float64(g.lasting()), 0)
	return s.load(now) + unknown*g.lastingLoad*fresh*float64(s.Slots)
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
