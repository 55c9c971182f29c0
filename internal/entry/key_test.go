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

// makeKeysWithdrawable returns a function that withdraws every key by giving the
// first instance a newer configuration without keys.
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

// runs returns how many requests all targets together ran.
func (s *system) runs() int {
	n := 0
	for _, times := range executions(append(s.reads[:2:2], s.writes...)) {
		n += times
	}
	return n
}

// TestKeyWithdrawnOnLiveConnection checks that a withdrawn key is refused at the
// next request, also on a connection that was accepted with it.
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
			t.Errorf("request %d: status %d, want %d", i, response.StatusCode, want)
		}
		withdraw()
	}
	if n := s.runs(); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}

// withdrawingPlacer withdraws every key after each choice of a target.
type withdrawingPlacer struct {
	Placer
	withdraw func()
}

// Choose implements Placer.
func (p withdrawingPlacer) Choose(r placement.Request, now time.Time) (placement.Grant, error) {
	defer p.withdraw()
	return p.Placer.Choose(r, now)
}

// TestKeyWithdrawnBetweenTries guards against a retry with a key that was
// withdrawn during the first try, which the target refused.
func TestKeyWithdrawnBetweenTries(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	h := s.handlers[0]
	h.Placer = withdrawingPlacer{h.Placer, makeKeysWithdrawable(s)}
	got := sendRequest(t, s.addresses[0], "GET", "/reads/1", target.FaultHeader+"="+string(target.ShedNotRun))
	if got.reason != "unknown-key" || got.outcome != attempt.NotRun || s.runs() != 0 {
		t.Errorf("got %+v, %d runs", got, s.runs())
	}
}

// TestKeyTableOlderThanItsFreshnessCheck guards against trusting a key table that is
// replaced while its freshness is checked: the check then speaks of the newer
// table, and the older one may lack a withdrawal.
func TestKeyTableOlderThanItsFreshnessCheck(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	withdraw := makeKeysWithdrawable(s)
	s.handlers[0].KeysFresh = func(time.Time) bool { withdraw(); return true }
	got := sendRequest(t, s.addresses[0], "GET", "/reads/1")
	if got.reason != "keys-stale" || s.runs() != 0 {
		t.Errorf("got %+v, %d runs", got, s.runs())
	}
}

// TestKeysNotFresh checks that an instance that cannot tell whether its key table
// is recent refuses requests as not run.
func TestKeysNotFresh(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 4}, 5*time.Second)
	s.handlers[0].KeysFresh = func(time.Time) bool { return false }
	if got := sendRequest(t, s.addresses[0], "GET", "/reads/1"); got.reason != "keys-stale" || got.outcome != "not-run" || s.runs() != 0 {
		t.Errorf("got %+v, %d runs", got, s.runs())
	}
}

// TestTwoKeysAreRefused checks that a request with two keys is refused whatever
// their order, instead of one of them being chosen.
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
