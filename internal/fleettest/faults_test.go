package fleettest

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/membership"
)

// maxInForceDelay is the longest time that a change may take to be in force at every
// instance.
const maxInForceDelay = 18 * time.Second

// smallOptions describe a fleet that is large enough for every mechanism and small
// enough to run many times.
func smallOptions(seed uint64) Options {
	return Options{
		Size: 36, Zones: 6, Regions: 3, Seed: seed, ListLag: 10 * time.Second, Chunks: 8, ChunkBytes: 64,
		Faults: Faults{Loss: 0.05, Duplicate: 0.02, Jitter: 10 * time.Millisecond},
	}
}

// startedFleet returns a fleet in which every node has a configuration and takes
// every other as live.
func startedFleet(t interface{ Fatalf(string, ...any) }, o Options) *Fleet {
	f := New(o)
	if _, ok := f.Bus.RunUntil(time.Minute, pollStep, func() bool { return f.InForceEverywhere(1) && f.allLive() }); !ok {
		t.Fatalf("seed %d: after a minute, not every instance has a configuration and takes all others as live", o.Seed)
	}
	return f
}

// allLive tells whether every node takes exactly the running instances as live.
func (f *Fleet) allLive() bool {
	for _, n := range f.Nodes {
		members := n.View.Members()
		if len(members) != len(f.Nodes) {
			return false
		}
		for _, m := range members {
			if m.State != membership.Live {
				return false
			}
		}
	}
	return true
}

// cutOffZone returns a grouping for Partition that separates one availability zone
// from everything else.
func cutOffZone(zone int) func(Location) int {
	return func(location Location) int {
		if location.Zone == zone {
			return 1
		}
		return 0
	}
}

// Every instance must notice that one has been killed, and must take none of the
// others as gone.
func TestDeathIsDetectedAndNobodyElseDies(t *testing.T) {
	for seed := range uint64(10) {
		f := startedFleet(t, smallOptions(seed))
		victim := f.Nodes[seed]
		f.Kill(victim)
		took, ok := f.Bus.RunUntil(time.Minute, pollStep, func() bool { return f.StateCounts(victim.Member.Name)[membership.Gone] == len(f.Nodes) })
		if !ok || !f.allLive() {
			t.Fatalf("seed %d: after %s, the death is known to all: %t; states of the killed instance: %v", seed, took, ok, f.StateCounts(victim.Member.Name))
		}
	}
}

// falseDeathsInCutOffZone cuts a zone off for ten minutes and counts the running
// members that its nodes take as gone. Members() leaves those out.
func falseDeathsInCutOffZone(t *testing.T, o Options) (*Fleet, int) {
	f := startedFleet(t, o)
	f.Partition(cutOffZone(1))
	f.Bus.Run(10 * time.Minute)
	deaths := 0
	for _, n := range f.Nodes {
		if n.Location.Zone == 1 {
			deaths += len(f.Nodes) - len(n.View.Members())
		}
	}
	return f, deaths
}

// An instance that is cut off hears nothing from the others, as if they had all
// failed. It must conclude that it is itself cut off, so that it keeps the members
// and is back soon after the partition.
func TestCutOffZoneDeclaresNobodyGone(t *testing.T) {
	for seed := range uint64(5) {
		f, deaths := falseDeathsInCutOffZone(t, smallOptions(seed))
		if deaths > 0 {
			t.Errorf("seed %d: %d running members are taken as gone", seed, deaths)
		}
		f.Heal()
		if took, ok := f.Bus.RunUntil(5*time.Minute, time.Second, f.allLive); !ok {
			t.Errorf("seed %d: %s after the partition, not every instance takes all others as live", seed, took)
		}
	}
}

// Without the check of its own health, a cut-off instance takes the others as gone.
// So the test above depends on that check.
func TestWithoutLocalHealthACutOffZoneDeclaresOthersGone(t *testing.T) {
	o := smallOptions(1)
	o.WithoutLocalHealth = true
	if _, deaths := falseDeathsInCutOffZone(t, o); deaths == 0 {
		t.Fatal("no running member is taken as gone without the check of local health")
	}
}

// All instances of an availability zone fail at once, and others with new names
// replace them.
func TestZoneIsLostAndReplaced(t *testing.T) {
	f := startedFleet(t, smallOptions(3))
	for _, n := range append([]*Node(nil), f.Nodes...) {
		if n.Location.Zone == 2 {
			f.Kill(n)
		}
	}
	if took, ok := f.Bus.RunUntil(2*time.Minute, pollStep, f.allLive); !ok {
		t.Fatalf("after %s, not all instances of the failed zone are taken as gone", took)
	}
	for i := range 6 {
		f.Start(fmt.Sprintf("new-%d", i), Location{Region: 2, Zone: 2})
	}
	if took, ok := f.Bus.RunUntil(2*time.Minute, pollStep, f.allLive); !ok {
		t.Fatalf("after %s, not every instance takes the new ones as live", took)
	}
}

// A process that is suspended for a minute is no longer taken as live. After it
// resumes, every instance must take it as live again, and it must not have used keys
// with evidence from before the pause.
func TestPausedInstanceComesBack(t *testing.T) {
	f := startedFleet(t, smallOptions(4))
	n := f.Nodes[9]
	f.Pause(n, time.Minute)
	f.Bus.Run(30 * time.Second)
	if live := f.StateCounts(n.Member.Name)[membership.Live]; live > 1 {
		t.Fatalf("%d instances take a paused one as live, want at most itself", live)
	}
	if took, ok := f.Bus.RunUntil(5*time.Minute, pollStep, f.allLive); !ok {
		t.Fatalf("after %s, not every instance takes the resumed one as live", took)
	}
	if len(f.Violations) > 0 {
		t.Fatal(f.Violations)
	}
}

// A replacement is started under the name of a process that is only paused. When that
// one resumes, two processes have one name: the old one must notice that it is
// superseded, and all others must use the address of the replacement.
func TestReplacementTakesOverTheName(t *testing.T) {
	f := startedFleet(t, smallOptions(5))
	old := f.Nodes[3]
	f.Bus.Run(2 * time.Minute)
	f.Pause(old, 3*time.Minute)
	replacement := f.Start(old.Member.Name, old.Location)
	f.Bus.Run(4 * time.Minute)
	if !old.View.Superseded() || replacement.View.Superseded() {
		t.Fatalf("superseded: old %t, new %t", old.View.Superseded(), replacement.View.Superseded())
	}
	for _, n := range f.Nodes {
		for _, m := range n.View.Members() {
			if n != old && m.Name == old.Member.Name && m.PeerAddress != replacement.Member.PeerAddress {
				t.Fatalf("%s still uses the address %s of the superseded process", n.Member.Name, m.PeerAddress)
			}
		}
	}
}

// An instance that announces its end must get no more requests from others even
// while the lagging platform list still has it.
func TestLeavingIsKnownBeforeTheListSaysSo(t *testing.T) {
	f := startedFleet(t, smallOptions(6))
	n := f.Nodes[7]
	f.Leave(n)
	took, ok := f.Bus.RunUntil(f.Options.ListLag, pollStep, func() bool { return f.StateCounts(n.Member.Name)[membership.Live] == 0 })
	if !ok {
		t.Fatalf("after %s, the leaving instance is still taken as live: %v", took, f.StateCounts(n.Member.Name))
	}
}

// Most zones lose their link to the store but still reach their peers. They must get
// new versions and fresh evidence from these.
func TestZoneWithoutTheStoreLearnsFromPeers(t *testing.T) {
	o := smallOptions(7)
	f := startedFleet(t, o)
	f.Store.Location = Location{Region: 9, Zone: 9}
	for zone := range 3 {
		f.partitionGroup[Location{Region: zone, Zone: zone}] = 0
	}
	f.Bus.CutOff = func(a, b Location) bool { // zones 1 to 5 reach peers but not the store
		return (a == f.Store.Location && b.Zone > 0) || (b == f.Store.Location && a.Zone > 0)
	}
	version := f.Store.Accept(f.Bus.Now)
	took, ok := f.Bus.RunUntil(maxInForceDelay, pollStep, func() bool { return f.InForceEverywhere(version) })
	if !ok {
		t.Fatalf("version %d is not in force everywhere after %s", version, took)
	}
	f.Bus.Run(time.Minute)
	fresh := 0
	for _, n := range f.Nodes {
		if n.Freshness.Fresh(f.Bus.Now, KeyFreshness) {
			fresh++
		}
	}
	if fresh < len(f.Nodes)*9/10 || len(f.Violations) > 0 {
		t.Fatalf("%d of %d instances have fresh evidence, violations %v", fresh, len(f.Nodes), f.Violations)
	}
}

// An instance that starts while the store is down must get the configuration and the
// members from the one peer that it knows.
func TestFreshInstanceLearnsTheNewestVersionWhileTheStoreIsDown(t *testing.T) {
	f := startedFleet(t, smallOptions(8))
	version := f.Store.Accept(f.Bus.Now)
	f.Bus.RunUntil(maxInForceDelay, pollStep, func() bool { return f.InForceEverywhere(version) })
	f.Store.Down = true
	n := f.Start("fresh", Location{Region: 1, Zone: 1}, f.Nodes[0].Member.PeerAddress)
	took, ok := f.Bus.RunUntil(30*time.Second, pollStep, func() bool { return n.InForceVersion == version && len(n.View.Members()) == len(f.Nodes) })
	if !ok {
		t.Fatalf("after %s, the new instance has version %d of %d and knows %d of %d members", took, n.InForceVersion, version, len(n.View.Members()), len(f.Nodes))
	}
}

// runUnderStress runs a fleet with slow messages, in which the store accepts a change
// at every step while one zone after another is cut off and reconnected. This brings
// old answers to instances that have newer versions.
func runUnderStress(o Options) *Fleet {
	o.Faults.Jitter = 180 * time.Millisecond
	f := New(o)
	f.Bus.Run(20 * time.Second)
	for range 12 {
		f.Partition(cutOffZone(f.Bus.Rand.IntN(6)))
		for range 80 {
			f.Store.Accept(f.Bus.Now)
			f.Bus.Run(pollStep)
		}
		f.Heal()
		f.Bus.Run(4 * time.Second)
	}
	return f
}

// An instance with fresh evidence must have every version that is older than the
// bound, or it would accept a key that was withdrawn before.
func TestKeysAreNeverTrustedPastTheBound(t *testing.T) {
	for seed := range uint64(3) {
		if f := runUnderStress(smallOptions(seed)); len(f.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, f.Violations)
		}
	}
}

// Without either safety rule, the same run must violate a guarantee. This shows that
// TestKeysAreNeverTrustedPastTheBound can fail.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, disableRule := range map[string]func(*Options){
		"evidence as of receipt":  func(o *Options) { o.AsOfReceipt = true },
		"lower versions accepted": func(o *Options) { o.LowerVersions = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				o := smallOptions(seed)
				disableRule(&o)
				if f := runUnderStress(o); len(f.Violations) > 0 {
					t.Log(seed, f.Violations[0])
					return
				}
			}
			t.Fatal("no seed shows a violation")
		})
	}
}

// Faults that each are harmless may do harm together. Under any mix of them no
// guarantee may be violated, and once the network and the store are back, every
// instance must take all others as live and have the newest version in force.
func TestFleetSurvivesRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := smallOptions(rapid.Uint64().Draw(r, "seed"))
		o.Size = rapid.IntRange(7, 30).Draw(r, "size")
		f := startedFleet(r, o)
		for range rapid.IntRange(3, 10).Draw(r, "faults") {
			injectDrawnFault(r, f)
			f.Bus.Run(time.Duration(rapid.IntRange(1, 40).Draw(r, "seconds")) * time.Second)
		}
		f.Heal()
		f.Store.Down, f.Store.AnswerLoss = false, 0
		version := f.Store.Accept(f.Bus.Now)
		if took, ok := f.Bus.RunUntil(10*time.Minute, time.Second, func() bool { return f.InForceEverywhere(version) && f.allLive() }); !ok {
			r.Fatalf("not converged after %s; the newest version is in force everywhere: %t", took, f.InForceEverywhere(version))
		}
		if len(f.Violations) > 0 {
			r.Fatalf("%v", f.Violations)
		}
	})
}

// injectDrawnFault brings about a fault or recovery that rapid draws.
func injectDrawnFault(r *rapid.T, f *Fleet) {
	n := f.Nodes[rapid.IntRange(0, len(f.Nodes)-1).Draw(r, "instance")]
	switch rapid.IntRange(0, 8).Draw(r, "fault") {
	case 0:
		f.Partition(cutOffZone(n.Location.Zone))
	case 1:
		f.Heal()
	case 2:
		f.Pause(n, time.Duration(rapid.IntRange(1, 60).Draw(r, "pause"))*time.Second)
	case 3:
		f.Kill(n)
		f.Start(n.Member.Name, n.Location)
	case 4:
		f.Store.Down = !f.Store.Down
	case 5:
		f.Store.AnswerLoss = 0.5
	case 6:
		f.Store.Accept(f.Bus.Now)
	case 7:
		if len(f.Nodes) > 5 {
			f.Kill(n)
		}
	case 8:
		f.Start(fmt.Sprintf("late-%d", f.addressCount), n.Location)
	}
}
