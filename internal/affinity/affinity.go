package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// defaultLatency is the assumed mean latency of a group of targets that has not
	// answered yet.
	defaultLatency = 300 * time.Millisecond
	// latencyWeight is the weight, from 0 to 1, of the newest response in the moving
	// average of a group's latency. The estimate of a route's median latency uses
	// it too: each answer moves that estimate up or down by this fraction of itself.
	latencyWeight = 0.05
	// maxWaitShare is the fraction of the latency objective that a request may wait
	// for a free slot; the rest is left for running it.
	maxWaitShare = 0.5
	// maxUrgentWaitShare replaces maxWaitShare for urgent requests.
	maxUrgentWaitShare = 0.7
	// maxSpillTargetUtilization is the load per slot below which a target may take
	// over requests for an object that it has not cached.
	maxSpillTargetUtilization = 0.5
	// maxSpillUtilization is the load per slot of all targets that may run a request from
	// which it no longer spills to targets that have not cached the object, because
	// running them without a cache would add to the overload.
	maxSpillUtilization = 0.6
	// maxSpillTargets is the number of targets, after the preferred one, that an
	// object's requests may spill to.
	maxSpillTargets = 2
	// maxFasterShare is the expected time at another target, as a fraction of that at the
	// preferred one, up to which a request goes there because the preferred one is slow.
	maxFasterShare = 0.75
	// minRegionWeight is the least weight per slot of a region whose capacity is not
	// needed. It is above 0 so that the region's targets still rank, after all
	// others, in an order that is the same at all instances.
	minRegionWeight = 0.001
	// uncachedUtilization is the assumed load per slot if no request found its object
	// cached. Requests that only certain regions may run (see Request.HomeRegions)
	// come close to that: the few targets of these regions get the requests for all
	// the objects, so that few objects are found cached.
	uncachedUtilization = 1.2
	// minFreeShare is the least fraction of a region's slots that counts as free for
	// requests without home regions.
	minFreeShare = 0.1
)

// Request holds the properties of a request that the choice of a target depends on.
type Request struct {
	Service string
	// Object identifies the data that the request reads or changes, which targets
	// cache; empty if unknown.
	Object string
	// ID identifies the request. Targets are ranked by it if Object is empty.
	ID string
	// Route is the name of the route; the usual latency is learned per route.
	Route string
	// Objective is the latency objective; 0 if there is none.
	Objective time.Duration
	// Urgent marks a request of high priority, which may wait longer for a slot
	// before it is refused.
	Urgent bool
	// YieldTo is the latency objective of requests of higher priority at the service, for
	// which a part of the targets' queues stays free; 0 if there are none. YieldShare, 0 to 1,
	// is by how much the wait that is acceptable approaches the one that leaves that room.
	YieldTo    time.Duration
	YieldShare float64
	// HomeRegions is the set of regions that may run the request.
	HomeRegions config.RegionSet
	// TimeOfDay is the time since the Unix epoch, about the same at all instances. Which
	// objects are preferred under overload changes with it.
	TimeOfDay time.Duration
	// Exclude lists the IDs of targets that must not be chosen, because the request
	// was sent to them before.
	Exclude []string

	pressure float64 // 0 to 1; see pressure
}

// Reason says why a target was chosen or why the request was refused.
type Reason string

// The first five say why a target was chosen, the others why none was.
const (
	Preferred Reason = "preferred" // the highest-ranked target, or the less loaded of two if there is no object
	Spilled   Reason = "spilled"   // a higher-ranked target was full
	Evaded    Reason = "evaded"    // a higher-ranked target was ejected, cold, or paused
	Faster    Reason = "faster"    // a higher-ranked target works slowly at this moment
	Forced    Reason = "forced"    // every eligible target was ejected or over its cold rate
	NoTarget  Reason = "no-target" // no target may run the request
	Full      Reason = "full"      // the wait would be too long
	// Unavailable means that every target that may run the request leaves or pauses.
	Unavailable Reason = "unavailable"
)

// Grant permits sending one request to one target. It counts as in flight until it
// is passed to Done.
type Grant struct {
	Target Target
	Reason Reason
	// Load is the estimated number of requests at the target, running and queued,
	// without this one.
	Load float64
	// Cold is true if the target was in its cold-start period when it was chosen.
	Cold bool
	// Wait is the expected time until a slot is free. If the request is refused as
	// Unavailable it is the time until the earliest pause ends, 0 if all targets leave.
	Wait time.Duration
	// RoomIn is, if the request is refused as Full, the expected time until the target's
	// queue is short enough for it, and QueueWait how long it then waits in that queue.
	RoomIn, QueueWait time.Duration
	// Interval is the expected time between two requests that leave the target while it is
	// full.
	Interval time.Duration
	// At is when the target was chosen, on the clock of the caller's now arguments.
	At time.Duration

	object uint64 // hash of Request.Object; 0 if that is empty
	route  string
}

// Outcome says how the request of a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	// Answered means that the target sent a good response.
	Answered Outcome = iota
	// Rejected means that the target said that it did not run the request.
	Rejected
	// Failed means that there was no response or a bad one; the target may have run
	// the request.
	Failed
	// TimedOut means that no response came before the request's deadline.
	TimedOut
	// Unreachable means that no connection could be used to send the request.
	Unreachable
	// AddressReused means that another target now answers at the address.
	AddressReused
	// Abandoned means that the caller disconnected or the request was withdrawn
	// before it was sent; it says nothing about the target.
	Abandoned
)

// Report describes the end of a grant's request.
type Report struct {
	Outcome Outcome
	// HasLoad is true if the response carried the target's load.
	HasLoad bool
	// Load is the number of requests at the target that it reported.
	Load int
	// Pace is how long work takes at the target at this moment, by its response, as a factor
	// on what is usual; 0 if it did not tell.
	Pace float64
	// Elapsed is the time from sending to the response.
	Elapsed time.Duration
}

// Balancer chooses targets for the requests of one instance. It is not safe for
// concurrent use. Its methods take the present time as a duration on a monotonic
// clock.
type Balancer struct {
	self        string
	selfHash    uint64
	region      string
	regionCount int
	targets     map[string]*targetState
	services    map[string][]*targetState
	closedZones map[string]bool // availability zones that get no requests
	coldLimits  map[string]coldLimit
	senders     coldSenders

	groups        map[groupKey]*targetGroup
	medianLatency map[string]float64 // route → estimated median latency, seconds

	processes map[string]*process // by target; see rememberUnregistered for those without a registration

	homeRegionShares map[string]float64 // region → fraction of all requests that only it may run
	maxShift         float64            // see SetMaxShift
	regionMixes      map[string]*regionMix

	changes []AvailabilityChange // not yet returned by AvailabilityChanges
}

// coldLimit limits what the targets of one service get during a cold start.
type coldLimit struct {
	rate     float64       // requests per second to one target, from all instances together; 0 means no limit
	duration time.Duration // length of the cold start after a zone is opened again
}

// New returns a balancer without targets for the instance named self in one of
// regionCount regions.
func New(self, region string, regionCount int) *Balancer {
	return &Balancer{
		self: self, region: region, regionCount: regionCount,
		groups: map[groupKey]*targetGroup{}, medianLatency: map[string]float64{},
		regionMixes: map[string]*regionMix{}, targets: map[string]*targetState{}, services: map[string][]*targetState{},
		closedZones: map[string]bool{}, coldLimits: map[string]coldLimit{}, senders: newColdSenders(self),
		selfHash: xxhash.Sum64String(self), processes: map[string]*process{},
	}
}

// SetTargets replaces the registered targets. The state of a target is kept unless
// its process has restarted or its address has changed; what its process said in
// responses is kept as long as that runs. If several have the same address, the one that
// started last is the only one used: the others have ended, and their registrations are
// yet to be removed.
func (b *Balancer) SetTargets(targets []Target, now time.Duration) {
	targets = withoutReplaced(targets)
	old := b.targets
	b.targets, b.services = make(map[string]*targetState, len(targets)), map[string][]*targetState{}
	for _, t := range targets {
		s, p := old[t.ID], b.processOf(t)
		p.service = t.Service
		switch {
		case s == nil || s.Started != t.Started || s.Address != t.Address:
			p.ForgetHealth(now)
			s = &targetState{Target: t, idHash: xxhash.Sum64String(t.ID), process: p, coldUntil: now + t.ColdFor, coldRefilledAt: now}
		case t.ColdFor > 0 && t.Revision != s.Revision:
			s.coldUntil = max(s.coldUntil, now+t.ColdFor)
		}
		s.Target, s.group = t, b.group(t)
		p.SetDraining(t.Leaving, now)
		b.targets[t.ID] = s
		b.services[t.Service] = append(b.services[t.Service], s)
	}
	b.rememberUnregistered(now)
	b.markRegionsChanged()
}

// withoutReplaced returns the targets whose address no later one has.
func withoutReplaced(targets []Target) []Target {
	last := make(map[string]Target, len(targets)) // by address
	for _, t := range targets {
		if known, ok := last[t.Address]; !ok || t.replaces(known) {
			last[t.Address] = t
		}
	}
	if len(last) == len(targets) {
		return targets
	}
	kept := make([]Target, 0, len(last))
	for _, t := range targets {
		if last[t.Address].ID == t.ID {
			kept = append(kept, t)
		}
	}
	return kept
}

// SetHomeRegionShares sets, by region, the fraction of all requests that only this
// region may run.
func (b *Balancer) SetHomeRegionShares(shares map[string]float64) {
	b.homeRegionShares = shares
	b.markRegionsChanged()
}

// SetColdStart sets how many requests per second a cold target of the service gets
// from all instances together, and how long a target stays cold after its
// availability zone is opened again. The cold start of a new target is in
// Target.ColdFor.
func (b *Balancer) SetColdStart(service string, rate float64, duration time.Duration) {
	b.coldLimits[service] = coldLimit{rate: rate, duration: duration}
}

// SetClosedZones sets the availability zones that get no requests. The targets of a
// zone that is opened again are cold for the time given to SetColdStart.
func (b *Balancer) SetClosedZones(zones map[string]bool, now time.Duration) {
	for _, s := range b.targets {
		if b.closedZones[s.AvailabilityZone] && !zones[s.AvailabilityZone] {
			s.coldUntil = max(s.coldUntil, now+b.coldLimits[s.Service].duration)
		}
	}
	b.closedZones = zones
	b.markRegionsChanged()
}

// StillValid reports whether the granted target may still be sent to. It is for a
// check right before sending, since the target may have left, restarted, moved or asked
// for a pause, or its service or zone been corrected or its zone closed, after the
// choice.
func (b *Balancer) StillValid(g Grant) bool {
	s := b.targets[g.Target.ID]
	return s != nil && !s.process.Refuses() && s.Started == g.Target.Started && s.Address == g.Target.Address && s.Service == g.Target.Service &&
		s.AvailabilityZone == g.Target.AvailabilityZone && !b.closedZones[s.AvailabilityZone]
}
