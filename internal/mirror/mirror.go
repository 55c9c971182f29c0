// Package mirror maintains a local copy of the entries of the platform's
// key-value store from listings and changes, and decides when an entry that
// disappeared from the store is removed from the copy.
//
// Entries whose leases expired because the store was down are kept for a grace
// period, in which their owners can register again. If only this instance was
// cut off from the store, the entries that disappeared meanwhile are removed at
// once.
//
// A store that comes back as an older copy, in a higher era, lists entries that are older
// than those known here and lacks others. Judge decides which of them are believed.
package mirror

import (
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// Options holds a mirror's key prefixes and time limits.
type Options struct {
	// LeasedPrefixes lists the key prefixes of entries that their owners keep
	// alive by renewing a lease.
	LeasedPrefixes []string
	// Grace is how long after the end of an outage such an entry may be missing
	// from the store before it is removed.
	Grace time.Duration
	// InstancePrefix is the key prefix of the instances' entries, and SelfKey
	// the key of this instance among them. If more than half of the other
	// instances' entries are unchanged after a time without contact, the store
	// was not down, and no entry expired because of an outage.
	InstancePrefix, SelfKey string
	// OutageThreshold is the time without contact beyond which the store may
	// have been down and leases may have expired. A shorter gap is treated as
	// an interrupted watch.
	OutageThreshold time.Duration
	// LastingKey is the key of an entry that is kept for good when a store that came
	// back as an older copy lacks it or has an outdated one.
	LastingKey string
	// IsOutdated reports whether an entry that such a store lists shows an earlier state
	// than the one known before. Nil means that none does.
	IsOutdated func(known, listed platform.Entry) bool
	// ProofDelay is how long after such a return an entry that is listed may still be
	// outdated, because its owner has yet to write it again. A mirror whose first listing is
	// of an era above 0 cannot tell when that was, and counts from the listing.
	ProofDelay time.Duration
}

// Mirror is the copy. All times are durations since a fixed moment, such as the
// boot of the machine. A Mirror is not safe for concurrent use.
type Mirror struct {
	options Options
	entries map[string]platform.Entry
	goneAt  map[string]time.Duration // by key, for entries that have disappeared from the store: time since the fixed moment at which to remove them here

	lastContact time.Duration // last time at which the copy was confirmed to be current
	graceEnds   time.Duration // leased entries that disappear before this time are kept until then
	revision    uint64
	hasListing  bool
	// outageEnded is set at the first contact after an outage, until
	// checkOutage has decided whether the store was down.
	outageEnded bool

	restored   uint64        // revision of the first copy of the present era; 0 if the era has not risen
	provenFrom time.Duration // end of ProofDelay; 0 if the store is not known to have come back
	keptUntil  time.Duration // end of the grace period of entries of lower eras
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	return &Mirror{options: options, entries: map[string]platform.Entry{}, goneAt: map[string]time.Duration{}}
}

// Revision returns the store's revision that the copy has reached.
func (m *Mirror) Revision() uint64 { return m.revision }

// NoteContact records that the copy was confirmed to be current at the time now.
// After a gap of more than OutageThreshold it begins a grace period.
func (m *Mirror) NoteContact(now time.Duration) {
	if m.hasListing && now-m.lastContact > m.options.OutageThreshold {
		m.graceEnds, m.outageEnded = now+m.options.Grace, true
	}
	m.lastContact = max(m.lastContact, now)
}

// Replace replaces the copy by a full listing, as Judge returns it, of a revision that is
// not older than the copy's, which also confirms it as current. It returns the keys whose
// entries changed in the copy.
func (m *Mirror) Replace(entries []platform.Entry, revision uint64, now time.Duration) []string {
	if m.IsRestored(revision) {
		return m.replaceRestored(entries, revision, now)
	}
	if !m.hasListing && platform.RevisionEra(revision) > 0 {
		m.provenFrom = now + m.options.ProofDelay // the store may have come back just before
	}
	m.NoteContact(now)
	var changed []string
	listedRevisions := make(map[string]uint64, len(entries))
	for _, e := range entries {
		listedRevisions[e.Key] = e.Revision
	}
	m.checkOutage(func(key string) bool { return listedRevisions[key] == m.entries[key].Revision })
	for _, e := range entries {
		if platform.RevisionEra(e.Revision) < platform.RevisionEra(revision) {
			if m.keep(e, revision, now) {
				changed = append(changed, e.Key)
			}
		} else if m.put(e) {
			changed = append(changed, e.Key)
		}
	}
	for key, e := range m.entries {
		if listedRevisions[key] != 0 || e.Revision > revision || platform.RevisionEra(e.Revision) < platform.RevisionEra(m.revision) {
			continue // or missing since the era rose
		}
		if m.remove(key, now) {
			changed = append(changed, key)
		}
	}
	m.revision, m.hasListing = max(m.revision, revision), true
	return changed
}

// Apply applies changes, ordered by revision, that confirm the copy as current
// up to the given revision. It returns the keys whose entries changed in the copy.
func (m *Mirror) Apply(changes []platform.Change, revision uint64, now time.Duration) []string {
	m.NoteContact(now)
	return m.ApplyUnconfirmed(changes, revision, now)
}

// ApplyUnconfirmed is like Apply for changes that do not confirm the
// copy as current, such as those from an instance that has itself lost contact with the
// store.
func (m *Mirror) ApplyUnconfirmed(changes []platform.Change, revision uint64, now time.Duration) []string {
	var changed []string
	if m.outageEnded {
		changedKeys := make(map[string]bool, len(changes))
		for _, c := range changes {
			changedKeys[c.Entry.Key] = true
		}
		m.checkOutage(func(key string) bool { return !changedKeys[key] })
	}
	for _, c := range changes {
		if c.Deleted {
			if known, ok := m.entries[c.Entry.Key]; ok && known.Revision < c.Entry.Revision && m.remove(c.Entry.Key, now) {
				changed = append(changed, c.Entry.Key)
			}
			continue
		}
		if m.put(c.Entry) {
			changed = append(changed, c.Entry.Key)
		}
	}
	m.revision = max(m.revision, revision)
	return changed
}

// checkOutage decides, at the first contact after an outage, whether the
// store was down, so that leases expired, and cancels the grace period if not.
// unchanged reports whether the entry of a key is the same as before the
// outage.
func (m *Mirror) checkOutage(unchanged func(key string) bool) {
	if !m.outageEnded {
		return
	}
	m.outageEnded = false
	peers, unchangedPeers := 0, 0
	for key := range m.entries {
		if m.options.InstancePrefix == "" || !strings.HasPrefix(key, m.options.InstancePrefix) || key == m.options.SelfKey {
			continue
		}
		peers++
		if unchanged(key) {
			unchangedPeers++
		}
	}
	if 2*unchangedPeers > peers {
		m.graceEnds = 0
	}
}

// Expire removes the missing entries whose grace period is over and returns
// their keys.
func (m *Mirror) Expire(now time.Duration) []string {
	var gone []string
	for key, deadline := range m.goneAt {
		if now >= deadline {
			delete(m.goneAt, key)
			delete(m.entries, key)
			gone = append(gone, key)
		}
	}
	return gone
}

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (platform.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// Each calls f for each entry whose key has the prefix, in no particular order.
func (m *Mirror) Each(prefix string, f func(platform.Entry)) {
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			f(e)
		}
	}
}

// put stores an entry unless the copy has the same or a later revision of it,
// and reports whether the copy changed.
func (m *Mirror) put(e platform.Entry) bool {
	delete(m.goneAt, e.Key)
	if known, ok := m.entries[e.Key]; ok && known.Revision >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	return true
}

// remove removes an entry, and reports whether it did. During a grace period, a
// leased entry is kept and marked as missing instead.
func (m *Mirror) remove(key string, now time.Duration) bool {
	if now < m.graceEnds && m.isLeased(key) {
		if _, pending := m.goneAt[key]; !pending {
			m.goneAt[key] = m.graceEnds
		}
		return false
	}
	delete(m.goneAt, key)
	delete(m.entries, key)
	return true
}

// isLeased reports whether the entry of a key is kept alive by a lease.
func (m *Mirror) isLeased(key string) bool {
	for _, prefix := range m.options.LeasedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
