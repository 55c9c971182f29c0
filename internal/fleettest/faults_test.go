package fleettest

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const maxInForceDelay = 18 * time.Second

func smallOptions(seed uint64) Options {
	return Options{
		Size: 36, Zones: 6, Regions: 3, Seed: seed, ListLag: 10 * time.Second, Chunks: 8, ChunkBytes: 64,
		Faults: Faults{Loss: 0.05, Duplicate: 0.02, Jitter: 10 * time.Millisecond},
	}
}

// started returns a fleet in which everybody knows everybody.
func startedFleet(t interface{ Fatalf(string, ...any) }, o Options) *Fleet {
	f := New(o)
	if _, ok := f.Bus.RunUntil(time.Minute, pollStep, func() bool { return f.InForceEverywhere(1) && f.allLive() }); !ok {
		t.Fatalf("seed %d: fleet does not start", o.Seed)
	}
	return f
}

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

func cutOffZone(zone int) func(Location) int {
	return func(s Location) int {
		if s.Zone == zone {
			return 1
		}
		return 0
	}
}

func TestDeathIsDetectedAndNobodyElseDies(t *testing.T) {
	for seed := range uint64(10) {
		f := startedFleet(t, smallOptions(seed))
		victim := f.Nodes[seed]
		f.Kill(victim)
		took, ok := f.Bus.RunUntil(time.Minute, pollStep, func() bool { return f.StateCounts(victim.Member.Name)[membership.Gone] == len(f.Nodes) })
		if !ok || !f.allLive() {
			t.Fatalf("seed %d: after %s all know: %t, beliefs %v", seed, took, ok, f.StateCounts(victim.Member.Name))
		}
	}
}

// deathsInCutOffZone counts the living members that a cut-off zone declares
// gone.
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

func TestCutOffZoneDeclaresNobodyGone(t *testing.T) {
	for seed := range uint64(5) {
		f, deaths := falseDeathsInCutOffZone(t, smallOptions(seed))
		if deaths > 0 {
			t.Errorf("seed %d: %d false deaths", seed, deaths)
		}
		f.Heal()
		if took, ok := f.Bus.RunUntil(5*time.Minute, time.Second, f.allLive); !ok {
			t.Errorf("seed %d: not whole %s after the partition", seed, took)
		}
	}
}

func TestWithoutLocalHealthACutOffZoneDeclaresOthersGone(t *testing.T) {
	o := smallOptions(1)
	o.WithoutLocalHealth = true
	if _, deaths := falseDeathsInCutOffZone(t, o); deaths == 0 {
		t.Fatal("the broken variant is not caught")
	}
}

func TestZoneIsLostAndReplaced(t *testing.T) {
	f := startedFleet(t, smallOptions(3))
	for _, n := range append([]*Node(nil), f.Nodes...) {
		if n.Location.Zone == 2 {
			f.Kill(n)
		}
	}
	if took, ok := f.Bus.RunUntil(2*time.Minute, pollStep, f.allLive); !ok {
		t.Fatalf("zone not gone after %s", took)
	}
	for i := range 6 {
		f.Start(fmt.Sprintf("new-%d", i), Location{Region: 2, Zone: 2})
	}
	if took, ok := f.Bus.RunUntil(2*time.Minute, pollStep, f.allLive); !ok {
		t.Fatalf("new instances not known after %s", took)
	}
}

func TestPausedInstanceComesBack(t *testing.T) {
	f := startedFleet(t, smallOptions(4))
	n := f.Nodes[9]
	f.Pause(n, time.Minute)
	f.Bus.Run(30 * time.Second)
	if live := f.StateCounts(n.Member.Name)[membership.Live]; live > 1 {
		t.Fatalf("%d take a paused instance as live", live)
	}
	if took, ok := f.Bus.RunUntil(5*time.Minute, pollStep, f.allLive); !ok {
		t.Fatalf("not back after %s", took)
	}
	if len(f.Violations) > 0 {
		t.Fatal(f.Violations)
	}
}

// A replacement takes the name of a process that is only paused: the old one
// notices that it is superseded, and all agree on the new address.
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
				t.Fatalf("%s still uses %s", n.Member.Name, m.PeerAddress)
			}
		}
	}
}

func TestLeavingIsKnownBeforeTheListSaysSo(t *testing.T) {
	f := startedFleet(t, smallOptions(6))
	n := f.Nodes[7]
	f.Leave(n)
	took, ok := f.Bus.RunUntil(f.Options.ListLag, pollStep, func() bool { return f.StateCounts(n.Member.Name)[membership.Live] == 0 })
	if !ok {
		t.Fatalf("still taken as live after %s: %v", took, f.StateCounts(n.Member.Name))
	}
}

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
		t.Fatalf("version %d not in force after %s", version, took)
	}
	f.Bus.Run(time.Minute)
	fresh := 0
	for _, n := range f.Nodes {
		if n.Freshness.Fresh(f.Bus.Now, KeyFreshness) {
			fresh++
		}
	}
	if fresh < len(f.Nodes)*9/10 || len(f.Violations) > 0 {
		t.Fatalf("%d of %d trust their keys, violations %v", fresh, len(f.Nodes), f.Violations)
	}
}

func TestFreshInstanceLearnsTheNewestVersionWhileTheStoreIsDown(t *testing.T) {
	f := startedFleet(t, smallOptions(8))
	version := f.Store.Accept(f.Bus.Now)
	f.Bus.RunUntil(maxInForceDelay, pollStep, func() bool { return f.InForceEverywhere(version) })
	f.Store.Down = true
	n := f.Start("fresh", Location{Region: 1, Zone: 1}, f.Nodes[0].Member.PeerAddress)
	took, ok := f.Bus.RunUntil(30*time.Second, pollStep, func() bool { return n.InForceVersion == version && len(n.View.Members()) == len(f.Nodes) })
	if !ok {
		t.Fatalf("after %s version %d of %d, %d of %d members", took, n.InForceVersion, version, len(n.View.Members()), len(f.Nodes))
	}
}

// stress accepts changes quickly while links to the store come and go, and
// answers are slow.
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

func TestKeysAreNeverTrustedPastTheBound(t *testing.T) {
	for seed := range uint64(3) {
		if f := runUnderStress(smallOptions(seed)); len(f.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, f.Violations)
		}
	}
}

func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, setFault := range map[string]func(*Options){
		"evidence as of receipt":  func(o *Options) { o.AsOfReceipt = true },
		"lower versions accepted": func(o *Options) { o.LowerVersions = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				o := smallOptions(seed)
				setFault(&o)
				if f := runUnderStress(o); len(f.Violations) > 0 {
					t.Log(seed, f.Violations[0])
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

// Any mix of faults: no guarantee is broken meanwhile, and afterwards
// everybody knows everybody and has the newest version in force.
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
			r.Fatalf("not whole after %s: in force %t", took, f.InForceEverywhere(version))
		}
		if len(f.Violations) > 0 {
			r.Fatalf("%v", f.Violations)
		}
	})
}

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
