// Package platform is a small stand-in for the platform's key-value store and
// instance list, for tests, the demo and experiments.
package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	real "github.com/turmericfield/turmericfield/internal/platform"
)

type entry struct {
	key      string
	value    []byte
	revision uint64
	leaseID  uint64
}

type change struct {
	entry   entry
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the state of the stand-in: entries, leases and the change log.
type store struct {
	mu          sync.Mutex
	now         func() time.Time
	revision    uint64
	entries     map[string]entry
	leases      map[uint64]*lease
	lastLeaseID uint64
	changeLog   []change
	nextChange  chan struct{} // closed and replaced at each change
}

func newStore(now func() time.Time) *store {
	return &store{now: now, entries: map[string]entry{}, leases: map[uint64]*lease{}, nextChange: make(chan struct{})}
}

func (s *store) get(key string) (entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[key]
	if !ok {
		e = entry{key: key}
	}
	return e, s.revision
}

func (s *store) list(prefix string) ([]entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out, s.revision
}

// compareAndSwap applies a compare-and-swap. leaseOK is false if the lease is unknown.
func (s *store) compareAndSwap(e entry, expectedRevision uint64, remove bool, requires []real.Condition) (swapped, leaseOK bool, current entry, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if e.leaseID != 0 && s.leases[e.leaseID] == nil {
		return false, false, entry{}, s.revision
	}
	existing := s.entries[e.key]
	existing.key = e.key
	if existing.revision != expectedRevision || !s.conditionsHold(requires) {
		return false, true, existing, s.revision
	}
	if remove {
		s.removeKey(e.key)
		return true, true, entry{key: e.key}, s.revision
	}
	s.revision++
	e.revision = s.revision
	s.entries[e.key] = e
	s.appendChange(change{entry: e})
	return true, true, e, s.revision
}

func (s *store) conditionsHold(requires []real.Condition) bool {
	for _, r := range requires {
		if s.entries[r.Key].revision != r.Revision {
			return false
		}
	}
	return true
}

func (s *store) removeKey(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.appendChange(change{entry: entry{key: key, revision: s.revision}, deleted: true})
}

func (s *store) appendChange(c change) {
	s.changeLog = append(s.changeLog, c)
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

func (s *store) grantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.lastLeaseID
}

func (s *store) renewLease(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.expires = s.now().Add(l.ttl)
	return l.ttl, true
}

func (s *store) revokeLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return false
	}
	s.removeLease(id)
	return true
}

func (s *store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLease(id)
		}
	}
}

func (s *store) removeLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.leaseID == id {
			s.removeKey(key)
		}
	}
}

// changesSince returns the changes below a prefix after a revision, the current
// revision, and a channel that closes at the next change.
func (s *store) changesSince(prefix string, afterRevision uint64) ([]change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	first := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].entry.revision > afterRevision })
	var out []change
	for _, c := range s.changeLog[first:] {
		if strings.HasPrefix(c.entry.key, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision, s.nextChange
}
