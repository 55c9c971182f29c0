package callerserver

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/metrics"
)

// parkedConns returns the number of parked connections.
func (s *testServer) parkedConns() int {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return len(s.server.parked)
}

// waitParked waits until so many connections are parked.
func (s *testServer) waitParked(n int) {
	s.tb.Helper()
	for end := time.Now().Add(patience); s.parkedConns() != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.tb.Fatalf("%d connections are parked, want %d", s.parkedConns(), n)
		}
	}
}

// inUse returns the bytes of heap and stacks that are in use.
func inUse() int64 {
	runtime.GC()
	runtime.GC() // what the first one has taken from pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func TestIdleConnectionsHoldLittle(t *testing.T) {
	t.Run("requests one by one", func(t *testing.T) { testIdleConnections(t, 12<<10, "/safe/1") })
	t.Run("requests ahead", func(t *testing.T) { testIdleConnections(t, 16<<10, "/safe/1", "/safe/2", "/safe/3") })
}

// testIdleConnections expects at most so many bytes for each connection, with its caller.
func testIdleConnections(t *testing.T, most int64, paths ...string) {
	const conns = 400
	s := newTestServer(t, nil)
	s.release("*")
	before := inUse()
	callers := make([]net.Conn, conns)
	end := paths[len(paths)-1] + " "
	responses := make([]byte, 4<<10)
	for i := range callers {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, get(paths...)); err != nil {
			t.Fatal(err)
		}
		for n := 0; !strings.HasSuffix(string(responses[:n]), end); {
			more, err := c.Read(responses[n:])
			if n += more; err != nil {
				t.Fatalf("%q, %v", responses[:n], err)
			}
		}
		callers[i] = c
	}
	for end := time.Now().Add(patience); inUse()-before > conns*most; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes for each of %d idle connections, with their callers", (inUse()-before)/conns, conns)
		}
	}
}

func TestParkedConnectionsAreServed(t *testing.T) {
	s := newTestServer(t, nil)
	s.release("*")
	c := s.dial()
	for i := range 3 {
		path := fmt.Sprint("/once/", i)
		c.send("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		if status, body, err := c.response(); status != 200 || body != path+" x" || err != nil {
			t.Fatal(status, body, err)
		}
		s.waitParked(1)
		if i > 0 {
			c.send("\r\n") // of which net/http alone knows that it follows a body
			time.Sleep(20 * time.Millisecond)
		}
	}
	for range 2 {
		c.send(get("/safe/4", "/safe/5", "/safe/6"))
		c.expect("/safe/4", "/safe/5", "/safe/6")
		if n := s.server.piping.Load(); n != 1 {
			t.Errorf("%d connections are read ahead", n)
		}
		s.waitParked(1)
		if n := s.server.piping.Load(); n != 0 {
			t.Errorf("%d connections are read ahead", n)
		}
	}
	if held := s.server.held(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
}

// Connections are looked at all the time, also while they are being parked and resumed.
func TestNoConnectionIsLostByParking(t *testing.T) {
	s := newTestServer(t, nil)
	s.release("*")
	stop := make(chan struct{})
	var looking sync.WaitGroup
	defer looking.Wait()
	defer close(stop)
	for range 2 {
		looking.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				s.server.mu.Lock()
				conns := slices.Collect(maps.Keys(s.server.conns))
				s.server.mu.Unlock()
				for _, c := range conns {
					c.parkIfIdle()
				}
				runtime.Gosched()
			}
		})
	}
	var callers sync.WaitGroup
	for i := range 4 {
		c := s.dial()
		callers.Go(func() {
			for n := range 150 {
				paths := []string{"/safe/1", "/safe/2", "/once/3"}[:1+n%3*(i%2)]
				if _, err := io.WriteString(c, get(paths...)); err != nil {
					t.Error(err)
					return
				}
				for _, path := range paths {
					if status, body, err := c.response(); status != 200 || body != path+" " || err != nil {
						t.Errorf("request %d: %d %q %v", n, status, body, err)
						return
					}
				}
				time.Sleep(time.Duration(n%5) * 200 * time.Microsecond)
			}
		})
	}
	callers.Wait()
}

func TestConnectionsInUseAreNotParked(t *testing.T) {
	s := newTestServer(t, nil)
	c, begun, fresh := s.dial(), s.dial(), s.dial()
	begun.send(get("/once/1"))
	s.release("/once/1")
	begun.expect("/once/1")
	begun.send("GET /once/2 HT")
	c.send(get("/once/3"))
	time.Sleep(3 * parkInterval)
	s.waitParked(0)
	s.release("*")
	begun.send("TP/1.1\r\nHost: h\r\n\r\n")
	fresh.send(get("/once/4"))
	c.expect("/once/3")
	begun.expect("/once/2")
	fresh.expect("/once/4")
}

func TestParkedConnectionsEnd(t *testing.T) {
	var closed atomic.Int32
	var served atomic.Pointer[net.Conn]
	s := newTestServer(t, func(o *Options) {
		o.ConnState = func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateIdle:
				served.Store(&c)
			case http.StateClosed:
				closed.Add(1)
			}
		}
	})
	s.release("*")
	parked := func() *testCaller {
		c := s.dial()
		c.send(get("/safe/1"))
		c.expect("/safe/1")
		s.waitParked(1)
		return c
	}
	ended := func(n int32) {
		t.Helper()
		s.waitParked(0)
		for end := time.Now().Add(patience); closed.Load() != n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the end of %d connections was told, want %d", closed.Load(), n)
			}
		}
	}
	_ = parked().Close()
	ended(1)
	c := parked()
	_ = (*served.Load()).Close() // as an idle one
	c.expectEnd()
	ended(2)
	c = parked()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	c.expectEnd()
	ended(3)
}

func TestEmptyLinesLeaveConnectionsParked(t *testing.T) {
	const headerTimeout = 100 * time.Millisecond
	s := newTestServer(t, func(o *Options) { o.ReadHeaderTimeout = headerTimeout })
	s.release("*")
	c := s.dial()
	c.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	if status, body, err := c.response(); status != 200 || body != "/once/1 x" || err != nil {
		t.Fatal(status, body, err)
	}
	s.waitParked(1)
	for _, lines := range []string{"\r\n", "\n", strings.Repeat("\r\n", 200)} {
		c.send(lines)
		time.Sleep(3 * headerTimeout)
		s.waitParked(1)
	}
	c.send("\r\n" + get("/safe/2"))
	c.expect("/safe/2")
	s.waitParked(1)
}

// Shutdown may come between a parked connection's next bytes and their being served.
func TestResumedConnectionsThatAreNotServedAreToldAsClosed(t *testing.T) {
	const conns = 16
	open := map[net.Conn]bool{}
	s := New(Options{Metrics: metrics.New(), ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			delete(open, c)
		}
	}})
	for range conns {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		c := newConn(near, s)
		open[c] = true
		if !c.resume() || !s.ahead.start(c) {
			t.Fatal("the connection is not resumed")
		}
	}
	_ = s.ahead.Close()
	for {
		c, err := s.ahead.Accept()
		if err != nil {
			break
		}
		delete(open, c) // served
	}
	for c := range open {
		t.Errorf("the end of a connection was not told, closed: %v", c.(*conn).closed)
	}
}
