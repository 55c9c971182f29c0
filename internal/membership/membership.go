// Package membership keeps track of which instances of the fleet are live,
// suspected of having failed, leaving or gone. It is a variant of the SWIM
// protocol: failure detection by probes, and news spread by gossip. The package
// is deterministic and does no I/O: its caller sends the messages that it
// returns and hands it the messages that arrive.
//
// Each instance probes its successors on a few hash rings in turn, one per
// period, so that the cost does not depend on the size of the fleet. A member
// that answers neither a direct probe nor one through other members is suspected.
// The suspicion spreads with the probes and their answers, and a member that
// hears of its own suspicion refutes it with a higher incarnation number.
//
// The platform's list of instances, which lags behind, provides addresses and
// newly started instances. There is no consensus: the views of two instances may
// differ.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

// State is what this instance believes about a member.
type State string

// States of a member.
const (
	Live      State = "live"
	Suspected State = "suspected" // did not answer probes; may have failed
	Leaving   State = "leaving"   // is shutting down
	Gone      State = "gone"      // has failed or ended
)

// Member is one instance of the fleet.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          string // IP:port for clients
	PeerAddress      string // IP:port for other instances
	State            State
}

// OutgoingMessage is a message that the caller must send to another instance.
type OutgoingMessage struct {
	PeerAddress string // IP:port of the receiver
	Message     *peerpb.MembershipMessage
}

// entry is a member with the data that decides which news about it is newer.
type entry struct {
	Member
	incarnation uint64
	stateSince  time.Time         // when this instance took over the present state
	listed      bool              // whether the platform's newest list names the member
	rings       [ringCount]uint64 // position on each hash ring
}

// precedence orders the states of one incarnation: a state of higher precedence
// replaces one of lower precedence. The values are those of peerpb.MemberState.
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

// digest returns a hash of the member's name, peer address and state, and of its
// incarnation unless it is live. A difference in the incarnation of a live member
// need not be exchanged, as it has no effect until the state changes.
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
