package logging

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errDropped is returned for a line that is not going to be written.
var errDropped = errors.New("log line dropped")

// queue is an io.Writer that buffers lines and writes them in a goroutine. It never
// blocks: if it is full or closed, a line is dropped and counted.
type queue struct {
	lines      chan []byte
	writerDone chan error // gets the writer's first error, or nil, once all lines are written
	dropped    atomic.Int64

	mu     sync.RWMutex // guards closed; held for reading while sending to lines
	closed bool
}

// newQueue returns a queue that holds up to capacity lines and writes them to w.
func newQueue(w io.Writer, capacity int) *queue {
	q := &queue{lines: make(chan []byte, capacity), writerDone: make(chan error, 1)}
	go q.writeAll(w)
	return q
}

// writeAll writes lines until the queue is closed. After an error it goes on with
// the next line.
func (q *queue) writeAll(w io.Writer) {
	var firstErr error
	for line := range q.lines {
		if _, err := w.Write(line); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "write log line")
		}
	}
	q.writerDone <- firstErr
}

// Write implements io.Writer. It copies the line, so the caller may reuse it.
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

// close waits until all lines are written and returns the writer's first error. A
// second call does nothing and returns nil.
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
