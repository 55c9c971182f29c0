// Package platform is an in-memory stand-in for the platform's key-value store
// and instance list, for tests, the demo and experiments. Package
// internal/platform, imported here as real, has the client and defines what the
// calls do.
package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	real "github.com/turmericfield/turmericfield/internal/platform"
)

// entry is a key with its value.
type entry struct {
	key      string
	value    []byte
	revision uint64 // store revision that wrote it; 0: the key does not exist
	leaseID  uint64 // lease that the key is removed with; 0: none
}

// change is a write or removal of a key. Its entry has the revision that it made;
// that of a removal has no value.
type change struct {
	entry   entry
	deleted bool
}

// lease keeps the keys that are written with it until it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the key-value store. It is safe for concurrent use; methods without a
// lock of their own are called with mu held.
type store struct {
	mu          sync.Mutex
	now         func() time.Time
	revision    uint64 // number of changes so far
	entries     map[string]entry
	leases      map[uint64]*lease
	lastLeaseID uint64
	changeLog   []change      // all changes in order of revision
	nextChange  chan struct{} // closed and replaced at each change
}

func newStore(now func() time.Time) *store {
	return &store{now: now, entries: map[string]entry{}, leases: map[uint64]*lease{}, nextChange: make(chan struct{})}
}

// get returns the entry of a key, with revision 0 if the key does not exist, and
// the revision of the store.
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

// list returns the entries whose keys have the prefix, sorted by key, and the
// revision of the store.
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

// compareAndSwap writes or removes the entry's key if the key has the expected
// revision and all required conditions hold. leaseOK is false, and nothing is
// written, if the entry names a lease that does not exist. current is the key's
// entry afterwards, revision that of the store.
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

// conditionsHold reports whether every key has the revision required of it.
func (s *store) conditionsHold(requires []real.Condition) bool {
	for _, r := range requires {
		if s.entries[r.Key].revision != r.Revision {
			return false
		}
	}
	return true
}

// removeKey removes a key and logs the change. It does nothing if the key does
// not exist.
func (s *store) removeKey(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.appendChange(change{entry: entry{key: key, revision: s.revision}, deleted: true})
}

// appendChange logs a change and wakes the watches.
func (s *store) appendChange(c change) {
	s.changeLog = append(s.changeLog, c)
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

// grantLease returns the ID of a new lease.
func (s *store) grantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.lastLeaseID
}

// renewLease starts a lease's time anew. It returns the time to live, or false if
// the lease does not exist.
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

// revokeLease removes a lease and its keys. It returns false if the lease does
// not exist.
func (s *store) revokeLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return false
	}
	s.removeLease(id)
	return true
}

// expireLeases removes the leases that have expired, with their keys.
func (s *store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the keys written with it.
func (s *store) removeLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.leaseID == id {
			s.removeKey(key)
		}
	}
}

// changesSince returns the changes after a revision to keys with the prefix, the
// revision of the store, and a channel that is closed at the next change.
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
