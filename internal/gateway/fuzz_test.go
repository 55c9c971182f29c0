package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/notice"
)

var testHeaders = HeaderNames{
	RequestID: "Id", Deadline: "Wait", Object: "Object", APIKey: "Key", Workspace: "Workspace",
	ExpectedInstance: "Expected", Signature: "Proof", NotRun: "Not-Run", Load: "Load", Leaving: "Leaving",
}

// bytesConn is a connection from which given bytes are read.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// Whatever bytes a target sends must be read as a complete response to this
// request, or give an error.
func FuzzTargetResponse(f *testing.F) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 900\r\n\r\nshort", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nId: b\r\n\r\nno length",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: -1\r\n\r\n", "nonsense", "",
		"HTTP/1.1 103 X\r\nLeaving: 1\r\n\r\n" + emptyHead(503, "a", "Leaving: 1", "Retry-After: 1.5", "Retry-After: Sat, 05 Dec 2026 00:00:07 GMT", "Date: Sat, 05 Dec 2026 00:00:00 GMT"),
	} {
		f.Add([]byte(answer))
	}
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	f.Fuzz(func(t *testing.T, answer []byte) {
		conn := newTargetConn(bytesConn{Reader: bytes.NewReader(answer)}, affinity.Target{ID: "t"})
		conn.carried = []uint64{1}
		conn.requestWritten.Store(true)
		x := &exchange{conn: conn}
		if x.readHead(r, testHeaders, "a") != nil {
			return
		}
		if got := x.response.Header.Get(testHeaders.RequestID); got != "" && got != "a" {
			t.Errorf("took the response to request %q", got)
		}
		if x.readBody(maxBufferedResponse) == nil && x.bodyComplete && x.response.ContentLength >= 0 && int64(len(x.body)) != x.response.ContentLength {
			t.Errorf("read %d of %d body bytes", len(x.body), x.response.ContentLength)
		}
		var report affinity.Report
		if parseLoad(x.response.Header.Get(testHeaders.Load), &report); report.Load < 0 {
			t.Errorf("negative load %d", report.Load)
		}
		if n := notice.Parse(x.response.StatusCode, x.response.Header, testHeaders.Leaving); n.Pause < 0 || n.Pause > notice.MaxPause {
			t.Errorf("pause of %v", n.Pause)
		}
		keepAliveTimeout(x.response.Header)
	})
}

// Whatever bytes a target sends on a kept connection for a request that it has run,
// a success or a refusal must not be passed on, the request not be sent again, and the
// target not be taken to leave or pause, unless the bytes name the request.
func FuzzAnswerOnAKeptConnection(f *testing.F) {
	const id = "b7f3"
	for _, answer := range []string{
		success(id, "ok"), success("", "ok"), success("a", "ok") + success(id, "ok"), rejection(id), rejection(""), rejection("a") + rejection(""),
		"HTTP/1.1 421 X\r\n\r\n", "HTTP/1.1 100 X\r\n\r\n" + rejection(""), "HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\nContent-Length: 20\r\n\r\nshort", "nonsense", "", strings.Repeat("x", 100),
		emptyHead(503, id, "Not-Run: 1", "Leaving: 1", "Retry-After: 60"), emptyHead(503, "", "Not-Run: 1", "Leaving: 1", "Retry-After: 60"),
		emptyHead(503, "a", "Leaving: 1", "Retry-After: 60") + success(id, "ok"),
	} {
		f.Add([]byte(answer))
	}
	var bytesToSend atomic.Pointer[[]byte]
	var ran atomic.Int32
	target := newRawTarget(f, func(c *net.TCPConn, r received) bool {
		if r.id != id {
			return write(c, success(r.id, "ok"))
		}
		ran.Add(1)
		_, _ = c.Write(*bytesToSend.Load()) // the gateway may have closed the connection
		return false
	})
	call := newCaller(f, target)
	n := 0
	f.Fuzz(func(t *testing.T, answer []byte) {
		bytesToSend.Store(&answer)
		n++
		register(call.gateway, int64(n), []*rawTarget{target}) // as the target may have said that it leaves
		// Repeatable, as the target may be closing the connection of the run before.
		if status, _, err := call.do(http.MethodGet, "/safe/1", fmt.Sprint(n)); status != 200 || err != nil {
			t.Fatalf("the request before got %d, %v", status, err)
		}
		ran.Store(0)
		status, body, err := call.do(http.MethodPost, "/once/2", id)
		if named := bytes.Contains(answer, []byte(id)); !named && (err != nil || status != 502 || ran.Load() != 1) {
			t.Errorf("got %d %q, %v after %d runs; want 502 after one", status, body, err, ran.Load())
		}
		if count := call.counts(); !bytes.Contains(answer, []byte(id)) && count != (affinity.AvailabilityCount{}) {
			t.Errorf("%+v by bytes that do not name the request", count)
		}
		if refused := impliesNotRun(status); refused && !bytes.Contains(answer, []byte("421")) && !bytes.Contains(bytes.ToLower(answer), []byte("not-run")) {
			t.Errorf("got %d, which no target said", status)
		}
		if status < 300 && err == nil && !bytes.Contains(bytes.ToLower(answer), []byte("proof")) {
			t.Errorf("got %d %q without a signature", status, body)
		}
	})
}

// A load header must never give a negative load, also where the sum overflows.
func FuzzLoadHeader(f *testing.F) {
	for _, s := range []string{"3,0,8", "", "-3,0,8", "1,2", "9223372036854775807,1,1", " 1 , 2 , 3 ", "3,0,8,250", "3,0,8,-1", "3,0,8,99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		var report affinity.Report
		if parseLoad(s, &report); report.Load < 0 || report.Pace < 0 || report.Pace > maxPace/100 || report.Pace > 0 && !report.HasLoad {
			t.Errorf("%q: %+v", s, report)
		}
	})
}

// As no targets exist, every request must be refused, whatever bytes a caller
// sends.
func FuzzCallerRequest(f *testing.F) {
	for _, request := range []string{
		"GET /a/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: 1\r\nWait: 100\r\n\r\n", "GET /a/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nKey: k\r\n\r\n",
		"POST /a/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 3\r\n\r\nabc", "GET http://h/a/../b HTTP/1.1\r\nHost: other\r\nWait: -1\r\n\r\n",
		"POST /a/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "GET /%2e%2e/a/ HTTP/1.1\r\nHost: h:80\r\n\r\n",
	} {
		f.Add([]byte(request))
	}
	logs := logging.New(io.Discard, "error")
	g := New(Options{HeaderNames: testHeaders, Region: "r", RegionCount: 1, MaxKeyStaleness: 1 << 62, Metrics: metrics.New(), Log: logs.Part("gateway")}, "self")
	g.SetTable(config.NewRoutingTable(config.RoutingTableSource{
		Version: 1, Routes: []config.Route{{Name: "a", Host: "h", PathPrefix: "/a/", Split: []config.SplitPart{{Service: "s", Weight: 1}}, TimeoutMillis: 50}},
		Services: []config.Service{{Name: "s"}}, Workspaces: []config.Workspace{{Name: "w", Rate: 1000, Burst: 1000}}, Keys: map[string]string{"k": "w"},
		Limits: config.CallerLimits{BodyBytes: 1 << 10},
	}))
	f.Fuzz(func(t *testing.T, request []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
		if err != nil || strings.Contains(r.Header.Get("Expect"), "100") {
			return
		}
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if w.Code < 400 {
			t.Errorf("status %d, want a refusal (400 or above)", w.Code)
		}
	})
}
