package seat

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testBounds = Bounds{MaxAge: 5 * time.Second, ReserveMaxAge: 20 * time.Second, TakeoverMargin: time.Second}

const testSeats = 3

// zoneSimulation is one zone in virtual time: its table in the store, and the
// processes that read it.
type zoneSimulation struct {
	now      time.Time
	table    Table
	claims   []Process
	releases []Release
	unlisted map[string]bool
	trackers []*Tracker
	// alterTable changes a table on its way to a process. Broken variants set it.
	alterTable func(Table) Table
	bounds     Bounds
}

func newZoneSimulation() *zoneSimulation {
	return &zoneSimulation{
		now: time.Unix(1000, 0), unlisted: map[string]bool{}, bounds: testBounds,
		alterTable: func(t Table) Table { return t },
	}
}

// start starts a process without a seat.
func (z *zoneSimulation) start(name string, incarnation uint64) {
	tracker := NewTracker(Process{Instance: name, Incarnation: incarnation}, "z", z.bounds)
	tracker.SetLayout(Layout{ZoneSeats: testSeats, FleetSeats: testSeats})
	z.trackers = append(z.trackers, tracker)
}

// write stores the next table, made from the claims and releases since the last.
func (z *zoneSimulation) write() {
	next, changed := z.table.Next(TableInputs{
		Seats: testSeats, Claims: z.claims, Releases: z.releases,
		Gone: func(name string) bool { return z.unlisted[name] },
	}, "op")
	if changed {
		z.table = next
	}
	z.claims, z.releases = nil, nil
}

// pull lets a process read the table, and records that as evidence.
func (z *zoneSimulation) pull(tracker *Tracker) {
	tracker.Adopt(z.alterTable(z.table), z.now)
	tracker.Observe(z.now, z.table.Version)
}

// findConflict returns a message if two processes may use the same seat or
// reserve at the same time, or "".
func (z *zoneSimulation) findConflict() string {
	users := map[string]Process{}
	for _, tracker := range z.trackers {
		for part, seatFunc := range map[string]func(time.Time) (Seat, bool){"seat": tracker.Seat, "reserve": tracker.Reserve} {
			s, usable := seatFunc(z.now)
			if !usable {
				continue
			}
			use := fmt.Sprintf("%s %d", part, s.Index)
			if other, taken := users[use]; taken {
				return fmt.Sprintf("%s is used by %v and %v", use, other, tracker.Process())
			}
			users[use] = tracker.Process()
		}
	}
	return ""
}

// step draws one random step.
func (z *zoneSimulation) step(t *rapid.T) {
	pick := func() *Tracker { return z.trackers[rapid.IntRange(0, len(z.trackers)-1).Draw(t, "process")] }
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		z.now = z.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case 1, 2:
		z.pull(pick()) // the processes not picked are paused or cut off
	case 3:
		z.claims = append(z.claims, pick().Process()) // claims may be late or repeated
	case 4, 5:
		z.write()
	case 6:
		name := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "name"))
		z.unlisted[name] = !z.unlisted[name] // the platform's list may be wrong
	case 7:
		if tracker := pick(); rapid.IntRange(0, 3).Draw(t, "stops") == 0 {
			z.releases = append(z.releases, tracker.Stop(z.now))
		}
	case 8:
		if len(z.trackers) < 12 {
			z.start(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "name")), uint64(len(z.trackers)+1))
		}
	}
}

// run takes a zone through random steps and returns the first conflict, or "".
func (z *zoneSimulation) run(t *rapid.T) string {
	for i := range 5 {
		z.start(fmt.Sprint("i", i), uint64(i+1))
	}
	for range 400 {
		z.step(t)
		if conflict := z.findConflict(); conflict != "" {
			return conflict
		}
	}
	return ""
}

// TestNoSeatHasTwoUsers checks that no two processes may use one seat at a time,
// whatever claims, releases, restarts, pauses and false lists of instances occur.
func TestNoSeatHasTwoUsers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if conflict := newZoneSimulation().run(t); conflict != "" {
			t.Fatal(conflict)
		}
	})
}

// TestBrokenVariantsShareSeats shows that TestNoSeatHasTwoUsers detects
// violations: each variant breaks one rule and must let two processes use a seat.
func TestBrokenVariantsShareSeats(t *testing.T) {
	alterEntries := func(alter func(*Entry)) func(Table) Table {
		return func(table Table) Table {
			entries := append([]Entry(nil), table.Entries...)
			for i := range entries {
				alter(&entries[i])
			}
			table.Entries = entries
			return table
		}
	}
	variants := map[string]func(*zoneSimulation){
		"new holder does not wait":                func(z *zoneSimulation) { z.alterTable = alterEntries(func(e *Entry) { e.Clean = true }) },
		"new holder of the reserve does not wait": func(z *zoneSimulation) { z.alterTable = alterEntries(func(e *Entry) { e.ReserveClean = true }) },
		"holder ignores reassignment":             func(z *zoneSimulation) { z.alterTable = alterEntries(func(e *Entry) { e.AssignedVersion = 0 }) },
		"holder never checks its evidence":        func(z *zoneSimulation) { z.bounds.MaxAge = time.Hour; z.bounds.TakeoverMargin = -time.Hour },
	}
	for name, breakRule := range variants {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 2000 && !found; seed++ {
				rapid.Custom(func(t *rapid.T) bool {
					z := newZoneSimulation()
					breakRule(z)
					found = found || z.run(t) != ""
					return true
				}).Example(seed)
			}
			if !found {
				t.Fatal("no seed made two processes use one seat")
			}
		})
	}
}

// TestSeatIsGivenUpAndTakenOver follows a seat from a process to a restarted one
// of the same instance, and to its release.
func TestSeatIsGivenUpAndTakenOver(t *testing.T) {
	z := newZoneSimulation()
	z.start("a", 1)
	z.start("a", 2)
	first, second := z.trackers[0], z.trackers[1]
	z.claims = []Process{first.Process()}
	z.write()
	z.pull(first)
	if _, ok := first.Seat(z.now); !ok {
		t.Fatal("a new seat is not usable at once")
	}
	z.claims = []Process{second.Process()}
	z.write()
	z.pull(second)
	if second.Table().Index(second.Process()) == 0 {
		t.Fatal("a restarted instance got an unclean seat while a clean one was free")
	}
	if _, ok := first.Seat(z.now.Add(testBounds.MaxAge + 1)); ok {
		t.Fatal("a process may use its seat with evidence older than MaxAge")
	}
	if _, ok := first.Reserve(z.now.Add(testBounds.MaxAge + 1)); !ok {
		t.Fatal("the reserve is not usable for longer than the seat")
	}
	release := second.Stop(z.now)
	if _, ok := second.Seat(z.now); ok || !release.Clean || !release.ReserveClean {
		t.Fatalf("the seat is usable after Stop, or its release is not clean: %+v", release)
	}
}

func TestTableEncoding(t *testing.T) {
	z := newZoneSimulation()
	z.claims = []Process{{"a", 1}, {"b", 2}}
	z.write()
	value, err := z.table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeTable(value)
	if err != nil || decoded.Version != 1 || decoded.Holder(1) != "b" || decoded.Holder(7) != "" {
		t.Fatalf("got %+v, %v", decoded, err)
	}
}

// TestSettledLayout checks that a seat counts as settled, for the fleet and for the
// zone, only once the table names the present generation of the number of seats.
func TestSettledLayout(t *testing.T) {
	now := time.Unix(0, 0)
	process := Process{Instance: "a", Incarnation: 1}
	tracker := NewTracker(process, "z", Bounds{MaxAge: time.Second, ReserveMaxAge: time.Hour})
	table, _ := Table{}.Next(TableInputs{Seats: 1, Claims: []Process{process}}, "op")
	settled := func(layout Layout, table Table) (fleet, zone bool) {
		tracker.SetLayout(layout)
		tracker.Adopt(table, now)
		tracker.Observe(now.Add(time.Nanosecond), table.Version)
		s, _ := tracker.Seat(now)
		r, _ := tracker.Reserve(now)
		return s.Settled, r.Settled
	}
	layout := Layout{ZoneSeats: 1, FleetSeats: 1}
	if fleet, zone := settled(layout, table); !fleet || !zone {
		t.Errorf("first layout: fleet %t, zone %t", fleet, zone)
	}
	layout.ZoneGeneration, layout.FleetGeneration = 2, 1
	if fleet, zone := settled(layout, table); fleet || zone {
		t.Errorf("changed layout: fleet %t, zone %t", fleet, zone)
	}
	table, changed := table.Next(TableInputs{Seats: 1, SettledFleet: 1, Gone: func(string) bool { return false }}, "op")
	if fleet, zone := settled(layout, table); !changed || !fleet || zone {
		t.Errorf("settled fleet: changed %t, fleet %t, zone %t", changed, fleet, zone)
	}
	table, _ = table.Next(TableInputs{Seats: 1, SettledZone: 2, Gone: func(string) bool { return false }}, "op")
	if fleet, zone := settled(layout, table); !fleet || !zone {
		t.Errorf("both settled: fleet %t, zone %t", fleet, zone)
	}
}
