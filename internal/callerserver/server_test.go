package callerserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
)

const patience = 5 * time.Second // for what must happen

// testServer serves /safe/NAME, which may run concurrently, and all other paths. Each
// response is the path and the body of its request, held back until the path is released.
type testServer struct {
	tb      testing.TB
	server  *Server
	address string

	mu       sync.Mutex
	changed  *sync.Cond
	started  []string
	ended    map[string]bool // contexts that ended while the request was held back
	released map[string]bool
	idle     int
	ages     map[string]time.Duration
}

func newTestServer(tb testing.TB, change func(*Options)) *testServer {
	s := &testServer{tb: tb, ended: map[string]bool{}, released: map[string]bool{}, ages: map[string]time.Duration{}}
	s.changed = sync.NewCond(&s.mu)
	o := Options{
		Handler: s, Metrics: metrics.New(), ReadHeaderTimeout: patience,
		Concurrent: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe/") },
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.idle++
				s.changed.Broadcast()
			}
		},
	}
	if change != nil {
		change(&o)
	}
	s.server = New(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = s.server.Serve(l) }()
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		s.release("*")
		if err := s.server.Shutdown(ctx); err != nil {
			tb.Errorf("shutdown: %v", err)
		}
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	path := r.URL.Path
	stop := context.AfterFunc(r.Context(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended[path] = true
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	s.started = append(s.started, path)
	s.ages[path] = Age(r)
	s.changed.Broadcast()
	for !s.released[path] && !s.released["*"] && !s.ended[path] {
		s.changed.Wait()
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	switch {
	case strings.Contains(path, "last"):
		if MayClose(r) {
			w.Header().Set("Connection", "close")
		}
	case strings.Contains(path, "cut"):
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, path)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case strings.Contains(path, "held"):
		defer Hold(r, heldSize)()
		_, _ = w.Write(make([]byte, heldSize))
	case strings.Contains(path, "big"):
		_, _ = w.Write(make([]byte, 100<<10))
	}
	_, _ = io.WriteString(w, path+" "+string(body))
}

// release lets requests of the paths go on; * means all.
func (s *testServer) release(paths ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, path := range paths {
		s.released[path] = true
	}
	s.changed.Broadcast()
}

// wait waits until the condition holds, which is asked with the lock held.
func (s *testServer) wait(what string, condition func() bool) {
	s.tb.Helper()
	timer := time.AfterFunc(patience, func() { s.mu.Lock(); defer s.mu.Unlock(); s.changed.Broadcast() })
	defer timer.Stop()
	end := time.Now().Add(patience)
	s.mu.Lock()
	defer s.mu.Unlock()
	for !condition() {
		if !time.Now().Before(end) {
			s.tb.Fatalf("%s: not within %v; started %v, ended %v", what, patience, s.started, s.ended)
		}
		s.changed.Wait()
	}
}

func (s *testServer) waitStarted(paths ...string) {
	s.tb.Helper()
	s.wait(fmt.Sprint("start of ", paths), func() bool {
		return !slices.ContainsFunc(paths, func(p string) bool { return !slices.Contains(s.started, p) })
	})
}

// startedNow returns the paths whose requests have been started, after what could start had
// the time to.
func (s *testServer) startedNow() []string {
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.started)
}

// testCaller is a connection of a caller.
type testCaller struct {
	tb testing.TB
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *testCaller {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.tb.Fatal(err)
	}
	s.tb.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(2 * patience))
	return &testCaller{s.tb, c, bufio.NewReader(c)}
}

func get(paths ...string) string {
	var b strings.Builder
	for _, path := range paths {
		b.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	return b.String()
}

func (c *testCaller) send(text string) {
	c.tb.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.tb.Fatal(err)
	}
}

// response reads one response and returns its status and body.
func (c *testCaller) response() (int, string, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

// expect reads responses to the paths, whose requests had no body.
func (c *testCaller) expect(paths ...string) {
	c.tb.Helper()
	for _, path := range paths {
		if status, body, err := c.response(); err != nil || status != 200 || body != path+" " {
			c.tb.Fatalf("response to %s: %d %.80q %v", path, status, body, err)
		}
	}
}

// expectEnd checks that nothing more comes.
func (c *testCaller) expectEnd() {
	c.tb.Helper()
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil {
		c.tb.Fatalf("%.200q, %v, want the end of the connection", rest, err)
	}
}

func TestRequestsRunTogetherAndResponsesLeaveInOrder(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/1", "/safe/2"))
	s.waitStarted("/safe/1", "/safe/2")
	c.send(get("/safe/3", "/safe/4"))
	s.waitStarted("/safe/3", "/safe/4")
	s.release("/safe/4")
	s.release("/safe/2")
	time.Sleep(20 * time.Millisecond)
	s.release("/safe/1")
	c.expect("/safe/1", "/safe/2")
	s.release("/safe/3")
	c.expect("/safe/3", "/safe/4")
	s.release("*")
	c.send(get("/safe/5"))
	c.expect("/safe/5")
	c.send(get("/once/6") + get("/safe/7"))
	c.expect("/once/6", "/safe/7")
}

func TestFirstRequestAheadInOneByteAndManyInOneSegment(t *testing.T) {
	s := newTestServer(t, nil)
	s.release("*")
	c := s.dial()
	var paths []string
	for i := range 300 {
		paths = append(paths, fmt.Sprint("/safe/", i))
	}
	c.send(get(paths...))
	c.expect(paths...)
	for _, b := range get(paths[:20]...) {
		c.send(string(b))
	}
	c.expect(paths[:20]...)
}

func TestExclusiveRequestsRunAlone(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/1", "/safe/2", "/once/3", "/safe/4", "/safe/5", "/once/6"))
	s.waitStarted("/safe/1", "/safe/2")
	if started := s.startedNow(); len(started) != 2 {
		t.Fatalf("started %v beside requests that are not answered", started)
	}
	s.release("/safe/1")
	c.expect("/safe/1")
	if started := s.startedNow(); len(started) != 2 {
		t.Fatalf("started %v beside requests that are not answered", started)
	}
	s.release("/safe/2")
	c.expect("/safe/2")
	s.waitStarted("/once/3")
	if started := s.startedNow(); len(started) != 3 {
		t.Fatalf("started %v beside an exclusive request", started)
	}
	s.release("/once/3")
	c.expect("/once/3")
	s.waitStarted("/safe/4", "/safe/5")
	if started := s.startedNow(); len(started) != 5 {
		t.Fatalf("started %v beside requests that are not answered", started)
	}
	s.release("*")
	c.expect("/safe/4", "/safe/5", "/once/6")
}

func TestNoMoreThanTheLimitRunAtOnce(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	var paths []string
	for i := range maxAhead + 10 {
		paths = append(paths, fmt.Sprint("/safe/", i))
	}
	c.send(get(paths...))
	s.waitStarted(paths[:maxAhead]...)
	if started := s.startedNow(); len(started) != maxAhead {
		t.Fatalf("%d requests run at once", len(started))
	}
	s.release("*")
	c.expect(paths...)
}

func TestNextRequestStartsOnceOneIsAnswered(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	var paths []string
	for i := range maxAhead + 4 {
		paths = append(paths, fmt.Sprint("/safe/", i))
	}
	c.send(get(paths...))
	s.waitStarted(paths[:maxAhead]...)
	s.startedNow() // by now all is read
	for i := range 3 {
		s.release(paths[i])
		s.waitStarted(paths[maxAhead+i])
	}
	s.release("*")
	c.expect(paths...)
}

func TestRequestStartsAheadOnceOtherConnectionsLeaveRoom(t *testing.T) {
	s := newTestServer(t, func(o *Options) { o.MemoryBytes, o.ResponseBytes = 16<<20, 128<<10 })
	var held []string
	var others []*testCaller
	for i := range 12 {
		c := s.dial()
		c.send(get(fmt.Sprint("/safe/first", i)))
		s.waitStarted(fmt.Sprint("/safe/first", i))
		others = append(others, c)
	}
	for range 20 {
		held = append(held, "/safe/held")
	}
	s.release("/safe/held")
	for _, c := range others {
		c.send(get(held...))
	}
	s.startedNow()
	c := s.dial()
	c.send(get("/safe/mine"))
	s.waitStarted("/safe/mine")
	c.send(get("/safe/late"))
	if slices.Contains(s.startedNow(), "/safe/late") {
		t.Fatal("there is room for one more request")
	}
	for i, o := range others {
		s.release(fmt.Sprint("/safe/first", i))
		o.expect(fmt.Sprint("/safe/first", i))
		for range held {
			if _, body, err := o.response(); err != nil || !strings.HasSuffix(body, "/safe/held ") {
				t.Fatalf("%d bytes, %v", len(body), err)
			}
		}
	}
	s.waitStarted("/safe/late")
	s.release("*")
	c.expect("/safe/mine", "/safe/late")
}

func TestCallerLeavesWithRequestsQueued(t *testing.T) {
	for name, behind := range map[string]string{
		"little behind":        get("/safe/2", "/safe/3", "/once/4"),
		"half a request":       get("/safe/2", "/safe/3") + "GET /safe/4 HTT",
		"more than is read":    get("/safe/2", "/safe/3", "/once/4") + strings.Repeat(get("/safe/5"), 3000),
		"a long body":          get("/safe/2", "/safe/3") + "POST /once/4 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000),
		"of an exclusive one":  "",
		"exclusive, much more": strings.Repeat(get("/safe/5"), 3000),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial()
			running := []string{"/safe/1", "/safe/2", "/safe/3"}
			first := "/safe/1"
			if strings.Contains(name, "exclusive") {
				running, first = []string{"/once/1"}, "/once/1"
			}
			c.send(get(first) + behind)
			s.waitStarted(running...)
			time.Sleep(50 * time.Millisecond)
			left := time.Now()
			_ = c.Close()
			s.wait("end of the requests", func() bool {
				return !slices.ContainsFunc(running, func(p string) bool { return !s.ended[p] })
			})
			if took := time.Since(left); took > 500*time.Millisecond {
				t.Errorf("noticed after %v", took)
			}
			if started := s.startedNow(); len(started) != len(running) {
				t.Errorf("started %v after the caller left", started[len(running):])
			}
			for end := time.Now().Add(patience); s.server.held() != 0 || s.server.unsent.Load() != 0 || s.server.piping.Load() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes, %d requests and %d connections are held", s.server.held(), s.server.unsent.Load(), s.server.piping.Load())
				}
			}
		})
	}
}

func TestNothingRunsBehindAClose(t *testing.T) {
	s := newTestServer(t, nil)
	s.release("*")
	const last = "GET /safe/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	c := s.dial()
	c.send(get("/safe/1") + last + get("/safe/behind", "/once/behind"))
	c.expect("/safe/1", "/safe/2")
	c.expectEnd()
	c = s.dial()
	c.send(last + get("/safe/behind", "/once/behind"))
	c.expect("/safe/2")
	c.expectEnd()
	if started := s.startedNow(); slices.ContainsFunc(started, func(p string) bool { return strings.Contains(p, "behind") }) {
		t.Errorf("started %v", started)
	}
}

// The request that asks for the end runs ahead of its turn, while the one before it runs.
func TestNothingStartsBehindACloseThatRunsAhead(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/1") + "GET /safe/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	s.waitStarted("/safe/1", "/safe/2")
	c.send(get("/safe/behind1", "/safe/behind2"))
	if started := s.startedNow(); len(started) != 2 {
		t.Errorf("started %v", started)
	}
	s.release("*")
	c.expect("/safe/1", "/safe/2")
	c.expectEnd()
}

func TestNothingRunsBesideARequestWithABody(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/safe/2", "/safe/3"))
	s.waitStarted("/safe/1")
	if started := s.startedNow(); len(started) != 1 {
		t.Errorf("started %v beside a request with a body", started)
	}
	s.release("*")
	if status, body, err := c.response(); status != 200 || body != "/safe/1 abc" || err != nil {
		t.Errorf("got %d %q %v", status, body, err)
	}
	c.expect("/safe/2", "/safe/3")
}

func TestNothingStartsAheadDuringShutdown(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/1", "/safe/2"))
	s.waitStarted("/safe/1", "/safe/2")
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		done <- s.server.Shutdown(ctx)
	}()
	time.Sleep(50 * time.Millisecond)
	c.send(get("/safe/late"))
	if started := s.startedNow(); len(started) != 2 {
		t.Errorf("started %v", started)
	}
	s.release("*")
	c.expect("/safe/1", "/safe/2")
	c.expectEnd()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestClosingResponsesDontCutOffStartedRequests(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/last1", "/safe/last2", "/safe/last3"))
	s.waitStarted("/safe/last1", "/safe/last2", "/safe/last3")
	s.release("/safe/last1", "/safe/last2")
	c.expect("/safe/last1", "/safe/last2")
	c.send(get("/safe/4"))
	if started := s.startedNow(); len(started) != 3 {
		t.Fatalf("started %v behind a request that asked to be the last", started)
	}
	s.release("*")
	c.expect("/safe/last3")
	c.expectEnd()
	if started := s.startedNow(); len(started) != 3 {
		t.Fatalf("started %v", started)
	}
}

func TestShutdownAnswersWhatHasStarted(t *testing.T) {
	for _, order := range [][]string{{"/safe/1", "/safe/2", "/safe/3"}, {"/safe/3", "/safe/2", "/safe/1"}, {"/safe/1", "/safe/3", "/safe/2"}} {
		s := newTestServer(t, nil)
		c := s.dial()
		c.send(get("/safe/1", "/safe/2", "/safe/3", "/once/4", "/safe/5"))
		s.waitStarted("/safe/1", "/safe/2", "/safe/3")
		done := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			done <- s.server.Shutdown(ctx)
		}()
		for _, path := range order {
			time.Sleep(50 * time.Millisecond)
			s.release(path)
		}
		c.expect("/safe/1", "/safe/2", "/safe/3")
		c.expectEnd()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if started := s.startedNow(); len(started) != 3 {
			t.Errorf("started %v", started)
		}
	}
}

func TestCutResponseEndsTheConnection(t *testing.T) {
	for _, cut := range []string{"/safe/cut1", "/safe/cut2"} {
		s := newTestServer(t, nil)
		c := s.dial()
		paths := []string{"/safe/1", "/safe/2", "/safe/3"}
		i := int(cut[len(cut)-1] - '1')
		paths[i] = cut
		c.send(get(paths...) + get("/once/4"))
		s.waitStarted(paths...)
		s.release(cut)
		if i > 0 {
			s.wait("cancel behind the cut", func() bool { return s.ended["/safe/3"] })
		}
		s.release(paths[:i]...)
		c.expect(paths[:i]...)
		if _, body, err := c.response(); err == nil || body != cut {
			t.Errorf("%q, %v, want a cut response", body, err)
		}
		s.wait("cancel behind the cut", func() bool { return s.ended["/safe/3"] })
		if started := s.startedNow(); len(started) != 3 {
			t.Errorf("started %v", started)
		}
	}
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	messages := map[string]string{
		"space before the colon": "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"no host":                "GET /safe/x HTTP/1.1\r\n\r\n",
		"two hosts":              "GET /safe/x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"odd host":               "GET /safe/x HTTP/1.1\r\nHost: h\"h\r\n\r\n",
		"control character":      "GET /safe/x HTTP/1.1\r\nHost: h\r\nX: \x01\r\n\r\n",
		"no request":             "hello\r\n\r\n",
	}
	for name, message := range ambiguous {
		messages[name] = message
	}
	for name, message := range messages {
		for _, before := range [][]string{nil, {"/safe/1", "/safe/2"}, {"/once/1"}} {
			s := newTestServer(t, nil)
			c := s.dial()
			c.send(get(before...) + message + get("/safe/behind"))
			s.waitStarted(before...)
			if started := s.startedNow(); len(started) != len(before) {
				t.Errorf("%s: started %v", name, started)
			}
			s.release(before...)
			c.expect(before...)
			if status, _, err := c.response(); err != nil || status != 400 {
				t.Errorf("%s behind %v: %d %v, want 400", name, before, status, err)
			}
			if rest, _ := io.ReadAll(c.reader); len(rest) > 0 { // a reset may end it
				t.Errorf("%s: %q behind the refusal", name, rest)
			}
			if started := s.startedNow(); len(started) != len(before) {
				t.Errorf("%s: started %v", name, started)
			}
		}
	}
}

func TestBodiesInAPipeline(t *testing.T) {
	s := newTestServer(t, nil)
	s.release("*")
	c := s.dial()
	long := strings.Repeat("0123456789", 100000)
	const chunks = "POST /safe/2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
	text := "POST /safe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + chunks + get("/safe/3") +
		chunks + fmt.Sprintf("POST /safe/4 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(long), long) + get("/safe/5")
	go func() { _, _ = io.WriteString(c, text) }()
	for _, want := range []string{"/safe/1 abc", "/safe/2 abcd", "/safe/3 ", "/safe/2 abcd", "/safe/4 " + long, "/safe/5 "} {
		if status, body, err := c.response(); err != nil || status != 200 || body != want {
			t.Fatalf("%d %.40q (%d bytes) %v, want %.40q (%d bytes)", status, body, len(body), err, want, len(want))
		}
	}
}

func TestRequestsThatNeedTheConnectionWaitForTheirTurn(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/1") + "POST /safe/2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	s.waitStarted("/safe/1")
	s.release("*")
	c.expect("/safe/1")
	if line, err := c.reader.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = c.reader.ReadString('\n')
	c.send("abc" + get("/safe/3"))
	if _, body, err := c.response(); err != nil || body != "/safe/2 abc" {
		t.Fatalf("%q, %v", body, err)
	}
	c.expect("/safe/3")
	c.send(get("/safe/4") + "GET /safe/5 HTTP/1.0\r\n\r\n" + get("/safe/behind"))
	c.expect("/safe/4", "/safe/5")
	c.expectEnd()
}

func TestLimitsOfHeads(t *testing.T) {
	s := newTestServer(t, func(o *Options) { o.MaxHeaderBytes, o.ReadHeaderTimeout = 1000, 300*time.Millisecond })
	c := s.dial()
	c.send(get("/safe/1") + "GET /safe/2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n" + get("/safe/behind"))
	s.waitStarted("/safe/1")
	s.release("*")
	c.expect("/safe/1")
	if status, _, err := c.response(); err != nil || status != 431 {
		t.Errorf("%d %v, want 431", status, err)
	}
	c = s.dial()
	c.send(get("/safe/3") + "GET /safe/behind HTTP")
	c.expect("/safe/3")
	begin := time.Now()
	_, _ = io.ReadAll(c.reader) // net/http answers some incomplete heads with 400
	if took := time.Since(begin); took < 200*time.Millisecond || took > 2*time.Second {
		t.Errorf("a head that is never completed was given %v", took)
	}
	if started := s.startedNow(); slices.Contains(started, "/safe/behind") {
		t.Errorf("started %v", started)
	}
}

func TestAgeCountsFromTheFirstByte(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/once/1", "/once/2") + "GET /once/3")
	s.waitStarted("/once/1")
	time.Sleep(200 * time.Millisecond)
	s.release("*")
	c.expect("/once/1", "/once/2")
	c.send(get("")[len("GET "):])
	c.expect("/once/3")
	c.send("GET /safe/4 ")
	time.Sleep(200 * time.Millisecond)
	c.send("HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect("/safe/4")
	c.send(get("/safe/5"))
	c.expect("/safe/5")
	s.mu.Lock()
	defer s.mu.Unlock()
	for path, atLeast := range map[string]time.Duration{"/once/2": 190 * time.Millisecond, "/once/3": 190 * time.Millisecond, "/safe/4": 190 * time.Millisecond} {
		if age := s.ages[path]; age < atLeast || age > time.Second {
			t.Errorf("age of %s: %v", path, age)
		}
	}
	if age := s.ages["/safe/5"]; age > 150*time.Millisecond {
		t.Errorf("age of a request without wait: %v", age)
	}
}

// Some callers send an empty line behind a body. It belongs to no request.
func TestAgeDoesNotCountFromAnEmptyLine(t *testing.T) {
	for _, piped := range []bool{false, true} {
		s := newTestServer(t, nil)
		s.release("*")
		c := s.dial()
		if piped {
			s.release("*")
			c.send(get("/safe/1", "/safe/2", "/safe/3"))
			c.expect("/safe/1", "/safe/2", "/safe/3")
		}
		c.send("POST /once/4 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		if status, body, err := c.response(); status != 200 || body != "/once/4 x" || err != nil {
			t.Fatal(status, body, err)
		}
		c.send("\r\n")
		time.Sleep(300 * time.Millisecond)
		begin := time.Now()
		c.send("GET /once/5 ")
		time.Sleep(100 * time.Millisecond)
		c.send(get("")[len("GET  "):])
		c.expect("/once/5")
		longest := time.Since(begin)
		s.mu.Lock()
		if age := s.ages["/once/5"]; age < 90*time.Millisecond || age > longest {
			t.Errorf("piped %v: age %v", piped, age)
		}
		s.mu.Unlock()
	}
}

func TestIdleOnlyWhenAllAreAnswered(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/safe/1", "/safe/2"))
	s.waitStarted("/safe/1", "/safe/2")
	s.release("/safe/1")
	c.expect("/safe/1")
	s.startedNow()
	s.mu.Lock()
	if s.idle != 0 {
		t.Error("idle while a request runs")
	}
	s.mu.Unlock()
	s.release("*")
	c.expect("/safe/2")
	s.wait("idle", func() bool { return s.idle == 1 })
}

func TestSlowReadersAreBoundedAndDontStopOthers(t *testing.T) {
	const memory = 16 << 20
	s := newTestServer(t, func(o *Options) { o.MemoryBytes = memory })
	s.release("*")
	// Answers of 100 KB that nobody reads.
	for range 10 {
		c := s.dial()
		go func() { _, _ = io.WriteString(c, strings.Repeat(get("/safe/big"), 500)) }()
	}
	var peak int64
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		peak = max(peak, s.server.held())
	}
	// Responses that were started within the bound may wait for room, each with what one
	// write has.
	if peak > memory/memoryShare*3/2 || peak < memory/memoryShare/2 {
		t.Errorf("%d bytes are held of %d", peak, memory/memoryShare)
	}
	if s.server.Metrics.Text(); !strings.Contains(s.server.Metrics.Text(), "caller_read_ahead_refused_total") {
		t.Error("refusals to read on are not counted")
	}
	c := s.dial()
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	c.expect("/safe/1", "/safe/2", "/safe/3")
}

func TestLargestHolderIsNamed(t *testing.T) {
	const memory = 16 << 20
	var out bytes.Buffer
	logs := logging.New(&out, "info")
	s := newTestServer(t, func(o *Options) { o.MemoryBytes, o.Log = memory, logs.Part("callers") })
	paths := func(name string, n int) (list []string) {
		for i := range n {
			list = append(list, fmt.Sprint("/safe/", name, i))
		}
		return list
	}
	var small []*testCaller
	for i := range 5 {
		c := s.dial()
		first := fmt.Sprint("/safe/first", i)
		c.send(get(first))
		s.waitStarted(first)
		c.send(get(paths(fmt.Sprint("small", i, "-"), 3)...))
		small = append(small, c)
	}
	greedy := s.dial()
	greedy.send(get("/safe/first"))
	s.waitStarted("/safe/first")
	s.release(paths("big", 60)...)
	begin := time.Now()
	greedy.send(get(paths("big", 60)...))
	refused := func() bool { return strings.Contains(s.server.Metrics.Text(), "caller_read_ahead_refused_total") }
	for end := time.Now().Add(patience); !refused(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the greedy caller may hold everything")
		}
	}
	for i := range small { // they still run ahead
		s.waitStarted(paths(fmt.Sprint("small", i, "-"), 3)...)
	}
	var largest int64
	for line := range strings.Lines(s.server.Metrics.Text()) {
		_, _ = fmt.Sscanf(line, "turmericfield_caller_bytes_held_by_largest %d", &largest) // most lines are others
	}
	if largest < memory/memoryShare/3 || largest > s.server.held() {
		t.Errorf("the largest holds %d of %d bytes", largest, s.server.held())
	}
	s.server.nameLargest(time.Now())
	early := time.Since(begin) < nameInterval
	s.server.nameLargest(time.Now().Add(nameInterval))
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if early && len(lines) != 2 {
		t.Errorf("%d lines, want two, which are an interval apart", len(lines))
	}
	for _, line := range lines {
		if !strings.Contains(line, fmt.Sprintf(`"caller":%q`, greedy.LocalAddr())) || !strings.Contains(line, `"limit":2097152`) {
			t.Errorf("does not name the greedy caller %v: %s", greedy.LocalAddr(), line)
		}
	}
	s.release("*")
	for i, c := range small {
		c.expect(append([]string{fmt.Sprint("/safe/first", i)}, paths(fmt.Sprint("small", i, "-"), 3)...)...)
	}
}

// heldSize is the size in bytes of the responses that the handler counts by Hold.
const heldSize = 127 << 10

func TestResponsesBehindSlowOnesStayWithinTheBound(t *testing.T) {
	const memory, callers, ahead = 128 << 20, 24, 63
	s := newTestServer(t, func(o *Options) { o.MemoryBytes, o.ResponseBytes = memory, 128<<10 })
	var conns []*testCaller
	for i := range callers {
		c := s.dial()
		c.send(get(fmt.Sprint("/safe/first", i)))
		conns = append(conns, c)
	}
	s.wait("first requests", func() bool { return len(s.started) == callers })
	held := make([]string, ahead)
	for j := range held {
		held[j] = fmt.Sprint("/safe/held", j)
	}
	for _, c := range conns {
		c.send(get(held...))
	}
	if started := s.startedNow(); len(started) < 2*callers {
		t.Errorf("%d requests run on %d connections", len(started), callers)
	}
	var peak int64
	s.release(held...)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		peak = max(peak, s.server.held())
	}
	if peak > memory/memoryShare {
		t.Errorf("%d bytes are held of %d", peak, memory/memoryShare)
	}
	s.release("*")
	for i, c := range conns {
		c.expect(fmt.Sprint("/safe/first", i))
		for _, path := range held {
			if status, body, err := c.response(); err != nil || status != 200 || len(body) != heldSize+len(path)+1 || !strings.HasSuffix(body, path+" ") {
				t.Fatalf("response to %s: %d, %d bytes, %v", path, status, len(body), err)
			}
		}
	}
}

func TestReadingAheadIsBounded(t *testing.T) {
	s := newTestServer(t, nil)
	for _, first := range []string{"/safe/1", "/once/1"} {
		c := s.dial()
		c.send(get(first))
		go func() { _, _ = io.WriteString(c, strings.Repeat(get("/once/2"), 300000)) }()
	}
	s.waitStarted("/safe/1", "/once/1")
	time.Sleep(300 * time.Millisecond)
	if held := s.server.held(); held < maxUnread || held > 2*(maxUnread+readSize) {
		t.Errorf("%d bytes are read ahead on two connections", held)
	}
	if started := s.startedNow(); len(started) != 2 {
		t.Errorf("started %v", started)
	}
}

func TestSlowReaderGetsAll(t *testing.T) {
	s := newTestServer(t, func(o *Options) { o.MemoryBytes = 4 << 20 })
	s.release("*")
	c := s.dial()
	go func() { _, _ = io.WriteString(c, strings.Repeat(get("/safe/big", "/safe/1"), 50)) }()
	time.Sleep(200 * time.Millisecond)
	for range 50 {
		if _, body, err := c.response(); err != nil || len(body) != 100<<10+len("/safe/big ") || !bytes.HasSuffix([]byte(body), []byte("/safe/big ")) {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
		c.expect("/safe/1")
	}
}

// Each round has room for one piece, which many requests ask for at once.
func TestTryHoldKeepsToTheBoundOfAllCallers(t *testing.T) {
	const piece, callers, rounds = 8 << 10, 16, 20000
	s := New(Options{Metrics: metrics.New(), MemoryBytes: memoryShare * 2 * piece})
	requests := make([]*aheadConn, callers)
	for i := range requests {
		requests[i] = &aheadConn{conn: newConn(nil, s)}
		requests[i].conn.piping = true
	}
	for range rounds {
		var trying sync.WaitGroup
		begin := make(chan struct{})
		for _, a := range requests {
			trying.Go(func() {
				<-begin
				a.tryHold(piece)
			})
		}
		close(begin)
		trying.Wait()
		if held := s.held(); held != piece {
			t.Fatalf("%d bytes are held, want %d", held, piece)
		}
		for _, a := range requests {
			a.holdFor(-a.handler)
		}
	}
	if held := s.held(); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}
