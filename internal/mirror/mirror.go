// Package mirror keeps a copy of the store's keys from listings and changes.
// It decides which keys count as gone: an entry that lapsed while the store was
// away gets some time to come back. An entry that went while only this instance
// was away is gone.
package mirror

import (
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// Options set which keys may come back and when.
type Options struct {
	// LeasedPrefixes lists the prefixes whose entries their owners renew.
	LeasedPrefixes []string
	// Grace is how long after the store's return such an entry may be missing.
	Grace time.Duration
	// InstancePrefix is the prefix of the other instances' entries, and SelfKey this
	// instance's key there: if most of them stand unchanged after a time without
	// contact, the store was not away, and nothing lapsed.
	InstancePrefix, SelfKey string
	// OutageThreshold is the time without contact from which entries may have lapsed;
	// shorter gaps are taken as a cut watch.
	OutageThreshold time.Duration
}

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	options Options
	entries map[string]platform.Entry
	goneAt  map[string]time.Duration // key → when it counts as gone

	lastContact time.Duration // when the store last answered
	graceEnds   time.Duration // entries that lapse before may come back until then
	revision    uint64
	hasListing  bool
	// outageEnded is set from the first contact after an outage until it is known
	// whether entries lapsed meanwhile.
	outageEnded bool
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	return &Mirror{options: options, entries: map[string]platform.Entry{}, goneAt: map[string]time.Duration{}}
}

// Revision returns the store's revision that the copy has reached.
func (m *Mirror) Revision() uint64 { return m.revision }

// NoteContact notes an answer of the store that proves the copy current.
func (m *Mirror) NoteContact(now time.Duration) {
	if m.hasListing && now-m.lastContact > m.options.OutageThreshold {
		m.graceEnds, m.outageEnded = now+m.options.Grace, true
	}
	m.lastContact = max(m.lastContact, now)
}

// Replace takes a whole listing. It returns the keys that changed.
func (m *Mirror) Replace(entries []platform.Entry, revision uint64, now time.Duration) []string {
	m.NoteContact(now)
	var changed []string
	listedRevisions := make(map[string]uint64, len(entries))
	for _, e := range entries {
		listedRevisions[e.Key] = e.Revision
	}
	m.checkForLapses(func(key string) bool { return listedRevisions[key] == m.entries[key].Revision })
	for _, e := range entries {
		if m.put(e) {
			changed = append(changed, e.Key)
		}
	}
	for key := range m.entries {
		if listedRevisions[key] == 0 && m.remove(key, now) {
			changed = append(changed, key)
		}
	}
	m.revision, m.hasListing = max(m.revision, revision), true
	return changed
}

// Apply takes changes in the order of their revisions, which prove the copy current.
// It returns the keys that changed.
func (m *Mirror) Apply(changes []platform.Change, revision uint64, now time.Duration) []string {
	m.NoteContact(now)
	return m.ApplyUnconfirmed(changes, revision, now)
}

// ApplyUnconfirmed takes changes that do not prove the copy current, for example from an
// instance that has lost the store itself.
func (m *Mirror) ApplyUnconfirmed(changes []platform.Change, revision uint64, now time.Duration) []string {
	var changed []string
	if m.outageEnded {
		changedKeys := make(map[string]bool, len(changes))
		for _, c := range changes {
			changedKeys[c.Entry.Key] = true
		}
		m.checkForLapses(func(key string) bool { return !changedKeys[key] })
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

// checkForLapses decides, at the first contact after a time without, whether
// entries lapsed meanwhile. unchanged tells whether an entry is as it was.
func (m *Mirror) checkForLapses(unchanged func(key string) bool) {
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

// Expire removes the entries whose time to come back has passed and returns
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

// Get returns an entry.
func (m *Mirror) Get(key string) (platform.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// Each calls f for each entry under the prefix, in no order.
func (m *Mirror) Each(prefix string, f func(platform.Entry)) {
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			f(e)
		}
	}
}

func (m *Mirror) put(e platform.Entry) bool {
	delete(m.goneAt, e.Key)
	if known, ok := m.entries[e.Key]; ok && known.Revision >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	return true
}

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

func (m *Mirror) isLeased(key string) bool {
	for _, prefix := range m.options.LeasedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
