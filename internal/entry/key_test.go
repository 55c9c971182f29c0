package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// withdrawable makes the first instance's key table replaceable and returns
// what withdraws every key.
func makeKeysWithdrawable(s *system) (withdraw func()) {
	h := s.handlers[0]
	withKeys := h.Snapshot()
	doc := *withKeys.Document
	doc.Workspaces = []config.Workspace{doc.Workspaces[0]}
	doc.Workspaces[0].Keys = nil
	withoutKeys := config.Compile(withKeys.Version+1, &doc)
	var current atomic.Pointer[config.Snapshot]
	current.Store(withKeys)
	h.Options.Snapshot = current.Load
	return func() { current.Store(withoutKeys) }
}

func (s *system) runs() int {
	n := 0
	for _, times := range executions(append(s.reads[:2:2], s.writes...)) {
		n += times
	}
	return n
}

// A withdrawn key is refused at the next request of a connection that stays
// open.
func TestKeyWithdrawnOnLiveConnection(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	withdraw := makeKeysWithdrawable(s)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for i, want := range []int{http.StatusOK, http.StatusUnauthorized} {
		r, _ := http.NewRequest("GET", "http://"+s.addresses[0]+"/reads/1", nil)
		r.Header.Set(KeyHeader, testKey)
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("request %d: status %d, not %d", i, response.StatusCode, want)
		}
		withdraw()
	}
	if n := s.runs(); n != 1 {
		t.Errorf("%d requests ran", n)
	}
}

// withdrawingPlacer withdraws every key once a target has been chosen.
type withdrawingPlacer struct {
	Placer
	withdraw func()
}

func (p withdrawingPlacer) Choose(r placement.Request, now time.Time) (placement.Grant, error) {
	defer p.withdraw()
	return p.Placer.Choose(r, now)
}

// A key that is withdrawn between two tries of a request does not get the
// second try.
func TestKeyWithdrawnBetweenTries(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	h := s.handlers[0]
	h.Placer = withdrawingPlacer{h.Placer, makeKeysWithdrawable(s)}
	got := sendRequest(t, s.addresses[0], "GET", "/reads/1", target.FaultHeader+"="+string(target.ShedNotRun))
	if got.reason != "unknown-key" || got.outcome != attempt.NotRun || s.runs() != 0 {
		t.Errorf("told %+v, %d runs", got, s.runs())
	}
}

// Evidence that is newer than the key table in hand proves nothing about it.
func TestKeyTableOlderThanItsEvidence(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	withdraw := makeKeysWithdrawable(s)
	s.handlers[0].KeysFresh = func(time.Time) bool { withdraw(); return true }
	got := sendRequest(t, s.addresses[0], "GET", "/reads/1")
	if got.reason != "keys-stale" || s.runs() != 0 {
		t.Errorf("told %+v, %d runs", got, s.runs())
	}
}

func TestKeysNotFresh(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	s.handlers[0].KeysFresh = func(time.Time) bool { return false }
	if got := sendRequest(t, s.addresses[0], "GET", "/reads/1"); got.reason != "keys-stale" || got.outcome != "not-run" || s.runs() != 0 {
		t.Errorf("told %+v, %d runs", got, s.runs())
	}
}

// Which of two keys counts must not depend on their order.
func TestTwoKeysAreRefused(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	for _, keys := range [][]string{{testKey, "quito.wrong"}, {"quito.wrong", testKey}, {testKey, testKey}} {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.addresses[0]+"/reads/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header[KeyHeader] = keys
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusUnauthorized || s.runs() != 0 {
			t.Errorf("%v: status %d, %d runs", keys, response.StatusCode, s.runs())
		}
	}
}
