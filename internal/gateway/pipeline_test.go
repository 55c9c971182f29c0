package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/callerserver"
	"github.com/turmericfield/turmericfield/internal/config"
)

// pipeline sends requests for the paths on one connection without waiting for responses.
// The ids are the paths.
func (c *caller) pipeline(paths ...string) (net.Conn, *bufio.Reader) {
	c.tb.Helper()
	conn, err := net.Dial("tcp4", c.address)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(2 * testTimeout))
	if _, err := io.WriteString(conn, pipelined(paths...)); err != nil {
		c.tb.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func pipelined(paths ...string) string {
	var b strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", path, testHeaders.RequestID, path)
	}
	return b.String()
}

// readAnswer reads one response and its body.
func readAnswer(reader *bufio.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func TestPipelinedRequestsOfRepeatableRoutesRunTogether(t *testing.T) {
	t.Parallel()
	first, last := make(chan struct{}), make(chan struct{})
	var running, most atomic.Int32
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if strings.HasPrefix(r.path, "/once/") {
			n := running.Add(1)
			defer running.Add(-1)
			most.Store(max(most.Load(), n))
			time.Sleep(20 * time.Millisecond)
		}
		switch r.path {
		case "/safe/1":
			<-first
		case "/safe/3":
			close(last)
		}
		return write(c, success(r.id, r.path))
	})
	call := newCaller(t, target)
	paths := []string{"/safe/1", "/safe/2", "/safe/3", "/once/4", "/once/5", "/safe/6", "/nowhere/7", "/safe/8"}
	_, reader := call.pipeline(paths...)
	select {
	case <-last:
	case <-time.After(testTimeout):
		t.Error("the last one waits for the first one's response")
	}
	close(first)
	for _, path := range paths {
		response, body, err := readAnswer(reader)
		switch {
		case err != nil:
			t.Fatalf("%s: %v", path, err)
		case path == "/nowhere/7" && response.StatusCode == 200, path != "/nowhere/7" && body != path:
			t.Errorf("%s: %d %q", path, response.StatusCode, body)
		}
	}
	if most.Load() != 1 {
		t.Errorf("%d requests of a route that is not repeatable ran at once", most.Load())
	}
}

// A target notices that a run is cancelled by the close of its connection.
func TestCallerThatLeavesCancelsItsPipelinedRuns(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]string{
		"little unread": pipelined("/safe/2", "/safe/3"),
		"much unread":   pipelined("/safe/2", "/safe/3", "/once/4") + strings.Repeat(pipelined("/once/5"), 1600),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cancelled := make(chan time.Time, 10)
			target := newRawTarget(t, func(c *net.TCPConn, _ received) bool {
				_, _ = c.Read(make([]byte, 1))
				cancelled <- time.Now()
				return false
			})
			call := newCaller(t, target)
			conn, _ := call.pipeline("/safe/1")
			if _, err := io.WriteString(conn, behind); err != nil {
				t.Fatal(err)
			}
			for target.requests.Load() < 3 {
				time.Sleep(time.Millisecond)
			}
			left := time.Now()
			_ = conn.Close()
			for range 3 {
				select {
				case at := <-cancelled:
					if took := at.Sub(left); took > 500*time.Millisecond {
						t.Errorf("a run was cancelled after %v", took)
					}
				case <-time.After(testTimeout):
					t.Fatal("a run is not cancelled")
				}
			}
			time.Sleep(100 * time.Millisecond)
			if n := target.requests.Load(); n != 3 {
				t.Errorf("%d requests reached the target, %d of them after the caller had left", n, n-3)
			}
		})
	}
}

func TestDrainInAPipelineLosesNothingThatReachedATarget(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		<-release
		return write(c, success(r.id, r.path))
	})
	call := newCaller(t, target)
	conn, reader := call.pipeline("/safe/1", "/safe/2")
	for target.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	call.gateway.Drain(time.Now().Add(time.Hour))
	if _, err := io.WriteString(conn, pipelined("/safe/3", "/safe/4", "/once/5", "/safe/6")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	answers := 0
	for {
		response, body, err := readAnswer(reader)
		if err != nil {
			break
		}
		answers++
		if response.StatusCode != 200 || !strings.HasSuffix(body, fmt.Sprint("/", answers)) {
			t.Errorf("answer %d: %d %q", answers, response.StatusCode, body)
		}
		if response.Close {
			if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
				t.Errorf("behind the closing response: %q, %v", rest, err)
			}
			break
		}
	}
	if n := int(target.requests.Load()); n != answers || answers < 3 || answers == 6 {
		t.Errorf("%d requests reached the target, %d were answered", n, answers)
	}
}

// A target cuts a long answer, so that the callers' connection must be cut too.
func TestCutAnswerInAPipelineLooksCut(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 2*maxBufferedResponse)
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.path == "/safe/2" {
			write(c, strings.TrimSuffix(success(r.id, body), "x"))
			return false
		}
		return write(c, success(r.id, r.path))
	})
	call := newCaller(t, target)
	_, reader := call.pipeline("/safe/1", "/safe/2", "/safe/3")
	if _, got, err := readAnswer(reader); err != nil || got != "/safe/1" {
		t.Errorf("%.40q, %v", got, err)
	}
	if _, got, err := readAnswer(reader); err == nil {
		t.Errorf("a cut answer looks complete, with %d bytes", len(got))
	}
}

// A caller does not read its answer, whose bytes count among those held for callers.
func TestAnswersThatAreNotReadAreCounted(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", maxBufferedResponse-1)
	call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, body)) }))
	conn, reader := call.pipeline(strings.Split(strings.Repeat(" /once/1", 200)[1:], " ")...)
	counted := func() bool { return !strings.Contains(call.gateway.Metrics.Text(), "caller_bytes_held 0\n") }
	held := func() bool {
		var n int
		for line := range strings.Lines(call.gateway.Metrics.Text()) {
			if _, err := fmt.Sscanf(line, "turmericfield_caller_bytes_held %d", &n); err == nil {
				return n >= maxBufferedResponse-1
			}
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !held(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not counted")
		}
	}
	for range 200 {
		if _, got, err := readAnswer(reader); err != nil || len(got) != len(body) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
	_ = conn.Close()
	for end := time.Now().Add(testTimeout); counted(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still counted")
		}
	}
}

func TestAgeOfAPipelinedRequestCountsTowardItsDeadline(t *testing.T) {
	t.Parallel()
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		time.Sleep(300 * time.Millisecond)
		return write(c, success(r.id, r.path))
	})
	call := newCaller(t, target)
	conn, reader := call.pipeline("/once/1")
	_, _ = fmt.Fprintf(conn, "GET /once/2 HTTP/1.1\r\nHost: h\r\n%s: 2\r\n%s: 200\r\n\r\n", testHeaders.RequestID, testHeaders.Deadline)
	for _, want := range []int{200, 503} {
		if response, _, err := readAnswer(reader); err != nil || response.StatusCode != want {
			t.Fatalf("%v %v, want %d", response, err, want)
		}
	}
	if n := target.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the target, one of them too late", n)
	}
}

// The configuration changes between the decision that a request may run beside others and
// its handler.
func TestRequestThatIsNotRepeatableAnyMoreDoesNotRunAhead(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	var ahead atomic.Int32
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.path == "/safe/1" {
			<-answer
		} else if r.path == "/safe/2" {
			ahead.Add(1)
		}
		return write(c, success(r.id, r.path))
	})
	call := newCallerWith(t, func(o *callerserver.Options) {
		next := o.Handler
		o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g := next.(*Gateway); callerserver.Ahead(r) {
				g.SetTable(config.NewRoutingTable(config.RoutingTableSource{Version: 2, Services: []config.Service{{Name: "s"}}, Routes: []config.Route{{
					Name: "safe", Host: "h", PathPrefix: "/safe/", Split: []config.SplitPart{{Service: "s", Weight: 1}}, MaxAttempts: 2, TimeoutMillis: int(testTimeout.Milliseconds()),
				}}}))
			}
			next.ServeHTTP(w, r)
		})
	}, target)
	conn, reader := call.pipeline("/safe/1")
	for end := time.Now().Add(testTimeout); target.requests.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	_, _ = io.WriteString(conn, pipelined("/safe/2"))
	for end := time.Now().Add(testTimeout); call.gateway.Table().Version == 1 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	time.Sleep(100 * time.Millisecond) // time for the send
	if ahead.Load() > 0 {
		t.Error("the request runs before the one ahead of it is answered")
	}
	close(answer)
	if response, _, err := readAnswer(reader); err != nil || response.StatusCode != 200 {
		t.Fatal(response, err)
	}
	if response, body, err := readAnswer(reader); err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
		t.Fatal(response, body, err)
	}
	_, _ = io.WriteString(conn, pipelined("/safe/2")) // again, in its turn
	if response, _, err := readAnswer(reader); err != nil || response.StatusCode != 200 {
		t.Fatal(response, err)
	}
}
