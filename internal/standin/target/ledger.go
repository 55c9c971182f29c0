package target

import (
	"maps"
	"sync"
)

// ledger counts how often each request was executed, by request ID, so that tests
// can find requests that were executed twice or not at all.
type ledger struct {
	mu     sync.Mutex
	counts map[string]int
	lastID string // the request ID recorded last
}

// record counts an execution. It returns the request ID recorded before it, or ""
// for the first.
func (l *ledger) record(id string) (previousID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[id]++
	previousID, l.lastID = l.lastID, id
	return previousID
}

func (l *ledger) copy() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts)
}
