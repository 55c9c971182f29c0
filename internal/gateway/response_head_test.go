package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/turmericfield/turmericfield/internal/standin/responseheads"
)

func TestResponseWithoutAValidStatusLineIsNoAnswer(t *testing.T) {
	t.Parallel()
	testBeginnings(t, responseheads.StatusLines())
}

func TestResponseWithAnInvalidFieldIsNoAnswer(t *testing.T) {
	t.Parallel()
	testBeginnings(t, responseheads.Fields())
}

// testBeginnings checks that a response that is no valid HTTP is none: the caller of a request
// that may not run twice gets 502, another one the answer of the next target. The body of the
// response would be an answer to the request, and its connection is kept by the target.
func testBeginnings(t *testing.T, beginnings []responseheads.Beginning) {
	for _, beginning := range beginnings {
		for i, path := range []string{"/once/1", "/safe/1", "/once/empty", "/safe/empty"} {
			t.Run(beginning.Name+path, func(t *testing.T) {
				t.Parallel()
				safe, hidden := i%2 == 1, ""
				if i < 2 {
					hidden = success("a", "hidden")
				}
				var runs atomic.Int32
				var used sync.Map // connections that have carried the response
				answer := func(c *net.TCPConn, r received) bool {
					if _, ok := used.Load(c); ok && !beginning.Valid {
						t.Error("the connection is used again")
					}
					if r.id != "a" || runs.Add(1) > 1 {
						return write(c, success(r.id, "next"))
					}
					used.Store(c, true)
					if beginning.Repeated {
						flood(c, "", beginning.Text+"\r\n\r\n")
						return true
					}
					return write(c, fmt.Sprintf("%s\r\nId: a\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", beginning.Text, len(hidden), hidden))
				}
				call := newCaller(t, newRawTarget(t, answer), newRawTarget(t, answer))
				wantStatus, wantBody, wantRuns, wantFailed := http.StatusBadGateway, "", int32(1), 1
				switch {
				case beginning.Valid:
					wantStatus, wantBody, wantFailed = http.StatusOK, hidden, 0
				case safe:
					wantStatus, wantBody, wantRuns = http.StatusOK, "next", 2
				}
				status, body, err := call.do(http.MethodGet, path, "a")
				if status != wantStatus || err != nil || wantBody != "" && body != wantBody {
					t.Errorf("got %d, %q, %v; want %d, %q", status, body, err, wantStatus, wantBody)
				}
				for i := range 8 {
					if status, body, err := call.do(http.MethodGet, "/once/2", fmt.Sprint("b", i)); status != 200 || body != "next" || err != nil {
						t.Errorf("a request afterwards got %d, %q, %v", status, body, err)
					}
				}
				if n := runs.Load(); n != wantRuns {
					t.Errorf("the request was sent %d times, want %d", n, wantRuns)
				}
				page := httptest.NewRecorder()
				call.gateway.Metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				if n := strings.Count(page.Body.String(), `sends_failed_total{reason="broken-answer"} 1`); n != wantFailed {
					t.Errorf("the target has failed %d times, want %d\n%s", n, wantFailed, page.Body)
				}
			})
		}
	}
}
