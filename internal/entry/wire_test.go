package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// newWireSystem returns a system in which one target is the only one of both
// services. It reads requests and calls respond for each, with the number of
// requests that its connection has carried before; it closes the connection when
// respond returns false.
func newWireSystem(t *testing.T, deadline time.Duration, respond func(conn net.Conn, r *http.Request, before int) bool) *system {
	t.Helper()
	return newConnSystem(t, deadline, func(conn net.Conn) { serveWire(conn, respond) })
}

// newConnSystem is newWireSystem with a target that serves each connection by a function,
// which must close it.
func newConnSystem(t *testing.T, deadline time.Duration, serve func(net.Conn)) *system {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	s := newSystem(t, target.Options{Slots: 10}, deadline)
	document := s.handlers[0].Snapshot().Document
	for i := range document.Services {
		service := &document.Services[i]
		service.Targets = service.Targets[:1]
		service.Targets[0].Address = listener.Addr().String()
	}
	for _, h := range s.handlers {
		h.Placer.(*placement.Placer).Update(config.Compile(2, document), time.Now())
	}
	return s
}

// serveWire serves one connection to the target of newWireSystem.
func serveWire(conn net.Conn, respond func(net.Conn, *http.Request, int) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for before := 0; ; before++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !respond(conn, r, before) {
			return
		}
	}
}

// wireResponse returns a response with the id of the request, and with the id of
// its try if echoTry is set.
func wireResponse(r *http.Request, echoTry bool, status, header, body string) string {
	if echoTry {
		header += TryHeader + ": " + r.Header.Get(TryHeader) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, RequestIDHeader, r.Header.Get(RequestIDHeader), header, len(body), body)
}

// TestRepeatedRefusalOfKeptConnection guards against a target that writes its
// refusal of an earlier request once more on a kept connection while it runs the
// request that its caller has sent again.
func TestRepeatedRefusalOfKeptConnection(t *testing.T) {
	for _, body := range []string{"", "no free slot"} {
		var runs atomic.Int64
		s := newWireSystem(t, testDeadline, func(conn net.Conn, r *http.Request, before int) bool {
			if before > 0 {
				runs.Add(1)
			}
			_, err := io.WriteString(conn, wireResponse(r, false, "503 Service Unavailable", OutcomeHeader+": not-run\r\n", body))
			return err == nil
		})
		var told []attempt.Outcome
		for range 2 {
			got := sendRequest(t, s.addresses[0], "GET", "/reads/1", RequestIDHeader+"=r")
			told = append(told, got.outcome)
		}
		if told[0] != attempt.NotRun || told[1] == attempt.NotRun && runs.Load() > 0 {
			t.Errorf("body %q: the callers were told %v, but the target ran the second sending %d times", body, told, runs.Load())
		}
	}
}

// TestRepeatedAnswerOfKeptConnection guards against a target that answers a request
// on a kept connection with its answer to an earlier one of the same id.
func TestRepeatedAnswerOfKeptConnection(t *testing.T) {
	for _, body := range []string{"", "/reads/1"} {
		s := newWireSystem(t, testDeadline, func(conn net.Conn, r *http.Request, before int) bool {
			answer := wireResponse(r, true, "200 OK", "Path: "+r.URL.Path+"\r\n", body)
			if before > 0 {
				answer = wireResponse(r, false, "200 OK", "Path: /reads/1\r\n", body)
			}
			_, err := io.WriteString(conn, answer)
			return err == nil
		})
		for i := 1; i <= 2; i++ {
			path := fmt.Sprintf("/reads/%d", i)
			got := sendRequest(t, s.addresses[0], "GET", path, RequestIDHeader+"=r")
			if got.outcome == attempt.Answered && got.header.Get("Path") != path {
				t.Errorf("body %q: %s was answered for %s", body, path, got.header.Get("Path"))
			}
		}
	}
}

// TestTargetWithoutTryID checks that a target that never repeats the id of the try
// is used as before, over connections that carry one request each.
func TestTargetWithoutTryID(t *testing.T) {
	var reused atomic.Int64
	s := newWireSystem(t, testDeadline, func(conn net.Conn, r *http.Request, before int) bool {
		if before > 0 {
			reused.Add(1)
		}
		_, err := io.WriteString(conn, wireResponse(r, false, "200 OK", "", "whole"))
		return err == nil
	})
	for i := range 50 {
		if got := sendRequest(t, s.addresses[0], "GET", fmt.Sprintf("/reads/%d", i)); got.outcome != attempt.Answered {
			t.Errorf("request %d: got %+v", i, got)
		}
	}
	if reused.Load() > 0 {
		t.Errorf("%d requests on connections that carried others before", reused.Load())
	}
}

// TestKeptConnectionsAreReused checks that requests share a connection to a target
// that repeats the id of the try.
func TestKeptConnectionsAreReused(t *testing.T) {
	const requests = 20
	var opened atomic.Int64
	s := newWireSystem(t, testDeadline, func(conn net.Conn, r *http.Request, before int) bool {
		if before == 0 {
			opened.Add(1)
		}
		_, err := io.WriteString(conn, wireResponse(r, true, "200 OK", "", "whole"))
		return err == nil
	})
	for i := range requests {
		if got := sendRequest(t, s.addresses[0], "GET", fmt.Sprintf("/reads/%d", i)); got.outcome != attempt.Answered {
			t.Errorf("request %d: got %+v", i, got)
		}
	}
	if opened.Load() > 1 {
		t.Errorf("%d connections for %d requests in turn", opened.Load(), requests)
	}
}
