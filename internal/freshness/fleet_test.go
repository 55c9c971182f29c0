package freshness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	fleetSize  = 6
	fleetStep  = 100 * time.Millisecond
	fleetBound = 2 * time.Second
	fleetSteps = 1500
	fleetSeeds = 60
)

// fault is a deliberate error in the use of the rules.
type fault int

const (
	noFault fault = iota
	forgetsUnknownWrites
	forgetsOwnWrites
	unlistedWrites
	writesAfterRetiring
	comparesPullAnswerTime
)

// fleet is a handful of instances around one store record, in virtual time.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	fault     fault
	storeDown bool
	// delayed are writes that reach the store later than their caller waits.
	delayed  []delayedWrite
	accepted []time.Duration // moment of each revision, from revision 1
	writers  []WriterID
	nodes    []*node
}

type delayedWrite struct {
	at      time.Duration
	base    uint64
	writers []WriterID
}

type node struct {
	tracker  Tracker
	clock    time.Time // local clock at virtual time 0
	held     uint64
	writers  []WriterID
	group    int
	storeCut bool
	paused   time.Duration // end of the pause
	gone     bool
}

func newFleet(seed uint64, f fault) *fleet {
	fl := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), fault: f}
	for i := range fleetSize {
		n := &node{clock: time.Unix(int64(1e6*i+1), 0)}
		n.tracker.LocalWriter.ID = WriterID{fmt.Sprint(i), 1}
		fl.nodes = append(fl.nodes, n)
	}
	fl.writers = []WriterID{fl.nodes[0].tracker.LocalWriter.ID, fl.nodes[1].tracker.LocalWriter.ID}
	fl.accepted = []time.Duration{0}
	return fl
}

func (fl *fleet) local(n *node, at time.Duration) time.Time { return n.clock.Add(at) }

func (fl *fleet) hold(n *node, revision uint64, writers []WriterID) {
	if revision > n.held {
		n.held, n.writers = revision, writers
		n.tracker.RecordHeld(Versions{Config: revision})
		n.tracker.SetWriters(writers)
	}
}

func (fl *fleet) revision() uint64 { return uint64(len(fl.accepted)) }

// cas applies a write and tells whether it took effect.
func (fl *fleet) cas(base uint64, writers []WriterID) bool {
	if base != fl.revision() {
		return false
	}
	fl.accepted = append(fl.accepted, fl.now)
	if writers != nil {
		fl.writers = writers
	}
	return true
}

func (fl *fleet) read(n *node) {
	if fl.storeDown || n.storeCut {
		return
	}
	sent := fl.local(n, fl.now)
	fl.hold(n, fl.revision(), fl.writers)
	n.tracker.Observe(sent, Versions{Config: fl.revision()})
}

// write tries a change on top of what the instance holds.
func (fl *fleet) write(n *node) {
	if n.storeCut || n.held == 0 || (!n.tracker.Listed(n.tracker.LocalWriter.ID) && fl.fault != unlistedWrites) {
		return
	}
	retired := n.tracker.LocalWriter.retired
	if retired && fl.fault == writesAfterRetiring {
		n.tracker.LocalWriter.retired = false
	}
	err := n.tracker.LocalWriter.BeginConfigWrite()
	n.tracker.LocalWriter.retired = retired
	if err != nil {
		return
	}
	fl.finish(n, n.held, fl.nextWriters(n))
}

// takeOver lists an instance once every listed writer's process has ended.
func (fl *fleet) takeOver(n *node) {
	if n.storeCut || fl.storeDown || n.held != fl.revision() {
		return
	}
	for _, w := range n.writers {
		for _, other := range fl.nodes {
			if other.tracker.LocalWriter.ID == w {
				return
			}
		}
	}
	if n.tracker.LocalWriter.BeginConfigWrite() == nil {
		fl.finish(n, n.held, []WriterID{n.tracker.LocalWriter.ID})
	}
}

func (fl *fleet) finish(n *node, base uint64, writers []WriterID) {
	outcome := OutcomeRejected
	switch lost := fl.rng.IntN(3) == 0; {
	case fl.storeDown || (lost && fl.rng.IntN(2) == 0):
		delay := time.Duration(fl.rng.IntN(80)) * fleetStep
		fl.delayed = append(fl.delayed, delayedWrite{fl.now + delay, base, writers})
		outcome = OutcomeUnknown
	case fl.cas(base, writers):
		outcome = OutcomeAccepted
		if lost {
			outcome = OutcomeUnknown
		}
	}
	if fl.fault == forgetsUnknownWrites && outcome == OutcomeUnknown {
		outcome = OutcomeRejected
	}
	if fl.fault == forgetsOwnWrites && outcome == OutcomeAccepted {
		outcome = OutcomeRejected
	}
	n.tracker.LocalWriter.EndConfigWrite(base, outcome)
}

// nextWriters sometimes lists other writers, always those of live instances.
func (fl *fleet) nextWriters(n *node) []WriterID {
	if fl.fault == unlistedWrites && !n.tracker.Listed(n.tracker.LocalWriter.ID) {
		return []WriterID{n.tracker.LocalWriter.ID}
	}
	if fl.rng.IntN(3) > 0 {
		return nil
	}
	a, b := fl.rng.IntN(fleetSize), fl.rng.IntN(fleetSize)
	out := []WriterID{fl.nodes[a].tracker.LocalWriter.ID}
	if b != a {
		out = append(out, fl.nodes[b].tracker.LocalWriter.ID)
	}
	return out
}

// pull merges a peer's answer, which takes some steps to arrive.
func (fl *fleet) pull(n, from *node) {
	if from.group != n.group || from.gone || fl.now < from.paused {
		return
	}
	fl.hold(n, from.held, from.writers)
	sent := fl.local(n, fl.now-time.Duration(fl.rng.IntN(5))*fleetStep)
	if fl.fault == comparesPullAnswerTime {
		sent = fl.local(n, fl.now+time.Second)
	}
	n.tracker.Merge(sent, from.tracker.Evidence(fl.local(from, fl.now)))
}

func (fl *fleet) step() {
	fl.now += fleetStep
	fl.delayed = slices.DeleteFunc(fl.delayed, func(d delayedWrite) bool {
		if d.at <= fl.now {
			fl.cas(d.base, d.writers)
		}
		return d.at <= fl.now
	})
	fl.disturb()
	for _, n := range fl.nodes {
		if n.gone || fl.now < n.paused {
			continue
		}
		switch fl.rng.IntN(10) {
		case 0:
			fl.read(n)
		case 1, 2, 3, 4, 5:
			fl.pull(n, fl.nodes[fl.rng.IntN(fleetSize)])
		case 7:
			fl.takeOver(n)
		case 6:
			if fl.rng.IntN(10) == 0 {
				fl.write(n)
			}
		}
	}
}

// disturb brings about outages, partitions, pauses and departures.
func (fl *fleet) disturb() {
	n := fl.nodes[fl.rng.IntN(fleetSize)]
	switch fl.rng.IntN(300) {
	case 0, 1, 2:
		fl.storeDown = !fl.storeDown
	case 3, 4, 5, 6:
		n.group = fl.rng.IntN(2)
		n.storeCut = fl.rng.IntN(2) == 0
	case 7, 8:
		n.paused = fl.now + time.Duration(fl.rng.IntN(60))*fleetStep
	case 9, 10, 11, 12:
		for _, other := range fl.nodes {
			other.group, other.storeCut = 0, false
		}
	case 13:
		n.tracker.LocalWriter.Retire()
	case 14:
		fl.restart(n)
	}
}

func (fl *fleet) restart(n *node) {
	id := n.tracker.LocalWriter.ID
	id.Incarnation++
	n.tracker = Tracker{LocalWriter: LocalWriter{ID: id}}
	n.held, n.writers = 0, nil
}

// stale returns an instance that trusts what it holds although a change was
// accepted longer ago than the bound.
func (fl *fleet) stale() string {
	for i, n := range fl.nodes {
		if fl.now < n.paused || n.gone || !n.tracker.Fresh(fl.local(n, fl.now), fleetBound) {
			continue
		}
		if n.held < fl.revision() && fl.accepted[n.held] < fl.now-fleetBound {
			return fmt.Sprintf("at %s instance %d holds %d of %d, accepted at %s", fl.now, i, n.held, fl.revision(), fl.accepted[n.held])
		}
	}
	return ""
}

// run returns the first violation and how many node-steps were fresh while the
// store was down for longer than the bound.
func (fl *fleet) run() (string, int) {
	down, fresh := time.Duration(0), 0
	for range fleetSteps {
		fl.step()
		down += fleetStep
		if !fl.storeDown {
			down = 0
		}
		if s := fl.stale(); s != "" {
			return s, fresh
		}
		for _, n := range fl.nodes {
			if down > 2*fleetBound && n.tracker.Fresh(fl.local(n, fl.now), fleetBound) {
				fresh++
			}
		}
	}
	return "", fresh
}

func TestFreshInstancesMissNoChange(t *testing.T) {
	total := 0
	for seed := range uint64(fleetSeeds) {
		violation, fresh := newFleet(seed, noFault).run()
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		total += fresh
	}
	if total == 0 {
		t.Fatal("vouchers never carried freshness through an outage")
	}
	t.Logf("fresh during outages: %d instance-steps", total)
}

// Each fault breaks a rule that the proof needs, so the same runs must show it.
func TestBrokenRulesAreDetected(t *testing.T) {
	faults := map[string]fault{
		"unknown writes forgotten": forgetsUnknownWrites,
		"own writes forgotten":     forgetsOwnWrites,
		"unlisted instances write": unlistedWrites,
		"writes after final":       writesAfterRetiring,
		"age counted from answer":  comparesPullAnswerTime,
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(fleetSeeds) {
				if violation, _ := newFleet(seed, f).run(); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed shows the fault")
		})
	}
}
