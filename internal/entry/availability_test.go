package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// availabilityCounts returns how many targets leave and how many pause, as the first
// instance sees them.
func (s *system) availabilityCounts() (leaving, paused int) {
	h := s.handlers[0]
	h.WithLock(func(now time.Time) {
		p := h.Placer.(*placement.Placer)
		leaving, paused = p.AvailabilityCount(availability.Leaving, now), p.AvailabilityCount(availability.Paused, now)
	})
	return leaving, paused
}

func TestTargetGetsRequestsAfterItHasSaidThatItLeavesOrPauses(t *testing.T) {
	for name, c := range map[string]struct {
		settings target.Settings
		fault    target.Fault // of the request whose response says it
	}{
		"leaving, answered": {target.Settings{Leaving: true}, target.NoFault},
		"leaving, shed":     {target.Settings{Leaving: true}, target.ShedNotRun},
		"leaving, cut":      {target.Settings{Leaving: true}, target.CutLength},
		"paused, shed":      {target.Settings{RetryAfter: "300"}, target.ShedNotRun},
		"paused, untold":    {target.Settings{RetryAfter: "300"}, target.ShedUntold},
	} {
		s := newSystem(t, target.Options{Slots: 10, AnswerBytes: 10_000}, 5*time.Second)
		c.settings.LoadFactor = 1
		s.reads[0].SetSettings(c.settings)
		for i := 0; ; i++ { // until it has been reached
			got := sendRequest(t, s.addresses[0], "GET", fmt.Sprint("/reads/first-", i), target.FaultHeader+"="+string(c.fault))
			if value := got.header.Get(LeavingHeader); value != "" {
				t.Errorf("%s: the caller got the header of the leaving target: %q", name, value)
			}
			if leaving, paused := s.availabilityCounts(); leaving+paused > 0 {
				break
			} else if i == 100 {
				t.Fatalf("%s: not noticed in %d requests", name, i)
			}
		}
		before := len(s.reads[0].Executions())
		for i := range 20 {
			if got := sendRequest(t, s.addresses[0], "GET", fmt.Sprint("/reads/", i)); got.outcome != attempt.Answered || got.status != http.StatusOK {
				t.Errorf("%s: request %d got %+v", name, i, got)
			}
		}
		if after := len(s.reads[0].Executions()); after != before {
			t.Errorf("%s: the target ran %d more requests", name, after-before)
		}
		if len(s.violations) > 0 {
			t.Error(name, s.violations)
		}
	}
}

// countingPlacer counts the choices of a placer.
type countingPlacer struct {
	*placement.Placer
	choices atomic.Int64
}

// Choose implements Placer.
func (p *countingPlacer) Choose(r placement.Request, now time.Time) (placement.Grant, error) {
	p.choices.Add(1)
	return p.Placer.Choose(r, now)
}

func TestRequestWaitsForASlotThoughAllTargetsLeaveOrPause(t *testing.T) {
	const pause = 100 // seconds
	for name, c := range map[string]struct {
		settings            target.Settings
		leastWait, mostWait int // seconds of Retry-After
	}{
		"leaving": {target.Settings{Leaving: true}, 1, 1},
		"paused":  {target.Settings{RetryAfter: strconv.Itoa(pause)}, pause - 60, pause + 1},
	} {
		s := newSystem(t, target.Options{Slots: 10}, 5*time.Second)
		for _, backend := range s.reads {
			c.settings.LoadFactor = 1
			backend.SetSettings(c.settings)
		}
		sendRequest(t, s.addresses[0], "GET", "/reads/1", target.FaultHeader+"="+string(target.ShedNotRun))
		if leaving, paused := s.availabilityCounts(); leaving+paused != 2 {
			t.Fatalf("%s: %d targets leave and %d pause after a request that both have refused", name, leaving, paused)
		}
		placer := &countingPlacer{Placer: s.handlers[0].Placer.(*placement.Placer)}
		s.handlers[0].Placer = placer
		got := sendRequest(t, s.addresses[0], "GET", "/reads/2")
		if got.outcome != attempt.NotRun || got.reason != "unavailable" || got.status != http.StatusServiceUnavailable || placer.choices.Load() != 1 {
			t.Errorf("%s: got %+v after %d choices", name, got, placer.choices.Load())
		}
		if wait, err := strconv.Atoi(got.header.Get("Retry-After")); err != nil || wait < c.leastWait || wait > c.mostWait {
			t.Errorf("%s: Retry-After %q", name, got.header.Get("Retry-After"))
		}
		if n := len(executions(s.reads)); n > 0 {
			t.Errorf("%s: the targets ran %d requests", name, n)
		}
	}
}

func TestCallersReturnBeforeThePauseEndsOrAllAtOnce(t *testing.T) {
	const wait = 2200 * time.Millisecond
	seen := map[time.Duration]bool{}
	for range 1000 {
		got := retryAfterPause(wait)
		if got < wait || got > wait+availability.ReturnDuration {
			t.Fatalf("Retry-After %v for a pause of %v", got, wait)
		}
		seen[got.Truncate(100*time.Millisecond)] = true
	}
	if len(seen) < 5 {
		t.Errorf("callers return at %d different times", len(seen))
	}
}

func TestNoticeIsBelievedWithoutProofOrLostWithProof(t *testing.T) {
	const leaving, pause = LeavingHeader + ": 1\r\n", "Retry-After: 60\r\n"
	for name, c := range map[string]struct {
		response        func(r *http.Request) string
		leaving, paused int
	}{
		"200, leaving":    {func(r *http.Request) string { return wireResponse(r, true, "200 OK", leaving, "x") }, 1, 0},
		"503, both":       {func(r *http.Request) string { return wireResponse(r, true, "503 X", leaving+pause, "x") }, 1, 0},
		"503, pause":      {func(r *http.Request) string { return wireResponse(r, true, "503 X", pause, "x") }, 0, 1},
		"without the try": {func(r *http.Request) string { return wireResponse(r, false, "503 X", pause, "x") }, 0, 1},
		"body breaks off": {func(r *http.Request) string {
			return strings.TrimSuffix(wireResponse(r, true, "503 X", pause, "xyz"), "z")
		}, 0, 1},
		"end cannot be seen": {func(r *http.Request) string { return unmarked(wireResponse(r, true, "503 X", pause, "x")) }, 0, 1},
		"another status":     {func(r *http.Request) string { return wireResponse(r, true, "429 X", pause, "x") }, 0, 0},
		"other values": {func(r *http.Request) string {
			return wireResponse(r, true, "503 X", LeavingHeader+": 0\r\nRetry-After: -1\r\n", "x")
		}, 0, 0},
		"head breaks off": {func(r *http.Request) string {
			return "HTTP/1.1 503 X\r\n" + RequestIDHeader + ": " + r.Header.Get(RequestIDHeader) + "\r\n" + leaving
		}, 0, 0},
		"id of another": {func(r *http.Request) string {
			return "HTTP/1.1 503 X\r\n" + RequestIDHeader + ": other\r\n" + leaving + pause + "Content-Length: 0\r\n\r\n"
		}, 0, 0},
		"no id": {func(*http.Request) string {
			return "HTTP/1.1 503 X\r\n" + leaving + pause + "Content-Length: 0\r\n\r\n"
		}, 0, 0},
		"try of another": {func(r *http.Request) string {
			return wireResponse(r, false, "503 X", leaving+pause+TryHeader+": other\r\n", "")
		}, 0, 0},
		"interim, then without": {func(r *http.Request) string {
			return "HTTP/1.1 103 X\r\n" + RequestIDHeader + ": " + r.Header.Get(RequestIDHeader) + "\r\n" + leaving + "\r\n" + wireResponse(r, true, "200 OK", "", "x")
		}, 0, 0},
		"without, after no answer": {func(*http.Request) string { return "" }, 0, 0},
	} {
		s := newWireSystem(t, testDeadline, func(conn net.Conn, r *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, c.response(r))
			return false
		})
		sendRequest(t, s.addresses[0], "POST", "/writes/1")
		if leaving, paused := s.availabilityCounts(); leaving != c.leaving || paused != c.paused {
			t.Errorf("%s: %d targets leave and %d pause, want %d and %d", name, leaving, paused, c.leaving, c.paused)
		}
	}
}

// unmarked returns a response without its Content-Length.
func unmarked(response string) string {
	head, rest, _ := strings.Cut(response, "Content-Length: ")
	_, rest, _ = strings.Cut(rest, "\r\n")
	return head + rest
}
