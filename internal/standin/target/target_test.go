package target

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// call serves one request without a connection and returns the status and the
// body.
func call(t *testing.T, target *Target, method, path, body string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	target.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, strings.TrimSpace(w.Body.String())
}

// TestControl checks that the control endpoint changes only the settings that it is
// given, that they take effect, and that it refuses invalid ones. The requests
// depend on each other in order.
func TestControl(t *testing.T) {
	target := New(Options{Slots: 2})
	target.inFlight.Store(2)
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", LoadPath, "", 200, `{"in_flight":2,"slots":2,"draining":false}`},
		{"PUT", ControlPath, `{"load_factor":0.5}`, 200, `"load_factor":0.5`},
		{"GET", LoadPath, "", 200, `"in_flight":1`},
		{"PUT", ControlPath, `{"load_frozen":true,"load_factor":1}`, 200, `"load_frozen":true`},
		{"GET", HealthPath, "", 200, "ok"},
		{"PUT", ControlPath, `{"draining":true}`, 200, `"load_frozen":true`},
		{"GET", HealthPath, "", 503, "draining"},
		{"POST", "/work", "", 503, "no free slot"},
		{"PUT", ControlPath, `{"fault_share":2}`, 400, "fault_share"},
		{"PUT", ControlPath, `{"faults":["nothing"]}`, 400, "does not exist"},
		{"PUT", ControlPath, `{"unknown":1}`, 400, "unknown"},
	} {
		if c.path == HealthPath {
			target.inFlight.Store(7) // a frozen load report must not change to 7
		}
		status, got := call(t, target, c.method, c.path, c.body)
		if status != c.status || !strings.Contains(got, c.want) {
			t.Errorf("%s %s %s: got %d %q, want %d %q", c.method, c.path, c.body, status, got, c.status, c.want)
		}
	}
	if _, got := call(t, target, "GET", LoadPath, ""); !strings.Contains(got, `"in_flight":2`) {
		t.Errorf("load report while frozen: got %s, want 2 in flight", got)
	}
	if n := len(target.Executions()); n != 0 {
		t.Errorf("%d requests executed while draining, want 0", n)
	}
}

// TestColdStart checks that requests are slow until both ColdRequests requests have
// started and ColdTime has passed.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := New(Options{Slots: 1, ServiceTime: time.Second, ColdRequests: 2, ColdTime: time.Minute, ColdFactor: 10})
		for i, want := range []time.Duration{10, 10, 10, 10, 10, 10, 1, 1} {
			start := time.Now()
			if status, _ := call(t, target, http.MethodGet, "/", ""); status != http.StatusOK {
				t.Fatal(status)
			}
			if took := time.Since(start); took != want*time.Second {
				t.Errorf("request %d took %s, want %s", i, took, want*time.Second)
			}
		}
	})
}

func TestNoticesAreMissingFromResponses(t *testing.T) {
	for _, c := range []struct {
		settings, path, fault string
		leaving, retryAfter   string
	}{
		{`{}`, "/", "shed", "", ""},
		{`{"leaving":true}`, "/", "none", "1", ""},
		{`{"leaving":true}`, "/", "shed", "1", ""},
		{`{"leaving":true}`, HealthPath, "", "1", ""},
		{`{"leaving":true}`, LoadPath, "", "1", ""},
		{`{"retry_after":"2"}`, "/", "shed", "", "2"},
		{`{"retry_after":"soon"}`, "/", "shed-untold", "", "soon"},
		{`{"retry_after":"2"}`, "/", "none", "", ""},
		{`{"retry_after":"2","draining":true}`, "/", "none", "", "2"},
	} {
		target := New(Options{Slots: 1})
		if status, got := call(t, target, "PUT", ControlPath, c.settings); status != http.StatusOK {
			t.Fatal(got)
		}
		r := httptest.NewRequest("GET", c.path, http.NoBody)
		r.Header.Set(FaultHeader, c.fault)
		w := httptest.NewRecorder()
		target.ServeHTTP(w, r)
		if leaving, retryAfter := w.Header().Get(LeavingHeader), w.Header().Get("Retry-After"); leaving != c.leaving || retryAfter != c.retryAfter {
			t.Errorf("%+v: status %d, leaving %q, Retry-After %q", c, w.Code, leaving, retryAfter)
		}
	}
}
