package fleettest

import (
	"fmt"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// KeyFreshness is the largest age of the freshness evidence (see package
// freshness) with which an instance accepts workspace keys. With older evidence a
// key may have been withdrawn without the instance's knowledge.
const KeyFreshness = 5 * time.Second

// maxViolations bounds Fleet.Violations, since one fault can violate a guarantee
// at every tick.
const maxViolations = 20

// Options describe a fleet to simulate.
type Options struct {
	// Size is the number of instances, which are spread evenly over Zones
	// availability zones. These are spread evenly over Regions regions.
	Size, Zones, Regions int
	Seed                 uint64
	// Faults are the network's faults at the start.
	Faults Faults
	// TickPeriod is the time between two ticks of a node; 0 stands for 100 ms.
	TickPeriod time.Duration
	// ListLag is how long after a process has started or ended the platform's list
	// of instances shows it.
	ListLag time.Duration
	// Chunks is the number of chunks of the configuration record, at least 1, and
	// ChunkBytes the size of each in bytes.
	Chunks, ChunkBytes int
	// NewExtension, if set, returns the extension of each new node.
	NewExtension func(*Node) Extension
	// WithoutLocalHealth, AsOfReceipt and LowerVersions each switch off a safety
	// rule of the packages membership and dissemination, under the same names, so
	// that tests can show that its violation is noticed.
	WithoutLocalHealth, AsOfReceipt, LowerVersions bool
}

// Fleet is a simulated fleet: its nodes, network and platform.
type Fleet struct {
	Options Options
	Bus     *Bus
	Store   *Store
	Nodes   []*Node // of processes that have not ended, in the order of their start
	// Invariants records what the simulated packages assert themselves. It goes
	// into Violations as well.
	Invariants invariant.Recorder
	// Violations describes the first violated guarantees, each with the virtual
	// time since Start. A correct run has none.
	Violations []string

	nodeByAddress  map[string]*Node          // by peer address
	partitionGroup map[Location]int          // locations of different groups cannot reach each other
	onKeyCheck     func(n *Node, fresh bool) // called by checkKeys; may be nil
	addressCount   int                       // addresses assigned so far; none is used twice
}

// New returns a fleet whose nodes all start at the time Start. The platform's list
// shows them from then on.
func New(o Options) *Fleet {
	if o.TickPeriod == 0 {
		o.TickPeriod = 100 * time.Millisecond
	}
	o.Chunks, o.ChunkBytes = max(o.Chunks, 1), max(o.ChunkBytes, 1)
	f := &Fleet{
		Options: o, Bus: NewBus(o.Seed), Store: newStore(o.Seed, o.Chunks, o.ChunkBytes, o.ListLag),
		nodeByAddress: map[string]*Node{}, partitionGroup: map[Location]int{},
	}
	f.Bus.Faults = o.Faults
	f.Bus.CutOff = func(a, b Location) bool { return f.partitionGroup[a] != f.partitionGroup[b] }
	f.Invariants.OnViolation = func(name invariant.Name, detail string) { f.check(false, "%s: %s", name, detail) }
	for i := range o.Size {
		zone := i % o.Zones
		f.start(fmt.Sprintf("instance-%d", i), Location{Region: zone % o.Regions, Zone: zone}, nil)
	}
	f.Store.lists = []listVersion{{at: Start, instances: f.instances()}}
	return f
}

// start starts a process without entering it in the platform's list. The seeds are
// the peer addresses of instances that it asks first for the members.
func (f *Fleet) start(name string, location Location, seeds []string) *Node {
	f.addressCount++
	n := f.addressCount
	m := membership.Member{
		Name: name, AvailabilityZone: fmt.Sprintf("region-%d-zone-%d", location.Region, location.Zone),
		Address:     fmt.Sprintf("10.%d.%d.%d:17000", n>>16, n>>8&255, n&255),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:17001", n>>16, n>>8&255, n&255),
	}
	node := f.newNode(m, location, seeds)
	f.nodeByAddress[m.PeerAddress] = node
	f.Nodes = append(f.Nodes, node)
	return node
}

// Start starts a process and enters it in the platform's list. Its name may be that
// of a process that still runs, which it then replaces. The seeds are as for start.
func (f *Fleet) Start(name string, location Location, seeds ...string) *Node {
	n := f.start(name, location, seeds)
	f.Store.setList(f.Bus.Now, f.instances())
	return n
}

// Kill ends a process without notice to other instances and removes it from the
// platform's list.
func (f *Fleet) Kill(n *Node) {
	n.Alive = false
	delete(f.nodeByAddress, n.Member.PeerAddress)
	for i := range f.Nodes {
		if f.Nodes[i] == n {
			f.Nodes = append(f.Nodes[:i:i], f.Nodes[i+1:]...)
			break
		}
	}
	f.Store.setList(f.Bus.Now, f.instances())
}

// Leave makes a process announce to the other members that it is about to end. It
// goes on running.
func (f *Fleet) Leave(n *Node) {
	n.Leaving = true
	n.sendMembership(n.View.SetLeaving(f.Bus.Now))
}

// Pause suspends a process for d, as SIGSTOP would. Its ticks and the messages to
// it are handled when it resumes.
func (f *Fleet) Pause(n *Node, d time.Duration) { n.pausedUntil = f.Bus.Now.Add(d) }

// Partition cuts the network between locations for which group returns different
// numbers. It replaces an earlier partition. Locations without a node at this time
// are in group 0.
func (f *Fleet) Partition(group func(Location) int) {
	f.partitionGroup = map[Location]int{}
	for _, n := range f.Nodes {
		f.partitionGroup[n.Location] = group(n.Location)
	}
	f.partitionGroup[f.Store.Location] = group(f.Store.Location)
}

// Heal ends the partition.
func (f *Fleet) Heal() { f.partitionGroup = map[Location]int{} }

// instances returns the nodes as the platform lists them.
func (f *Fleet) instances() []platform.Instance {
	out := make([]platform.Instance, len(f.Nodes))
	for i, n := range f.Nodes {
		out[i] = platform.Instance{
			Name: n.Member.Name, AvailabilityZone: n.Member.AvailabilityZone, Address: n.Member.Address,
			PeerAddress: n.Member.PeerAddress, State: platform.InstanceLive,
		}
	}
	return out
}

// StateCounts returns how many nodes hold the named member to be in each state.
// A member that a node does not know counts as gone there.
func (f *Fleet) StateCounts(name string) map[membership.State]int {
	out := map[membership.State]int{}
	for _, n := range f.Nodes {
		out[n.View.State(name)]++
	}
	return out
}

// InForceEverywhere tells whether every node uses the given version of the
// configuration or a higher one.
func (f *Fleet) InForceEverywhere(version uint64) bool {
	for _, n := range f.Nodes {
		if n.InForceVersion < version {
			return false
		}
	}
	return true
}
