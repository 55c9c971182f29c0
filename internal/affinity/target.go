// Package affinity chooses a target for each request by weighted rendezvous hashing of
// the object that the request concerns. A target that has served an object lately has
// it cached and serves it faster. All instances of a region prefer the same target
// for an object without communicating.
//
// It is made for many callers that ask for few objects, and for more load than the
// slots could bear without caches. Requests therefore wait for the target that has the
// object cached, or are refused there. Sent to another target, they would be slow and
// would delay the requests there.
package affinity

import "time"

// Target is a registered back end of a service.
type Target struct {
	ID               string
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Region           string
	Slots            int // requests that it runs at the same time
	// Leaving is true if the registration says that the target is shutting down and
	// wants no further requests.
	Leaving bool
	// ColdFor is how long the target stays cold after this registration: its caches
	// are empty, so it gets requests at a limited rate.
	ColdFor time.Duration
	// Revision identifies the registration; a new one with ColdFor starts another
	// cold start.
	Revision uint64
	// Started identifies the target's process, by its start in Unix milliseconds. A
	// different value means a restart.
	Started int64
	// Age is the time since the start of the target's process when it was passed to
	// SetTargets. A balancer that has just started infers from it since when requests
	// have been moving to the target.
	Age time.Duration
}

// replaces reports whether the target, which has the same address as another, uses it
// after that one: it started later or, if both started at the same time, was
// registered later.
func (t Target) replaces(other Target) bool {
	if t.Started != other.Started {
		return t.Started > other.Started
	}
	return t.Revision > other.Revision
}

const (
	// reportedLoadTTL is the time over which a load reported by a target fades to 0.
	reportedLoadTTL = 2 * time.Second
	// paceTTL is the time over which a reported pace fades: targets share their machines with
	// others, and their pace changes several times a second.
	paceTTL = 600 * time.Millisecond
	// maxPace bounds the pace that is believed. A target is never taken for faster than usual,
	// so that none draws requests by what it says.
	maxPace = 10.0
	// maxCachedObjects is the number of objects that a target is assumed to have
	// cached at most.
	maxCachedObjects = 32
)

// targetState is what this instance knows of a target.
type targetState struct {
	Target
	idHash  uint64 // hash of Target.ID
	process *process
	group   *targetGroup

	inFlight int // requests sent by this instance and not done
	// The load that the last response reported, when it came, and how many of these
	// requests were this instance's.
	reportedLoad     int
	reportedAt       time.Duration
	inFlightAtReport int

	pace   float64 // last one reported, as a factor on the usual time; 0 if none
	paceAt time.Duration

	// The end of the cold start, and the token bucket that limits this instance's
	// requests until then.
	coldUntil      time.Duration
	coldTokens     float64
	coldRefilledAt time.Duration
	coldTurn       coldTurn

	countedSlots float64 // slots counted in regionMix.slots; 0 if the target was not usable then
	pauseCounted bool    // whether its present pause has counted; see regionMix.countsAsPaused

	cachedObjects map[uint64]time.Duration // hash of object → time of the last response for it
}

// load estimates the number of requests at the target, running and queued: those of
// this instance, and those of others by the last report, which count less as it ages.
func (s *targetState) load(now time.Duration) float64 {
	return float64(s.inFlight) + reportWeight(s.reportedAt, now)*s.reportedOthers()
}

// paceNow returns by which factor work at the target is expected to take longer than usual
// at this moment. A report counts less as it ages.
func (s *targetState) paceNow(now time.Duration) float64 {
	fresh := 1 - float64(now-s.paceAt)/float64(paceTTL)
	if s.pace <= 1 || fresh <= 0 {
		return 1
	}
	return 1 + (min(s.pace, maxPace)-1)*fresh
}

// reportedOthers returns the number of other instances' requests by the last report.
func (s *targetState) reportedOthers() float64 {
	return max(float64(s.reportedLoad-s.inFlightAtReport), 0)
}

// cold reports whether the target is in a cold start, with empty caches.
func (s *targetState) cold(now time.Duration) bool { return now < s.coldUntil }

// hasCached reports whether the target probably has the object cached, because it
// answered a request for it lately.
func (s *targetState) hasCached(object uint64) bool {
	_, ok := s.cachedObjects[object]
	return ok
}

// markCached notes that the target answered a request for the object, and forgets the
// least recently used object beyond maxCachedObjects.
func (s *targetState) markCached(object uint64, now time.Duration) {
	if s.cachedObjects == nil {
		s.cachedObjects = make(map[uint64]time.Duration, maxCachedObjects)
	}
	s.cachedObjects[object] = now
	if len(s.cachedObjects) <= maxCachedObjects {
		return
	}
	oldest, at := object, now
	for o, t := range s.cachedObjects {
		if t < at {
			oldest, at = o, t
		}
	}
	delete(s.cachedObjects, oldest)
}
