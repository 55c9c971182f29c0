// Package target is a small stand-in for a target: an HTTP server with a
// bounded number of slots, a service time, health and load endpoints, and
// faults that can be switched on. A ledger counts how often each request ran.
package target

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Headers and paths of the contract between an instance and a target.
const (
	// RequestIDHeader carries the request id; the answer repeats it.
	RequestIDHeader = "X-Request-Id"
	// TryHeader identifies one try of a request; the answer repeats it.
	TryHeader = "Turmericfield-Try"
	// OutcomeHeader with the value not-run on a 503 says that the target shed
	// the request before running it.
	OutcomeHeader = "Turmericfield-Outcome"
	HealthPath    = "/-/health"
	LoadPath      = "/-/load"
	LedgerPath    = "/-/ledger"
	// ControlPath shows the settings; a PUT changes them.
	ControlPath = "/-/control"
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
	// ColdRequests is the number of first requests, and ColdTime the time from
	// the start, in which a request takes ColdFactor times its service time.
	ColdRequests int64
	ColdTime     time.Duration
	ColdFactor   float64
	// MuteAfter silences each connection after that many answers; 0: never.
	MuteAfter int64
	// FaultShare and Seed start the schedule of faults.
	FaultShare float64
	Seed       uint64
}

// defaultLateDelay is how late an answer is with the fault late.
const defaultLateDelay = 100 * time.Millisecond

// Target is one stand-in target.
type Target struct {
	options          Options
	startTime        time.Time
	injector         *faultInjector
	ledger           ledger
	inFlight         atomic.Int64
	accepted         atomic.Int64
	reportedInFlight atomic.Int64 // load in the newest report
}

// New returns a target.
func New(o Options) *Target {
	return &Target{options: o, startTime: time.Now(), injector: newFaultInjector(Settings{
		FaultShare: o.FaultShare, Seed: o.Seed, DelayMillis: defaultLateDelay.Milliseconds(), LoadFactor: 1,
	})}
}

// Executions returns how often each request id was run.
func (t *Target) Executions() map[string]int { return t.ledger.copy() }

// SetSettings replaces the settings.
func (t *Target) SetSettings(s Settings) { t.injector.setSettings(s) }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case HealthPath:
		t.serveHealth(w)
	case LoadPath:
		t.serveLoad(w)
	case LedgerPath:
		writeJSON(w, t.Executions())
	case ControlPath:
		t.serveControl(w, r)
	default:
		t.serveRequest(w, r)
	}
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	w.Header().Set(TryHeader, r.Header.Get(TryHeader))
	conn, fault := connectionFor(r), t.faultFor(r)
	if fault == Mute {
		conn.muted.Store(true)
	}
	if conn.muted.Load() || t.options.MuteAfter > 0 && conn.responses.Load() >= t.options.MuteAfter {
		neverAnswer(r)
	}
	switch fault {
	case ResetBefore:
		panic(http.ErrAbortHandler)
	case SilentBefore:
		neverAnswer(r)
	}
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	if fault == ShedNotRun || inFlight > int64(t.options.Slots) || t.injector.currentSettings().Draining {
		w.Header().Set(OutcomeHeader, "not-run")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	t.execute(w, r, fault)
	conn.responses.Add(1)
}

// faultFor returns the fault that the request names, else the schedule's next.
func (t *Target) faultFor(r *http.Request) Fault {
	if name := r.Header.Get(FaultHeader); name != "" {
		fault, _ := ParseFault(name)
		return fault
	}
	return t.injector.nextFault()
}

// execute runs a request and answers it as its fault has it.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, fault Fault) {
	previousID := t.ledger.record(r.Header.Get(RequestIDHeader))
	requestBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !t.simulateWork(r, fault) {
		panic(http.ErrAbortHandler)
	}
	res := t.newResponse(r, requestBytes)
	switch fault {
	case Crossed, CrossedEmpty:
		writeOtherResponse(w, previousID, fault == CrossedEmpty)
	case CutLength, CutChunked, CutUnmarked:
		res.truncate(w, fault)
	case ResetAfter:
		panic(http.ErrAbortHandler)
	case SilentAfter:
		neverAnswer(r)
	case ShedUntold:
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
	case DropIdle:
		res.writeAll(w)
		_ = http.NewResponseController(w).Flush()
		closeWithoutNotice(w)
	default:
		res.writeAll(w)
	}
}

// simulateWork takes the service time. It returns false if the caller has gone.
func (t *Target) simulateWork(r *http.Request, fault Fault) bool {
	duration := t.options.ServiceTime
	if t.accepted.Add(1) <= t.options.ColdRequests || time.Since(t.startTime) < t.options.ColdTime {
		duration = time.Duration(float64(duration) * t.options.ColdFactor)
	}
	if fault == Late {
		duration += t.injector.lateDelay()
	}
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
