package target

import (
	"maps"
	"sync"
)

// ledger counts executions by request id.
type ledger struct {
	mu     sync.Mutex
	counts map[string]int
	lastID string // the newest request id
}

// record counts an execution. It returns the id recorded before it.
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
