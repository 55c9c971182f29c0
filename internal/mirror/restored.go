package mirror

import (
	"bytes"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// Judgement tells what a listing of a higher era has led to.
type Judgement struct {
	FromEra, ToEra uint64
	Missing        int // entries known here that the store lacks
	Outdated       int // entries of which the store has an earlier state
	Withheld       int // entries listed that had gone before
}

// IsRestored reports whether a revision shows that the store has come back as an older
// copy since the mirror's listing.
func (m *Mirror) IsRestored(revision uint64) bool {
	return m.hasListing && platform.RevisionEra(revision) > platform.RevisionEra(m.revision)
}

// Judge returns the entries of a listing that are believed. An outdated entry is replaced
// by the known one, which keeps its revision of a lower era, and an entry that had gone
// is left out until its owner writes it again.
func (m *Mirror) Judge(listed []platform.Entry, revision uint64) ([]platform.Entry, Judgement) {
	rises := m.IsRestored(revision)
	if !rises && m.restored == 0 {
		return listed, Judgement{}
	}
	j := Judgement{FromEra: platform.RevisionEra(m.revision), ToEra: platform.RevisionEra(revision)}
	believed := make([]platform.Entry, 0, len(listed))
	seen := make(map[string]bool, len(listed))
	for _, e := range listed {
		seen[e.Key] = true
		known, ok := m.entries[e.Key]
		older := ok && platform.RevisionEra(known.Revision) < platform.RevisionEra(e.Revision)
		switch {
		case platform.RevisionEra(e.Revision) < j.ToEra: // kept by the instance that lists it
			believed = append(believed, e)
		case !ok && strings.HasPrefix(e.Key, m.options.InstancePrefix) && m.options.InstancePrefix != "":
			believed = append(believed, e) // written once only, and bound to its lease
		case rises && !ok && m.isLeased(e.Key) && platform.RevisionNumber(e.Revision) <= platform.RevisionNumber(m.revision),
			!rises && !ok && e.Revision <= m.restored:
			j.Withheld++
		case rises && older && m.isOutdated(known, e), !rises && older && e.Revision <= m.restored:
			believed = append(believed, known)
			j.Outdated++
		default:
			believed = append(believed, e)
		}
	}
	for key, known := range m.entries {
		if seen[key] {
			continue
		}
		j.Missing++
		if key == m.options.LastingKey {
			believed = append(believed, known)
		}
	}
	return believed, j
}

func (m *Mirror) isOutdated(known, listed platform.Entry) bool {
	return m.options.IsOutdated != nil && m.options.IsOutdated(known, listed)
}

// replaceRestored is Replace for the first listing of a higher era. All entries that are
// missing get a grace period, and only entries whose values differ count as changed.
func (m *Mirror) replaceRestored(entries []platform.Entry, revision uint64, now time.Duration) []string {
	m.lastContact, m.outageEnded = max(m.lastContact, now), false
	m.graceEnds, m.keptUntil, m.provenFrom = now+m.options.Grace, now+m.options.Grace, now+m.options.ProofDelay
	m.revision, m.restored = revision, revision
	var changed []string
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		known, ok := m.entries[e.Key]
		if platform.RevisionEra(e.Revision) < platform.RevisionEra(revision) {
			m.keep(e, revision, now)
		} else {
			m.put(e)
		}
		if !ok || !bytes.Equal(known.Value, m.entries[e.Key].Value) {
			changed = append(changed, e.Key)
		}
	}
	for key := range m.entries {
		if !listed[key] {
			m.expect(key, now)
		}
	}
	return changed
}

// keep takes an entry of a lower era than the copy's: the store lacks it, or has an
// outdated one. It reports whether the copy changed.
func (m *Mirror) keep(e platform.Entry, revision uint64, now time.Duration) bool {
	if !m.hasListing && m.restored != revision { // a copy by an instance that has judged it
		m.restored, m.keptUntil, m.provenFrom = revision, now+m.options.Grace, now+m.options.ProofDelay
	}
	known, ok := m.entries[e.Key]
	lasting := e.Key == m.options.LastingKey
	switch {
	case ok && platform.RevisionEra(known.Revision) > platform.RevisionEra(e.Revision) && !(lasting && m.isOutdated(e, known)),
		!ok && !lasting && now >= m.keptUntil:
		return false
	case !ok || e.Revision > known.Revision || lasting && m.isOutdated(e, known):
		m.entries[e.Key] = e
	}
	m.expect(e.Key, now)
	return !ok || !bytes.Equal(known.Value, m.entries[e.Key].Value)
}

// expect gives an entry until the end of the grace period to be written again.
func (m *Mirror) expect(key string, now time.Duration) {
	if _, pending := m.goneAt[key]; !pending && key != m.options.LastingKey {
		m.goneAt[key] = m.keptUntil
	}
}

// IsOutdatedChange reports whether a change brings an earlier state of an entry that has
// not been written again yet: its owner may write all of its lost states again, in their order.
func (m *Mirror) IsOutdatedChange(c platform.Change, now time.Duration) bool {
	known, ok := m.entries[c.Entry.Key]
	if !ok || c.Deleted || platform.RevisionEra(known.Revision) >= platform.RevisionEra(c.Entry.Revision) {
		return false
	}
	return (now < m.keptUntil || c.Entry.Key == m.options.LastingKey) && m.isOutdated(known, c.Entry)
}

// IsProven reports whether the entry of a key, in a copy that is current as of the time
// now, which may be before the present, is known to be the newest one. It is not if the store came back as an older copy
// and the owner of the entry may still have to write it, or a later one, again.
func (m *Mirror) IsProven(key string, now time.Duration) bool {
	e, ok := m.entries[key]
	return ok && m.IsSettled(now) && platform.RevisionEra(e.Revision) == platform.RevisionEra(m.revision)
}

// IsSettled reports whether a copy that is current as of the time now has what was written
// within ProofDelay after the store came back as an older copy.
func (m *Mirror) IsSettled(now time.Duration) bool { return now >= m.provenFrom }

// NoteSettled records that a copy of an era is settled if it is current as of the time from,
// or later.
func (m *Mirror) NoteSettled(era uint64, from time.Duration) {
	if era == platform.RevisionEra(m.revision) {
		m.provenFrom = min(m.provenFrom, from)
	}
}
