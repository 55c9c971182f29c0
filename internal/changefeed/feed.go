// Package changefeed lets the instances of a region receive the changes of the
// platform's key-value store through one of them. It contains the parts that
// need neither network nor clock: Feed, the changes that an instance can pass
// on to its followers, Budget, which bounds the memory held for them, and
// SourceChooser, which decides whom an instance follows.
//
// It exists for fleets with many instances and many targets: the store serves
// only a few calls per second, each heartbeat of a target is a change, and if
// every instance watched the store, each change would be sent to every
// instance, also between regions.
package changefeed

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/turmericfield/turmericfield/internal/delta"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// maxLoggedChanges bounds the changes that are kept for followers; a follower
// that is further behind needs a whole copy. It covers some seconds in which every entry
// of the fleet changes. The log is bounded in bytes as well, see Budget.
const maxLoggedChanges = 4096

// maxBatchChanges is the number of changes that are sent to a follower at once,
// about 300 KB of registrations. An instance with 16 followers holds 16 such
// responses in memory.
const maxBatchChanges = 1024

// Feed holds what an instance can pass on to its followers: the changes to its
// copy of the store, in the order in which it received them. It is not safe for
// concurrent use.
type Feed struct {
	// equivalent reports whether two values of an entry differ in nothing that
	// followers need. Such a change, for example a heartbeat, is not passed on.
	equivalent func(old, next platform.Entry) bool

	entries       map[string]platform.Entry // newest known, by key
	log           []loggedChange            // ordered by position
	budget        *Budget                   // bounds and records the bytes of the log
	completeSince uint64                    // log holds all changes after this revision
	revision      uint64                    // all changes up to this revision were applied
	gaps          []Gap
}

// Gap lies between two listings of the store, given by their revisions. What was created
// and deleted in between is not known. A follower whose copy is of such a revision may
// have entries that nothing in the log deletes.
type Gap struct{ From, To uint64 }

// loggedChange is a change and its position: a follower whose copy is complete
// up to that revision has the change. A change that arrives out of order gets
// the position of the latest one before it.
type loggedChange struct {
	position uint64
	change   platform.Change
}

func (c loggedChange) size() int64 {
	size := int64(len(c.change.Entry.Key)+len(c.change.Entry.Value)) + changeOverheadBytes
	if d := c.change.Difference; d != nil {
		size += int64(len(d.Data))
	}
	return size
}

// NewFeed returns an empty feed.
func NewFeed(equivalent func(old, next platform.Entry) bool) *Feed {
	return &Feed{equivalent: equivalent, entries: map[string]platform.Entry{}, budget: NewBudget(0)}
}

// SetBudget sets what bounds the log in bytes. It must be called before the first change.
func (f *Feed) SetBudget(b *Budget) { f.budget = b }

// Replace takes a whole copy of the store at a revision, not older than that of the
// feed, and reports whether there is anything to pass on. Followers that are not ahead of
// the copy before receive the difference to it. The first copy shows no difference, so
// that followers behind it need a whole copy as well.
func (f *Feed) Replace(entries []platform.Entry, revision uint64) bool {
	if f.revision > 0 {
		if f.revision < revision {
			f.gaps = append(f.gaps, Gap{f.revision, revision})
		}
		return f.Apply(f.changesTo(entries, revision), revision)
	}
	for _, e := range entries {
		f.entries[e.Key] = e
	}
	f.revision, f.completeSince = revision, revision
	return true
}

// Reset takes the whole copy of a store that has come back as an older one. Followers
// behind it need a whole copy as well.
func (f *Feed) Reset(entries []platform.Entry, revision uint64) {
	f.entries, f.log, f.gaps = make(map[string]platform.Entry, len(entries)), nil, nil
	f.budget.log = 0
	for _, e := range entries {
		f.entries[e.Key] = e
	}
	f.revision, f.completeSince = revision, revision
}

// Drop removes entries of a lower era that nobody has written again. Followers have
// their own grace period for them.
func (f *Feed) Drop(keys []string) {
	for _, key := range keys {
		if e, ok := f.entries[key]; ok && platform.RevisionEra(e.Revision) < platform.RevisionEra(f.revision) {
			delete(f.entries, key)
		}
	}
}

// changesTo returns the changes, ordered by revision, that lead from the feed's entries
// to those of a copy. An entry that the copy lacks was deleted at its revision at the
// latest, unless it is newer than the copy.
func (f *Feed) changesTo(entries []platform.Entry, revision uint64) []platform.Change {
	var changes []platform.Change
	inCopy := make(map[string]bool, len(entries))
	for _, e := range entries {
		inCopy[e.Key] = true
		if e.Revision > f.entries[e.Key].Revision {
			changes = append(changes, platform.Change{Entry: e})
		}
	}
	for key, e := range f.entries {
		if !inCopy[key] && e.Revision <= revision {
			changes = append(changes, platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	slices.SortFunc(changes, func(a, b platform.Change) int { return cmp.Compare(a.Entry.Revision, b.Entry.Revision) })
	return changes
}

// Revision returns the revision up to which the entries are complete.
func (f *Feed) Revision() uint64 { return f.revision }

// Entries returns all entries, in no particular order, and the revision up to which they
// are complete.
func (f *Feed) Entries() ([]platform.Entry, uint64) {
	return slices.Collect(maps.Values(f.entries)), f.revision
}

// AddGaps takes the gaps that the next changes lead over.
func (f *Feed) AddGaps(gaps []Gap) {
	for _, g := range gaps {
		if !slices.Contains(f.gaps, g) {
			f.gaps = append(f.gaps, g)
		}
	}
}

// Apply takes changes, after which the copy is complete up to the revision, and
// reports whether there is anything to pass on.
func (f *Feed) Apply(changes []platform.Change, revision uint64) bool {
	hasNew, position := false, f.revision
	for _, c := range changes {
		position = max(position, c.Entry.Revision)
		c.Difference = f.difference(c)
		if f.update(c) {
			hasNew = true
			f.appendToLog(loggedChange{position, c})
		}
	}
	f.revision = max(position, revision)
	return hasNew
}

// difference returns that of a changed value to the one before, unless the value is small
// or the two have little in common.
func (f *Feed) difference(c platform.Change) *platform.Difference {
	old := f.entries[c.Entry.Key]
	switch {
	case c.Deleted || len(c.Entry.Value) < minDifferenceBytes || old.Revision >= c.Entry.Revision:
		return nil
	case c.Difference != nil && c.Difference.Base == old.Revision:
		return c.Difference // as the source made it
	}
	data := delta.Encode(old.Value, c.Entry.Value)
	if len(data) == 0 || len(data) > len(c.Entry.Value)/2 {
		return nil
	}
	return &platform.Difference{Base: old.Revision, Data: data}
}

// appendToLog logs a change, without its value if that is large and there is a difference.
// A change that is large all the same is not kept, so that followers behind it need a
// whole copy, and nor are the changes before it, which nobody can use then. Otherwise the
// oldest changes make room for it.
func (f *Feed) appendToLog(c loggedChange) {
	if c.change.Difference != nil && len(c.change.Entry.Value) > MaxChangeBytes {
		c.change.Entry.Value = nil
	}
	if c.size() > MaxChangeBytes {
		f.log = nil
		f.budget.log = 0
		f.forgetUntil(c.position)
		return
	}
	f.log = append(f.log, c)
	f.budget.log += c.size()
	excess := 0
	for len(f.log)-excess > maxLoggedChanges || f.budget.log > f.budget.LogLimit() && excess < len(f.log) {
		f.budget.log -= f.log[excess].size()
		excess++
	}
	if excess > 0 {
		position := f.log[excess-1].position
		clear(f.log[:excess]) // the array lives on until append replaces it
		f.log = f.log[excess:]
		f.forgetUntil(position)
	}
}

// forgetUntil records that the log no longer has all changes up to a revision.
func (f *Feed) forgetUntil(revision uint64) {
	f.completeSince = revision
	f.gaps = slices.DeleteFunc(f.gaps, func(g Gap) bool { return g.To <= revision })
}

// update updates an entry and reports whether followers need the change. A
// change that a listing already contained, because it happened while the
// listing was read, may be new to them.
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

// Batch is a set of changes for a follower.
type Batch struct {
	// Changes have a value, a difference or both. A large value is there as a difference only.
	Changes []platform.Change
	// Revision is the store's revision up to which the follower's copy is
	// complete once it has applied the changes.
	Revision uint64
	// More says that further changes are available already.
	More bool
	// Gaps are those that the changes lead over, which the follower's own followers
	// must not be in either.
	Gaps []Gap
}

// ChangesSince returns the next changes for a follower whose copy is complete
// up to a revision. The second result is false if the log does not reach back
// that far, so that the follower needs a whole copy.
func (f *Feed) ChangesSince(after uint64) (Batch, bool) {
	if after < f.completeSince || slices.ContainsFunc(f.gaps, func(g Gap) bool { return g.From < after && after < g.To }) {
		return Batch{}, false
	}
	first := sort.Search(len(f.log), func(i int) bool { return f.log[i].position > after })
	batch := Batch{Revision: f.revision, Gaps: slices.DeleteFunc(slices.Clone(f.gaps), func(g Gap) bool { return g.To <= after })}
	for i, logged := range f.log[first:] {
		// Changes with the same position must not be split between batches.
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
