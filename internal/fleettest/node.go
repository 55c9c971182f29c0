package fleettest

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
	// RPCOverheadBytes is added to the messages of each remote call: frames and
	// headers of HTTP/2, and TCP and IP for 5 segments, in both directions
	// together.
	RPCOverheadBytes = 450
	listReadPeriod   = 5 * time.Second
	storeTimeout     = 2 * time.Second
)

// Traffic counts the remote calls that one instance made and served, and their
// bytes on the wire in both directions.
type Traffic struct {
	Calls, MadeBytes, ServedBytes int64
	// ChangeBytes is the part of Served that brings changes of the configuration.
	ChangeBytes int64
}

// Extension is what a process runs besides the cores of its Node.
type Extension interface {
	// Apply takes over a version that comes in force, before it counts as
	// evidence.
	Apply(version uint64)
	// Tick does what is due; it is called at each look at the timers.
	Tick()
}

// Node is one process of the fleet: its cores and what a shell keeps.
type Node struct {
	Member        membership.Member
	Location      Location
	View          *membership.View
	Dissemination *dissemination.Core
	Freshness     *freshness.Tracker
	Traffic       Traffic
	Alive         bool
	Leaving       bool
	// InForceVersion is the version in force.
	InForceVersion uint64

	fleet        *Fleet
	extension    Extension // may be nil
	pausedUntil  time.Time
	viewVersion  uint64
	membersSetAt time.Time
	nextListRead time.Time
}

func (f *Fleet) newNode(m membership.Member, location Location, seeds []string) *Node {
	now := f.Bus.Now
	n := &Node{Member: m, Location: location, Freshness: &freshness.Tracker{}, Alive: true, fleet: f, nextListRead: now}
	source := func() *rand.Rand { return rand.New(rand.NewPCG(f.Bus.Rand.Uint64(), 3)) }
	n.View = membership.New(membership.Options{
		Self: m, Incarnation: uint64(now.Sub(Start)/time.Second) + 1, Seeds: seeds, Rand: source(), Now: now,
		WithoutLocalHealth: f.Options.WithoutLocalHealth,
	})
	n.Dissemination = dissemination.New(dissemination.Options{
		Self: m, Tracker: n.Freshness, Invariants: &f.Invariants, Rand: source(), Now: now, Seeds: seeds,
		AsOfReceipt: f.Options.AsOfReceipt, LowerVersions: f.Options.LowerVersions,
	})
	if f.Options.NewExtension != nil {
		n.extension = f.Options.NewExtension(n)
	}
	f.Bus.After(time.Duration(f.Bus.Rand.Int64N(int64(f.Options.TickPeriod))), n.tick)
	return n
}

// at runs f in the process, later if it is paused, never if it has ended.
func (n *Node) whenRunning(f func()) {
	switch now := n.fleet.Bus.Now; {
	case !n.Alive:
	case now.Before(n.pausedUntil):
		n.fleet.Bus.After(n.pausedUntil.Sub(now), func() { n.whenRunning(f) })
	default:
		f()
	}
}

func (n *Node) tick() {
	n.whenRunning(func() {
		n.handleTick()
		n.fleet.Bus.After(n.fleet.Options.TickPeriod, n.tick)
	})
}

func (n *Node) handleTick() {
	now := n.fleet.Bus.Now
	n.sendMembership(n.View.Tick(now))
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
		n.extension.Tick()
	}
	n.fleet.checkKeys(n)
}

// act carries out what the dissemination core asks for.
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

func (n *Node) sendMembership(outputs []membership.OutgoingMessage) {
	for _, o := range outputs {
		n.send(o.PeerAddress, proto.Size(o.Message), func(to *Node) {
			to.sendMembership(to.View.HandleMessage(n.fleet.Bus.Now, o.Message))
		})
	}
}

// send counts a message and hands it to the process at an address.
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

func (n *Node) countCall(made, served int) {
	n.Traffic.Calls++
	n.Traffic.MadeBytes += int64(made)
	n.Traffic.ServedBytes += int64(served)
}

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

// apply puts the newest whole record in force.
func (n *Node) applyNewestRecord() {
	r := n.Dissemination.NewestRecord()
	if r.Version == n.InForceVersion {
		return
	}
	n.fleet.check(r.Version > n.InForceVersion, "%s went from version %d to %d", n.Member.Name, n.InForceVersion, r.Version)
	for _, h := range r.Hashes {
		n.fleet.check(r.Chunks[h] != nil, "%s lacks a chunk of version %d", n.Member.Name, r.Version)
	}
	n.InForceVersion = r.Version
	if n.extension != nil {
		n.extension.Apply(r.Version)
	}
	n.Dissemination.SetInForce(r.Version)
}

func (f *Fleet) check(ok bool, format string, args ...any) {
	if !ok && len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf("%s: ", f.Bus.Now.Sub(Start))+fmt.Sprintf(format, args...))
	}
}

// checkKeys asserts that an instance that would trust its keys now knows every
// withdrawal older than the bound.
func (f *Fleet) checkKeys(n *Node) {
	now := f.Bus.Now
	fresh := n.Freshness.Fresh(now, KeyFreshness)
	if f.onKeyCheck != nil {
		f.onKeyCheck(n, fresh)
	}
	if fresh {
		due := f.Store.newestAcceptedBefore(now.Add(-KeyFreshness))
		f.check(n.InForceVersion >= due, "%s trusts keys of version %d although %d was accepted over %s ago", n.Member.Name, n.InForceVersion, due, KeyFreshness)
	}
}

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

func (f *Fleet) readList(n *Node) {
	f.callStore(n, func() func() {
		f.Store.ListReads++
		list := f.Store.listAt(f.Bus.Now)
		return func() { n.View.ApplyPlatformList(f.Bus.Now, list) }
	})
}

// askStore sends a call to the store and runs what read returns with the
// answer.
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
