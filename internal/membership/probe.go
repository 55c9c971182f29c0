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
	// ringCount is the number of hash rings, and so of probed successors.
	ringCount = 4
	// ProbePeriod is the time between two probes of one instance.
	ProbePeriod  = time.Second
	probeTimeout = 400 * time.Millisecond
	helperCount  = 3
	// maxProbeAttempts is the number of failed probes, each also through helpers,
	// after which a member is suspected.
	maxProbeAttempts = 2
	suspicionTimeout = 8 * time.Second
	// unlistedSuspicionTimeout is used for members that the platform no longer
	// names.
	unlistedSuspicionTimeout = 2 * time.Second
	// maxLocalFailures bounds the count of own failures that stretches the timeouts.
	maxLocalFailures = 6
	// revisitPeriods is the number of probe periods between two probes of a
	// member that is suspected or gone.
	revisitPeriods = 5
)

// probe is one probe without an answer yet.
type probe struct {
	sequence    uint64
	name        string
	peerAddress string // IP:port
	sent        time.Time
	indirect    bool // helpers were asked
	attempt     int
	revisit     bool // the member was suspected or gone
}

// relayedProbe is a probe that this instance makes for another one.
type relayedProbe struct {
	sequence       uint64 // of the probe sent on
	originSequence uint64 // number that the asking instance chose
	replyTo        string
	sent           time.Time
}

// prober is the part of a view that probes.
type prober struct {
	now           time.Time
	nextProbe     time.Time
	round         int
	successorTurn int // rotates over the successors
	sequence      uint64
	openProbes    []probe
	relays        []relayedProbe
	localFailures int       // recent probes after which nothing at all was heard
	lastHeard     time.Time // when a message last came in
	lastCutOff    time.Time // when this instance was last cut off
	outcomes      []outcome
	stale         bool
	ring          []*entry
}

func (p *prober) init(now time.Time) { p.now, p.nextProbe, p.stale = now, now, true }

func ringPositions(name string) (positions [ringCount]uint64) {
	for i := range positions {
		positions[i] = xxhash.Sum64String(strconv.Itoa(i) + "/" + name)
	}
	return positions
}

// successors returns the next member on each ring that is not gone.
func (p *prober) successors(v *View) []*entry {
	if !p.stale {
		return p.ring
	}
	p.stale = false
	p.ring = p.ring[:0]
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
		if best != nil && !slices.Contains(p.ring, best) {
			p.ring = append(p.ring, best)
		}
	}
	slices.SortFunc(p.ring, func(a, b *entry) int { return strings.Compare(a.Name, b.Name) })
	return p.ring
}

// Tick does what is due. Call it several times per ProbePeriod.
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
		out = append(out, v.probe(now, e, 1))
	} else {
		out = append(out, v.askSeeds()...)
	}
	if v.prober.round%revisitPeriods == 0 {
		out = append(out, v.revisit(now)...)
	}
	return out
}

// probeTarget chooses whom to probe: the successors in turn, and while anyone is
// suspected or gone every other time a random member, so that the outcomes
// show how much of the fleet can be reached.
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

func (v *View) probe(now time.Time, e *entry, attempt int) OutgoingMessage {
	v.prober.sequence++
	v.prober.openProbes = append(v.prober.openProbes, probe{sequence: v.prober.sequence, name: e.Name, peerAddress: e.PeerAddress, sent: now, attempt: attempt})
	m := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE)
	m.Sequence = v.prober.sequence
	if e.State == Suspected || e.State == Gone {
		m.Updates = append(m.Updates, e.toProto()) // so that it can refute
	}
	return OutgoingMessage{PeerAddress: e.PeerAddress, Message: m}
}

// askSeeds probes the configured addresses with this instance's own state.
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

// revisit probes one member that is suspected, or gone but may be listed, so
// that both sides of a healed partition find each other.
func (v *View) revisit(now time.Time) []OutgoingMessage {
	if v.suspected+v.gone == 0 {
		return nil
	}
	e := v.randomMember(func(e *entry) bool { return e.State == Suspected || e.State == Gone && v.mayBeRunning(e) })
	if e == nil {
		return nil
	}
	out := v.probe(now, e, maxProbeAttempts)
	v.prober.openProbes[len(v.prober.openProbes)-1].revisit = true
	return []OutgoingMessage{out}
}

// randomMember returns the first member that fits, from a randomMember place on.
func (v *View) randomMember(fits func(*entry) bool) *entry {
	first := v.options.Rand.IntN(len(v.names))
	for i := range v.names {
		if e := v.members[v.names[(first+i)%len(v.names)]]; fits(e) {
			return e
		}
	}
	return nil
}

// expireProbes asks helpers after the first timeout and suspects after the
// second.
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

// handleFailedProbe repeats a probe that failed, and suspects after the last attempt.
func (v *View) handleFailedProbe(now time.Time, p probe) []OutgoingMessage {
	if !v.prober.lastHeard.After(p.sent) {
		v.prober.localFailures = min(v.prober.localFailures+1, maxLocalFailures)
	}
	e := v.members[p.name]
	if e != nil && p.attempt < maxProbeAttempts && e.PeerAddress == p.peerAddress {
		return []OutgoingMessage{v.probe(now, e, p.attempt+1)}
	}
	if !p.revisit {
		v.prober.recordOutcome(p.name, false, now)
	}
	if e != nil && e.PeerAddress == p.peerAddress && (e.State == Live || e.State == Leaving) {
		v.setState(e, Suspected, now)
	}
	return nil
}

// HandleMessage handles a message and returns the answers.
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

func (v *View) newAck(sequence uint64, to string) OutgoingMessage {
	m := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_ACK)
	m.Sequence = sequence
	return OutgoingMessage{PeerAddress: to, Message: m}
}

// relayProbe probes for another instance and tells it at once that this one is
// reachable.
func (v *View) relayProbe(now time.Time, m *peerpb.MembershipMessage) []OutgoingMessage {
	v.prober.sequence++
	v.prober.relays = append(v.prober.relays, relayedProbe{sequence: v.prober.sequence, originSequence: m.GetSequence(), replyTo: m.GetReplyTo(), sent: now})
	out := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE)
	out.Sequence = v.prober.sequence
	received := v.newMessage(peerpb.MembershipKind_MEMBERSHIP_KIND_UPDATES)
	return []OutgoingMessage{{PeerAddress: m.GetSubject(), Message: out}, {PeerAddress: m.GetReplyTo(), Message: received}}
}

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
