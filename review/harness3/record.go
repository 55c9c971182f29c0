package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, and the outcome of the case.
type record struct {
	mu       sync.Mutex
	begin    time.Time
	lines    []string
	file     string
	cleanups []func()
	broken   bool
}

func newRecord(file string) *record { return &record{begin: time.Now(), file: file} }

// since returns the time since the case began.
func (r *record) since(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", r.since(at))+fmt.Sprintf(format, args...))
}

// verdict notes that the rule was broken.
func (r *record) verdict(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
}

func (r *record) atEnd(f func()) { r.cleanups = append(r.cleanups, f) }

// cannotRun ends the program with status 2.
func (r *record) cannotRun(format string, args ...any) {
	r.note("cannot run: "+format, args...)
	r.end(2)
}

// finish ends the program with status 1 if the rule was broken, else 0.
func (r *record) finish() {
	if r.broken {
		r.end(1)
	}
	r.note("the rule held")
	r.end(0)
}

func (r *record) end(status int) {
	for _, f := range slices.Backward(r.cleanups) {
		f()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b string) int {
		switch {
		case a[:9] < b[:9]:
			return -1
		case a[:9] > b[:9]:
			return 1
		}
		return 0
	})
	text := ""
	for _, l := range r.lines {
		text += l + "\n"
	}
	if err := os.WriteFile(r.file, []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	for _, l := range r.lines {
		if !strings.Contains(l, "request ") {
			fmt.Println(l)
		}
	}
	os.Exit(status)
}

func listen(rec *record, address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		rec.cannotRun("%v", err)
	}
	return l
}
