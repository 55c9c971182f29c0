// Package membership decides which instances are live, suspected, leaving or
// gone. It is a deterministic core without I/O.
//
// Each instance probes its successors on a few hash rings, one per period, so
// that its cost does not depend on the size of the fleet. A member that
// neither answers a probe nor one through other members is suspected; the
// suspicion spreads with the probes, and a member that hears of it refutes it
// with a higher incarnation. The platform's lagging list names addresses and
// newly started instances. Nothing here is agreed: views may differ.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

// State is what this instance believes of another one.
type State string

// States of a member.
const (
	Live      State = "live"
	Suspected State = "suspected"
	Leaving   State = "leaving"
	Gone      State = "gone"
)

// Member is one instance.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          string // IP:port for callers
	PeerAddress      string // IP:port for other instances
	State            State
}

// OutgoingMessage is one message to another instance.
type OutgoingMessage struct {
	PeerAddress string // IP:port
	Message     *peerpb.MembershipMessage
}

// entry is one member with what orders the news about it.
type entry struct {
	Member
	incarnation uint64
	stateSince  time.Time // when the state began here
	listed      bool      // the platform's newest list names it
	rings       [ringCount]uint64
}

// precedence orders the states of one incarnation: higher ones replace lower ones.
func (s State) precedence() int {
	switch s {
	case Leaving:
		return 1
	case Suspected:
		return 2
	case Gone:
		return 3
	}
	return 0
}

// digest changes whenever the entry's address or state does. The incarnation
// of a live member is left out: who knows an older one has nothing to learn
// until the state changes.
func (e *entry) digest() uint64 {
	const mix = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(e.Name + "\x00" + e.PeerAddress)
	if e.State != Live {
		h ^= e.incarnation*4 + uint64(e.State.precedence())
	}
	return h * mix
}

func (e *entry) toProto() *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Name: e.Name, AvailabilityZone: e.AvailabilityZone, Address: e.Address, PeerAddress: e.PeerAddress,
		State: peerpb.MemberState(e.State.precedence()), Incarnation: e.incarnation,
	}
}

func stateFromProto(s peerpb.MemberState) State {
	switch s {
	case peerpb.MemberState_MEMBER_STATE_LEAVING:
		return Leaving
	case peerpb.MemberState_MEMBER_STATE_SUSPECTED:
		return Suspected
	case peerpb.MemberState_MEMBER_STATE_GONE:
		return Gone
	}
	return Live
}
