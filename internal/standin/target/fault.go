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

// Faults of a request.
const (
	// NoFault answers whole and in time.
	NoFault Fault = "none"
	// Late answers after Options.Delay.
	Late Fault = "late"
	// Crossed runs the request and gives another request's answer.
	Crossed Fault = "crossed"
	// CrossedEmpty is Crossed with an answer that has no body.
	CrossedEmpty Fault = "crossed-empty"
	// CutLength breaks an answer off that has a length.
	CutLength Fault = "cut-length"
	// CutChunked breaks a chunked answer off.
	CutChunked Fault = "cut-chunked"
	// CutUnmarked breaks an answer off whose end is not marked.
	CutUnmarked Fault = "cut-unmarked"
	// ResetBefore breaks the connection without running the request.
	ResetBefore Fault = "reset-before"
	// ResetAfter runs the request and breaks the connection.
	ResetAfter Fault = "reset-after"
	// ShedNotRun refuses the request and says that it was not run.
	ShedNotRun Fault = "shed"
	// ShedUntold runs the request, then answers 503 without an outcome.
	ShedUntold Fault = "shed-untold"
	// SilentBefore neither runs the request nor answers it.
	SilentBefore Fault = "silent-before"
	// SilentAfter runs the request and never answers it.
	SilentAfter Fault = "silent-after"
	// Mute silences this connection from now on; new ones work.
	Mute Fault = "mute"
	// DropIdle answers, then breaks the connection without notice.
	DropIdle Fault = "drop-idle"
)

// Faults lists every fault of a request.
var Faults = []Fault{
	Late, Crossed, CrossedEmpty, CutLength, CutChunked, CutUnmarked, ResetBefore, ResetAfter,
	ShedNotRun, ShedUntold, SilentBefore, SilentAfter, Mute, DropIdle,
}

// FaultHeader names the fault of one request.
const FaultHeader = "Standin-Fault"

// ParseFault returns the fault of that name.
func ParseFault(name string) (Fault, error) {
	for _, f := range append(Faults, NoFault) {
		if strings.EqualFold(string(f), name) {
			return f, nil
		}
	}
	return NoFault, errors.Newf("fault %q does not exist", name)
}

// Settings are what can be changed while the stand-in runs.
type Settings struct {
	// FaultShare is the share of requests that fail, 0 to 1, each with one of
	// Faults.
	FaultShare float64 `json:"fault_share"`
	// Faults are the faults of the schedule; empty means all.
	Faults []Fault `json:"faults,omitempty"`
	// Seed starts the schedule.
	Seed uint64 `json:"seed"`
	// DelayMillis is how late an answer is with the fault late.
	DelayMillis int64 `json:"delay_ms"`
	// LoadFrozen keeps the load report as it is at the moment.
	LoadFrozen bool `json:"load_frozen"`
	// LoadFactor multiplies the load reported; 0 reports none, 1 the truth.
	LoadFactor float64 `json:"load_factor"`
	// Draining sheds every request and says so in health and load.
	Draining bool `json:"draining"`
}

// Validate reports faults of the settings.
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

// faultInjector holds the settings and draws each request's fault.
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

func (inj *faultInjector) lateDelay() time.Duration {
	return time.Duration(inj.currentSettings().DelayMillis) * time.Millisecond
}
