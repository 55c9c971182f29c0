package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

const (
	// maxGossipUpdates bounds the gossip updates in one message.
	maxGossipUpdates = 6
	// maxCompareUpdates bounds the updates, besides gossip, in one message that
	// answers a comparison.
	maxCompareUpdates = 64
	// retransmitFactor sets how often an update is sent: this factor times the
	// bit length of the number of members, which is about its binary logarithm.
	retransmitFactor = 2
	// minCompareInterval is the shortest time between two comparisons that this
	// instance asks for.
	minCompareInterval = 5 * time.Second
)

// gossipQueue holds the members whose latest news this instance still spreads.
type gossipQueue struct {
	pending []pendingUpdate // updates sent least often come first
}

// pendingUpdate is a member whose news is to be sent.
type pendingUpdate struct {
	name      string
	timesSent int
}

// push queues the news of a member as if it had never been sent.
func (q *gossipQueue) push(name string) {
	q.pending = slices.DeleteFunc(q.pending, func(p pendingUpdate) bool { return p.name == name })
	q.pending = slices.Insert(q.pending, 0, pendingUpdate{name: name})
}

// take returns the members whose news goes into the next message, and counts it
// as sent. fleet is the number of members.
func (q *gossipQueue) take(fleet int) []string {
	n := min(len(q.pending), maxGossipUpdates)
	limit := retransmitFactor * bits.Len(uint(fleet))
	names := make([]string, n)
	for i := range names {
		names[i] = q.pending[i].name
		q.pending[i].timesSent++
	}
	q.pending = slices.DeleteFunc(q.pending, func(p pendingUpdate) bool { return p.timesSent >= limit })
	slices.SortStableFunc(q.pending, func(a, b pendingUpdate) int { return a.timesSent - b.timesSent })
	return names
}

// newMessage returns a message of a kind with the gossip updates that are due.
func (v *View) newMessage(kind peerpb.MembershipKind) *peerpb.MembershipMessage {
	m := &peerpb.MembershipMessage{Kind: kind, Digest: v.digest(), ReplyTo: v.self.PeerAddress}
	for _, name := range v.gossip.take(len(v.members)) {
		if e := v.members[name]; e != nil {
			m.Updates = append(m.Updates, e.toProto())
		}
	}
	return m
}

// applyUpdates merges the updates in a message. They are queued for gossip only
// if the message has no more than gossip and one update about its receiver. The
// many updates of a comparison are old news and not spread further.
func (v *View) applyUpdates(now time.Time, updates []*peerpb.MemberUpdate) {
	forward := len(updates) <= maxGossipUpdates+1
	for _, u := range updates {
		if u.GetName() == "" {
			continue
		}
		if u.GetName() == v.self.Name {
			v.applyUpdateAboutSelf(u)
			continue
		}
		if v.applyUpdateAboutOther(now, u) && forward {
			v.gossip.push(u.GetName())
		}
	}
}

// applyUpdateAboutSelf refutes wrong news about this instance by raising its
// incarnation above that of the news. If the news shows that a process at another
// address now has this instance's name, and this process is older than
// nameTakeoverTime, it does not refute but counts itself as superseded.
func (v *View) applyUpdateAboutSelf(u *peerpb.MemberUpdate) {
	otherAddress := u.GetPeerAddress() != v.self.PeerAddress
	stale := u.GetIncarnation() < v.self.incarnation
	agreed := u.GetIncarnation() == v.self.incarnation && !otherAddress && stateFromProto(u.GetState()) == v.self.State
	if v.superseded || stale || agreed {
		return
	}
	if otherAddress && u.GetState() != peerpb.MemberState_MEMBER_STATE_GONE && v.prober.now.Sub(v.started) > nameTakeoverTime {
		v.superseded = true
		return
	}
	v.modify(v.self, func() { v.self.incarnation = u.GetIncarnation() + 1 })
	v.gossip.push(v.self.Name)
}

// applyUpdateAboutOther merges an update about another member and reports whether
// it changed anything.
func (v *View) applyUpdateAboutOther(now time.Time, u *peerpb.MemberUpdate) bool {
	state := stateFromProto(u.GetState())
	e := v.members[u.GetName()]
	if e == nil {
		if state == Gone {
			return false // no need to remember a member that was never known
		}
		m := Member{Name: u.GetName(), AvailabilityZone: u.GetAvailabilityZone(), Address: u.GetAddress(), PeerAddress: u.GetPeerAddress(), State: state}
		v.add(m, u.GetIncarnation(), now)
		return true
	}
	if state == Gone && v.isCutOff() && (e.listed || !v.listKnown) {
		state = Suspected // the sender may be cut off together with this instance
	}
	newer := u.GetIncarnation() > e.incarnation
	if !newer && (u.GetIncarnation() < e.incarnation || state.precedence() <= e.State.precedence()) {
		return false
	}
	v.modify(e, func() {
		e.incarnation, e.State = u.GetIncarnation(), state
		e.AvailabilityZone, e.Address, e.PeerAddress = u.GetAvailabilityZone(), u.GetAddress(), u.GetPeerAddress()
	})
	e.stateSince = now
	return true
}

// maybeCompare handles a message whose digest differs from that of this view: it
// asks the sender for the members in which the two views differ. While gossip is
// pending, it does not ask, since the gossip may remove the difference, unless the
// last comparison was at least two minCompareIntervals ago. It asks at most once in
// each minCompareInterval.
func (v *View) maybeCompare(now time.Time, m *peerpb.MembershipMessage) []OutgoingMessage {
	settled := len(v.gossip.pending) == 0 || now.Sub(v.lastCompare) >= 2*minCompareInterval
	if m.GetDigest() == v.digest() || !settled || now.Sub(v.lastCompare) < minCompareInterval {
		return nil
	}
	v.lastCompare = now
	out := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_COMPARE)
	out.Buckets = slices.Clone(v.buckets[:])
	return []OutgoingMessage{{PeerAddress: m.GetReplyTo(), Message: out}}
}

// answerCompare returns updates for the members in the buckets whose digests
// differ. The updates fill one message at most, unless more than half of the
// sender's buckets are empty: such an instance is new and gets all members.
func (v *View) answerCompare(m *peerpb.MembershipMessage) []OutgoingMessage {
	if len(m.GetBuckets()) != bucketCount {
		return nil
	}
	empty := 0
	for _, b := range m.GetBuckets() {
		if b == 0 {
			empty++
		}
	}
	messages := 1
	if empty > bucketCount/2 {
		messages = 1 + len(v.names)/maxCompareUpdates
	}
	var out []OutgoingMessage
	var updates []*peerpb.MemberUpdate
	first := v.options.Rand.IntN(len(v.names))
	for i := range v.names {
		e := v.members[v.names[(first+i)%len(v.names)]]
		bucket := e.rings[0] % bucketCount
		if v.buckets[bucket] != m.GetBuckets()[bucket] {
			updates = append(updates, e.toProto())
		}
		if len(updates) == maxCompareUpdates || i == len(v.names)-1 {
			answer := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_UPDATES)
			answer.Updates = append(answer.Updates, updates...)
			out, updates = append(out, OutgoingMessage{PeerAddress: m.GetReplyTo(), Message: answer}), nil
		}
		if len(out) == messages {
			break
		}
	}
	return out
}
