package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	bucketCount = 64
	// nameTakeoverTime is how long a new process may claim its name from an earlier
	// process of the same name.
	nameTakeoverTime = time.Minute
	// forgetAfter is how long a gone member that is not listed is remembered.
	forgetAfter = 10 * time.Minute
)

// Options set up a view.
type Options struct {
	Self Member
	// Incarnation to begin with; a replacement should begin above the process
	// before it, but need not.
	Incarnation uint64
	// Seeds are IP:ports of instances that are asked for the fleet until one
	// member is known.
	Seeds []string
	Rand  *rand.Rand
	Now   time.Time
	// WithoutLocalHealth lets a member be declared gone whatever the state of
	// this instance's own links. For tests that show what the check prevents.
	WithoutLocalHealth bool
}

// View is what one instance knows of the fleet. It is not safe for concurrent
// use.
type View struct {
	options    Options
	self       *entry
	members    map[string]*entry
	names      []string // sorted names of members
	started    time.Time
	superseded bool
	listKnown  bool // the platform's list was read at least once

	buckets   [bucketCount]uint64
	suspected int // members in state suspected
	gone      int // members in state gone
	snapshot  []Member
	version   uint64 // counts changes that Members shows

	gossip gossipQueue
	prober prober
	// lastCompare is when this instance last sent its bucket digests.
	lastCompare time.Time
}

// New returns a view that holds only this instance.
func New(o Options) *View {
	o.Self.State = Live
	v := &View{options: o, members: map[string]*entry{}, started: o.Now}
	v.self = v.add(o.Self, max(o.Incarnation, 1), o.Now)
	v.prober.init(o.Now)
	return v
}

// Members returns all members that are not gone in name order. The slice is
// shared and must not be changed.
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

// PossiblyRunning returns, in name order, the members and those gone ones that may still
// run, as the platform lists them or its list is not known.
func (v *View) PossiblyRunning() []Member {
	var out []Member
	for _, name := range v.names {
		if e := v.members[name]; v.mayBeRunning(e) {
			out = append(out, e.Member)
		}
	}
	return out
}

// mayBeRunning tells whether a member is not gone, or not known to be gone by the
// platform's list.
func (v *View) mayBeRunning(e *entry) bool { return e.State != Gone || e.listed || !v.listKnown }

// PlatformListKnown tells whether the platform's list was merged at least once.
func (v *View) PlatformListKnown() bool { return v.listKnown }

// Version changes whenever Members does.
func (v *View) Version() uint64 { return v.version }

// Superseded tells whether another process has taken this instance's name.
func (v *View) Superseded() bool { return v.superseded }

// ApplyPlatformList merges the platform's list. A listed instance that is not known is
// taken as live; the list's word that one leaves counts at once; one that it
// no longer names is gone as soon as it is suspected.
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

// SetLeaving marks this instance as leaving and returns the messages that
// announce it.
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

func (v *View) remove(e *entry) {
	v.updateCounts(e, -1)
	delete(v.members, e.Name)
	if i, ok := slices.BinarySearch(v.names, e.Name); ok {
		v.names = slices.Delete(v.names, i, i+1)
	}
	v.membersChanged()
	v.prober.stale = true
}

// modify changes an entry and keeps the digests and counts.
func (v *View) modify(e *entry, change func()) {
	wasGone := e.State == Gone
	v.updateCounts(e, -1)
	change()
	v.updateCounts(e, 1)
	v.membersChanged()
	v.prober.stale = v.prober.stale || wasGone != (e.State == Gone)
}

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

func (v *View) setState(e *entry, s State, now time.Time) {
	v.modify(e, func() { e.State = s })
	e.stateSince = now
	v.gossip.push(e.Name)
}

func (v *View) digest() uint64 {
	var sum uint64
	for _, b := range v.buckets {
		sum ^= b
	}
	return sum
}

// forgetGone drops gone members that the platform does not name.
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

// State returns what this instance believes of a member; Gone for one that it
// does not know.
func (v *View) State(name string) State {
	if e := v.members[name]; e != nil {
		return e.State
	}
	return Gone
}
