package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldInstances is how many instances may send to one cold target, each an
	// equal part of its rate.
	maxColdSenders = 3
	// coldBurst is what each of them may send at once.
	coldBurst = 2.0
	// defaultTypical is assumed for a service until answers tell more.
	defaultLatency = 300 * time.Millisecond
	// typicalWeight is the weight of the newest answer in a typical time.
	latencyWeight = 0.05
	// patience is the part of the objective that a request may wait for a slot
	// of the target that knows its object; the rest is for running it.
	maxWaitShare = 0.5
	// urgentPatience is the same for the most urgent requests.
	maxUrgentWaitShare = 0.7
	// spareLoad times its slots is the load up to which a target has room to
	// learn an object that another serves.
	maxSpillTargetUtilization = 0.5
	// busyShare is the load of a whole service, in its slots, from which no
	// target learns objects of others any more.
	maxSpillServiceUtilization = 0.6
	// spillChoices is how many choices after the first an object may spill to.
	maxSpillTargets = 2
	// minAway times its slots is what a region weighs at least that is not needed:
	// its targets come last, in an order that all instances agree on.
	minRegionWeight = 0.001
	// homedWork is the work of all requests in parts of all slots, if no target
	// knew their objects: requests with homes ask few targets for all objects.
	uncachedUtilization = 1.2
	// minSpared is the least weight of a target beside requests with homes.
	minFreeShare = 0.1
)

// Request is what a choice depends on.
type Request struct {
	Service string
	// Object identifies what the request concerns; empty if that is unknown.
	Object string
	// ID is used instead of an object.
	ID string
	// Route names what the request's usual time depends on.
	Route string
	// Objective is the latency objective; 0 if there is none.
	Objective time.Duration
	// Urgent says that the request goes before others.
	Urgent bool
	// HomeRegions lists the only regions that may run the request; empty means all.
	HomeRegions []string
	// Exclude lists targets that the request was sent to before.
	Exclude []string
}

// Reason tells why a target was chosen, or why none was.
type Reason string

// Reasons.
const (
	Preferred Reason = "preferred" // the first choice for the object
	Spilled   Reason = "spilled"   // an earlier choice was full
	Evaded    Reason = "evaded"    // an earlier choice was ejected or cold
	Forced    Reason = "forced"    // all were ejected
	NoTarget  Reason = "no-target"
	Full      Reason = "full"
)

// Grant allows one request to one target.
type Grant struct {
	Target Target
	Reason Reason
	// Load is the estimated load of the target, in requests.
	Load float64
	// Cold says that the target was cold when it was chosen.
	Cold bool
	// Wait is the expected time until a slot is free.
	Wait time.Duration
	At   time.Duration

	object uint64
	route  string
}

// Outcome is what became of a grant.
type Outcome int

// Outcomes.
const (
	Answered Outcome = iota
	// Rejected: the target said that it did not run the request.
	Rejected
	// Failed: no or a bad answer; the target may have run the request.
	Failed
	// TimedOut: no answer within the request's time.
	TimedOut
	// Unreachable: no connection.
	Unreachable
	// AddressReused: another target has the address.
	AddressReused
	// Abandoned: the caller left; it says nothing about the target.
	Abandoned
)

// Report is what an answer told.
type Report struct {
	Outcome Outcome
	// HasLoad says that Load holds the requests that the target reported.
	HasLoad bool
	Load    int
	// Elapsed is the time from sending to the answer.
	Elapsed time.Duration
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	self        string
	region      string
	regionCount int
	targets     map[string]*targetState
	services    map[string][]*targetState
	closedZones map[string]bool // availability zones that get nothing
	coldLimits  map[string]coldLimit
	instances   []string // live instances, for the shares of cold targets

	medianLatency map[string]float64 // route → usual time of an answer, seconds
	meanLatency   map[string]float64 // service → usual time of an answer, seconds

	homeRegionShares map[string]float64 // region → part of all requests that only it may run
	// regionWeights: service → region → weight of its targets for objects of this
	// region's callers
	regionWeights map[string]map[string]float64

	ejections []Ejection // not yet asked for
}

// note keeps a change of belief for Ejections.
func (b *Balancer) recordEjection(e Ejection) { b.ejections = append(b.ejections, e) }

// Ejections returns the changes of belief since the last call.
func (b *Balancer) Ejections() []Ejection {
	out := b.ejections
	b.ejections = nil
	return out
}

type coldLimit struct {
	rate     float64 // requests per second of one target, all instances together
	duration time.Duration
}

// New returns a balancer of the named instance in a region, one of several,
// without targets.
func New(self, region string, regionCount int) *Balancer {
	return &Balancer{
		self: self, region: region, regionCount: regionCount,
		medianLatency: map[string]float64{}, meanLatency: map[string]float64{},
		regionWeights: map[string]map[string]float64{}, targets: map[string]*targetState{}, services: map[string][]*targetState{},
		closedZones: map[string]bool{}, coldLimits: map[string]coldLimit{}, instances: []string{self},
	}
}

// SetTargets takes over the registered targets. What is known of those that
// stay is kept.
func (b *Balancer) SetTargets(targets []Target, now time.Duration) {
	old := b.targets
	b.targets, b.services = make(map[string]*targetState, len(targets)), map[string][]*targetState{}
	for _, t := range targets {
		s := old[t.ID]
		switch {
		case s == nil || s.Started != t.Started || s.Address != t.Address:
			s = &targetState{Target: t, idHash: xxhash.Sum64String(t.ID), coldUntil: now + t.ColdFor, coldRefilledAt: now, recordEjection: b.recordEjection}
		case t.ColdFor > 0 && t.Revision != s.Revision:
			s.coldUntil = max(s.coldUntil, now+t.ColdFor)
		}
		s.Target = t
		b.targets[t.ID] = s
		b.services[t.Service] = append(b.services[t.Service], s)
	}
	b.updateRegionWeights()
}

// weighRegions sets how much a target of each region weighs for the objects of
// this region's callers, if each region has an equal part of the load. A region
// keeps its objects as far as its slots go; what it lacks is shared out to the
// regions that have slots left, in proportion to these. All targets then get the
// same load per slot with the least traffic between regions. Slots that requests
// with homes need are left out.
func (b *Balancer) updateRegionWeights() {
	for service, list := range b.services {
		slots, total := map[string]float64{}, 0.0
		for _, s := range list {
			if !s.Leaving && !b.closedZones[s.AvailabilityZone] {
				slots[s.Region] += float64(s.Slots)
				total += float64(s.Slots)
			}
		}
		free, freeTotal := map[string]float64{}, 0.0 // slots for requests without homes
		for region, n := range slots {
			free[region] = n * max(1-b.homeRegionShares[region]*uncachedUtilization*total/n, minFreeShare)
			freeTotal += free[region]
		}
		b.regionWeights[service] = regionWeights(b.region, b.regionCount, slots, free, freeTotal)
	}
}

// regionWeights returns the weight of a target of each region per slot, seen
// from one of several regions. left is the sum of the free slots.
func regionWeights(self string, regionCount int, slots, free map[string]float64, freeTotal float64) map[string]float64 {
	fairShare := freeTotal / float64(max(regionCount, 1))
	surplus := 0.0
	for _, n := range free {
		surplus += max(n-fairShare, 0)
	}
	deficit := max(fairShare-free[self], 0)
	weights := make(map[string]float64, len(free))
	for region, n := range free {
		assigned := min(n, fairShare)
		if region != self {
			assigned = deficit * max(n-fairShare, 0) / max(surplus, 1)
		}
		weights[region] = max(assigned, minRegionWeight*n) / max(slots[region], 1)
	}
	return weights
}

// SetHomeRegionShares sets which part of all requests only a region may run.
func (b *Balancer) SetHomeRegionShares(shares map[string]float64) {
	b.homeRegionShares = shares
	b.updateRegionWeights()
}

// SetColdStart sets the cold rate of a service's targets and how long one that comes
// back stays cold.
func (b *Balancer) SetColdStart(service string, rate float64, duration time.Duration) {
	b.coldLimits[service] = coldLimit{rate: rate, duration: duration}
}

// SetClosedZones sets the availability zones that get nothing. The targets of one
// that is opened again count as cold.
func (b *Balancer) SetClosedZones(zones map[string]bool, now time.Duration) {
	for _, s := range b.targets {
		if b.closedZones[s.AvailabilityZone] && !zones[s.AvailabilityZone] {
			s.coldUntil = max(s.coldUntil, now+b.coldLimits[s.Service].duration)
		}
	}
	b.closedZones = zones
	b.updateRegionWeights()
}

// SetInstances sets the names of the live instances.
func (b *Balancer) SetInstances(instances []string) {
	b.instances = instances
}

// StillValid tells whether a grant still holds; it is asked right before a request
// is sent that was decided earlier.
func (b *Balancer) StillValid(g Grant) bool {
	s := b.targets[g.Target.ID]
	return s != nil && !s.Leaving && s.Started == g.Target.Started && s.Address == g.Target.Address && !b.closedZones[s.AvailabilityZone]
}
