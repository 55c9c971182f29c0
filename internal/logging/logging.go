// Package logging gives each part of the system a logger with a fixed prefix.
// Lines are written by a background goroutine; when its buffer is full they
// are dropped and counted, so that logging never delays a decision.
package logging

import (
	"io"

	"github.com/phuslu/log"
)

const bufferLines = 8192

// Log owns the writer that all parts share.
type Log struct {
	queue *queue
	level log.Level
}

// New returns a log that writes JSON lines.
func New(w io.Writer, level string) *Log {
	return &Log{queue: newQueue(w, bufferLines), level: log.ParseLevel(level)}
}

// Part returns the logger of one part; every line carries its name.
func (l *Log) Part(name string) *log.Logger {
	return &log.Logger{
		Level: l.level, Writer: log.IOWriter{Writer: l.queue}, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context: log.NewContext(nil).Str("part", name).Value(),
	}
}

// Dropped returns the number of lines lost because the buffer was full or the
// log closed.
func (l *Log) Dropped() int64 { return l.queue.dropped.Load() }

// Close writes what is buffered and returns the first error of the writer.
// Lines that come later are dropped.
func (l *Log) Close() error { return l.queue.close() }
