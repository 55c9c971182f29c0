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
	mu       sync.Mutex
	now      func() time.Time
	revision uint64
	entries  map[string]entry
	leases   map[uint64]*lease
	nextID   uint64
	log      []change
	wake     chan struct{} // closed and replaced at each change
}

func newStore(now func() time.Time) *store {
	return &store{now: now, entries: map[string]entry{}, leases: map[uint64]*lease{}, wake: make(chan struct{})}
}

func (s *store) get(key string) (entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		e = entry{key: key}
	}
	return e, s.revision
}

func (s *store) list(prefix string) ([]entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out, s.revision
}

// swap applies a compare-and-swap. leaseOK is false if the lease is unknown.
func (s *store) swap(e entry, expected uint64, remove bool, requires []real.Condition) (swapped, leaseOK bool, current entry, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if e.leaseID != 0 && s.leases[e.leaseID] == nil {
		return false, false, entry{}, s.revision
	}
	old := s.entries[e.key]
	old.key = e.key
	if old.revision != expected || !s.unchanged(requires) {
		return false, true, old, s.revision
	}
	if remove {
		s.remove(e.key)
		return true, true, entry{key: e.key}, s.revision
	}
	s.revision++
	e.revision = s.revision
	s.entries[e.key] = e
	s.record(change{entry: e})
	return true, true, e, s.revision
}

func (s *store) unchanged(requires []real.Condition) bool {
	for _, r := range requires {
		if s.entries[r.Key].revision != r.Revision {
			return false
		}
	}
	return true
}

func (s *store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.record(change{entry: entry{key: key, revision: s.revision}, deleted: true})
}

func (s *store) record(c change) {
	s.log = append(s.log, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.nextID
}

func (s *store) renew(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.expires = s.now().Add(l.ttl)
	return l.ttl, true
}

func (s *store) revoke(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return false
	}
	s.dropLease(id)
	return true
}

func (s *store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.leaseID == id {
			s.remove(key)
		}
	}
}

// since returns the changes below a prefix after a revision, the current
// revision, and a channel that closes at the next change.
func (s *store) since(prefix string, after uint64) ([]change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].entry.revision > after })
	var out []change
	for _, c := range s.log[first:] {
		if strings.HasPrefix(c.entry.key, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision, s.wake
}
