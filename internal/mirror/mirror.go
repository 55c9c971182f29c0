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
	o       Options
	entries map[string]platform.Entry
	missing map[string]time.Duration // key → when it counts as gone

	contact   time.Duration // when the store last answered
	graceEnds time.Duration // entries that lapse before may come back until then
	revision  uint64
	listed    bool
	// returned is set from the first contact after an outage until it is known
	// whether entries lapsed meanwhile.
	returned bool
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{o: o, entries: map[string]platform.Entry{}, missing: map[string]time.Duration{}}
}

// Revision returns the store's revision that the copy has reached.
func (m *Mirror) Revision() uint64 { return m.revision }

// NoteContact notes an answer of the store that proves the copy current.
func (m *Mirror) NoteContact(now time.Duration) {
	if m.listed && now-m.contact > m.o.OutageThreshold {
		m.graceEnds, m.returned = now+m.o.Grace, true
	}
	m.contact = max(m.contact, now)
}

// Replace takes a whole listing. It returns the keys that changed.
func (m *Mirror) Replace(entries []platform.Entry, revision uint64, now time.Duration) []string {
	m.NoteContact(now)
	var changed []string
	present := make(map[string]uint64, len(entries))
	for _, e := range entries {
		present[e.Key] = e.Revision
	}
	m.judgeOutage(func(key string) bool { return present[key] == m.entries[key].Revision })
	for _, e := range entries {
		if m.put(e) {
			changed = append(changed, e.Key)
		}
	}
	for key := range m.entries {
		if present[key] == 0 && m.remove(key, now) {
			changed = append(changed, key)
		}
	}
	m.revision, m.listed = max(m.revision, revision), true
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
	if m.returned {
		touched := make(map[string]bool, len(changes))
		for _, c := range changes {
			touched[c.Entry.Key] = true
		}
		m.judgeOutage(func(key string) bool { return !touched[key] })
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

// judgeOutage decides, at the first contact after a time without, whether
// entries lapsed meanwhile. unchanged tells whether an entry is as it was.
func (m *Mirror) judgeOutage(unchanged func(key string) bool) {
	if !m.returned {
		return
	}
	m.returned = false
	all, same := 0, 0
	for key := range m.entries {
		if m.o.InstancePrefix == "" || !strings.HasPrefix(key, m.o.InstancePrefix) || key == m.o.SelfKey {
			continue
		}
		all++
		if unchanged(key) {
			same++
		}
	}
	if 2*same > all {
		m.graceEnds = 0
	}
}

// Expire removes the entries whose time to come back has passed and returns
// their keys.
func (m *Mirror) Expire(now time.Duration) []string {
	var gone []string
	for key, at := range m.missing {
		if now >= at {
			delete(m.missing, key)
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
	delete(m.missing, e.Key)
	if known, ok := m.entries[e.Key]; ok && known.Revision >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	return true
}

func (m *Mirror) remove(key string, now time.Duration) bool {
	if now < m.graceEnds && m.registered(key) {
		if _, waiting := m.missing[key]; !waiting {
			m.missing[key] = m.graceEnds
		}
		return false
	}
	delete(m.missing, key)
	delete(m.entries, key)
	return true
}

func (m *Mirror) registered(key string) bool {
	for _, prefix := range m.o.LeasedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
