package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// callerResult is what a caller learns about one request.
type callerResult struct {
	outcome attempt.Outcome // answered if a whole response of a target came
	reason  string          // of an error response; broken if the connection broke
	status  int
	header  http.Header
}

// sendRequest sends one request on a new connection. Each header has the form
// name=value.
func sendRequest(t *testing.T, address, method, path string, header ...string) callerResult {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(KeyHeader, testKey)
	for _, h := range header {
		name, value, _ := strings.Cut(h, "=")
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return callerResult{outcome: attempt.Unknown, reason: "broken"}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	out := callerResult{outcome: attempt.Answered, status: response.StatusCode, header: response.Header}
	if err != nil {
		return callerResult{outcome: attempt.Unknown, reason: "broken"}
	}
	if o := response.Header.Get(OutcomeHeader); o != "" {
		out.outcome = attempt.Outcome(o)
		_, rest, _ := strings.Cut(string(body), `"reason":"`)
		out.reason, _, _ = strings.Cut(rest, `"`)
	}
	return out
}

// TestOutcomes checks the outcome that a caller is told for each kind of fault of
// the targets. All tries of the first read and write of a case meet this fault.
// The write is then sent again through the other instance without a fault: it
// must run if it was reported as not run, and else be refused as a duplicate.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		fault         target.Fault
		reads, writes attempt.Outcome
		writeRuns     int
	}{
		{target.NoFault, attempt.Answered, attempt.Answered, 1},
		{target.Late, attempt.Answered, attempt.Answered, 1},
		{target.Crossed, attempt.Unknown, attempt.Unknown, 1},
		{target.CrossedEmpty, attempt.Unknown, attempt.Unknown, 1},
		{target.CutLength, attempt.Unknown, attempt.Unknown, 1},
		{target.CutChunked, attempt.Unknown, attempt.Unknown, 1},
		{target.CutUnmarked, attempt.Unknown, attempt.Unknown, 1},
		{target.ResetBefore, attempt.Unknown, attempt.Unknown, 0},
		{target.ResetAfter, attempt.Unknown, attempt.Unknown, 1},
		{target.ShedNotRun, attempt.NotRun, attempt.NotRun, 0},
		{target.SilentBefore, attempt.Unknown, attempt.Unknown, 0},
		{target.SilentAfter, attempt.Unknown, attempt.Unknown, 1},
		{target.Mute, attempt.Unknown, attempt.Unknown, 0},
		{target.DropIdle, attempt.Answered, attempt.Answered, 1},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, target.Options{Slots: 10, AnswerBytes: 10_000}, 5*testDeadline)
			fault := target.FaultHeader + "=" + string(c.fault)
			if got := sendRequest(t, s.addresses[0], "GET", "/reads/1", fault); got.outcome != c.reads {
				t.Errorf("read: got %+v, want %s", got, c.reads)
			}
			got := sendRequest(t, s.addresses[0], "POST", "/writes/1", fault, RequestIDHeader+"=w", "Idempotency-Key=w")
			if got.outcome != c.writes {
				t.Errorf("write: got %+v, want %s", got, c.writes)
			}
			if runs := executions(s.writes)["w"]; runs != c.writeRuns {
				t.Errorf("write ran %d times, want %d", runs, c.writeRuns)
			}
			again := sendRequest(t, s.addresses[1], "POST", "/writes/1", RequestIDHeader+"=w", "Idempotency-Key=w")
			if want := c.writes == attempt.NotRun; (again.outcome == attempt.Answered) != want || !want && again.reason != "duplicate" {
				t.Errorf("outcome %s, then sent again through the other instance: got %+v", c.writes, again)
			}
			if len(s.violations) > 0 {
				t.Error(s.violations)
			}
		})
	}
}

// scriptFaults makes the targets of the service reads show the faults of the script
// one after the other, one for each request that arrives at any of them.
func scriptFaults(t *testing.T, s *system, script ...target.Fault) {
	t.Helper()
	next := make(chan target.Fault, len(script))
	for _, f := range script {
		next <- f
	}
	snapshot := s.handlers[0].Snapshot()
	for i, backend := range s.reads {
		address := serve(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(target.FaultHeader, string(<-next))
			backend.ServeHTTP(w, r)
		})})
		snapshot.Services["reads"].Targets[i].Address = address
	}
	for _, h := range s.handlers {
		h.Placer.(*placement.Placer).Update(config.Compile(snapshot.Version+1, snapshot.Document), time.Now())
	}
}

// TestUnknownStaysUnknown checks that a request is not reported as not-run if its
// first try ran and a target refused the next: a retry of the instance, or one
// that http.Transport made by itself on a new connection ("replay").
func TestUnknownStaysUnknown(t *testing.T) {
	for name, script := range map[string][]target.Fault{
		"retry":  {target.ResetAfter, target.ShedNotRun, target.ShedNotRun},
		"replay": {target.NoFault, target.ResetAfter, target.ShedNotRun, target.ShedNotRun, target.ShedNotRun},
	} {
		s := newSystem(t, target.Options{Slots: 10}, testDeadline)
		scriptFaults(t, s, script...)
		if name == "replay" {
			if got := sendRequest(t, s.addresses[0], "GET", "/reads/warm"); got.outcome != attempt.Answered {
				t.Fatalf("first request, which opens the connection: got %+v", got)
			}
		}
		if got := sendRequest(t, s.addresses[0], "GET", "/reads/1"); got.outcome != attempt.Unknown {
			t.Errorf("%s: got %+v, want unknown", name, got)
		}
	}
}

// TestSilentConnections checks requests to targets whose connections all go silent
// after one response. Reads that meet such a connection in the pool are retried
// on a new one; writes always use a new one.
func TestSilentConnections(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10, MuteAfter: 1}, 2*time.Second)
	for i := range 3 {
		for _, path := range []string{"/reads/", "/writes/"} {
			if got := sendRequest(t, s.addresses[0], "POST", fmt.Sprint(path, i)); got.outcome != attempt.Answered {
				t.Errorf("%s%d: got %+v, want answered", path, i, got)
			}
		}
	}
}

// TestStoreDown checks that, while the store is down, a write with an id is refused
// because it cannot be claimed, and that all other requests run.
func TestStoreDown(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10}, testDeadline)
	s.store.Faults.Down.Store(true)
	if got := sendRequest(t, s.addresses[0], "POST", "/writes/1", RequestIDHeader+"=w"); got.outcome != attempt.NotRun || got.reason != "claims-unavailable" {
		t.Errorf("with an id: %+v", got)
	}
	if got := sendRequest(t, s.addresses[0], "POST", "/writes/2"); got.outcome != attempt.Answered {
		t.Errorf("without an id: %+v", got)
	}
	if got := sendRequest(t, s.addresses[0], "GET", "/reads/1", RequestIDHeader+"=r"); got.outcome != attempt.Answered {
		t.Errorf("repeatable: %+v", got)
	}
}

// TestBadRequests checks that requests that expose a key, have a wrong key or match
// no route are refused as not run and reach no target.
func TestBadRequests(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10}, testDeadline)
	for _, c := range []struct{ path, header, reason string }{
		{"/reads/quito-secret", "A=b", "key-misplaced"},
		{"/reads/1?key=quito%2Dsecret", "A=b", "key-misplaced"},
		{"/reads/1", "Cookie=" + testKey, "key-misplaced"},
		{"/reads/1", KeyHeader + "=quito-1.wrong-secret", "unknown-key"},
		{"/elsewhere", "A=b", "no-route"},
	} {
		if got := sendRequest(t, s.addresses[0], "GET", c.path, c.header); got.outcome != attempt.NotRun || got.reason != c.reason {
			t.Errorf("%s %s: got %+v, want %s", c.path, c.header, got, c.reason)
		}
	}
	if runs := executions(s.reads); len(runs) > 0 {
		t.Errorf("targets ran %v", runs)
	}
}

// TestConnectionShare sends more requests at once than the instance may open
// connections for. The limit must hold, and a request that gets no connection
// must be reported as not run.
func TestConnectionShare(t *testing.T) {
	const requests = 40
	s := newSystem(t, target.Options{Slots: 100, ServiceTime: 5 * time.Millisecond}, 5*time.Second)
	var open, mostOpen atomic.Int64
	backend := s.writes[0]
	address := serve(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mostOpen.Store(max(mostOpen.Load(), open.Add(1)))
		defer open.Add(-1)
		backend.ServeHTTP(w, r)
	})})
	h := s.handlers[0]
	h.ConnectionShare = func(t config.Target, limit int) int {
		if t.Address == address {
			return 2
		}
		return 0
	}
	h.Snapshot().Services["writes"].Targets[0].Address = address
	outcomes := make(chan attempt.Outcome, requests)
	for i := range requests {
		go func() { outcomes <- sendRequest(t, s.addresses[0], "POST", fmt.Sprintf("/writes/%d", i)).outcome }()
	}
	counts := map[attempt.Outcome]int{}
	for range requests {
		counts[<-outcomes]++
	}
	if counts[attempt.Unknown] > 0 || counts[attempt.Answered] != len(executions(s.writes)) || mostOpen.Load() > 2 {
		t.Errorf("outcomes %v, %d runs, %d connections in use at once, want at most 2", counts, len(executions(s.writes)), mostOpen.Load())
	}
}

// TestSlowAndTruncatedCallers checks that callers that send a body slowly or in
// part, or that do not read the response, do not keep a handler busy.
func TestSlowAndTruncatedCallers(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10, AnswerBytes: 64 << 20}, time.Minute)
	h := s.handlers[0]
	h.progressTimeout = 50 * time.Millisecond
	for _, c := range []struct {
		name, header, want string
		hangUp             bool
	}{
		{"slow short body", "Content-Length: 100", "body-incomplete", false},
		{"short body cut", "Content-Length: 100", "", true},
		{"slow long body", "Content-Length: 1000000", "no-answer", false},
		{"long body cut", "Content-Length: 1000000", "", true},
		{"body too large", "Content-Length: 99000000000", "body-too-large", false},
		{"answer not taken", "X-Request-Id: untaken\r\nContent-Length: 4", "", false},
	} {
		conn, err := net.Dial("tcp", s.addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /writes/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: %s\r\n%s\r\n\r\npart", KeyHeader, testKey, c.header)
		if c.hangUp {
			_ = conn.Close()
		}
		if c.want != "" {
			answer, _ := io.ReadAll(conn)
			if !strings.Contains(string(answer), c.want) {
				t.Errorf("%s: got %.300q, want %s", c.name, answer, c.want)
			}
		}
		for c.name == "answer not taken" && executions(s.writes)["untaken"] == 0 {
			time.Sleep(time.Millisecond)
		}
		for h.InFlight() > 0 { // the test's own timeout catches a stuck handler
			time.Sleep(time.Millisecond)
		}
		_ = conn.Close()
	}
	if n := len(executions(s.writes)); n > 3 {
		t.Errorf("%d requests ran, want at most 3", n)
	}
}

// TestTricklingCaller sends a short body one byte at a time, so that each read is
// in time but the request's deadline passes before the end. The request must be
// refused and not run.
func TestTricklingCaller(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10}, testDeadline)
	conn, err := net.Dial("tcp", s.addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /writes/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: %s\r\nContent-Length: 500\r\n\r\n", KeyHeader, testKey)
	go func() {
		for range 500 {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	answer := make([]byte, 4096)
	n, _ := conn.Read(answer)
	if !strings.Contains(string(answer[:n]), "400 Bad Request") || len(executions(s.writes)) > 0 {
		t.Errorf("got %q, %d runs", answer[:n], len(executions(s.writes)))
	}
}

// admissionNotifier closes admitted when a request has passed the checks of its
// key and rate. It can be used for one request.
type admissionNotifier struct {
	Limiter
	admitted chan struct{}
}

// Take implements Limiter.
func (a admissionNotifier) Take(workspace string, now time.Time) ratelimit.Decision {
	defer close(a.admitted)
	return a.Limiter.Take(workspace, now)
}

// TestKeyWithdrawnDuringBody withdraws the key after the request was admitted but
// before the second half of its body arrives. The request must not run.
func TestKeyWithdrawnDuringBody(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10}, time.Minute)
	h := s.handlers[0]
	var current atomic.Pointer[config.Snapshot]
	current.Store(h.Snapshot())
	h.Snapshot = current.Load
	admitted := make(chan struct{})
	h.Limiter = admissionNotifier{h.Limiter, admitted}
	conn, err := net.Dial("tcp", s.addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /writes/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: %s\r\nContent-Length: 8\r\n\r\nhalf", KeyHeader, testKey)
	<-admitted
	withdrawn := *current.Load().Document
	withdrawn.Workspaces = nil
	current.Store(config.Compile(2, &withdrawn))
	fmt.Fprint(conn, "half")
	answer, _ := io.ReadAll(conn)
	if !strings.Contains(string(answer), "unknown-key") || len(executions(s.writes)) > 0 {
		t.Errorf("got %q, %d runs", answer, len(executions(s.writes)))
	}
}

// TestUnreadBodyEndsConnection checks that the connection is closed after a response
// that is sent before the body has been read. Otherwise the server would parse
// the rest of the body as the next request.
func TestUnreadBodyEndsConnection(t *testing.T) {
	s := newSystem(t, target.Options{Slots: 10}, testDeadline)
	conn, err := net.Dial("tcp", s.addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /writes/1 HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		KeyHeader, testKey, target.FaultHeader, target.SilentBefore)
	answer := make([]byte, 4096)
	n, _ := conn.Read(answer)
	if !strings.Contains(string(answer[:n]), "\r\nConnection: close\r\n") {
		t.Errorf("the connection stays open after %q", answer[:n])
	}
}
