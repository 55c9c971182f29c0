package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/dissemination"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// RPCOverheadBytes is added to the size of the messages of each remote call. It
	// covers the frames and headers of HTTP/2 and the headers of TCP and IP for 5
	// segments, in both directions together.
	RPCOverheadBytes = 450
	// listReadPeriod is the time between two reads of the platform's list by a
	// watcher, or by a node that has not read it yet.
	listReadPeriod = 5 * time.Second
	// storeTimeout is how long a node waits for an answer of the store.
	storeTimeout = 2 * time.Second
)

// Traffic counts one node's remote calls.
type Traffic struct {
	// Calls counts the calls made and served. MadeBytes and ServedBytes are their
	// sizes on the wire, requests and answers together.
	Calls, MadeBytes, ServedBytes int64
	// ChangeBytes is the part of ServedBytes that spreads changes of the
	// configuration: hints, and pulls whose answer has a new version.
	ChangeBytes int64
}

// Extension is what a process runs in addition to membership and dissemination.
type Extension interface {
	// Apply puts a version of the configuration into use. Only after Apply has
	// returned does the version count as freshness evidence (see package freshness).
	Apply(version uint64)
	// OnTick runs the extension's timers and periodic work. It is called in each tick
	// of the node, after membership and dissemination have done theirs.
	OnTick()
}

// Node is one simulated process of an instance. It calls the packages that decide,
// and does what they ask for, as the server does in a real process.
type Node struct {
	Member        membership.Member // name, availability zone and addresses
	Location      Location
	View          *membership.View // states of the other members
	Dissemination *dissemination.Core
	Freshness     *freshness.Tracker
	Traffic       Traffic
	Alive         bool // until Kill
	Leaving       bool // Leave was called
	// InForceVersion is the version of the configuration that the process uses; 0
	// if it has none yet.
	InForceVersion uint64

	fleet        *Fleet
	extension    Extension // may be nil
	pausedUntil  time.Time
	viewVersion  uint64    // View.Version when Dissemination last got the members
	membersSetAt time.Time // when Dissemination last got the members
	nextListRead time.Time
}

func (f *Fleet) newNode(m membership.Member, location Location, seeds []string) *Node {
	now := f.Bus.Now
	n := &Node{Member: m, Location: location, Freshness: &freshness.Tracker{}, Alive: true, fleet: f, nextListRead: now}
	newRand := func() *rand.Rand { return rand.New(rand.NewPCG(f.Bus.Rand.Uint64(), 3)) }
	n.View = membership.New(membership.Options{
		Self: m, Incarnation: uint64(now.Sub(Start)/time.Second) + 1, Seeds: seeds, Rand: newRand(), Now: now,
		WithoutLocalHealth: f.Options.WithoutLocalHealth,
	})
	n.Dissemination = dissemination.New(dissemination.Options{
		Self: m, Tracker: n.Freshness, Invariants: &f.Invariants, Rand: newRand(), Now: now, Seeds: seeds,
		AsOfReceipt: f.Options.AsOfReceipt, LowerVersions: f.Options.LowerVersions,
	})
	if f.Options.NewExtension != nil {
		n.extension = f.Options.NewExtension(n)
	}
	f.Bus.After(time.Duration(f.Bus.Rand.Int64N(int64(f.Options.TickPeriod))), n.tick)
	return n
}

// whenRunning runs f in the process. If the process is paused, f runs once the pause
// has ended, otherwise at once. If the process has ended by then, f never runs.
func (n *Node) whenRunning(f func()) {
	switch now := n.fleet.Bus.Now; {
	case !n.Alive:
	case now.Before(n.pausedUntil):
		n.fleet.Bus.After(n.pausedUntil.Sub(now), func() { n.whenRunning(f) })
	default:
		f()
	}
}

// tick handles a tick and queues the next one.
func (n *Node) tick() {
	n.whenRunning(func() {
		n.handleTick()
		n.fleet.Bus.After(n.fleet.Options.TickPeriod, n.tick)
	})
}

// handleTick runs the timers of membership, dissemination and the extension.
func (n *Node) handleTick() {
	now := n.fleet.Bus.Now
	n.sendMembership(n.View.Tick(now))
	// Dissemination rearranges its tree for each new list of members, so it gets one
	// at most once a second.
	if n.View.Version() != n.viewVersion && now.Sub(n.membersSetAt) >= time.Second {
		n.viewVersion, n.membersSetAt = n.View.Version(), now
		n.Dissemination.SetMembers(n.View.Members())
	}
	if !now.Before(n.nextListRead) && (n.Dissemination.IsWatcher() || !n.View.PlatformListKnown()) {
		n.nextListRead = now.Add(listReadPeriod)
		n.fleet.readList(n)
	}
	n.tickDissemination()
	if n.extension != nil {
		n.extension.OnTick()
	}
	n.fleet.checkKeys(n)
}

// tickDissemination carries out the reads, pulls and hints that dissemination asks
// for.
func (n *Node) tickDissemination() {
	a := n.Dissemination.Tick(n.fleet.Bus.Now)
	if a.ReadStore {
		n.fleet.readStore(n)
	}
	for _, p := range a.Pulls {
		n.pull(p)
	}
	for _, address := range a.Hints {
		n.send(address, proto.Size(a.Hint), func(to *Node) {
			to.Traffic.ChangeBytes += int64(proto.Size(a.Hint) + RPCOverheadBytes)
			to.Dissemination.HintReceived(n.fleet.Bus.Now, a.Hint)
			to.tickDissemination()
		})
	}
}

// sendMembership sends messages of the membership protocol, and the replies to
// them.
func (n *Node) sendMembership(outputs []membership.OutgoingMessage) {
	for _, o := range outputs {
		n.send(o.PeerAddress, proto.Size(o.Message), func(to *Node) {
			to.sendMembership(to.View.HandleMessage(n.fleet.Bus.Now, o.Message))
		})
	}
}

// send sends a message of the given size in bytes to the process at a peer address
// and counts it as a call. f handles it there.
func (n *Node) send(address string, size int, f func(*Node)) {
	to := n.fleet.nodeByAddress[address]
	n.countCall(size+RPCOverheadBytes, 0)
	if to == nil {
		return
	}
	n.fleet.Bus.Send(n.Location, to.Location, func() {
		to.whenRunning(func() {
			to.countCall(0, size+RPCOverheadBytes)
			f(to)
		})
	})
}

// countCall counts a call made or served, with its size in bytes.
func (n *Node) countCall(made, served int) {
	n.Traffic.Calls++
	n.Traffic.MadeBytes += int64(made)
	n.Traffic.ServedBytes += int64(served)
}

// pull asks another node for what changed and passes on the answer, or the failure
// if there is none in time.
func (n *Node) pull(p dissemination.Pull) {
	bus := n.fleet.Bus
	n.send(p.PeerAddress, proto.Size(p.Request), func(to *Node) {
		answer := to.Dissemination.AnswerPull(bus.Now, p.Request)
		size := proto.Size(answer)
		to.Traffic.ServedBytes += int64(size)
		if answer.GetManifest() != nil {
			to.Traffic.ChangeBytes += int64(size + proto.Size(p.Request) + RPCOverheadBytes)
		}
		bus.Send(to.Location, n.Location, func() {
			n.whenRunning(func() {
				n.Traffic.MadeBytes += int64(size)
				n.Dissemination.PullAnswered(bus.Now, p.ID, answer)
				n.applyNewestRecord()
				n.tickDissemination()
			})
		})
	})
	bus.After(dissemination.PullTimeout, func() {
		n.whenRunning(func() { n.Dissemination.PullFailed(bus.Now, p.ID) })
	})
}

// applyNewestRecord puts the newest version whose chunks have all arrived in force,
// and checks that it is no lower than the one before.
func (n *Node) applyNewestRecord() {
	r := n.Dissemination.NewestRecord()
	if r.Version == n.InForceVersion {
		return
	}
	n.fleet.check(r.Version > n.InForceVersion, "%s went back from version %d to %d", n.Member.Name, n.InForceVersion, r.Version)
	for _, h := range r.Hashes {
		n.fleet.check(r.Chunks[h] != nil, "%s lacks a chunk of the version in force, %d", n.Member.Name, r.Version)
	}
	n.InForceVersion = r.Version
	if n.extension != nil {
		n.extension.Apply(r.Version)
	}
	n.Dissemination.SetInForce(r.Version)
}

// check adds a violation unless ok is true.
func (f *Fleet) check(ok bool, format string, args ...any) {
	if !ok && len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf("%s: ", f.Bus.Now.Sub(Start))+fmt.Sprintf(format, args...))
	}
}

// checkKeys checks that a node whose evidence is young enough to accept keys has
// every version that was accepted more than KeyFreshness ago. So it knows every
// withdrawal of a key that is older than that.
func (f *Fleet) checkKeys(n *Node) {
	now := f.Bus.Now
	fresh := n.Freshness.Fresh(now, KeyFreshness)
	if f.onKeyCheck != nil {
		f.onKeyCheck(n, fresh)
	}
	if fresh {
		due := f.Store.newestAcceptedBefore(now.Add(-KeyFreshness))
		f.check(n.InForceVersion >= due, "%s accepts keys by version %d although version %d was accepted more than %s ago", n.Member.Name, n.InForceVersion, due, KeyFreshness)
	}
}

// readStore reads the configuration record and the seat tables for a node. The read
// counts as failed if no answer arrives within storeTimeout.
func (f *Fleet) readStore(n *Node) {
	sent := f.Bus.Now
	answered := false
	f.callStore(n, func() func() {
		f.Store.Reads++
		record := f.Store.newestRecord()
		var tables []*peerpb.SeatTable
		if f.Store.SeatTables != nil {
			tables = f.Store.SeatTables()
		}
		return func() {
			if answered {
				return
			}
			answered = true
			if record.Version <= n.Dissemination.NewestRecord().Version {
				record = nil
			}
			n.Dissemination.StoreReadAnswered(sent, record, tables)
			n.applyNewestRecord()
			n.tickDissemination()
		}
	})
	f.Bus.After(storeTimeout, func() {
		n.whenRunning(func() {
			if !answered {
				answered = true
				n.Dissemination.StoreReadFailed()
			}
		})
	})
}

// readList reads the platform's list of instances for a node. A lost answer has no
// consequence: the node reads again later.
func (f *Fleet) readList(n *Node) {
	f.callStore(n, func() func() {
		f.Store.ListReads++
		list := f.Store.listAt(f.Bus.Now)
		return func() { n.View.ApplyPlatformList(f.Bus.Now, list) }
	})
}

// callStore sends a call to the store. read runs when it arrives there, and the
// function that read returns runs in the node when the answer arrives.
func (f *Fleet) callStore(n *Node, read func() func()) {
	f.Bus.Send(n.Location, f.Store.Location, func() {
		if f.Store.Down {
			return
		}
		answer := read()
		if f.Store.AnswerLoss > 0 && f.Bus.Rand.Float64() < f.Store.AnswerLoss {
			return
		}
		f.Bus.Send(f.Store.Location, n.Location, func() { n.whenRunning(answer) })
	})
}
