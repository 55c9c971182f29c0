package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/callerserver"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// received is one request as a rawTarget read it.
type received struct {
	id   string // the request's id; empty if it has none
	path string
	n    int // number of the request on its connection, from 1
	// seen holds how often the connection carried each id, this request included.
	seen map[string]int
	at   time.Time // when the target had read the request's head
	body io.Reader // what the target has yet to read of the request's body
}

// rawTarget is a target whose answers are arbitrary bytes.
type rawTarget struct {
	listener net.Listener
	// answer writes the bytes that answer a request and returns false to have the
	// connection closed.
	answer func(c *net.TCPConn, r received) bool
	// headOnly has requests answered once their head has been read.
	headOnly    bool
	requests    atomic.Int32
	connections atomic.Int32
}

func newRawTarget(tb testing.TB, answer func(c *net.TCPConn, r received) bool) *rawTarget {
	return startRawTarget(tb, &rawTarget{answer: answer})
}

// newHeadTarget returns a target that answers when it has read the head of a request. The
// answer must read the body or have the connection closed.
func newHeadTarget(tb testing.TB, answer func(c *net.TCPConn, r received) bool) *rawTarget {
	return startRawTarget(tb, &rawTarget{answer: answer, headOnly: true})
}

func startRawTarget(tb testing.TB, target *rawTarget) *rawTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	target.listener = l
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.connections.Add(1)
			connections.Go(func() { target.serve(c.(*net.TCPConn)) })
		}
	})
	tb.Cleanup(func() { _ = l.Close(); connections.Wait() })
	return target
}

func (target *rawTarget) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader, seen := bufio.NewReader(c), map[string]int{}
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		at := time.Now()
		if !target.headOnly {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		target.requests.Add(1)
		id := r.Header.Get(testHeaders.RequestID)
		seen[id]++
		if !target.answer(c, received{id, r.URL.Path, n, seen, at, r.Body}) {
			return
		}
	}
}

// caller sends requests to a gateway that has the given targets.
type caller struct {
	tb      testing.TB
	client  *http.Client
	address string
	gateway *Gateway
}

const testTimeout = 5 * time.Second // of the routes of newCaller but /short/

func newCaller(tb testing.TB, targets ...*rawTarget) *caller {
	return newCallerWith(tb, func(*callerserver.Options) {}, targets...)
}

// newCallerWith is newCaller with other options of the server.
func newCallerWith(tb testing.TB, change func(*callerserver.Options), targets ...*rawTarget) *caller {
	g := New(Options{
		HeaderNames: testHeaders, Region: "r", RegionCount: 1, MaxKeyStaleness: 1 << 62, RetryRatio: 1, RetryExtra: 1000,
		Metrics: metrics.New(), Log: logging.New(io.Discard, "error").Part("gateway"),
	}, "self")
	g.pool.dialer.Timeout = testTimeout // a busy machine may take longer than dialTimeout to connect
	g.SetInstances([]string{"self"})
	route := func(name string, repeatable bool, timeout time.Duration) config.Route {
		return config.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Split: []config.SplitPart{{Service: "s", Weight: 1}},
			Repeatable: repeatable, MaxAttempts: 2, TimeoutMillis: int(timeout.Milliseconds()), LatencyObjective: time.Second,
		}
	}
	g.SetTable(config.NewRoutingTable(config.RoutingTableSource{
		Version: 1, Services: []config.Service{{Name: "s"}},
		Routes: []config.Route{route("once", false, testTimeout), route("safe", true, testTimeout), route("short", false, time.Second)},
	}))
	register(g, 1, targets)
	options := callerserver.Options{Handler: g, Concurrent: g.RunsConcurrently, ResponseBytes: MaxResponseBytes, Metrics: g.Metrics}
	change(&options)
	server := callerserver.New(options)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DisableCompression: true}
	tb.Cleanup(func() {
		transport.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			tb.Errorf("shutdown: %v", err)
		}
		g.pool.mu.Lock()
		defer g.pool.mu.Unlock()
		for _, idle := range g.pool.idle {
			for _, c := range idle {
				_ = c.Close()
			}
		}
	})
	return &caller{tb, &http.Client{Transport: transport}, listener.Addr().String(), g}
}

// register registers targets t0, t1 and so on, whose processes started at the given time.
func register(g *Gateway, started int64, targets []*rawTarget) {
	var list []affinity.Target
	for i, target := range targets {
		list = append(list, affinity.Target{
			ID: fmt.Sprint("t", i), Service: "s", Address: target.listener.Addr().String(),
			AvailabilityZone: "r-a", Region: "r", Slots: 6, Started: started,
		})
	}
	g.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.SetTargets(list, now) })
}

// do sends a request; an empty id means none. The error is set if there was no
// complete response.
func (c *caller) do(method, path, id string) (status int, body string, err error) {
	return c.doBody(method, path, id, nil)
}

// doBody is do with a body of the request.
func (c *caller) doBody(method, path, id string, requestBody io.Reader) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+c.address+path, requestBody)
	if err != nil {
		c.tb.Fatal(err)
	}
	r.Host = "h"
	if id != "" {
		r.Header.Set(testHeaders.RequestID, id)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// success returns a correct answer to a request, with or without an id.
func success(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idLine(id) + fmt.Sprintf("Proof: p\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// rejection returns the statement that a request was not run.
func rejection(id string) string {
	return "HTTP/1.1 503 X\r\n" + idLine(id) + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

func idLine(id string) string {
	if id == "" {
		return ""
	}
	return "Id: " + id + "\r\n"
}

func write(c net.Conn, answer string) bool {
	_, err := io.WriteString(c, answer)
	return err == nil
}

// A target runs a request on a kept connection and writes words of an earlier exchange
// before or instead of the answer.
func TestEarlierRefusalOnAKeptConnectionIsNotBelieved(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first, second string // ids of two requests of a caller, one after the other
		earlier       string // words of an earlier exchange, written when the second has run
		want          int
	}{
		"503 without an id":         {"a", "b", rejection(""), 502},
		"421 without an id":         {"a", "b", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", 502},
		"429 without an id":         {"a", "b", "HTTP/1.1 429 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 502},
		"with two ids":              {"a", "b", "HTTP/1.1 503 X\r\nId: b\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 200},
		"with another id":           {"a", "b", rejection("a"), 200},
		"to a request without id":   {"a", "", rejection(""), 200},
		"to a second without id":    {"", "", rejection(""), 200},
		"the caller repeats its id": {"a", "a", rejection("a"), 200},
		"as an informational one":   {"a", "b", "HTTP/1.1 103 X\r\nId: b\r\nNot-Run: 1\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ran atomic.Int32
			answer := func(conn *net.TCPConn, r received) bool {
				if r.path == "/once/2" {
					ran.Add(1)
					earlier := r.n > 1 && (c.first != c.second || r.seen[r.id] > 1)
					if earlier && !write(conn, c.earlier) {
						return false
					}
				}
				return write(conn, success(r.id, r.path))
			}
			targets := []*rawTarget{newRawTarget(t, answer), newRawTarget(t, answer)}
			call := newCaller(t, targets...)
			for i := 0; targets[0].connections.Load() == 0 || targets[1].connections.Load() == 0; i++ {
				if status, _, err := call.do(http.MethodPost, "/once/1", fmt.Sprint("other", i)); status != 200 || err != nil {
					t.Fatalf("a request before got %d, %v", status, err)
				}
			}
			if status, _, err := call.do(http.MethodPost, "/once/1", c.first); status != 200 || err != nil {
				t.Fatalf("the first request got %d, %v", status, err)
			}
			status, body, err := call.do(http.MethodPost, "/once/2", c.second)
			if err != nil || status != c.want || status == 200 && body != "/once/2" {
				t.Errorf("got status %d, body %q, %v; want %d", status, body, err, c.want)
			}
			if n := ran.Load(); n > 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

// Only the first answer on a connection is known to belong to the request without its id.
func TestRefusalWithoutAnIDAfterAnotherAnswerIsNotBelieved(t *testing.T) {
	t.Parallel()
	call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, _ received) bool {
		return write(c, success("other", "x")+rejection(""))
	}))
	if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 502 || err != nil {
		t.Errorf("got %d, %v; want 502", status, err)
	}
}

func TestProvenRefusalIsPassedOn(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		kept   bool // the request is sent on a kept connection
		answer string
		ending string // of the connection; empty if it stays open
	}{
		"with id, kept connection":               {true, rejection("b"), ""},
		"with id, new connection":                {false, rejection("b"), ""},
		"421 without Not-Run, kept connection":   {true, "HTTP/1.1 421 X\r\nId: b\r\nContent-Length: 0\r\n\r\n", ""},
		"without id, first on a new connection":  {false, rejection(""), ""},
		"with id, after one to another request":  {true, rejection("a") + rejection("b"), ""},
		"without length, its connection ends it": {true, "HTTP/1.1 503 X\r\nId: b\r\nNot-Run: 1\r\n\r\nfull", "closed"},
		"without length, reset":                  {true, "HTTP/1.1 503 X\r\nId: b\r\nNot-Run: 1\r\n\r\nfull", "reset"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			call := newCaller(t, newRawTarget(t, func(conn *net.TCPConn, r received) bool {
				if r.id != "b" {
					return write(conn, success(r.id, "ok"))
				}
				written := write(conn, c.answer)
				if end, ok := endings[c.ending]; ok {
					return end(conn)
				}
				return written
			}))
			if c.kept {
				if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 200 || err != nil {
					t.Fatalf("the first request got %d, %v", status, err)
				}
			}
			if status, _, err := call.do(http.MethodPost, "/once/2", "b"); status != 503 || err != nil {
				t.Errorf("got %d, %v; want 503", status, err)
			}
		})
	}
}

// A target rejects a request, writes that rejection again when the request comes once
// more on the same connection, and has run it.
func TestRejectedRequestIsNotSentAgainOnItsConnection(t *testing.T) {
	t.Parallel()
	var ran atomic.Int32
	answer := func(c *net.TCPConn, r received) bool {
		switch {
		case r.id != "a":
			return write(c, success(r.id, "ok"))
		case r.seen["a"] > 1:
			ran.Add(1)
			return write(c, rejection("a"))
		}
		return write(c, rejection("a"))
	}
	target := newRawTarget(t, answer)
	call := newCaller(t, target)
	for range 3 { // the caller, too, repeats its request
		if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 503 || err != nil {
			t.Errorf("got %d, %v", status, err)
		}
	}
	if n := ran.Load(); n != 0 {
		t.Errorf("%d of the requests answered 503 had run", n)
	}
	before := target.connections.Load()
	for i := range 6 {
		if status, _, err := call.do(http.MethodPost, "/once/1", fmt.Sprint("b", i)); status != 200 || err != nil {
			t.Errorf("got %d, %v", status, err)
		}
	}
	if n := target.connections.Load() - before; n != 0 {
		t.Errorf("%d connections were opened; those of rejected requests should be reused", n)
	}
}

func TestConnectionWithoutRoomForMoreRequestIDsIsClosed(t *testing.T) {
	t.Parallel()
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	call := newCaller(t, target)
	for i := range maxRequestsPerConn + 1 {
		if status, _, err := call.do(http.MethodGet, "/once/1", fmt.Sprint(i)); status != 200 || err != nil {
			t.Fatalf("request %d: got %d, %v", i, status, err)
		}
	}
	if n := target.connections.Load(); n != 2 {
		t.Errorf("%d connections for %d requests, want 2", n, maxRequestsPerConn+1)
	}
}

func TestAnswerToAnEarlierRequestWithTheSameIDIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"a", ""} {
		call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
			if r.seen[id] > 1 && !write(c, success(id, "/once/1")) {
				return false
			}
			return write(c, success(id, r.path))
		}))
		for _, path := range []string{"/once/1", "/once/2"} {
			if status, body, err := call.do(http.MethodPost, path, id); status != 200 || body != path || err != nil {
				t.Errorf("id %q: %s got %d %q, %v", id, path, status, body, err)
			}
		}
	}
}

func TestLoadOfAnUnprovenAnswerIsNotLearnt(t *testing.T) {
	t.Parallel()
	call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.id == "b" {
			return write(c, "HTTP/1.1 200 OK\r\nProof: p\r\nLoad: 6,900,6\r\nContent-Length: 0\r\n\r\n")
		}
		return write(c, success(r.id, "ok"))
	}))
	for _, step := range []struct {
		id   string
		want int
	}{{"a", 200}, {"b", 502}} {
		if status, _, err := call.do(http.MethodPost, "/once/1", step.id); status != step.want || err != nil {
			t.Errorf("%s: got %d, %v; want %d", step.id, status, err, step.want)
		}
	}
	call.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		if grant, _ := b.Choose(affinity.Request{Service: "s", ID: "c", Route: "once"}, now); grant.Load > 6 {
			t.Errorf("the target's load is taken to be %v", grant.Load)
		}
	})
}

// The answer to a HEAD request has no body, so that the body of an answer to another
// request would be read as the next head.
func TestBodyOfAnotherAnswerIsNotReadAsAHead(t *testing.T) {
	t.Parallel()
	call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
		return write(c, success("other", "HTTP/1.1 200 OK\r\nId: "+r.id+"\r\nProof: p\r\n\r\n"))
	}))
	if status, _, err := call.do(http.MethodHead, "/once/1", "a"); status != 502 || err != nil {
		t.Errorf("got %d, %v; want 502", status, err)
	}
}

// A kept connection may still lead to the earlier process when the next one has been
// registered with the same id and address.
func TestConnectionToATargetsEarlierProcessIsNotReused(t *testing.T) {
	t.Parallel()
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	call := newCaller(t, target)
	for started := range int64(3) {
		register(call.gateway, started, []*rawTarget{target})
		for i := range 2 {
			if status, _, err := call.do(http.MethodPost, "/once/1", fmt.Sprint(started, i)); status != 200 || err != nil {
				t.Fatalf("got %d, %v", status, err)
			}
		}
		if n := target.connections.Load(); n != int32(started)+1 {
			t.Errorf("%d connections to %d processes", n, started+1)
		}
	}
}
