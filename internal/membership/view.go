package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// bucketCount is the number of groups of members, by a hash of their names,
	// whose digests are compared with those of other instances.
	bucketCount = 64
	// nameTakeoverTime is how long after its start a process claims its name from
	// another process of that name. After that it yields to the other one.
	nameTakeoverTime = time.Minute
	// forgetAfter is how long a gone member that the platform does not list is
	// remembered.
	forgetAfter = 10 * time.Minute
)

// Options configures a View.
type Options struct {
	Self Member
	// Incarnation is the first incarnation number. It should be above that of an
	// earlier process of the same name, but need not be.
	Incarnation uint64
	// Seeds are addresses (IP:port) of instances that are asked for their members
	// while no other member is known.
	Seeds []string
	Rand  *rand.Rand
	Now   time.Time
	// WithoutLocalHealth switches off the check whether this instance itself is
	// cut off, which keeps it from declaring others gone. It is for tests that
	// show what the check prevents.
	WithoutLocalHealth bool
}

// View is what one instance knows about the fleet. It is not safe for concurrent
// use.
type View struct {
	options    Options
	self       *entry
	members    map[string]*entry
	names      []string // sorted names of members
	started    time.Time
	superseded bool // see Superseded
	listKnown  bool // see PlatformListKnown

	buckets   [bucketCount]uint64 // for each bucket, the XOR of its members' digests
	suspected int                 // number of members in state Suspected
	gone      int                 // number of members in state Gone
	snapshot  []Member            // cached result of Members; nil if out of date
	version   uint64              // see Version

	gossip gossipQueue
	prober prober
	// lastCompare is when this instance last asked for a comparison.
	lastCompare time.Time
}

// New returns a view that knows only this instance.
func New(o Options) *View {
	o.Self.State = Live
	v := &View{options: o, members: map[string]*entry{}, started: o.Now}
	v.self = v.add(o.Self, max(o.Incarnation, 1), o.Now)
	v.prober.init(o.Now)
	return v
}

// Members returns all members that are not gone, this instance included, in name
// order. The slice is shared and must not be modified.
func (v *View) Members() []Member {
	if v.snapshot != nil {
		return v.snapshot
	}
	out := make([]Member, 0, len(v.members)-v.gone)
	for _, name := range v.names {
		if e := v.members[name]; e.State != Gone {
			out = append(out, e.Member)
		}
	}
	v.snapshot = out
	return out
}

// PossiblyRunning returns, in name order, the members that are not gone and the
// gone ones that may nevertheless run, because the platform lists them or its
// list is not known yet.
func (v *View) PossiblyRunning() []Member {
	var out []Member
	for _, name := range v.names {
		if e := v.members[name]; v.mayBeRunning(e) {
			out = append(out, e.Member)
		}
	}
	return out
}

// mayBeRunning reports whether a member belongs to the result of PossiblyRunning.
func (v *View) mayBeRunning(e *entry) bool { return e.State != Gone || e.listed || !v.listKnown }

// PlatformListKnown reports whether the platform's list has been applied at least
// once.
func (v *View) PlatformListKnown() bool { return v.listKnown }

// Version returns a number that increases whenever the result of Members may have
// changed.
func (v *View) Version() uint64 { return v.version }

// Superseded reports whether another process has taken this instance's name. A
// superseded view starts no regular probes and answers no messages.
func (v *View) Superseded() bool { return v.superseded }

// ApplyPlatformList merges the platform's list of instances. A listed instance that
// is not known yet is added as live. A live member that the list shows as leaving
// becomes leaving at once. For a member that is no longer listed, the shorter
// unlistedSuspicionTimeout applies once it is suspected.
func (v *View) ApplyPlatformList(now time.Time, list []platform.Instance) {
	first := !v.listKnown
	v.listKnown = true
	for _, e := range v.members {
		e.listed = false
	}
	for _, in := range list {
		e := v.members[in.Name]
		if e == nil {
			e = v.add(Member{Name: in.Name, AvailabilityZone: in.AvailabilityZone, Address: in.Address, PeerAddress: in.PeerAddress, State: Live}, 0, now)
			if !first {
				v.gossip.push(in.Name)
			}
		}
		e.listed = true
		if in.State == platform.InstanceLeaving && e.State == Live && e != v.self && e.PeerAddress == in.PeerAddress {
			v.setState(e, Leaving, now)
		}
	}
	v.forgetGone(now)
}

// SetLeaving marks this instance as leaving and returns messages that announce
// this to its successors.
func (v *View) SetLeaving(now time.Time) []OutgoingMessage {
	v.self.incarnation++
	v.modify(v.self, func() { v.self.State = Leaving })
	v.gossip.push(v.self.Name)
	var out []OutgoingMessage
	for _, s := range v.prober.successors(v) {
		out = append(out, OutgoingMessage{PeerAddress: s.PeerAddress, Message: v.newMessage(0)})
	}
	return out
}

// add inserts a new member.
func (v *View) add(m Member, incarnation uint64, now time.Time) *entry {
	e := &entry{Member: m, incarnation: incarnation, stateSince: now, rings: ringPositions(m.Name)}
	v.members[m.Name] = e
	i, _ := slices.BinarySearch(v.names, m.Name)
	v.names = slices.Insert(v.names, i, m.Name)
	v.updateCounts(e, 1)
	v.membersChanged()
	v.prober.stale = true
	return e
}

// remove deletes a member from the view.
func (v *View) remove(e *entry) {
	v.updateCounts(e, -1)
	delete(v.members, e.Name)
	if i, ok := slices.BinarySearch(v.names, e.Name); ok {
		v.names = slices.Delete(v.names, i, i+1)
	}
	v.membersChanged()
	v.prober.stale = true
}

// modify applies a change to an entry and keeps the digests, counts and version in
// step with it.
func (v *View) modify(e *entry, change func()) {
	wasGone := e.State == Gone
	v.updateCounts(e, -1)
	change()
	v.updateCounts(e, 1)
	v.membersChanged()
	v.prober.stale = v.prober.stale || wasGone != (e.State == Gone)
}

// updateCounts adds n, which is 1 or -1, to the count of members in the entry's
// state, and adds the entry to its bucket's digest or removes it from there. Both
// are the same XOR.
func (v *View) updateCounts(e *entry, n int) {
	v.buckets[e.rings[0]%bucketCount] ^= e.digest()
	switch e.State {
	case Suspected:
		v.suspected += n
	case Gone:
		v.gone += n
	}
}

func (v *View) membersChanged() {
	v.snapshot = nil
	v.version++
}

// setState changes the state of a member and queues the news for gossip.
func (v *View) setState(e *entry, s State, now time.Time) {
	v.modify(e, func() { e.State = s })
	e.stateSince = now
	v.gossip.push(e.Name)
}

// digest returns the digest of all members.
func (v *View) digest() uint64 {
	var sum uint64
	for _, b := range v.buckets {
		sum ^= b
	}
	return sum
}

// forgetGone removes members that have been gone for longer than forgetAfter and
// that the platform does not list.
func (v *View) forgetGone(now time.Time) {
	var drop []*entry
	for _, e := range v.members {
		if e.State == Gone && !e.listed && now.Sub(e.stateSince) > forgetAfter {
			drop = append(drop, e)
		}
	}
	slices.SortFunc(drop, func(a, b *entry) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range drop {
		v.remove(e)
	}
}

// State returns the state of a member, or Gone if it is not known.
func (v *View) State(name string) State {
	if e := v.members[name]; e != nil {
		return e.State
	}
	return Gone
}
