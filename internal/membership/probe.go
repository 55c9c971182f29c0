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
	// maxAttempts is the number of failed probes, each also through helpers,
	// after which a member is suspected.
	maxAttempts   = 2
	suspicionTime = 8 * time.Second
	// unlistedSuspicionTime is used for members that the platform no longer
	// names.
	unlistedSuspicionTime = 2 * time.Second
	// maxHealth bounds the count of own failures that stretches the timeouts.
	maxHealth = 6
	// revisitPeriods is the number of probe periods between two probes of a
	// member that is suspected or gone.
	revisitPeriods = 5
)

// probe is one probe without an answer yet.
type probe struct {
	sequence uint64
	name     string
	peer     string // IP:port
	sent     time.Time
	indirect bool // helpers were asked
	attempt  int
	revisit  bool // the member was suspected or gone
}

// relayed is a probe that this instance makes for another one.
type relayed struct {
	sequence uint64 // of the probe sent on
	origin   uint64 // number that the asking instance chose
	replyTo  string
	sent     time.Time
}

// prober is the part of a view that probes.
type prober struct {
	now      time.Time
	next     time.Time
	round    int
	turn     int // rotates over the successors
	sequence uint64
	open     []probe
	relays   []relayed
	health   int       // recent probes after which nothing at all was heard
	heard    time.Time // when a message last came in
	heldAt   time.Time // when this instance was last cut off
	outcomes []outcome
	stale    bool
	ring     []*entry
}

func (p *prober) init(now time.Time) { p.now, p.next, p.stale = now, now, true }

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
	if now.Before(v.prober.next) || v.superseded {
		return out
	}
	v.prober.next = now.Add(ProbePeriod)
	v.prober.round++
	v.expireSuspicions(now)
	if e := v.target(); e != nil {
		out = append(out, v.probe(now, e, 1))
	} else {
		out = append(out, v.askSeeds()...)
	}
	if v.prober.round%revisitPeriods == 0 {
		out = append(out, v.revisit(now)...)
	}
	return out
}

// target chooses whom to probe: the successors in turn, and while anyone is
// suspected or gone every other time a random member, so that the outcomes
// show how much of the fleet can be reached.
func (v *View) target() *entry {
	if v.suspected+v.gone > 0 && v.prober.round%2 == 0 {
		if e := v.random(func(e *entry) bool { return e != v.self && v.mayRun(e) }); e != nil {
			return e
		}
	}
	targets := v.prober.successors(v)
	if len(targets) == 0 {
		return nil
	}
	v.prober.turn++
	return targets[v.prober.turn%len(targets)]
}

func (v *View) probe(now time.Time, e *entry, attempt int) OutgoingMessage {
	v.prober.sequence++
	v.prober.open = append(v.prober.open, probe{sequence: v.prober.sequence, name: e.Name, peer: e.PeerAddress, sent: now, attempt: attempt})
	m := v.message(peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE)
	m.Sequence = v.prober.sequence
	if e.State == Suspected || e.State == Gone {
		m.Updates = append(m.Updates, e.update()) // so that it can refute
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
		m := v.message(peerpb.MembershipKind_MEMBERSHIP_KIND_COMPARE)
		m.Buckets = slices.Clone(v.buckets[:])
		m.Updates = append(m.Updates, v.self.update())
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
	e := v.random(func(e *entry) bool { return e.State == Suspected || e.State == Gone && v.mayRun(e) })
	if e == nil {
		return nil
	}
	out := v.probe(now, e, maxAttempts)
	v.prober.open[len(v.prober.open)-1].revisit = true
	return []OutgoingMessage{out}
}

// random returns the first member that fits, from a random place on.
func (v *View) random(fits func(*entry) bool) *entry {
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
	timeout := probeTimeout * time.Duration(1+v.prober.health)
	var out []OutgoingMessage
	var failed []probe
	v.prober.open = slices.DeleteFunc(v.prober.open, func(p probe) bool {
		if now.Sub(p.sent) < 2*timeout {
			return false
		}
		failed = append(failed, p)
		return true
	})
	for i := range v.prober.open {
		p := &v.prober.open[i]
		if !p.indirect && now.Sub(p.sent) >= timeout {
			p.indirect = true
			out = append(out, v.askHelpers(p)...)
		}
	}
	for _, p := range failed {
		out = append(out, v.fail(now, p)...)
	}
	v.prober.relays = slices.DeleteFunc(v.prober.relays, func(r relayed) bool { return now.Sub(r.sent) > 4*probeTimeout })
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
		m := v.message(peerpb.MembershipKind_MEMBERSHIP_KIND_INDIRECT_PROBE)
		m.Sequence, m.Subject = p.sequence, p.peer
		out = append(out, OutgoingMessage{PeerAddress: e.PeerAddress, Message: m})
		if len(out) == helperCount {
			break
		}
	}
	return out
}

// fail repeats a probe that failed, and suspects after the last attempt.
func (v *View) fail(now time.Time, p probe) []OutgoingMessage {
	if !v.prober.heard.After(p.sent) {
		v.prober.health = min(v.prober.health+1, maxHealth)
	}
	e := v.members[p.name]
	if e != nil && p.attempt < maxAttempts && e.PeerAddress == p.peer {
		return []OutgoingMessage{v.probe(now, e, p.attempt+1)}
	}
	if !p.revisit {
		v.prober.note(p.name, false, now)
	}
	if e != nil && e.PeerAddress == p.peer && (e.State == Live || e.State == Leaving) {
		v.setState(e, Suspected, now)
	}
	return nil
}

// HandleMessage handles a message and returns the answers.
func (v *View) HandleMessage(now time.Time, m *peerpb.MembershipMessage) []OutgoingMessage {
	v.prober.now, v.prober.heard = now, now
	v.apply(now, m.GetUpdates())
	if v.superseded {
		return nil
	}
	var out []OutgoingMessage
	switch m.GetKind() {
	case peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE:
		out = append(out, v.ack(m.GetSequence(), m.GetReplyTo()))
	case peerpb.MembershipKind_MEMBERSHIP_KIND_ACK:
		out = append(out, v.acked(now, m.GetSequence())...)
	case peerpb.MembershipKind_MEMBERSHIP_KIND_INDIRECT_PROBE:
		out = append(out, v.relay(now, m)...)
	case peerpb.MembershipKind_MEMBERSHIP_KIND_COMPARE:
		return v.answerCompare(m)
	default:
		return nil
	}
	return append(out, v.compare(now, m)...)
}

func (v *View) ack(sequence uint64, to string) OutgoingMessage {
	m := v.message(peerpb.MembershipKind_MEMBERSHIP_KIND_ACK)
	m.Sequence = sequence
	return OutgoingMessage{PeerAddress: to, Message: m}
}

// relay probes for another instance and tells it at once that this one is
// reachable.
func (v *View) relay(now time.Time, m *peerpb.MembershipMessage) []OutgoingMessage {
	v.prober.sequence++
	v.prober.relays = append(v.prober.relays, relayed{sequence: v.prober.sequence, origin: m.GetSequence(), replyTo: m.GetReplyTo(), sent: now})
	out := v.message(peerpb.MembershipKind_MEMBERSHIP_KIND_PROBE)
	out.Sequence = v.prober.sequence
	received := v.message(peerpb.MembershipKind_MEMBERSHIP_KIND_UPDATES)
	return []OutgoingMessage{{PeerAddress: m.GetSubject(), Message: out}, {PeerAddress: m.GetReplyTo(), Message: received}}
}

func (v *View) acked(now time.Time, sequence uint64) []OutgoingMessage {
	if i := slices.IndexFunc(v.prober.relays, func(r relayed) bool { return r.sequence == sequence }); i >= 0 {
		r := v.prober.relays[i]
		v.prober.relays = slices.Delete(v.prober.relays, i, i+1)
		return []OutgoingMessage{v.ack(r.origin, r.replyTo)}
	}
	i := slices.IndexFunc(v.prober.open, func(p probe) bool { return p.sequence == sequence })
	if i < 0 {
		return nil
	}
	v.prober.note(v.prober.open[i].name, true, now)
	v.prober.open = slices.Delete(v.prober.open, i, i+1)
	v.prober.health = max(v.prober.health-1, 0)
	return nil
}
