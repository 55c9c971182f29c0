package seat

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// KeyPrefix is the prefix of the keys of the seat tables in the platform's store.
// The name of the availability zone follows it.
const KeyPrefix = "control/seats/"

// Process identifies one process. A restarted instance keeps its name but gets a
// new incarnation, so that it never counts as the holder of its former process's
// seat.
type Process struct {
	Instance    string `json:"instance,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Entry is the state of one seat in a table.
type Entry struct {
	// Holder is the process that the seat is assigned to. It is zero if the seat
	// is free.
	Holder Process `json:"holder,omitzero"`
	// AssignedVersion is the version of the table that assigned the seat to the
	// holder.
	AssignedVersion uint64 `json:"since,omitempty"`
	// Clean says that no former holder can be using the seat: it is new, or all
	// former holders stopped using it before they gave it back. The holder of a
	// clean seat need not wait.
	Clean bool `json:"clean,omitempty"`
	// ReserveClean says the same about the seat's reserve.
	ReserveClean bool `json:"reserve_clean,omitempty"`
}

// Table assigns the seats of one availability zone. The index of an entry is that
// of its seat. Entries are never removed, even if the zone has fewer seats now,
// because a former holder may still be using its seat.
type Table struct {
	Version uint64  `json:"version"`
	Entries []Entry `json:"entries"`
	// SettledZone and SettledFleet are the newest generations of the number of
	// seats, of the zone and of the fleet (see Layout), that have been in force for
	// so long that no instance uses an earlier one.
	SettledZone  int `json:"settled_zone,omitempty"`
	SettledFleet int `json:"settled_fleet,omitempty"`
	// Operation identifies the write that stored this version.
	Operation string `json:"operation"`
}

// Encode returns the table as it is stored.
func (t Table) Encode() ([]byte, error) {
	value, err := json.Marshal(t)
	return value, errors.Wrap(err, "encode seat table")
}

// DecodeTable parses a stored table. An empty value is the empty table.
func DecodeTable(value []byte) (Table, error) {
	var t Table
	if len(value) == 0 {
		return t, nil
	}
	err := json.Unmarshal(value, &t)
	return t, errors.Wrap(err, "decode seat table")
}

// Index returns the index of a process's seat, or -1.
func (t Table) Index(p Process) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Holder == p })
}

// Holder returns the name of the instance that holds a seat, or "".
func (t Table) Holder(index int) string {
	if index < 0 || index >= len(t.Entries) {
		return ""
	}
	return t.Entries[index].Holder.Instance
}

// Release says that a process has stopped using its seat and gives it back.
type Release struct {
	Process Process
	// Clean and ReserveClean say whether no earlier holder can be using the seat
	// and the reserve either. They go into the entry of the free seat.
	Clean, ReserveClean bool
}

// TableInputs is what a writer of the seat table derives its next version from.
type TableInputs struct {
	// Seats is the number of seats that the zone has by the configuration.
	Seats int
	// SettledZone and SettledFleet are the generations of the number of seats that
	// the writer has seen in force for longer than an instance may use an earlier
	// one. See Table.
	SettledZone, SettledFleet int
	// Claims lists the live processes that ask for a seat.
	Claims []Process
	// Releases lists the seats that processes have given back.
	Releases []Release
	// Gone tells whether an instance can no longer be running, so that its seat
	// may be assigned to another process.
	Gone func(instance string) bool
}

// Next returns the table that follows from the inputs, and whether it differs
// from this one.
func (t Table) Next(inputs TableInputs, operation string) (Table, bool) {
	next := Table{Version: t.Version + 1, Operation: operation, Entries: slices.Clone(t.Entries)}
	next.SettledZone = max(t.SettledZone, inputs.SettledZone)
	next.SettledFleet = max(t.SettledFleet, inputs.SettledFleet)
	changed := next.SettledZone != t.SettledZone || next.SettledFleet != t.SettledFleet
	changed = next.freeSeats(inputs) || changed
	for len(next.Entries) < inputs.Seats {
		next.Entries = append(next.Entries, Entry{Clean: true, ReserveClean: true})
		changed = true
	}
	for _, claim := range inputs.Claims {
		if next.Index(claim) < 0 && next.assignSeat(claim, inputs.Seats) {
			changed = true
		}
	}
	if !changed {
		return t, false
	}
	return next, true
}

// freeSeats frees the seats of processes that released them, are gone or were
// restarted, and those beyond the number of seats. A seat that was not released is
// free but not clean (see Entry.Clean): its next holder has to wait before it uses
// the seat, because the former holder may still be using it.
func (t *Table) freeSeats(inputs TableInputs) bool {
	changed := false
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.Holder == (Process{}) {
			continue
		}
		if r := slices.IndexFunc(inputs.Releases, func(r Release) bool { return r.Process == e.Holder }); r >= 0 {
			*e = Entry{Clean: inputs.Releases[r].Clean, ReserveClean: inputs.Releases[r].ReserveClean}
			changed = true
			continue
		}
		if i >= inputs.Seats || inputs.Gone(e.Holder.Instance) || hasRestarted(e.Holder, inputs.Claims) {
			*e = Entry{}
			changed = true
		}
	}
	return changed
}

// assignSeat assigns a free seat to a process, a clean one if there is any. It
// returns false if no seat is free.
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

// hasRestarted tells whether another process of the holder's instance asks for a
// seat.
func hasRestarted(holder Process, claims []Process) bool {
	return slices.ContainsFunc(claims, func(c Process) bool {
		return c.Instance == holder.Instance && c.Incarnation != holder.Incarnation
	})
}
