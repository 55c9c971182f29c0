// Package relay lets the instances of a region follow the store through one of
// them. It holds what that takes without network or clock: the changes that an
// instance can pass on, and whom an instance follows.
//
// It answers the load of many instances beside many targets: the store serves few
// calls a second, each heartbeat of a target is a change, and a watch per instance
// carries all of them to all instances and between regions.
package relay

import (
	"slices"
	"sort"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// maxLoggedChanges bounds the changes that are kept for followers; one that is further behind
// lists the store. It is some seconds of a fleet that changes whole.
const maxLoggedChanges = 4096

// maxBatchChanges is how many changes are passed on at once, about 300 KB of registrations:
// an instance with 16 followers holds as many answers.
const maxBatchChanges = 1024

// Feed is what an instance can pass on: the changes of its copy of the store in
// the order in which it learnt of them. It is not safe for concurrent use.
type Feed struct {
	// equivalent tells whether two values of a key mean the equivalent; such a change, for
	// example a heartbeat, is not passed on.
	equivalent func(old, next platform.Entry) bool

	entries       map[string]platform.Entry // newest known
	log           []loggedChange            // by position
	completeSince uint64                    // followers behind it have missed changes
	revision      uint64                    // all changes up to it were taken
}

// loggedChange is a change and its position: a follower whose copy is complete up to there
// has it.
type loggedChange struct {
	position uint64
	change   platform.Change
}

// NewFeed returns a feed that has taken nothing.
func NewFeed(equivalent func(old, next platform.Entry) bool) *Feed {
	return &Feed{equivalent: equivalent, entries: map[string]platform.Entry{}}
}

// Replace takes a whole listing. Followers have to list too, since it does not
// tell what was deleted.
func (f *Feed) Replace(entries []platform.Entry, revision uint64) {
	f.entries = make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		f.entries[e.Key] = e
	}
	f.revision = max(f.revision, revision)
	f.completeSince, f.log = f.revision, nil
}

// Apply takes changes, which complete the copy up to a revision. It tells whether
// there is anything to pass on.
func (f *Feed) Apply(changes []platform.Change, revision uint64) bool {
	before, position := len(f.log), f.revision
	for _, c := range changes {
		position = max(position, c.Entry.Revision)
		if f.update(c) {
			f.log = append(f.log, loggedChange{position, c})
		}
	}
	f.revision = max(position, revision)
	hasNew := len(f.log) > before
	if excess := len(f.log) - maxLoggedChanges; excess > 0 {
		f.completeSince = f.log[excess-1].position
		f.log = slices.Clone(f.log[excess:])
	}
	return hasNew
}

// update updates an entry and tells whether followers need the change. One that the
// copy has already, from a listing that went on while it changed, may be new to them.
func (f *Feed) update(c platform.Change) bool {
	old, known := f.entries[c.Entry.Key]
	newer := !known || old.Revision < c.Entry.Revision
	switch {
	case c.Deleted && newer:
		delete(f.entries, c.Entry.Key)
	case newer:
		f.entries[c.Entry.Key] = c.Entry
	}
	return c.Deleted || !known || !newer || !f.equivalent(old, c.Entry)
}

// Batch is what a follower lacks.
type Batch struct {
	Changes []platform.Change
	// Revision is up to which they complete its copy.
	Revision uint64
	// More says that there are further changes.
	More bool
}

// ChangesSince returns what a follower lacks whose copy is complete up to a revision. The
// second result is false if the follower has to list.
func (f *Feed) ChangesSince(after uint64) (Batch, bool) {
	if after < f.completeSince {
		return Batch{}, false
	}
	first := sort.Search(len(f.log), func(i int) bool { return f.log[i].position > after })
	batch := Batch{Revision: f.revision}
	for i, logged := range f.log[first:] {
		// Changes with the same position belong together.
		if i >= maxBatchChanges && logged.position > batch.Revision {
			batch.More = true
			return batch, true
		}
		batch.Changes = append(batch.Changes, logged.change)
		if i >= maxBatchChanges-1 {
			batch.Revision = logged.position
		}
	}
	batch.Revision = f.revision
	return batch, true
}
