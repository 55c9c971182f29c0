package seat

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testBounds = Bounds{MaxAge: 5 * time.Second, ReserveMaxAge: 20 * time.Second, TakeoverMargin: time.Second}

const testSeats = 3

// world is one zone: its table in the store, and processes that pull it.
type world struct {
	now      time.Time
	table    Table
	claims   []Process
	releases []Release
	gone     map[string]bool
	keepers  []*Tracker
	// adopted changes a table on its way to a process; variants break it.
	adopted func(Table) Table
	bounds  Bounds
}

func newWorld() *world {
	return &world{
		now: time.Unix(1000, 0), gone: map[string]bool{}, bounds: testBounds,
		adopted: func(t Table) Table { return t },
	}
}

func (w *world) start(name string, incarnation uint64) {
	k := NewTracker(Process{Instance: name, Incarnation: incarnation}, "z", w.bounds)
	k.SetLayout(Layout{ZoneSeats: testSeats, FleetSeats: testSeats})
	w.keepers = append(w.keepers, k)
}

func (w *world) write() {
	next, changed := w.table.Next(TableInputs{
		Seats: testSeats, Claims: w.claims, Releases: w.releases,
		Gone: func(name string) bool { return w.gone[name] },
	}, "op")
	if changed {
		w.table = next
	}
	w.claims, w.releases = nil, nil
}

// pull gives a process the table and evidence of a given age.
func (w *world) pull(k *Tracker) {
	k.Adopt(w.adopted(w.table), w.now)
	k.Observe(w.now, w.table.Version)
}

// check returns a message if two processes may use one seat or one reserve.
func (w *world) check() string {
	uses := map[string]Process{}
	for _, k := range w.keepers {
		for part, use := range map[string]func(time.Time) (Seat, bool){"seat": k.Seat, "reserve": k.Reserve} {
			s, ok := use(w.now)
			if !ok {
				continue
			}
			key := fmt.Sprintf("%s %d", part, s.Index)
			if other, taken := uses[key]; taken {
				return fmt.Sprintf("%s is used by %v and %v", key, other, k.Process())
			}
			uses[key] = k.Process()
		}
	}
	return ""
}

func (w *world) step(t *rapid.T) {
	pick := func() *Tracker { return w.keepers[rapid.IntRange(0, len(w.keepers)-1).Draw(t, "process")] }
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case 1, 2:
		w.pull(pick()) // whoever isn't picked is paused or cut off
	case 3:
		w.claims = append(w.claims, pick().Process()) // also late and repeated ones
	case 4, 5:
		w.write()
	case 6:
		name := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "name"))
		w.gone[name] = !w.gone[name] // the list may be wrong
	case 7:
		if k := pick(); rapid.IntRange(0, 3).Draw(t, "stops") == 0 {
			w.releases = append(w.releases, k.Stop(w.now))
		}
	case 8:
		if len(w.keepers) < 12 {
			w.start(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "name")), uint64(len(w.keepers)+1))
		}
	}
}

// run takes a world through random steps and returns the first violation.
func (w *world) run(t *rapid.T) string {
	for i := range 5 {
		w.start(fmt.Sprint("i", i), uint64(i+1))
	}
	for range 400 {
		w.step(t)
		if fault := w.check(); fault != "" {
			return fault
		}
	}
	return ""
}

func TestNoSeatHasTwoUsers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := newWorld().run(t); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestBrokenVariantsShareSeats shows that the test above can fail.
func TestBrokenVariantsShareSeats(t *testing.T) {
	strip := func(change func(*Entry)) func(Table) Table {
		return func(table Table) Table {
			entries := append([]Entry(nil), table.Entries...)
			for i := range entries {
				change(&entries[i])
			}
			table.Entries = entries
			return table
		}
	}
	variants := map[string]func(*world){
		"successor does not wait":           func(w *world) { w.adopted = strip(func(e *Entry) { e.Clean = true }) },
		"reserve's successor does not wait": func(w *world) { w.adopted = strip(func(e *Entry) { e.ReserveClean = true }) },
		"holder ignores reassignment":       func(w *world) { w.adopted = strip(func(e *Entry) { e.AssignedVersion = 0 }) },
		"holder never checks its evidence":  func(w *world) { w.bounds.MaxAge = time.Hour; w.bounds.TakeoverMargin = -time.Hour },
	}
	for name, breakIt := range variants {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 2000 && !found; seed++ {
				rapid.Custom(func(t *rapid.T) bool {
					w := newWorld()
					breakIt(w)
					found = found || w.run(t) != ""
					return true
				}).Example(seed)
			}
			if !found {
				t.Fatal("the variant shared no seat")
			}
		})
	}
}

func TestSeatIsGivenUpAndTakenOver(t *testing.T) {
	w := newWorld()
	w.start("a", 1)
	w.start("a", 2)
	first, second := w.keepers[0], w.keepers[1]
	w.claims = []Process{first.Process()}
	w.write()
	w.pull(first)
	if _, ok := first.Seat(w.now); !ok {
		t.Fatal("a new seat is not usable at once")
	}
	w.claims = []Process{second.Process()}
	w.write()
	w.pull(second)
	if second.Table().Index(second.Process()) == 0 {
		t.Fatal("a successor got an unclean seat while a clean one was free")
	}
	if _, ok := first.Seat(w.now.Add(testBounds.MaxAge + 1)); ok {
		t.Fatal("a paused holder woke up with its seat")
	}
	if _, ok := first.Reserve(w.now.Add(testBounds.MaxAge + 1)); !ok {
		t.Fatal("the reserve ended with the seat")
	}
	release := second.Stop(w.now)
	if _, ok := second.Seat(w.now); ok || !release.Clean || !release.ReserveClean {
		t.Fatalf("stop gave %+v", release)
	}
}

func TestTableEncoding(t *testing.T) {
	w := newWorld()
	w.claims = []Process{{"a", 1}, {"b", 2}}
	w.write()
	value, err := w.table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeTable(value)
	if err != nil || decoded.Version != 1 || decoded.Holder(1) != "b" || decoded.Holder(7) != "" {
		t.Fatalf("got %+v, %v", decoded, err)
	}
}

// TestSettledLayout tells a seat of a settled number of seats from one whose
// number somebody may still use another one of.
func TestSettledLayout(t *testing.T) {
	now := time.Unix(0, 0)
	p := Process{Instance: "a", Incarnation: 1}
	k := NewTracker(p, "z", Bounds{MaxAge: time.Second, ReserveMaxAge: time.Hour})
	table, _ := Table{}.Next(TableInputs{Seats: 1, Claims: []Process{p}}, "op")
	settled := func(layout Layout, table Table) (fleet, zone bool) {
		k.SetLayout(layout)
		k.Adopt(table, now)
		k.Observe(now.Add(time.Nanosecond), table.Version)
		s, _ := k.Seat(now)
		r, _ := k.Reserve(now)
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
