package freshness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	fleetSize  = 6 // instances
	fleetStep  = 100 * time.Millisecond
	fleetBound = 2 * time.Second // largest age of evidence
	fleetSteps = 1500
	fleetSeeds = 60
)

// brokenRule is a rule of the package that a simulated fleet breaks on purpose.
type brokenRule int

const (
	allRulesKept brokenRule = iota
	// forgetsUnknownWrites treats writes of unknown outcome as rejected.
	forgetsUnknownWrites
	// forgetsOwnWrites treats accepted writes as rejected.
	forgetsOwnWrites
	// unlistedWrites lets writers write that the record does not list.
	unlistedWrites
	// writesAfterRetiring lets writers write after their final voucher.
	writesAfterRetiring
	// countsAgeFromAnswer counts the age of a peer's evidence from the arrival of
	// the answer instead of from the sending of the pull.
	countsAgeFromAnswer
)

// fleet simulates a few instances and one configuration record in the store, in
// virtual time.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	brokenRule brokenRule
	storeDown  bool
	// delayedWrites reach the store after their callers have stopped waiting.
	delayedWrites []delayedWrite
	acceptedAt    []time.Duration // virtual time of each revision, from revision 1
	writers       []WriterID      // listed in the newest revision
	nodes         []*node
}

// delayedWrite is a write on top of a base revision that is still on its way.
type delayedWrite struct {
	arrives time.Duration // virtual time
	base    uint64
	writers []WriterID // new list, or nil to keep the old one
}

// node is one instance.
type node struct {
	tracker          Tracker
	clockStart       time.Time  // local clock at virtual time 0
	held             uint64     // revision in force
	writers          []WriterID // listed in it
	partition        int        // only instances in the same partition reach each other
	storeUnreachable bool
	pausedUntil      time.Duration // virtual time
	gone             bool
}

func newFleet(seed uint64, rule brokenRule) *fleet {
	fl := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), brokenRule: rule}
	for i := range fleetSize {
		n := &node{clockStart: time.Unix(int64(1e6*i+1), 0)}
		n.tracker.LocalWriter.ID = WriterID{fmt.Sprint(i), 1}
		fl.nodes = append(fl.nodes, n)
	}
	fl.writers = []WriterID{fl.nodes[0].tracker.LocalWriter.ID, fl.nodes[1].tracker.LocalWriter.ID}
	fl.acceptedAt = []time.Duration{0}
	return fl
}

// localTime returns an instance's clock at a virtual time.
func (fl *fleet) localTime(n *node, at time.Duration) time.Time { return n.clockStart.Add(at) }

// adopt puts a revision in force at an instance unless it has a newer one.
func (fl *fleet) adopt(n *node, revision uint64, writers []WriterID) {
	if revision > n.held {
		n.held, n.writers = revision, writers
		n.tracker.RecordInForce(Versions{Config: revision})
		n.tracker.SetWriters(writers)
	}
}

func (fl *fleet) revision() uint64 { return uint64(len(fl.acceptedAt)) }

// compareAndSwap applies a write to the store and tells whether it took effect.
func (fl *fleet) compareAndSwap(base uint64, writers []WriterID) bool {
	if base != fl.revision() {
		return false
	}
	fl.acceptedAt = append(fl.acceptedAt, fl.now)
	if writers != nil {
		fl.writers = writers
	}
	return true
}

// read lets an instance read the store.
func (fl *fleet) read(n *node) {
	if fl.storeDown || n.storeUnreachable {
		return
	}
	sent := fl.localTime(n, fl.now)
	fl.adopt(n, fl.revision(), fl.writers)
	n.tracker.Observe(sent, Versions{Config: fl.revision()})
}

// write lets an instance write on top of the revision that it has in force.
func (fl *fleet) write(n *node) {
	if n.storeUnreachable || n.held == 0 || (!n.tracker.Listed(n.tracker.LocalWriter.ID) && fl.brokenRule != unlistedWrites) {
		return
	}
	retired := n.tracker.LocalWriter.retired
	if retired && fl.brokenRule == writesAfterRetiring {
		n.tracker.LocalWriter.retired = false
	}
	err := n.tracker.LocalWriter.BeginConfigWrite()
	n.tracker.LocalWriter.retired = retired
	if err != nil {
		return
	}
	fl.completeWrite(n, n.held, fl.nextWriters(n))
}

// takeOver lists an instance as the writer if no listed process exists any more.
func (fl *fleet) takeOver(n *node) {
	if n.storeUnreachable || fl.storeDown || n.held != fl.revision() {
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
		fl.completeWrite(n, n.held, []WriterID{n.tracker.LocalWriter.ID})
	}
}

// completeWrite sends a write to the store and records its outcome. At random the
// answer is lost or the write is delayed, so that the outcome is unknown.
func (fl *fleet) completeWrite(n *node, base uint64, writers []WriterID) {
	outcome := OutcomeRejected
	switch answerLost := fl.rng.IntN(3) == 0; {
	case fl.storeDown || (answerLost && fl.rng.IntN(2) == 0):
		delay := time.Duration(fl.rng.IntN(80)) * fleetStep
		fl.delayedWrites = append(fl.delayedWrites, delayedWrite{fl.now + delay, base, writers})
		outcome = OutcomeUnknown
	case fl.compareAndSwap(base, writers):
		outcome = OutcomeAccepted
		if answerLost {
			outcome = OutcomeUnknown
		}
	}
	if fl.brokenRule == forgetsUnknownWrites && outcome == OutcomeUnknown {
		outcome = OutcomeRejected
	}
	if fl.brokenRule == forgetsOwnWrites && outcome == OutcomeAccepted {
		outcome = OutcomeRejected
	}
	n.tracker.LocalWriter.EndConfigWrite(base, outcome)
}

// nextWriters returns a new list of writers, always of present processes, or nil
// to keep the old one.
func (fl *fleet) nextWriters(n *node) []WriterID {
	if fl.brokenRule == unlistedWrites && !n.tracker.Listed(n.tracker.LocalWriter.ID) {
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

// pull lets an instance merge a peer's answer. The pull was sent up to four steps
// ago.
func (fl *fleet) pull(n, from *node) {
	if from.partition != n.partition || from.gone || fl.now < from.pausedUntil {
		return
	}
	fl.adopt(n, from.held, from.writers)
	sent := fl.localTime(n, fl.now-time.Duration(fl.rng.IntN(5))*fleetStep)
	if fl.brokenRule == countsAgeFromAnswer {
		sent = fl.localTime(n, fl.now+time.Second)
	}
	n.tracker.Merge(sent, from.tracker.Evidence(fl.localTime(from, fl.now)))
}

// step moves virtual time forward and lets each instance do something at random.
func (fl *fleet) step() {
	fl.now += fleetStep
	fl.delayedWrites = slices.DeleteFunc(fl.delayedWrites, func(d delayedWrite) bool {
		if d.arrives <= fl.now {
			fl.compareAndSwap(d.base, d.writers)
		}
		return d.arrives <= fl.now
	})
	fl.injectFault()
	for _, n := range fl.nodes {
		if n.gone || fl.now < n.pausedUntil {
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

// injectFault draws outages of the store, partitions, pauses, retirements and
// restarts.
func (fl *fleet) injectFault() {
	n := fl.nodes[fl.rng.IntN(fleetSize)]
	switch fl.rng.IntN(300) {
	case 0, 1, 2:
		fl.storeDown = !fl.storeDown
	case 3, 4, 5, 6:
		n.partition = fl.rng.IntN(2)
		n.storeUnreachable = fl.rng.IntN(2) == 0
	case 7, 8:
		n.pausedUntil = fl.now + time.Duration(fl.rng.IntN(60))*fleetStep
	case 9, 10, 11, 12:
		for _, other := range fl.nodes {
			other.partition, other.storeUnreachable = 0, false
		}
	case 13:
		n.tracker.LocalWriter.Retire()
	case 14:
		fl.restart(n)
	}
}

// restart replaces an instance's process by a new one that knows nothing.
func (fl *fleet) restart(n *node) {
	id := n.tracker.LocalWriter.ID
	id.Incarnation++
	n.tracker = Tracker{LocalWriter: LocalWriter{ID: id}}
	n.held, n.writers = 0, nil
}

// findStale returns a message if an instance counts as fresh although it lacks a
// change that was accepted longer ago than the bound, or "".
func (fl *fleet) findStale() string {
	for i, n := range fl.nodes {
		if fl.now < n.pausedUntil || n.gone || !n.tracker.Fresh(fl.localTime(n, fl.now), fleetBound) {
			continue
		}
		if n.held < fl.revision() && fl.acceptedAt[n.held] < fl.now-fleetBound {
			return fmt.Sprintf("at %s instance %d is fresh with revision %d of %d, but the next one was accepted at %s", fl.now, i, n.held, fl.revision(), fl.acceptedAt[n.held])
		}
	}
	return ""
}

// run returns the first violation, or "". It also counts the fresh instances, once
// in each step, while the store has been down for more than twice the bound.
func (fl *fleet) run() (string, int) {
	downFor, freshSteps := time.Duration(0), 0
	for range fleetSteps {
		fl.step()
		downFor += fleetStep
		if !fl.storeDown {
			downFor = 0
		}
		if s := fl.findStale(); s != "" {
			return s, freshSteps
		}
		for _, n := range fl.nodes {
			if downFor > 2*fleetBound && n.tracker.Fresh(fl.localTime(n, fl.now), fleetBound) {
				freshSteps++
			}
		}
	}
	return "", freshSteps
}

// TestFreshInstancesMissNoChange checks that no instance counts as fresh while it
// lacks a change accepted longer ago than the bound, and that vouchers keep
// instances fresh while the store is down.
func TestFreshInstancesMissNoChange(t *testing.T) {
	totalFreshSteps := 0
	for seed := range uint64(fleetSeeds) {
		violation, freshSteps := newFleet(seed, allRulesKept).run()
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		totalFreshSteps += freshSteps
	}
	if totalFreshSteps == 0 {
		t.Fatal("vouchers never kept an instance fresh while the store was down")
	}
	t.Logf("fresh instances, summed over the steps with the store down: %d", totalFreshSteps)
}

// TestBrokenRulesAreDetected shows that TestFreshInstancesMissNoChange detects
// violations: each variant breaks one rule, and some seed must show it.
func TestBrokenRulesAreDetected(t *testing.T) {
	rules := map[string]brokenRule{
		"unknown writes forgotten":       forgetsUnknownWrites,
		"own writes forgotten":           forgetsOwnWrites,
		"unlisted instances write":       unlistedWrites,
		"writes after the final voucher": writesAfterRetiring,
		"age counted from answer":        countsAgeFromAnswer,
	}
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(fleetSeeds) {
				if violation, _ := newFleet(seed, rule).run(); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed shows a violation")
		})
	}
}
