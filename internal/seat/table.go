package seat

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// KeyPrefix is the prefix of the seat tables in the platform's store. The key
// of a table is the prefix followed by the name of its availability zone.
const KeyPrefix = "control/seats/"

// Process identifies one process. A restarted instance keeps its name and gets
// a new incarnation, so that it never shares a seat with its former process.
type Process struct {
	Instance    string `json:"instance,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Entry is the state of one seat.
type Entry struct {
	// Holder is the process that the seat belongs to; zero if it is free.
	Holder Process `json:"holder,omitzero"`
	// AssignedVersion is the version of the table that gave the seat to the holder.
	AssignedVersion uint64 `json:"since,omitempty"`
	// Clean says that nobody but the holder can be using the seat: it is new,
	// or all earlier holders stopped before they gave it back.
	Clean bool `json:"clean,omitempty"`
	// ReserveClean says the same of the seat's reserve.
	ReserveClean bool `json:"reserve_clean,omitempty"`
}

// Table is the accepted assignment of one availability zone's seats. Entries
// are never removed, because a former holder may still be using its seat.
type Table struct {
	Version uint64  `json:"version"`
	Entries []Entry `json:"entries"`
	// SettledZone and SettledFleet are the newest generations of the numbers of
	// seats that have been in force for so long that nobody uses an earlier one.
	SettledZone  int `json:"settled_zone,omitempty"`
	SettledFleet int `json:"settled_fleet,omitempty"`
	// Operation identifies the write that accepted this version.
	Operation string `json:"operation"`
}

// Encode returns the table's value in the store.
func (t Table) Encode() ([]byte, error) {
	value, err := json.Marshal(t)
	return value, errors.Wrap(err, "encode seat table")
}

// DecodeTable reads a table's value. No value is the empty table.
func DecodeTable(value []byte) (Table, error) {
	var t Table
	if len(value) == 0 {
		return t, nil
	}
	err := json.Unmarshal(value, &t)
	return t, errors.Wrap(err, "decode seat table")
}

// Index returns the seat of a process, or -1.
func (t Table) Index(p Process) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Holder == p })
}

// Holder returns the instance that holds a seat, or "".
func (t Table) Holder(index int) string {
	if index < 0 || index >= len(t.Entries) {
		return ""
	}
	return t.Entries[index].Holder.Instance
}

// Release gives a seat back.
type Release struct {
	Process Process
	// Clean and ReserveClean become the state of the free seat. The process
	// uses neither part any more.
	Clean, ReserveClean bool
}

// TableInputs is what a writer knows of the wishes for seats of its zone.
type TableInputs struct {
	// Seats is the number of seats that the configuration gives to the zone.
	Seats int
	// SettledZone and SettledFleet are generations that the writer has seen in
	// force for the bounds; see Table.
	SettledZone, SettledFleet int
	// Claims are the live processes that ask for a seat.
	Claims []Process
	// Releases are the processes that gave their seats back.
	Releases []Release
	// Gone tells whether an instance has left the platform's list or is
	// confirmed dead.
	Gone func(instance string) bool
}

// Next returns the table that follows from a demand, and whether it differs.
func (t Table) Next(d TableInputs, operation string) (Table, bool) {
	next := Table{Version: t.Version + 1, Operation: operation, Entries: slices.Clone(t.Entries)}
	next.SettledZone = max(t.SettledZone, d.SettledZone)
	next.SettledFleet = max(t.SettledFleet, d.SettledFleet)
	changed := next.SettledZone != t.SettledZone || next.SettledFleet != t.SettledFleet
	changed = next.freeSeats(d) || changed
	for len(next.Entries) < d.Seats {
		next.Entries = append(next.Entries, Entry{Clean: true, ReserveClean: true})
		changed = true
	}
	for _, claim := range d.Claims {
		if next.Index(claim) < 0 && next.assignSeat(claim, d.Seats) {
			changed = true
		}
	}
	if !changed {
		return t, false
	}
	return next, true
}

// free takes seats from processes that released them, are gone, were
// restarted, or sit beyond the number of seats.
func (t *Table) freeSeats(d TableInputs) bool {
	changed := false
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.Holder == (Process{}) {
			continue
		}
		if r := slices.IndexFunc(d.Releases, func(r Release) bool { return r.Process == e.Holder }); r >= 0 {
			*e = Entry{Clean: d.Releases[r].Clean, ReserveClean: d.Releases[r].ReserveClean}
			changed = true
			continue
		}
		if i >= d.Seats || d.Gone(e.Holder.Instance) || hasRestarted(e.Holder, d.Claims) {
			*e = Entry{}
			changed = true
		}
	}
	return changed
}

// assign gives a free seat to a process, a clean one if there is any.
func (t *Table) assignSeat(p Process, seats int) bool {
	best := -1
	for i, e := range t.Entries[:min(seats, len(t.Entries))] {
		if e.Holder == (Process{}) && (best < 0 || e.Clean && !t.Entries[best].Clean) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	t.Entries[best].Holder, t.Entries[best].AssignedVersion = p, t.Version
	return true
}

func hasRestarted(holder Process, claims []Process) bool {
	return slices.ContainsFunc(claims, func(c Process) bool {
		return c.Instance == holder.Instance && c.Incarnation != holder.Incarnation
	})
}
