package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// testPause is longer than any of these tests that does not wait for its end.
const testPause = time.Minute

// head returns the head of a target's answer with the given status and headers.
func head(status int, id string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s\r\n", status, idLine(id), strings.Join(append(headers, ""), "\r\n"))
}

// emptyHead is head for an answer without a body.
func emptyHead(status int, id string, headers ...string) string {
	return head(status, id, append(headers, "Content-Length: 0")...)
}

// observe lets the balancer observe a notice of one of newCaller's targets.
func (c *caller) observe(i int, n availability.Notice) {
	c.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		b.Observe(affinity.Grant{Target: affinity.Target{ID: fmt.Sprint("t", i), Started: 1}}, n, now)
	})
}

// counts returns the numbers of newCaller's targets that leave and that pause.
func (c *caller) counts() (count affinity.AvailabilityCount) {
	c.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		count = b.AvailabilityCounts(now)["s"]
	})
	return count
}

// eventually fails the test if f does not return true within testTimeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// One of two targets answers one request as given; the other target and all other
// requests get correct answers.
func TestTargetThatLeavesOrPausesGetsNoFurtherRequest(t *testing.T) {
	t.Parallel()
	leaving, paused, none := affinity.AvailabilityCount{Leaving: 1}, affinity.AvailabilityCount{Paused: 1}, affinity.AvailabilityCount{}
	for name, c := range map[string]struct {
		path   string // "/once/" or "/safe/"; the latter's requests may be repeated
		answer string
		status int // of the response to the caller
		want   affinity.AvailabilityCount
	}{
		"success":                    {"/once/", emptyHead(200, "b", "Proof: p", "Leaving: 1"), 200, leaving},
		"failure of a caller":        {"/once/", emptyHead(404, "b", "Proof: p", "Leaving: 1"), 404, leaving},
		"failure":                    {"/once/", emptyHead(500, "b", "Proof: p", "Leaving: 1"), 500, leaving},
		"failure, repeated":          {"/safe/", emptyHead(500, "b", "Proof: p", "Leaving: 1"), 200, leaving},
		"rejection":                  {"/once/", emptyHead(503, "b", "Not-Run: 1", "Leaving: 1"), 200, leaving},
		"without proof":              {"/once/", emptyHead(200, "b", "Leaving: 1"), 502, leaving},
		"without length":             {"/once/", head(200, "b", "Proof: p", "Leaving: 1", "Connection: close") + "x", 200, leaving},
		"body that breaks off":       {"/once/", head(200, "b", "Proof: p", "Leaving: 1", "Content-Length: 9") + "x", 502, leaving},
		"long body that breaks off":  {"/once/", head(200, "b", "Proof: p", "Leaving: 1", "Content-Length: 999999") + "x", 0, leaving},
		"chunks that break off":      {"/once/", head(200, "b", "Proof: p", "Leaving: 1", "Transfer-Encoding: chunked") + "5\r\nx", 502, leaving},
		"first without id":           {"/once/", emptyHead(503, "", "Not-Run: 1", "Leaving: 1", "Retry-After: 60"), 200, leaving},
		"after another's answer":     {"/once/", success("a", "x") + emptyHead(200, "b", "Proof: p", "Leaving: 1"), 200, leaving},
		"in another's answer":        {"/once/", emptyHead(503, "a", "Leaving: 1", "Retry-After: 60") + success("b", "x"), 200, none},
		"interim answer":             {"/once/", head(103, "b", "Leaving: 1") + success("b", "x"), 200, none},
		"interim rejection":          {"/once/", head(103, "b", "Retry-After: 60", "Leaving: 1") + rejection("b"), 200, none},
		"head that breaks off":       {"/once/", "HTTP/1.1 200 X\r\nId: b\r\nProof: p\r\nLeaving: 1\r\n", 502, none},
		"trailer":                    {"/once/", head(200, "b", "Proof: p", "Trailer: Leaving", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\nLeaving: 1\r\n\r\n", 200, none},
		"another value":              {"/once/", emptyHead(200, "b", "Proof: p", "Leaving: 0"), 200, none},
		"misdirected":                {"/once/", emptyHead(421, "b", "Leaving: 1", "Retry-After: 60"), 200, none},
		"pause":                      {"/once/", emptyHead(503, "b", "Not-Run: 1", "Retry-After: 60"), 200, paused},
		"pause, may have run":        {"/once/", emptyHead(503, "b", "Retry-After: 60"), 502, paused},
		"pause, may run again":       {"/safe/", emptyHead(503, "b", "Retry-After: 60"), 200, paused},
		"pause, body breaks off":     {"/once/", head(503, "b", "Not-Run: 1", "Retry-After: 60", "Content-Length: 9") + "x", 502, paused},
		"pause of another status":    {"/once/", emptyHead(429, "b", "Not-Run: 1", "Retry-After: 60"), 200, none},
		"pause of an unknown length": {"/once/", emptyHead(503, "b", "Not-Run: 1", "Retry-After: soon"), 200, none},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var told atomic.Pointer[string] // address of the target that has answered as given
			answer := func(conn *net.TCPConn, r received) bool {
				self := conn.LocalAddr().String()
				if r.id == "b" && told.CompareAndSwap(nil, &self) {
					write(conn, c.answer)
					return false
				}
				return write(conn, success(r.id, "ok"))
			}
			targets := []*rawTarget{newRawTarget(t, answer), newRawTarget(t, answer)}
			call := newCaller(t, targets...)
			if status, _, _ := call.do(http.MethodPost, c.path+"1", "b"); status != c.status && c.status != 0 {
				t.Errorf("got %d, want %d", status, c.status)
			}
			if got := call.counts(); got != c.want {
				t.Errorf("%+v of two targets, want %+v", got, c.want)
			}
			if c.want == none {
				return
			}
			teller := targets[slices.IndexFunc(targets, func(target *rawTarget) bool { return target.listener.Addr().String() == *told.Load() })]
			for i := range 20 {
				if status, _, err := call.do(http.MethodPost, "/once/1", fmt.Sprint("c", i)); status != 200 || err != nil {
					t.Errorf("a request after it got %d, %v", status, err)
				}
			}
			if n := teller.requests.Load(); n != 1 {
				t.Errorf("%d requests reached the target after it had answered so", n-1)
			}
		})
	}
}

// An earlier answer on a kept connection that names no request may be that of another
// exchange.
func TestNoticeOfAnUnprovenAnswerIsIgnored(t *testing.T) {
	t.Parallel()
	call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.id == "b" {
			return write(c, emptyHead(503, "", "Not-Run: 1", "Retry-After: 60", "Leaving: 1"))
		}
		return write(c, success(r.id, "ok"))
	}))
	if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 200 || err != nil {
		t.Fatalf("the request before got %d, %v", status, err)
	}
	if status, _, err := call.do(http.MethodPost, "/once/1", "b"); status != 502 || err != nil {
		t.Errorf("got %d, %v; want 502", status, err)
	}
	if got := call.counts(); got != (affinity.AvailabilityCount{}) {
		t.Errorf("%+v", got)
	}
}

func TestLeavingTargetIsKnownBeforeTheBodyOfItsAnswerAndFinishesIt(t *testing.T) {
	t.Parallel()
	for name, answerHead := range map[string]string{
		"short body": head(200, "b", "Proof: p", "Leaving: 1", "Content-Length: 4"),
		"long body":  head(200, "b", "Proof: p", "Leaving: 1", fmt.Sprint("Content-Length: ", 2*maxBufferedResponse)),
		"chunks":     head(200, "b", "Proof: p", "Leaving: 1", "Transfer-Encoding: chunked"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := strings.Repeat("x", 4)
			rest := body
			switch name {
			case "long body":
				body = strings.Repeat("x", 2*maxBufferedResponse)
				rest = body
			case "chunks":
				rest = "4\r\n" + body + "\r\n0\r\n\r\n"
			}
			proceed, finish := context.WithCancel(t.Context())
			call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, _ received) bool {
				if !write(c, answerHead) {
					return false
				}
				<-proceed.Done()
				return write(c, rest)
			}))
			var status int
			var got string
			var err error
			done := make(chan struct{})
			go func() {
				defer close(done)
				status, got, err = call.do(http.MethodPost, "/once/1", "b")
			}()
			eventually(t, "the target is known to leave", func() bool { return call.counts().Leaving == 1 })
			finish()
			<-done
			if status != 200 || got != body || err != nil {
				t.Errorf("got %d, %d bytes, %v", status, len(got), err)
			}
		})
	}
}

// The target of each request begins to leave or pause after it was chosen, while a
// connection is opened.
func TestRequestWhoseTargetIsWithdrawnBeforeTheSendGoesToAnother(t *testing.T) {
	t.Parallel()
	for name, notice := range map[string]availability.Notice{"leaving": {Leaving: true}, "paused": {Pause: testPause}} {
		for withdrawn, want := range map[int]int{0: 200, 1: 200, maxAttemptedTargets + 1: 200, maxWithdrawnTargets + 1: 503} {
			t.Run(fmt.Sprint(name, withdrawn), func(t *testing.T) {
				t.Parallel()
				var targets []*rawTarget
				indices := map[string]int{}
				for i := range maxWithdrawnTargets + 2 {
					targets = append(targets, newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) }))
					indices[targets[i].listener.Addr().String()] = i
				}
				call := newCaller(t, targets...)
				call.gateway.retries = newRetryBudget(0, 0)
				dials := 0
				call.gateway.pool.dialer.Control = func(_, address string, _ syscall.RawConn) error {
					if dials++; dials <= withdrawn {
						call.observe(indices[address], notice)
					}
					return nil
				}
				if status, body, err := call.do(http.MethodPost, "/once/1", "a"); status != want || err != nil {
					t.Errorf("got %d %q, %v; want %d", status, body, err, want)
				}
				sent := 0
				for _, target := range targets {
					sent += int(target.requests.Load())
				}
				if wantSent := map[int]int{200: 1, 503: 0}[want]; sent != wantSent {
					t.Errorf("sent %d times, want %d", sent, wantSent)
				}
			})
		}
	}
}

func TestIdleConnectionsToALeavingTargetAreClosed(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		notice availability.Notice
		kept   bool
	}{"leaving": {availability.Notice{Leaving: true}, false}, "paused": {availability.Notice{Pause: testPause}, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running, proceed := make(chan struct{}), make(chan struct{})
			call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
				if r.id == "slow" {
					close(running)
					<-proceed
				}
				return write(c, success(r.id, "ok"))
			}))
			idle := func() int {
				call.gateway.pool.mu.Lock()
				defer call.gateway.pool.mu.Unlock()
				return len(call.gateway.pool.idle["t0"])
			}
			done := make(chan int, 1)
			go func() {
				status, _, _ := call.do(http.MethodPost, "/once/1", "slow")
				done <- status
			}()
			<-running
			if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 200 || err != nil || idle() != 1 {
				t.Fatalf("got %d, %v, and %d idle connections", status, err, idle())
			}
			call.observe(0, c.notice)
			if n := idle(); n != 0 && !c.kept || n != 1 && c.kept {
				t.Errorf("%d idle connections after the notice", n)
			}
			close(proceed)
			if status := <-done; status != 200 {
				t.Errorf("the running request got %d", status)
			}
			if n := idle(); n != 0 && !c.kept || n != 2 && c.kept {
				t.Errorf("%d idle connections after the running request", n)
			}
		})
	}
}

// response is a caller's complete response.
type response struct {
	status  int
	body    string
	header  http.Header
	elapsed time.Duration
}

// post sends a request that may not be repeated, which waits for the given time.
func (c *caller) post(id string, wait time.Duration) response {
	c.tb.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/once/1", nil)
	if err != nil {
		c.tb.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, id)
	r.Header.Set(testHeaders.Deadline, strconv.FormatInt(wait.Milliseconds(), 10))
	begin := time.Now()
	answer, err := c.client.Do(r)
	if err != nil {
		c.tb.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		c.tb.Fatal(err)
	}
	return response{answer.StatusCode, string(body), answer.Header, time.Since(begin)}
}

func TestRequestThatNoTargetWantsIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		notices  []availability.Notice
		wait     time.Duration // that the caller waits
		min, max time.Duration // of Retry-After
	}{
		"all leave":                     {[]availability.Notice{{Leaving: true}, {Leaving: true}}, 4 * time.Second, 300 * time.Millisecond, 400 * time.Millisecond},
		"all pause":                     {[]availability.Notice{{Pause: testPause}, {Pause: time.Second}}, 4 * time.Second, 900 * time.Millisecond, 1400 * time.Millisecond},
		"one leaves, one pauses":        {[]availability.Notice{{Leaving: true}, {Pause: time.Second}}, 4 * time.Second, 900 * time.Millisecond, 1400 * time.Millisecond},
		"pause ends after the deadline": {[]availability.Notice{{Pause: testPause}, {Pause: 10 * time.Second}}, time.Second, 9 * time.Second, 14 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var targets []*rawTarget
			for range c.notices {
				targets = append(targets, newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) }))
			}
			call := newCaller(t, targets...)
			for i, n := range c.notices {
				call.observe(i, n)
			}
			got := call.post("a", c.wait)
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			retryAfter := time.Duration(seconds * float64(time.Second))
			if got.status != 503 || got.body != "unavailable\n" || err != nil || retryAfter < c.min || retryAfter > c.max {
				t.Errorf("got %+v; want Retry-After from %v to %v", got, c.min, c.max)
			}
			if limit := c.wait / 2; got.elapsed > limit {
				t.Errorf("after %v, want at once", got.elapsed)
			}
			if n := targets[0].connections.Load() + targets[1].connections.Load(); n != 0 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

func TestCallersRefusedInAPauseDoNotReturnTogether(t *testing.T) {
	t.Parallel()
	const n, left = 4000, 8 * time.Second
	for _, wait := range []time.Duration{time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second} {
		var after []time.Duration // time of the return after the end of the pause
		for range n {
			d := jitter(retryAfterPause(wait, left))
			if d < wait || d > left/3 {
				t.Fatalf("%v before the end of a pause: Retry-After %v", wait, d)
			}
			after = append(after, d-wait)
		}
		slices.Sort(after)
		const window = 50 * time.Millisecond
		for i := range after {
			if j := i + n/4; j < n && after[j]-after[i] < window {
				t.Fatalf("%v before the end of a pause: a quarter of the callers return within %v", wait, after[j]-after[i])
			}
		}
	}
	for _, wait := range []time.Duration{time.Second, time.Hour} {
		if d := jitter(retryAfterPause(wait, wait)); d < wait || d > wait*4/3 {
			t.Errorf("with %v left: Retry-After %v", wait, d)
		}
	}
}

func TestCallerGetsWhatTheTargetSaidOnlyInItsOwnAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer     string
		status     int
		leaving    string
		retryAfter string // "own" for one of the instance
	}{
		"success":             {emptyHead(200, "b", "Proof: p", "Leaving: 1", "Retry-After: 7"), 200, "1", "7"},
		"failure":             {emptyHead(500, "b", "Proof: p", "Leaving: 1", "Retry-After: 7"), 500, "1", "7"},
		"rejection":           {emptyHead(503, "b", "Not-Run: 1", "Leaving: 1", "Retry-After: 7"), 503, "", "own"},
		"pause":               {emptyHead(503, "b", "Not-Run: 1", "Retry-After: 0.1"), 503, "", "own"},
		"pause, may have run": {emptyHead(503, "b", "Retry-After: 7"), 502, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			call := newCaller(t, newRawTarget(t, func(conn *net.TCPConn, _ received) bool { return write(conn, c.answer) }))
			got := call.post("b", testTimeout)
			if got.status != c.status || got.header.Get(testHeaders.Leaving) != c.leaving {
				t.Errorf("got %+v", got)
			}
			retryAfter := got.header.Get("Retry-After")
			if c.retryAfter == "own" {
				if retryAfter == "" || retryAfter == "7" || retryAfter == "0.1" {
					t.Errorf("Retry-After %q, want the instance's own", retryAfter)
				}
			} else if retryAfter != c.retryAfter {
				t.Errorf("Retry-After %q, want %q", retryAfter, c.retryAfter)
			}
		})
	}
}

// The process is suspended after the target has asked for a pause.
func TestPauseEndsWhileTheProcessIsSuspended(t *testing.T) {
	c := admittedCall(t)
	observedBefore := func(suspension time.Duration) {
		c.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
			b.Observe(c.grant, availability.Notice{Pause: testPause}, now-suspension)
		})
	}
	observedBefore(testPause + 2*time.Second)
	if refused := c.chooseTarget(""); refused != nil || !c.targetStillValid() {
		t.Errorf("the request may not be sent although the pause has ended: %+v", refused)
	}
	observedBefore(testPause - time.Second)
	if c.targetStillValid() {
		t.Error("the request may be sent during the pause")
	}
	if refused := c.chooseTarget(""); refused == nil || refused.reason != "unavailable" {
		t.Errorf("during the pause: %+v", refused)
	}
}

// The second attempt finds that all other targets pause or cannot be reached, so that it is
// not sent.
func TestRetryThatNoTargetGetsTakesNothingFromTheBudget(t *testing.T) {
	t.Parallel()
	unreachable := &rawTarget{listener: closedListener(t)}
	for name, others := range map[string][]*rawTarget{"paused": nil, "unreachable": {unreachable}} {
		call := newCaller(t, append(others, newRawTarget(t, func(c *net.TCPConn, r received) bool {
			return write(c, emptyHead(503, r.id, "Not-Run: 1", "Retry-After: 60"))
		}))...)
		call.gateway.retries = newRetryBudget(0, 20)
		call.gateway.retries.setInstances(1)
		if status, body, err := call.do(http.MethodPost, "/once/1", "a"); status != 503 || err != nil {
			t.Errorf("%s: got %d %q, %v", name, status, body, err)
		}
		if saved := call.gateway.retries.savedByService["s"]; saved != call.gateway.retries.initialSaved {
			t.Errorf("%s: %g retries are left of %g", name, saved, call.gateway.retries.initialSaved)
		}
	}
}

// closedListener returns a listener at whose address nothing listens any more.
func closedListener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l
}

// All callers keep sending, one of them bodies that take long to come, when a target begins
// to announce in its responses that it leaves.
func TestLeavingTargetGetsNoRequestUnderLoad(t *testing.T) {
	t.Parallel()
	const callers, before, after, tolerance = 6, 300 * time.Millisecond, 900 * time.Millisecond, 300 * time.Millisecond
	const serviceTime = 20 * time.Millisecond // long enough that neither target looks slow by chance
	begin := time.Now()
	var mu sync.Mutex
	var announced time.Time // first
	var arrivals []time.Time
	leaving := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		time.Sleep(serviceTime)
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, r.at)
		if time.Since(begin) < before {
			return write(c, success(r.id, "ok"))
		}
		if announced.IsZero() {
			announced = time.Now()
		}
		return write(c, emptyHead(200, r.id, "Proof: p", "Leaving: 1"))
	})
	call := newCaller(t, leaving, newRawTarget(t, func(c *net.TCPConn, r received) bool {
		time.Sleep(serviceTime)
		return write(c, success(r.id, "ok"))
	}))
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; time.Since(begin) < before+after; n++ {
				path, body := "/once/1", io.Reader(strings.NewReader("short"))
				if i == 0 {
					path = "/safe/1" // another route, with a usual time of its own
					parts, writer := io.Pipe()
					go func() {
						for range 4 {
							_, _ = writer.Write(make([]byte, maxBufferedRequestBody)) // ends with the request
							time.Sleep(20 * time.Millisecond)
						}
						_ = writer.Close()
					}()
					body = parts
				}
				if status, _, err := call.doBody(http.MethodPost, path, fmt.Sprintf("%d-%d", i, n), body); status != 200 || err != nil {
					t.Errorf("got %d, %v", status, err)
				}
			}
		})
	}
	running.Wait()
	late := 0
	for _, at := range arrivals {
		if at.After(announced.Add(tolerance)) {
			late++
		}
	}
	if late > 0 || announced.IsZero() || len(arrivals) < callers {
		t.Errorf("%d of %d requests reached the target later than %v after its announcement", late, len(arrivals), tolerance)
	}
}

// arrivals records when requests reach a target that turns some away.
type arrivals struct {
	mu       sync.Mutex
	at       []time.Time
	rejected []time.Time
}

// late returns the largest number of requests that arrived between tolerance after a
// rejection and the end of the pause.
func (a *arrivals) late(tolerance, pause time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	worst := 0
	for _, r := range a.rejected {
		n := 0
		for _, at := range a.at {
			if at.After(r.Add(tolerance)) && at.Before(r.Add(pause)) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// One target asks for a pause whenever it gets a request, and another answers slowly
// enough that several requests are under way at any time.
func TestTargetThatKeepsAskingForPausesGetsFewRequestsAndRetries(t *testing.T) {
	t.Parallel()
	const pause, callers, run = time.Second, 8, 3500 * time.Millisecond
	var told arrivals
	pausing := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		told.mu.Lock()
		defer told.mu.Unlock()
		told.at, told.rejected = append(told.at, r.at), append(told.rejected, time.Now())
		return write(c, emptyHead(503, r.id, "Not-Run: 1", "Retry-After: 1"))
	})
	serving := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		time.Sleep(10 * time.Millisecond)
		return write(c, success(r.id, "ok"))
	})
	call := newCaller(t, pausing, serving)
	var answered, refused atomic.Int32
	var running sync.WaitGroup
	end := time.Now().Add(run)
	for i := range callers {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				var body io.Reader
				method, path := http.MethodGet, "/safe/1"
				switch n % 4 {
				case 0:
					method, path = http.MethodPost, "/once/1"
				case 1: // streamed
					method, path, body = http.MethodPost, "/safe/1", bytes.NewReader(make([]byte, 2*maxBufferedRequestBody))
				}
				status, _, err := call.doBody(method, path, fmt.Sprintf("%d-%d", i, n), body)
				switch {
				case err != nil:
					t.Error(err)
				case status == 200:
					answered.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	running.Wait()
	if n := told.late(500*time.Millisecond, pause); n > 2 {
		t.Errorf("%d requests reached the target between half a second after it had asked for a pause and its end", n)
	}
	pauses := int(run/pause) + 1
	if n := len(told.at); n > pauses*callers || n == 0 {
		t.Errorf("%d requests reached the target in %d pauses, want at most the %d under way for each", n, pauses, callers)
	}
	if a, r := answered.Load(), refused.Load(); r > a/20 {
		t.Errorf("%d requests were answered and %d refused", a, r)
	}
	t.Logf("%d requests reached the pausing target, %d were answered, %d refused", len(told.at), answered.Load(), refused.Load())
}
