package logging

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errDropped says that a line was not taken.
var errDropped = errors.New("log line dropped")

// queue hands copies of lines to one goroutine that writes them. It is an
// io.Writer that never waits: lines that find it full or closed are dropped
// and counted.
type queue struct {
	lines      chan []byte
	writerDone chan error // the first error of the writer, once all is written
	dropped    atomic.Int64

	mu     sync.RWMutex // held for reading by those that send to lines
	closed bool
}

func newQueue(w io.Writer, capacity int) *queue {
	q := &queue{lines: make(chan []byte, capacity), writerDone: make(chan error, 1)}
	go q.writeAll(w)
	return q
}

func (q *queue) writeAll(w io.Writer) {
	var firstErr error
	for line := range q.lines {
		if _, err := w.Write(line); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "write log")
		}
	}
	q.writerDone <- firstErr
}

// Write implements io.Writer. The line belongs to the caller afterwards.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if !q.closed {
		select {
		case q.lines <- slices.Clone(line):
			return len(line), nil
		default:
		}
	}
	q.dropped.Add(1)
	return 0, errDropped
}

// close waits until all lines are written. Closing again does nothing.
func (q *queue) close() error {
	q.mu.Lock()
	wasClosed := q.closed
	q.closed = true
	q.mu.Unlock()
	if wasClosed {
		return nil
	}
	close(q.lines)
	return <-q.writerDone
}
