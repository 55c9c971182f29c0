// Package logging gives each part of the system a logger with a fixed prefix.
// Lines are written by a background goroutine; when its buffer is full they
// are dropped and counted, so that logging never delays a decision.
package logging

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

const bufferLines = 8192

// Log owns the writer that all parts share.
type Log struct {
	writer  *log.AsyncWriter
	dropped *countingWriter
	level   log.Level
}

// New returns a log that writes JSON lines.
func New(w io.Writer, level string) *Log {
	async := &log.AsyncWriter{ChannelSize: bufferLines, Writer: &log.IOWriter{Writer: w}, DiscardOnFull: true}
	return &Log{writer: async, dropped: &countingWriter{next: async}, level: log.ParseLevel(level)}
}

// Part returns the logger of one part; every line carries its name.
func (l *Log) Part(name string) *log.Logger {
	return &log.Logger{
		Level: l.level, Writer: l.dropped, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context: log.NewContext(nil).Str("part", name).Value(),
	}
}

// Dropped returns the number of lines lost because the buffer was full.
func (l *Log) Dropped() int64 { return l.dropped.count.Load() }

// Close writes what is buffered.
func (l *Log) Close() error { return l.writer.Close() }

type countingWriter struct {
	next  log.Writer
	count atomic.Int64
}

// WriteEntry implements log.Writer.
func (c *countingWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := c.next.WriteEntry(e)
	if err != nil {
		c.count.Add(1)
	}
	return n, err
}
