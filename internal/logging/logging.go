// Package logging gives each part of the program its own logger. All loggers write
// JSON lines through one buffer to a background goroutine. If the buffer is full,
// lines are dropped and counted, so that logging never delays a request.
package logging

import (
	"io"

	"github.com/phuslu/log"
)

const bufferLines = 8192 // lines that can wait to be written

// Log owns the buffer and the goroutine that all loggers share.
type Log struct {
	queue *queue
	level log.Level
}

// New returns a log that writes JSON lines of at least the given level to w. A
// line is one call of w.Write.
func New(w io.Writer, level string) *Log {
	return &Log{queue: newQueue(w, bufferLines), level: log.ParseLevel(level)}
}

// Part returns a logger for one part of the program. Every line has the part's name
// under the key "part".
func (l *Log) Part(name string) *log.Logger {
	return &log.Logger{
		Level: l.level, Writer: log.IOWriter{Writer: l.queue}, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context: log.NewContext(nil).Str("part", name).Value(),
	}
}

// Dropped returns the number of lines that were dropped because the buffer was full
// or the log was closed.
func (l *Log) Dropped() int64 { return l.queue.dropped.Load() }

// Close waits until the buffered lines are written and returns the writer's first
// error. Lines that are logged later are dropped.
func (l *Log) Close() error { return l.queue.close() }
