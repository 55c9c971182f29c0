package fleettest

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/seat"
)

// Flags of TestSoak. A run is repeated exactly by its seed and number of steps.
var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of TestSoak")
	soakSeeds = flag.Uint64("soak.seeds", 10, "number of seeds of TestSoak")
	soakSteps = flag.Int("soak.steps", 250, "steps of each seed of TestSoak")
)

// traceLines is the number of last events in the report of a failure.
const traceLines = 40

// TestSoak runs full fleets through random faults that overlap. It finds violations
// that need a certain order of faults, which nobody thought of testing.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fleet := NewFullFleet(seed, Correct)
			taken := fleet.Soak(*soakSteps)
			t.Logf("%d steps, %s of virtual time, %+v", taken, fleet.Bus.Now.Sub(Start), fleet.Counts())
			if len(fleet.Violations) > 0 {
				t.Errorf("step %d: %s\n%s\nreplay with: make soak SEED=%d STEPS=%d",
					taken, strings.Join(fleet.Violations, "\n"), strings.Join(fleet.Trace(traceLines), "\n"), seed, taken)
			}
		})
	}
}

// A reported seed is of use only if it brings the failure about again. Iteration over
// maps or use of the real time would break that.
func TestSoakReplaysExactly(t *testing.T) {
	run := func() *FullFleet {
		fleet := NewFullFleet(3, Correct)
		fleet.Soak(120)
		return fleet
	}
	a, b := run(), run()
	if !slices.Equal(a.trace, b.trace) || a.Counts() != b.Counts() {
		t.Fatalf("two runs of one seed differ: %+v and %+v", a.Counts(), b.Counts())
	}
}

// TestSoakCatchesBrokenVariants shows that TestSoak can fail: with each error, some
// seed violates a guarantee that the correct fleet keeps on the same seed.
func TestSoakCatchesBrokenVariants(t *testing.T) {
	for name, v := range map[string]Variant{
		"evidence as of receipt":   DatesEvidenceAtReceipt,
		"unknown writes forgotten": ForgetsUnknownWrites,
		"seat cached":              CachesSeat,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const seeds, steps = 60, 250
			for seed := range uint64(seeds) {
				fleet := NewFullFleet(seed, v)
				taken := fleet.Soak(steps)
				if len(fleet.Violations) == 0 {
					continue
				}
				correct := NewFullFleet(seed, Correct)
				if correct.Soak(steps); len(correct.Violations) == 0 { // so the error is the cause
					t.Logf("seed %d, step %d: %s", seed, taken, fleet.Violations[0])
					return
				}
			}
			t.Fatal("no seed shows the error")
		})
	}
}

// TestSkippedSettleTimeIsCaught changes the number of seats of all zones while most
// messages are lost, so that some instances still use the old number. If others use
// the new one at once, the old and the new owner of a part of a workspace's limit
// both grant it. The random steps of Soak seldom come to this, because frequent
// pulls spread a change fast.
func TestSkippedSettleTimeIsCaught(t *testing.T) {
	const seeds = 20
	caught := 0
	for seed := range uint64(seeds) {
		broken, correct := NewFullFleet(seed, SkipsSettleTime), NewFullFleet(seed, Correct)
		broken.changeLayoutUnderLoss()
		correct.changeLayoutUnderLoss()
		if len(correct.Violations) > 0 {
			t.Fatalf("seed %d: %s", seed, correct.Violations[0])
		}
		if len(broken.Violations) > 0 {
			caught++
		}
	}
	if caught == 0 {
		t.Fatal("no seed shows the error")
	}
	t.Logf("%d of %d seeds show the error", caught, seeds)
}

// changeLayoutUnderLoss lets a fleet settle, changes the numbers of seats and sends
// requests while lost messages delay the change.
func (fleet *FullFleet) changeLayoutUnderLoss() {
	fleet.Bus.Faults = Faults{Jitter: time.Millisecond}
	fleet.Bus.Run(40 * time.Second)
	base := fleet.Store.newestRecord().Version
	seats := map[string]int{}
	for _, z := range fleet.zoneSeats(fleet.configs[base].snapshot) {
		seats[z.AvailabilityZone] = 1 // so that the first seat owns all that the zone owns
	}
	next := fleet.configs[base]
	next.layoutAcceptedAt = time.Time{}
	fleet.acceptConfig(base, next, seats)
	fleet.Bus.Faults.Loss = 0.8
	for range 20 {
		fleet.sendBursts()
	}
}

// TestWriteByARemovedWriterIsCaught shows that TestRemovedWriterCannotChangeSeats can
// fail: without the check that a writer is listed, a guarantee is violated.
func TestWriteByARemovedWriterIsCaught(t *testing.T) {
	if fleet := runRemovedWriter(SkipsWriterCheck); len(fleet.Violations) == 0 {
		t.Fatal("no violation although a removed writer changed a seat table")
	}
}

// TestRemovedWriterCannotChangeSeats pauses a listed writer while another one takes it
// off the list. When it resumes, it does not know this yet and tries to write a seat
// table that frees a seat in use. If the write took effect, nobody would learn of it:
// the store fails right after it, and the vouchers of the remaining writer, which
// does not know the write, keep the evidence of the seat's user fresh.
func TestRemovedWriterCannotChangeSeats(t *testing.T) {
	if fleet := runRemovedWriter(Correct); len(fleet.Violations) > 0 {
		t.Fatalf("%s\n%s", fleet.Violations[0], strings.Join(fleet.Trace(traceLines), "\n"))
	}
}

// runRemovedWriter runs the course of events that the two tests above describe.
func runRemovedWriter(v Variant) *FullFleet {
	fleet := NewFullFleet(1, v)
	fleet.Bus.Faults = Faults{}
	fleet.Bus.Run(20 * time.Second)
	remaining, removed := fleet.processes[fleet.Nodes[0]], fleet.processes[fleet.Nodes[1]]
	fleet.listWriters(remaining, removed)
	fleet.Bus.Run(2 * time.Second)
	fleet.Pause(removed.node, 3*time.Second)
	fleet.listWriters(remaining)
	fleet.Bus.Run(2 * time.Second)
	zone := remaining.node.Member.AvailabilityZone
	removed.releases[zone] = []seat.Release{{Process: remaining.seatTracker.Process()}}
	tables := fleet.counts.Tables
	for range 200 {
		fleet.Bus.Run(10 * time.Millisecond)
		fleet.Store.Down = fleet.Store.Down || fleet.counts.Tables > tables
	}
	fleet.Bus.Run(2 * KeyFreshness)
	return fleet
}

// listWriters makes the store accept a configuration that lists just these writers.
func (fleet *FullFleet) listWriters(writers ...*process) {
	c := fleet.configs[fleet.Store.newestRecord().Version]
	c.writers = nil
	for _, w := range writers {
		c.writers = append(c.writers, w.id)
	}
	seats := map[string]int{}
	for _, z := range fleet.zoneSeats(c.snapshot) {
		seats[z.AvailabilityZone] = z.Seats
	}
	fleet.acceptConfig(fleet.Store.newestRecord().Version, c, seats)
}
