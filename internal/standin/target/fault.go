package target

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is one way in which a target fails a request.
type Fault string

// Faults of a request. Their values are the names by which requests and settings
// select them.
const (
	// NoFault executes the request and sends the whole response without delay.
	NoFault Fault = "none"
	// Late delays the response by Settings.DelayMillis.
	Late Fault = "late"
	// Crossed executes the request but sends the response of another request.
	Crossed Fault = "crossed"
	// CrossedEmpty is Crossed with an empty body.
	CrossedEmpty Fault = "crossed-empty"
	// CutLength breaks the connection within a body with a Content-Length.
	CutLength Fault = "cut-length"
	// CutChunked breaks the connection within a chunked body.
	CutChunked Fault = "cut-chunked"
	// CutUnmarked closes the connection within a body that has neither a
	// Content-Length nor chunks, so that the caller cannot see that it is cut.
	CutUnmarked Fault = "cut-unmarked"
	// ResetBefore breaks the connection without executing the request.
	ResetBefore Fault = "reset-before"
	// ResetAfter executes the request and breaks the connection.
	ResetAfter Fault = "reset-after"
	// ShedNotRun answers 503 without executing the request, and says so in
	// OutcomeHeader.
	ShedNotRun Fault = "shed"
	// ShedUntold executes the request, then answers 503 without OutcomeHeader.
	ShedUntold Fault = "shed-untold"
	// SilentBefore neither executes the request nor answers it; the connection
	// stays open until the caller closes it.
	SilentBefore Fault = "silent-before"
	// SilentAfter executes the request and never answers it.
	SilentAfter Fault = "silent-after"
	// Mute leaves this and all later requests of the connection unexecuted and
	// unanswered. Other connections work.
	Mute Fault = "mute"
	// DropIdle sends the whole response, then closes the kept-alive connection
	// without having announced it.
	DropIdle Fault = "drop-idle"
)

// Faults lists every fault but NoFault.
var Faults = []Fault{
	Late, Crossed, CrossedEmpty, CutLength, CutChunked, CutUnmarked, ResetBefore, ResetAfter,
	ShedNotRun, ShedUntold, SilentBefore, SilentAfter, Mute, DropIdle,
}

// FaultHeader is the request header that selects the fault of one request by name.
const FaultHeader = "Standin-Fault"

// ParseFault returns the fault of that name, in any case of letters.
func ParseFault(name string) (Fault, error) {
	for _, f := range append(Faults, NoFault) {
		if strings.EqualFold(string(f), name) {
			return f, nil
		}
	}
	return NoFault, errors.Newf("fault %q does not exist", name)
}

// Settings can be changed while the stand-in runs, in JSON under ControlPath.
type Settings struct {
	// FaultShare is the fraction of requests that get a fault, 0 to 1. Each gets
	// one of Faults, chosen at random.
	FaultShare float64 `json:"fault_share"`
	// Faults are the faults to choose from; empty means all.
	Faults []Fault `json:"faults,omitempty"`
	// Seed is the seed of the random choice of requests and faults.
	Seed uint64 `json:"seed"`
	// DelayMillis is the delay of a response, in milliseconds, by the fault Late.
	DelayMillis int64 `json:"delay_ms"`
	// LoadFrozen makes load reports repeat the last number of requests in flight.
	LoadFrozen bool `json:"load_frozen"`
	// LoadFactor multiplies the number of requests in flight that load reports
	// show; with 1 they are true.
	LoadFactor float64 `json:"load_factor"`
	// Draining makes the target refuse every request with 503 as not executed, and
	// show in health checks and load reports that it is draining.
	Draining bool `json:"draining"`
	// Leaving makes every response, also to health checks and load requests, say in
	// LeavingHeader that the target leaves. Without Draining it goes on executing.
	Leaving bool `json:"leaving"`
	// RetryAfter is sent as Retry-After in the 503 responses to requests, of any form;
	// empty sends none. The target does not keep a pause that it asks for: other
	// requests are executed.
	RetryAfter string `json:"retry_after"`
}

// Validate returns an error if a setting is out of its range.
func (s Settings) Validate() error {
	if s.FaultShare < 0 || s.FaultShare > 1 {
		return errors.Newf("fault_share must be 0 to 1, is %g", s.FaultShare)
	}
	if s.LoadFactor < 0 || s.DelayMillis < 0 {
		return errors.New("load_factor and delay_ms must not be negative")
	}
	for _, f := range s.Faults {
		if _, err := ParseFault(string(f)); err != nil {
			return err
		}
	}
	return nil
}

// faultInjector holds the settings and chooses each request's fault at random.
type faultInjector struct {
	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
}

func newFaultInjector(s Settings) *faultInjector {
	inj := &faultInjector{}
	inj.setSettings(s)
	return inj
}

// setSettings replaces the settings and restarts the random sequence.
func (inj *faultInjector) setSettings(s Settings) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.settings = s
	inj.random = rand.New(rand.NewPCG(s.Seed, 0))
}

func (inj *faultInjector) currentSettings() Settings {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.settings
}

// nextFault returns the fault of the next request.
func (inj *faultInjector) nextFault() Fault {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.settings.FaultShare == 0 || inj.random.Float64() >= inj.settings.FaultShare {
		return NoFault
	}
	faults := inj.settings.Faults
	if len(faults) == 0 {
		faults = Faults
	}
	return faults[inj.random.IntN(len(faults))]
}

// lateDelay is the delay of a response by the fault Late.
func (inj *faultInjector) lateDelay() time.Duration {
	return time.Duration(inj.currentSettings().DelayMillis) * time.Millisecond
}
