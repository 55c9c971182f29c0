// Package target is a small stand-in for a target: an HTTP server with a
// bounded number of slots, a service time, and health and load endpoints.
package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers and paths of the contract between an instance and a target.
const (
	// RequestIDHeader carries the request id; the answer repeats it.
	RequestIDHeader = "X-Request-Id"
	// OutcomeHeader with the value not-run on a 503 says that the target shed
	// the request before running it.
	OutcomeHeader = "Turmericfield-Outcome"
	HealthPath    = "/-/health"
	LoadPath      = "/-/load"
	LedgerPath    = "/-/ledger"
)

// Load is the answer of the load endpoint.
type Load struct {
	InFlight int64 `json:"in_flight"`
	Slots    int64 `json:"slots"`
	Draining bool  `json:"draining"`
}

// Options configure a stand-in target.
type Options struct {
	Name        string
	Slots       int
	ServiceTime time.Duration
	// AnswerBytes is the size of an answer's body, unless the request asks for
	// another with the query parameter bytes.
	AnswerBytes int
}

// Target is one stand-in target.
type Target struct {
	options  Options
	inFlight atomic.Int64
	draining atomic.Bool

	mu     sync.Mutex
	ledger map[string]int // executions by request id
}

// New returns a target.
func New(o Options) *Target {
	return &Target{options: o, ledger: map[string]int{}}
}

// Executions returns how often each request id was run.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.ledger))
	for id, n := range t.ledger {
		out[id] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case HealthPath:
		t.serveHealth(w)
	case LoadPath:
		writeJSON(w, Load{InFlight: t.inFlight.Load(), Slots: int64(t.options.Slots), Draining: t.draining.Load()})
	case LedgerPath:
		writeJSON(w, t.Executions())
	default:
		t.serveRequest(w, r)
	}
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	if t.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	w.Header().Set(RequestIDHeader, id)
	if t.inFlight.Add(1) > int64(t.options.Slots) {
		t.inFlight.Add(-1)
		w.Header().Set(OutcomeHeader, "not-run")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer t.inFlight.Add(-1)
	t.record(id)
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(t.options.ServiceTime):
	case <-r.Context().Done():
		return
	}
	t.answer(w, r, body)
}

func (t *Target) record(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger[id]++
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, body int64) {
	size := t.options.AnswerBytes
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		size = n
	}
	header := fmt.Sprintf("target %s ran %s %s with %d bytes\n", t.options.Name, r.Method, r.URL.Path, body)
	size = max(size, len(header))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(w, header)
	padding := make([]byte, min(size-len(header), 32<<10))
	for rest := size - len(header); rest > 0; {
		n, err := w.Write(padding[:min(rest, len(padding))])
		if err != nil {
			return
		}
		rest -= n
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
