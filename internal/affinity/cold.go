package affinity

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxColdSenders is the number of instances that may send to one cold target,
	// which is a target in its cold-start period. They share equally the rate that
	// the target gets during that period (see Balancer.SetColdStart).
	maxColdSenders = 3
	// coldBurst is the token bucket size, in requests, of one instance for one cold
	// target.
	coldBurst = 1.5
	// never is later than all times.
	never = time.Duration(1<<63 - 1)
)

// coldSenders decides which instances send to a cold target: the maxColdSenders that
// rank highest by a hash of target and instance. Instances that know the same fleet
// agree on them without communicating. Those that know different fleets do since each
// counts the names of the last settle time, and sends only after it has itself been in
// the list, and the list current, for as long.
type coldSenders struct {
	self     string
	others   []string                 // the other live instances
	departed map[string]time.Duration // instance that is not live any more → when its part surely ends
	version  int                      // counts the changes of others and departed

	shared          bool          // see Balancer.ShareColdTargets
	maxAge, settle  time.Duration // see Balancer.ShareColdTargets
	currentAsOf     time.Duration
	currentSince    time.Duration // since when currentAsOf has not been older than maxAge
	registration    uint64        // of this instance in the list; 0 if there is none
	registeredSince time.Duration // never if there is none
}

func newColdSenders(self string) coldSenders {
	return coldSenders{self: self, departed: map[string]time.Duration{}, version: 1}
}

// coldTurn is when an instance's turn to send to a cold target begins, for one version
// of the list of instances.
type coldTurn struct {
	version int
	from    time.Duration
}

// ShareColdTargets says that the instances learn of each other from a list, at different
// moments. This instance then sends to cold targets only while that list was current at
// most maxAge ago and has been for the settle time, and has named this instance for as
// long. An instance that leaves the list counts as a sender for the settle time.
//
// No more than maxColdSenders send at any time, in touch or not, if settle is at least
// twice maxAge, and the time for which the list may name an instance that has gone.
func (b *Balancer) ShareColdTargets(maxAge, settle time.Duration) {
	c := &b.senders
	c.shared, c.maxAge, c.settle = true, maxAge, settle
	c.currentSince, c.registeredSince = never, never
}

// SetInstances sets the names of the live instances.
func (b *Balancer) SetInstances(names []string, now time.Duration) {
	c := &b.senders
	for _, name := range c.others {
		c.departed[name] = now + c.settle
	}
	c.others = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == c.self })
	for _, name := range c.others {
		delete(c.departed, name)
	}
	maps.DeleteFunc(c.departed, func(_ string, end time.Duration) bool { return end < now-c.settle })
	c.version++
}

// SetRegistration sets the revision of this instance's entry in the list of instances, 0
// if it has none. A changed one means that the instance was missing in between.
func (b *Balancer) SetRegistration(revision uint64, now time.Duration) {
	c := &b.senders
	switch {
	case revision == 0:
		c.registeredSince = never
	case revision != c.registration:
		c.registeredSince = now
	}
	c.registration = revision
}

// SetInstancesCurrentAsOf records that the list of instances passed to SetInstances was
// current at a time.
func (b *Balancer) SetInstancesCurrentAsOf(at, now time.Duration) {
	c := &b.senders
	if c.currentSince == never || now-c.currentAsOf > c.maxAge {
		c.currentSince = now
	}
	c.currentAsOf = max(c.currentAsOf, at)
}

// settledFrom returns from when on this instance may take part.
func (c *coldSenders) settledFrom(now time.Duration) time.Duration {
	switch {
	case !c.shared:
		return 0
	case c.currentSince == never || c.registeredSince == never || now-c.currentAsOf > c.maxAge:
		return never
	}
	return max(c.currentSince, c.registeredSince) + c.settle
}

// turnOf returns when this instance's turn to send to a target begins by rank. It has
// none while maxColdSenders others rank higher, live ones or ones whose part has not ended.
func (c *coldSenders) turnOf(target string) time.Duration {
	own := senderHash(target, c.self)
	free := maxColdSenders
	for _, name := range c.others {
		if senderHash(target, name) > own {
			free--
		}
	}
	if free <= 0 {
		return never
	}
	var ends []time.Duration
	for name, end := range c.departed {
		if senderHash(target, name) > own {
			ends = append(ends, end)
		}
	}
	if len(ends) < free {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-free]
}

// count returns the number of instances whose part had not ended at the time.
func (c *coldSenders) count(at time.Duration) int {
	n := 1 + len(c.others)
	for _, end := range c.departed {
		if end > at {
			n++
		}
	}
	return n
}

func senderHash(target, instance string) uint64 { return xxhash.Sum64String(target + "/" + instance) }

// takeColdToken reports whether this instance may send one more request to a cold
// target, and takes a token if consume is true. A turn begins without tokens, so that
// those of its predecessor and its own are together within the target's rate.
func (b *Balancer) takeColdToken(s *targetState, now time.Duration, consume bool) bool {
	limit := b.coldLimits[s.Service]
	if limit.rate <= 0 {
		return true
	}
	if s.coldTurn.version != b.senders.version {
		s.coldTurn = coldTurn{version: b.senders.version, from: b.senders.turnOf(s.ID)}
	}
	from := max(s.coldTurn.from, b.senders.settledFrom(now))
	if from > now {
		return false
	}
	if b.senders.shared {
		from = max(from, now-b.senders.settle) // SetInstances has forgotten what ended before
	}
	if from > s.coldRefilledAt {
		s.coldTokens, s.coldRefilledAt = 0, from
	}
	share := limit.rate / float64(min(maxColdSenders, b.senders.count(s.coldRefilledAt)))
	s.coldTokens = min(s.coldTokens+share*(now-s.coldRefilledAt).Seconds(), coldBurst)
	s.coldRefilledAt = now
	if s.coldTokens < 1 {
		return false
	}
	if consume {
		s.coldTokens--
	}
	return true
}
