package load

import (
	"context"
	"encoding/json"
	"fmt"
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

// testMix returns a mix of a read and a write and of two workspaces.
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

// run sends the test mix to the instance at an IP:port for 200 ms.
func run(address string) *Report {
	return Run(context.Background(), Options{
		Mix: testMix(), Instances: []string{address}, Rate: 2000, Duration: 200 * time.Millisecond,
		Callers: 10, Timeout: 5 * time.Second, Seed: 1,
	})
}

// TestEveryRequestIsAccountedFor checks that the report counts each scheduled request
// as sent or unsent, and has an outcome and a latency for each sent one.
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

// TestOutcomesAreDistinguished answers with a refusal, an unknown outcome, an answer
// that is too short and a whole one in turn. The report must count each, and a write
// with an unknown outcome must not be sent again.
func TestOutcomesAreDistinguished(t *testing.T) {
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
	if report.UnansweredByReason["rate"] == 0 || report.Outcomes[Answered] == 0 || report.Outcomes[Unknown] == 0 || report.Outcomes[Broken] == 0 {
		t.Errorf("outcomes %v, refusals %v", report.Outcomes, report.UnansweredByReason)
	}
	var scheduledWrites int64
	for _, a := range schedule(Options{Mix: testMix(), Rate: 2000, Duration: 200 * time.Millisecond, Callers: 10, Seed: 1}) {
		scheduledWrites += int64(a.request) // the index of the write is 1, that of the read 0
	}
	if writes.Load() > scheduledWrites {
		t.Errorf("%d writes arrived, %d were scheduled: an unknown outcome was sent again", writes.Load(), scheduledWrites)
	}
}

// TestEndlessLookupAnswer guards against a look-up's answer without end that fills the
// memory of the load generator.
func TestEndlessLookupAnswer(t *testing.T) {
	const maxWritten = 32 << 20 // entry.MaxJSONBytes and the buffers of the sockets
	var written atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := []byte(`{"instances":[{"name":"` + strings.Repeat("x", 1<<20))
		for written.Load() < 2*maxWritten {
			n, err := w.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
			part = part[len(part)-1<<20:]
		}
		_, _ = io.WriteString(w, `"}]}`)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := newCallers(Options{Callers: 1, Instances: []string{address}})[0]
	if _, err := c.queryInstance(t.Context(), address); err == nil || written.Load() > maxWritten {
		t.Errorf("read %d bytes, error %.100s", written.Load(), fmt.Sprint(err))
	}
}

// TestBuiltInMixesMatchExamples checks that each built-in mix can run against the
// example configuration of the same name: the keys are valid, and each workspace may
// use the routes of its requests.
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
