// Package target is a stand-in for a target (a customer's back end), for use in
// tests, the demo and experiments: an HTTP server that executes a bounded number
// of requests at once, each for a given service time, and has health and load
// endpoints. Faults can be injected into its responses. It counts how often each
// request was executed.
package target

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Headers and paths of the protocol between an instance and a target. LedgerPath
// and ControlPath are the stand-in's own.
const (
	// RequestIDHeader carries the request ID; the response repeats it.
	RequestIDHeader = "X-Request-Id"
	// TryHeader identifies one attempt to send a request; the response repeats it.
	TryHeader = "Turmericfield-Try"
	// OutcomeHeader with the value not-run on a 503 says that the target refused
	// the request without executing it.
	OutcomeHeader = "Turmericfield-Outcome"
	// LeavingHeader with the value 1 says that the target shuts down.
	LeavingHeader = "Turmericfield-Leaving"
	HealthPath    = "/-/health" // answers 200, or 503 while draining
	LoadPath      = "/-/load"   // returns a Load
	LedgerPath    = "/-/ledger" // returns the number of executions by request ID
	// ControlPath returns the Settings; a PUT changes them.
	ControlPath = "/-/control"
)

// Load is the load report that LoadPath returns.
type Load struct {
	InFlight int64 `json:"in_flight"` // requests being executed
	Slots    int64 `json:"slots"`     // requests that can be executed at once
	Draining bool  `json:"draining"`
}

// Options configure a stand-in target.
type Options struct {
	Name        string        // shown in response bodies
	Slots       int           // requests executed at once; more are refused
	ServiceTime time.Duration // time to execute one request
	// AnswerBytes is the size of a response body, unless the request asks for
	// another with the query parameter bytes.
	AnswerBytes int
	// ColdRequests and ColdTime simulate a cold start: the first ColdRequests
	// requests, and all during ColdTime from the start, take ColdFactor times
	// ServiceTime.
	ColdRequests int64
	ColdTime     time.Duration
	ColdFactor   float64
	// MuteAfter is the number of responses after which a connection is no longer
	// answered, as with the fault Mute; 0: never.
	MuteAfter int64
	// FaultShare and Seed are the initial values of those in Settings.
	FaultShare float64
	Seed       uint64
}

// defaultLateDelay is the initial value of Settings.DelayMillis.
const defaultLateDelay = 100 * time.Millisecond

// Target is one stand-in target. It is the handler of the server that NewServer
// returns.
type Target struct {
	options          Options
	startTime        time.Time
	injector         *faultInjector
	ledger           ledger
	inFlight         atomic.Int64
	started          atomic.Int64 // requests whose execution has started
	reportedInFlight atomic.Int64 // in the last load report, before LoadFactor
}

// New returns a target that starts now.
func New(o Options) *Target {
	return &Target{options: o, startTime: time.Now(), injector: newFaultInjector(Settings{
		FaultShare: o.FaultShare, Seed: o.Seed, DelayMillis: defaultLateDelay.Milliseconds(), LoadFactor: 1,
	})}
}

// Executions returns the number of executions by request ID.
func (t *Target) Executions() map[string]int { return t.ledger.copy() }

// SetSettings replaces all settings and restarts the random choice of faults.
func (t *Target) SetSettings(s Settings) { t.injector.setSettings(s) }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.injector.currentSettings().Leaving {
		w.Header().Set(LeavingHeader, "1")
	}
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

// serveRequest executes a request if a slot is free, and applies its fault.
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
		t.writeUnavailable(w, "no free slot")
		return
	}
	t.execute(w, r, fault)
	conn.responses.Add(1)
}

// faultFor returns the fault that the request's FaultHeader names, NoFault if the
// name is unknown. Without the header it chooses one by the settings.
func (t *Target) faultFor(r *http.Request) Fault {
	if name := r.Header.Get(FaultHeader); name != "" {
		fault, _ := ParseFault(name)
		return fault
	}
	return t.injector.nextFault()
}

// execute counts and executes a request, and responds as its fault demands.
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
		t.writeUnavailable(w, "overloaded")
	case DropIdle:
		res.writeAll(w)
		_ = http.NewResponseController(w).Flush()
		closeWithoutNotice(w)
	default:
		res.writeAll(w)
	}
}

// simulateWork waits for the service time. It returns false if the caller closes
// the connection before it ends.
func (t *Target) simulateWork(r *http.Request, fault Fault) bool {
	duration := t.options.ServiceTime
	if t.started.Add(1) <= t.options.ColdRequests || time.Since(t.startTime) < t.options.ColdTime {
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
