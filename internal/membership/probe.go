package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

const (
	// ringCount is the number of hash rings. Each instance probes its successor
	// on each of them.
	ringCount = 4
	// ProbePeriod is the time between two regular probes that an instance sends.
	ProbePeriod = time.Second
	// probeTimeout is how long an instance waits for the answer to a probe before
	// it asks helpers, and then again before the probe counts as failed.
	probeTimeout = 400 * time.Millisecond
	// helperCount is the number of other members that are asked to probe a member
	// which did not answer.
	helperCount = 3
	// maxProbeAttempts is the number of failed probes, each also through helpers,
	// after which a member is suspected.
	maxProbeAttempts = 2
	// suspicionTimeout is the time that a suspected member has to refute the
	// suspicion.
	suspicionTimeout = 8 * time.Second
	// unlistedSuspicionTimeout replaces suspicionTimeout for members that the
	// platform no longer lists.
	unlistedSuspicionTimeout = 2 * time.Second
	// maxLocalFailures bounds prober.localFailures, and so how far that count
	// lengthens the timeouts.
	maxLocalFailures = 6
	// extraProbePeriods is the number of probe periods between two extra probes of
	// members that are suspected or gone.
	extraProbePeriods = 5
)

// probe is a probe sent by this instance that has neither succeeded nor failed.
type probe struct {
	sequence    uint64
	name        string
	peerAddress string // IP:port
	sent        time.Time
	indirect    bool // helpers were asked
	attempt     int  // counts from 1
	extra       bool // sent by View.startExtraProbe
}

// relayedProbe is a probe that this instance sends as a helper of another one.
type relayedProbe struct {
	sequence       uint64 // number of the probe that this instance sends
	originSequence uint64 // number of the asking instance's own probe
	replyTo        string // IP:port of the asking instance
	sent           time.Time
}

// prober is the failure detector of a view.
type prober struct {
	now           time.Time // of the latest tick or message
	nextProbe     time.Time
	round         int    // counts probe periods
	successorTurn int    // counts probes of successors, which take turns
	sequence      uint64 // number of the latest probe
	openProbes    []probe
	relays        []relayedProbe
	// localFailures rises with every failed probe since which no message at all
	// has come in, and falls with every answered probe. A high count shows a fault
	// of this instance or its network rather than of the probed members.
	localFailures  int
	lastHeard      time.Time // when a message last came in
	lastCutOff     time.Time // when this instance last considered itself cut off
	outcomes       []outcome // oldest first
	stale          bool      // whether ringSuccessors must be determined again
	ringSuccessors []*entry  // successors on the hash rings, as last determined
}

func (p *prober) init(now time.Time) { p.now, p.nextProbe, p.stale = now, now, true }

// ringPositions returns the position of a name on each hash ring.
func ringPositions(name string) (positions [ringCount]uint64) {
	for i := range positions {
		positions[i] = xxhash.Sum64String(strconv.Itoa(i) + "/" + name)
	}
	return positions
}

// successors returns the distinct members that are not gone and follow this
// instance on one of the hash rings, in name order.
func (p *prober) successors(v *View) []*entry {
	if !p.stale {
		return p.ringSuccessors
	}
	p.stale = false
	p.ringSuccessors = p.ringSuccessors[:0]
	for ring := range ringCount {
		var best *entry
		for _, e := range v.members {
			if e == v.self || e.State == Gone {
				continue
			}
			if best == nil || e.rings[ring]-v.self.rings[ring] < best.rings[ring]-v.self.rings[ring] {
				best = e
			}
		}
		if best != nil && !slices.Contains(p.ringSuccessors, best) {
			p.ringSuccessors = append(p.ringSuccessors, best)
		}
	}
	slices.SortFunc(p.ringSuccessors, func(a, b *entry) int { return strings.Compare(a.Name, b.Name) })
	return p.ringSuccessors
}

// Tick does what is due and returns the messages to send. Call it several times
// per ProbePeriod.
func (v *View) Tick(now time.Time) []OutgoingMessage {
	v.prober.now = now
	out := v.expireProbes(now)
	if now.Before(v.prober.nextProbe) || v.superseded {
		return out
	}
	v.prober.nextProbe = now.Add(ProbePeriod)
	v.prober.round++
	v.expireSuspicions(now)
	if e := v.probeTarget(); e != nil {
		out = append(out, v.startProbe(now, e, 1))
	} else {
		out = append(out, v.askSeeds()...)
	}
	if v.prober.round%extraProbePeriods == 0 {
		out = append(out, v.startExtraProbe(now)...)
	}
	return out
}

// probeTarget returns the member to probe next: the successors take turns. While
// any member is suspected or gone, every other probe goes to a random member, so
// that the outcomes show how much of the fleet can be reached.
func (v *View) probeTarget() *entry {
	if v.suspected+v.gone > 0 && v.prober.round%2 == 0 {
		if e := v.randomMember(func(e *entry) bool { return e != v.self && v.mayBeRunning(e) }); e != nil {
			return e
		}
	}
	targets := v.prober.successors(v)
	if len(targets) == 0 {
		return nil
	}
	v.prober.successorTurn++
	return targets[v.prober.successorTurn%len(targets)]
}

// startProbe records a probe of a member as open and returns the message to send.
// attempt is the number of this try, from 1; the try maxProbeAttempts is the last.
func (v *View) startProbe(now time.Time, e *entry, attempt int) OutgoingMessage {
	v.prober.sequence++
	v.prober.openProbes = append(v.prober.openProbes, probe{sequence: v.prober.sequence, name: e.Name, peerAddress: e.PeerAddress, sent: now, attempt: attempt})
	m := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE)
	m.Sequence = v.prober.sequence
	if e.State == Suspected || e.State == Gone {
		m.Updates = append(m.Updates, e.toProto()) // so that the member can refute it
	}
	return OutgoingMessage{PeerAddress: e.PeerAddress, Message: m}
}

// askSeeds introduces this instance to the seeds and asks them for their members.
func (v *View) askSeeds() []OutgoingMessage {
	var out []OutgoingMessage
	for _, seed := range v.options.Seeds {
		if seed == v.self.PeerAddress {
			continue
		}
		m := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_COMPARE)
		m.Buckets = slices.Clone(v.buckets[:])
		m.Updates = append(m.Updates, v.self.toProto())
		out = append(out, OutgoingMessage{PeerAddress: seed, Message: m})
	}
	return out
}

// startExtraProbe probes a random member that is suspected, or gone but may still
// run, so that the two sides of a network partition find each other once it has
// healed. The probe is not repeated, and its failure does not count in isCutOff.
func (v *View) startExtraProbe(now time.Time) []OutgoingMessage {
	if v.suspected+v.gone == 0 {
		return nil
	}
	e := v.randomMember(func(e *entry) bool { return e.State == Suspected || e.State == Gone && v.mayBeRunning(e) })
	if e == nil {
		return nil
	}
	out := v.startProbe(now, e, maxProbeAttempts)
	v.prober.openProbes[len(v.prober.openProbes)-1].extra = true
	return []OutgoingMessage{out}
}

// randomMember returns the first member that fits, starting at a random place of
// the name order, or nil if none fits.
func (v *View) randomMember(fits func(*entry) bool) *entry {
	first := v.options.Rand.IntN(len(v.names))
	for i := range v.names {
		if e := v.members[v.names[(first+i)%len(v.names)]]; fits(e) {
			return e
		}
	}
	return nil
}

// expireProbes asks helpers about probes that are unanswered for one timeout, and
// ends those unanswered for two as failed. It also forgets old relayed probes.
func (v *View) expireProbes(now time.Time) []OutgoingMessage {
	timeout := probeTimeout * time.Duration(1+v.prober.localFailures)
	var out []OutgoingMessage
	var failed []probe
	v.prober.openProbes = slices.DeleteFunc(v.prober.openProbes, func(p probe) bool {
		if now.Sub(p.sent) < 2*timeout {
			return false
		}
		failed = append(failed, p)
		return true
	})
	for i := range v.prober.openProbes {
		p := &v.prober.openProbes[i]
		if !p.indirect && now.Sub(p.sent) >= timeout {
			p.indirect = true
			out = append(out, v.askHelpers(p)...)
		}
	}
	for _, p := range failed {
		out = append(out, v.handleFailedProbe(now, p)...)
	}
	v.prober.relays = slices.DeleteFunc(v.prober.relays, func(r relayedProbe) bool { return now.Sub(r.sent) > 4*probeTimeout })
	return out
}

// askHelpers asks random live members to probe the member of a probe.
func (v *View) askHelpers(p *probe) []OutgoingMessage {
	var out []OutgoingMessage
	first := v.options.Rand.IntN(len(v.names))
	for i := range v.names {
		e := v.members[v.names[(first+i)%len(v.names)]]
		if e == v.self || e.Name == p.name || e.State != Live {
			continue
		}
		m := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_INDIRECT_PROBE)
		m.Sequence, m.Subject = p.sequence, p.peerAddress
		out = append(out, OutgoingMessage{PeerAddress: e.PeerAddress, Message: m})
		if len(out) == helperCount {
			break
		}
	}
	return out
}

// handleFailedProbe repeats a failed probe, or suspects the member if that was the
// last attempt.
func (v *View) handleFailedProbe(now time.Time, p probe) []OutgoingMessage {
	if !v.prober.lastHeard.After(p.sent) {
		v.prober.localFailures = min(v.prober.localFailures+1, maxLocalFailures)
	}
	e := v.members[p.name]
	if e != nil && p.attempt < maxProbeAttempts && e.PeerAddress == p.peerAddress {
		return []OutgoingMessage{v.startProbe(now, e, p.attempt+1)}
	}
	if !p.extra {
		v.prober.recordOutcome(p.name, false, now)
	}
	if e != nil && e.PeerAddress == p.peerAddress && (e.State == Live || e.State == Leaving) {
		v.setState(e, Suspected, now)
	}
	return nil
}

// HandleMessage handles a message from another instance and returns the messages
// to send in response.
func (v *View) HandleMessage(now time.Time, m *peerpb.MembershipMessage) []OutgoingMessage {
	v.prober.now, v.prober.lastHeard = now, now
	v.applyUpdates(now, m.GetUpdates())
	if v.superseded {
		return nil
	}
	var out []OutgoingMessage
	switch m.GetKind() {
	case peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE:
		out = append(out, v.newAck(m.GetSequence(), m.GetReplyTo()))
	case peerpb.MembershipKind_MEMBERSHIP_KIND_ACK:
		out = append(out, v.handleAck(now, m.GetSequence())...)
	case peerpb.MembershipKind_MEMBERSHIP_KIND_INDIRECT_PROBE:
		out = append(out, v.relayProbe(now, m)...)
	case peerpb.MembershipKind_MEMBERSHIP_KIND_COMPARE:
		return v.answerCompare(m)
	default:
		return nil
	}
	return append(out, v.maybeCompare(now, m)...)
}

// newAck returns an acknowledgement of a probe to an address (IP:port).
func (v *View) newAck(sequence uint64, to string) OutgoingMessage {
	m := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_ACK)
	m.Sequence = sequence
	return OutgoingMessage{PeerAddress: to, Message: m}
}

// relayProbe probes a member on behalf of the sender of a message. It also sends
// the sender a message at once, from which that learns that its own network works.
func (v *View) relayProbe(now time.Time, m *peerpb.MembershipMessage) []OutgoingMessage {
	v.prober.sequence++
	v.prober.relays = append(v.prober.relays, relayedProbe{sequence: v.prober.sequence, originSequence: m.GetSequence(), replyTo: m.GetReplyTo(), sent: now})
	out := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE)
	out.Sequence = v.prober.sequence
	received := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_UPDATES)
	return []OutgoingMessage{{PeerAddress: m.GetSubject(), Message: out}, {PeerAddress: m.GetReplyTo(), Message: received}}
}

// handleAck handles the acknowledgement of a probe: one that was sent for another
// instance is passed on to that, and one of this instance's own ends as answered.
func (v *View) handleAck(now time.Time, sequence uint64) []OutgoingMessage {
	if i := slices.IndexFunc(v.prober.relays, func(r relayedProbe) bool { return r.sequence == sequence }); i >= 0 {
		r := v.prober.relays[i]
		v.prober.relays = slices.Delete(v.prober.relays, i, i+1)
		return []OutgoingMessage{v.newAck(r.originSequence, r.replyTo)}
	}
	i := slices.IndexFunc(v.prober.openProbes, func(p probe) bool { return p.sequence == sequence })
	if i < 0 {
		return nil
	}
	v.prober.recordOutcome(v.prober.openProbes[i].name, true, now)
	v.prober.openProbes = slices.Delete(v.prober.openProbes, i, i+1)
	v.prober.localFailures = max(v.prober.localFailures-1, 0)
	return nil
}
