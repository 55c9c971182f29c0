package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
)

func testMix() *Mix {
	return &Mix{
		Requests: []Request{
			{Name: "read", Method: "GET", Path: "/read", Class: "interactive", Weight: 3, AnswerBytes: 100, Repeatable: true},
			{Name: "write", Method: "POST", Path: "/write", Class: "interactive", Weight: 1, BodyBytes: 10},
		},
		Workspaces: []Workspace{{Name: "small", Key: "a.b", Weight: 1}, {Name: "large", Key: "c.d", Weight: 4}},
	}
}

// fakeInstance answers look-ups with its own address and every request through
// the given handler.
func fakeInstance(t *testing.T, handler http.HandlerFunc) string {
	var address string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != entry.LookupPath {
			handler(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(entry.LookupResponse{TTLMillis: 1000, Instances: []entry.LookupInstance{{Address: address}}})
	}))
	t.Cleanup(server.Close)
	address = strings.TrimPrefix(server.URL, "http://")
	return address
}

func run(address string) *Report {
	return Run(context.Background(), Options{
		Mix: testMix(), Instances: []string{address}, Rate: 2000, Duration: 200 * time.Millisecond,
		Callers: 10, Timeout: 5 * time.Second, Seed: 1,
	})
}

func TestEveryRequestIsAccountedFor(t *testing.T) {
	answer := strings.Repeat("y", 100)
	address := fakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, answer)
	})
	o := Options{Mix: testMix(), Rate: 2000, Duration: 200 * time.Millisecond, Callers: 10, Seed: 1}
	want := int64(len(schedule(o)))
	report := run(address)
	if report.Sent+report.Unsent != want || report.Outcomes[Answered] != report.Sent {
		t.Errorf("of %d scheduled: %d sent, %d unsent, outcomes %v", want, report.Sent, report.Unsent, report.Outcomes)
	}
	if report.Classes["interactive"].Count != report.Sent {
		t.Errorf("latencies of %d requests, want %d", report.Classes["interactive"].Count, report.Sent)
	}
}

// TestOutcomesAreToldApart answers with a refusal, an unknown outcome, a cut
// answer and a whole one in turn.
func TestOutcomesAreToldApart(t *testing.T) {
	var requestCount, writes atomic.Int64
	address := fakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			writes.Add(1)
		}
		switch requestCount.Add(1) % 4 {
		case 0:
			w.Header().Set(entry.OutcomeHeader, "not-run")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"outcome":"not-run","reason":"rate"}`)
		case 1:
			w.Header().Set(entry.OutcomeHeader, "unknown")
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, `{"outcome":"unknown","reason":"no-answer"}`)
		case 2:
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		default:
			_, _ = io.WriteString(w, strings.Repeat("y", 100))
		}
	})
	report := run(address)
	if report.Refusals["rate"] == 0 || report.Outcomes[Answered] == 0 || report.Outcomes[Unknown] == 0 || report.Outcomes[Broken] == 0 {
		t.Errorf("outcomes %v, refusals %v", report.Outcomes, report.Refusals)
	}
	var scheduledWrites int64
	for _, a := range schedule(Options{Mix: testMix(), Rate: 2000, Duration: 200 * time.Millisecond, Callers: 10, Seed: 1}) {
		scheduledWrites += int64(a.request)
	}
	if writes.Load() > scheduledWrites {
		t.Errorf("%d writes arrived, %d were scheduled: an unknown outcome was sent again", writes.Load(), scheduledWrites)
	}
}

// TestBuiltInMixesMatchExamples compares each built-in mix with the example
// configuration that it is for: routes, keys, and what workspaces may use.
func TestBuiltInMixesMatchExamples(t *testing.T) {
	for _, name := range []string{"cooperative", "association"} {
		mix, err := ReadMix(name)
		if err != nil {
			t.Fatal(err)
		}
		file := "../../examples/" + name + ".yaml"
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		doc, err := config.Parse(file, text)
		if err != nil {
			t.Fatal(err)
		}
		snapshot := config.Compile(1, doc)
		for _, w := range mix.Workspaces {
			keyOwner := snapshot.WorkspaceOf(w.Key)
			if keyOwner == nil || keyOwner.Name != w.Name {
				t.Errorf("%s: the key of workspace %s does not fit", name, w.Name)
				continue
			}
			for _, r := range mix.Requests {
				route := snapshot.Route(r.Method, r.Path)
				if w.weightOf(r) > 0 && (route == nil || !route.Open && !slices.Contains(keyOwner.Routes, route.Name) ||
					route.Repeatable != r.Repeatable || route.Class != r.Class) {
					t.Errorf("%s: workspace %s may not send %s", name, w.Name, r.Name)
				}
			}
		}
	}
}
