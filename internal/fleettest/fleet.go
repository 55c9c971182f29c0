package fleettest

import (
	"fmt"
	"time"

	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// KeyFreshness is the bound on the age of the evidence behind trust in a key.
const KeyFreshness = 5 * time.Second

const maxViolations = 20

// Options set up a fleet.
type Options struct {
	Size, Zones, Regions int
	Seed                 uint64
	Faults               Faults
	// TickPeriod is how often each process looks at its timers.
	TickPeriod time.Duration
	// ListLag is how far the platform's list is behind.
	ListLag time.Duration
	// Chunks and ChunkBytes are the shape of the configuration record.
	Chunks, ChunkBytes int
	// NewExtension, if set, returns what each new process runs besides.
	NewExtension func(*Node) Extension
	// Deliberately broken variants, see the options of the cores.
	WithoutLocalHealth, AsOfReceipt, LowerVersions bool
}

// Fleet is a set of processes, their network and their platform.
type Fleet struct {
	Options    Options
	Bus        *Bus
	Store      *Store
	Nodes      []*Node
	Invariants invariant.Recorder
	// Violations are the guarantees that were broken, with their moment.
	Violations []string

	nodeByAddress  map[string]*Node
	partitionGroup map[Location]int // sites of different groups cannot reach each other
	onKeyCheck     func(n *Node, fresh bool)
	addressCount   int
}

// New returns a fleet whose processes all start now.
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

// Start starts a new process and enters it in the platform's list.
func (f *Fleet) Start(name string, location Location, seeds ...string) *Node {
	n := f.start(name, location, seeds)
	f.Store.setList(f.Bus.Now, f.instances())
	return n
}

// Kill ends a process without a word.
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

// Leave lets a process announce that it leaves.
func (f *Fleet) Leave(n *Node) {
	n.Leaving = true
	n.sendMembership(n.View.SetLeaving(f.Bus.Now))
}

// Pause stops a process for a time; messages to it wait.
func (f *Fleet) Pause(n *Node, d time.Duration) { n.pausedUntil = f.Bus.Now.Add(d) }

// Partition puts sites into groups that cannot reach each other. Sites that
// are not named, are in group 0.
func (f *Fleet) Partition(group func(Location) int) {
	f.partitionGroup = map[Location]int{}
	for _, n := range f.Nodes {
		f.partitionGroup[n.Location] = group(n.Location)
	}
	f.partitionGroup[f.Store.Location] = group(f.Store.Location)
}

// Heal ends all partitions.
func (f *Fleet) Heal() { f.partitionGroup = map[Location]int{} }

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

// StateCounts counts how many living processes hold each state of a member;
// unknown and forgotten members count as gone.
func (f *Fleet) StateCounts(name string) map[membership.State]int {
	out := map[membership.State]int{}
	for _, n := range f.Nodes {
		out[n.View.State(name)]++
	}
	return out
}

// InForceEverywhere tells whether all living processes have a version, or a
// higher one, in force.
func (f *Fleet) InForceEverywhere(version uint64) bool {
	for _, n := range f.Nodes {
		if n.InForceVersion < version {
			return false
		}
	}
	return true
}
