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
type brokenRule int

const (
	allRulesKept brokenRule = iota
	forgetsUnknownWrites
	forgetsOwnWrites
	unlistedWrites
	writesAfterRetiring
	countsAgeFromAnswer
)

// fleet is a handful of instances around one store record, in virtual time.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	brokenRule brokenRule
	storeDown  bool
	// delayed are writes that reach the store later than their caller waits.
	delayedWrites []delayedWrite
	acceptedAt    []time.Duration // moment of each revision, from revision 1
	writers       []WriterID
	nodes         []*node
}

type delayedWrite struct {
	arrives time.Duration
	base    uint64
	writers []WriterID
}

type node struct {
	tracker          Tracker
	clockStart       time.Time // local clock at virtual time 0
	held             uint64
	writers          []WriterID
	partition        int
	storeUnreachable bool
	pausedUntil      time.Duration // end of the pause
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

func (fl *fleet) localTime(n *node, at time.Duration) time.Time { return n.clockStart.Add(at) }

func (fl *fleet) adopt(n *node, revision uint64, writers []WriterID) {
	if revision > n.held {
		n.held, n.writers = revision, writers
		n.tracker.RecordHeld(Versions{Config: revision})
		n.tracker.SetWriters(writers)
	}
}

func (fl *fleet) revision() uint64 { return uint64(len(fl.acceptedAt)) }

// cas applies a write and tells whether it took effect.
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

func (fl *fleet) read(n *node) {
	if fl.storeDown || n.storeUnreachable {
		return
	}
	sent := fl.localTime(n, fl.now)
	fl.adopt(n, fl.revision(), fl.writers)
	n.tracker.Observe(sent, Versions{Config: fl.revision()})
}

// write tries a change on top of what the instance holds.
func (fl *fleet) write(n *node) {
	if n.storeUnreachable || n.held == 0 || (!n.tracker.Listed(n.tracker.LocalWriter.ID) && fl.brokenRule != unlistedWrites) {
		return
	}
	wasRetired := n.tracker.LocalWriter.retired
	if wasRetired && fl.brokenRule == writesAfterRetiring {
		n.tracker.LocalWriter.retired = false
	}
	err := n.tracker.LocalWriter.BeginConfigWrite()
	n.tracker.LocalWriter.retired = wasRetired
	if err != nil {
		return
	}
	fl.completeWrite(n, n.held, fl.nextWriters(n))
}

// takeOver lists an instance once every listed writer's process has ended.
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

// nextWriters sometimes lists other writers, always those of live instances.
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

// pull merges a peer's answer, which takes some steps to arrive.
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

// disturb brings about outages, partitions, pauses and departures.
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

func (fl *fleet) restart(n *node) {
	id := n.tracker.LocalWriter.ID
	id.Incarnation++
	n.tracker = Tracker{LocalWriter: LocalWriter{ID: id}}
	n.held, n.writers = 0, nil
}

// stale returns an instance that trusts what it holds although a change was
// accepted longer ago than the bound.
func (fl *fleet) findStale() string {
	for i, n := range fl.nodes {
		if fl.now < n.pausedUntil || n.gone || !n.tracker.Fresh(fl.localTime(n, fl.now), fleetBound) {
			continue
		}
		if n.held < fl.revision() && fl.acceptedAt[n.held] < fl.now-fleetBound {
			return fmt.Sprintf("at %s instance %d holds %d of %d, accepted at %s", fl.now, i, n.held, fl.revision(), fl.acceptedAt[n.held])
		}
	}
	return ""
}

// run returns the first violation and how many node-steps were fresh while the
// store was down for longer than the bound.
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
		t.Fatal("vouchers never carried freshness through an outage")
	}
	t.Logf("fresh during outages: %d instance-steps", totalFreshSteps)
}

// Each fault breaks a rule that the proof needs, so the same runs must show it.
func TestBrokenRulesAreDetected(t *testing.T) {
	rules := map[string]brokenRule{
		"unknown writes forgotten": forgetsUnknownWrites,
		"own writes forgotten":     forgetsOwnWrites,
		"unlisted instances write": unlistedWrites,
		"writes after final":       writesAfterRetiring,
		"age counted from answer":  countsAgeFromAnswer,
	}
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(fleetSeeds) {
				if violation, _ := newFleet(seed, rule).run(); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed shows the fault")
		})
	}
}
