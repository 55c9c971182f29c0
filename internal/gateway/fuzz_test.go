package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
)

var testHeaders = HeaderNames{
	RequestID: "Id", Deadline: "Wait", Object: "Object", APIKey: "Key", Workspace: "Workspace",
	ExpectedInstance: "Expected", Signature: "Proof", NotRun: "Not-Run", Load: "Load",
}

// Whatever bytes a target sends must be read as a complete response to this
// request, or give an error.
func FuzzTargetResponse(f *testing.F) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 900\r\n\r\nshort", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nId: b\r\n\r\nno length",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: -1\r\n\r\n", "nonsense", "",
	} {
		f.Add([]byte(answer))
	}
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	f.Fuzz(func(t *testing.T, answer []byte) {
		x := &exchange{conn: &targetConn{carried: []uint64{1}, reader: bufio.NewReader(bytes.NewReader(answer))}}
		if x.readHead(r, testHeaders, "a") != nil {
			return
		}
		if got := x.response.Header.Get(testHeaders.RequestID); got != "" && got != "a" {
			t.Errorf("took the response to request %q", got)
		}
		if x.readBody() == nil && x.bodyComplete && x.response.ContentLength >= 0 && int64(len(x.body)) != x.response.ContentLength {
			t.Errorf("read %d of %d body bytes", len(x.body), x.response.ContentLength)
		}
		if load, ok := parseLoad(x.response.Header.Get(testHeaders.Load)); ok && load < 0 {
			t.Errorf("negative load %d", load)
		}
		keepAliveTimeout(x.response.Header)
	})
}

// A load header must never give a negative load, also where the sum overflows.
func FuzzLoadHeader(f *testing.F) {
	for _, s := range []string{"3,0,8", "", "-3,0,8", "1,2", "9223372036854775807,1,1", " 1 , 2 , 3 "} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if load, ok := parseLoad(s); ok && load < 0 {
			t.Errorf("%q: negative load %d", s, load)
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
