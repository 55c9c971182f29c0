// Package membership decides which instances are live, suspected or leaving.
// It is a deterministic core without I/O.
package membership

import (
	"slices"
	"strings"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// State is what this instance believes of another one.
type State string

// States of a member.
const (
	Live      State = "live"
	Suspected State = "suspected"
	Leaving   State = "leaving"
)

// Member is one instance.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          string // IP:port for callers
	PeerAddress      string // IP:port for other instances
	State            State
}

// View is the set of known instances. It is not safe for concurrent use.
type View struct {
	self    Member
	members map[string]Member
}

// New returns a view that holds only this instance.
func New(self Member) *View {
	self.State = Live
	return &View{self: self, members: map[string]Member{self.Name: self}}
}

// ApplyList replaces the members by the platform's list. This instance stays a
// member whether the list names it or not.
func (v *View) ApplyList(list []platform.Instance) {
	members := map[string]Member{v.self.Name: v.self}
	for _, in := range list {
		if in.Name == v.self.Name {
			continue
		}
		m := Member{Name: in.Name, AvailabilityZone: in.AvailabilityZone, Address: in.Address, PeerAddress: in.PeerAddress, State: Live}
		if in.State == platform.InstanceLeaving {
			m.State = Leaving
		}
		members[in.Name] = m
	}
	v.members = members
}

// SetLeaving marks this instance as leaving.
func (v *View) SetLeaving() {
	v.self.State = Leaving
	v.members[v.self.Name] = v.self
}

// Members returns all members in name order.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}
