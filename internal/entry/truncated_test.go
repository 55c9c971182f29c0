package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
)

// TestTruncatedResponse guards against a response that breaks off at any byte and
// reaches the caller as a whole one, on new and on kept connections.
func TestTruncatedResponse(t *testing.T) {
	const echo = "X-Request-Id: ID\r\nTurmericfield-Try: TRY\r\n"
	for name, whole := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 12\r\nDate: today\r\n\r\nwhole answer",
		"chunks":   "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7;a=b\r\n answer\r\n0\r\n\r\n",
		"trailer":  "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\nA: b\r\n\r\n",
		"empty":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + echo + "\r\n",
		"interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nok",
		"no body":  "HTTP/1.1 204 No Content\r\n" + echo + "\r\n",
		"bare LFs": "HTTP/1.1 200 OK\n" + strings.ReplaceAll(echo, "\r", "") + "Content-Length: 2\n\nok",
		"folded":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + echo + "A: b\r\n c\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var length atomic.Int64
			s := newWireSystem(t, 5*time.Second, func(conn net.Conn, r *http.Request, _ int) bool {
				answer := strings.NewReplacer("ID", r.Header.Get(RequestIDHeader), "TRY", r.Header.Get(TryHeader)).Replace(whole)
				if !strings.HasSuffix(r.URL.Path, "warm") {
					answer = answer[:len(answer)-int(length.Load())]
				}
				_, err := io.WriteString(conn, answer)
				return err == nil && strings.HasSuffix(r.URL.Path, "warm")
			})
			for missing := range len(whole) + 1 {
				length.Store(int64(missing))
				for _, path := range []string{"/writes/1", "/reads/1"} {
					if path == "/reads/1" {
						if got := sendRequest(t, s.addresses[0], "GET", "/reads/warm"); got.outcome != attempt.Answered {
							t.Fatalf("whole response: got %+v", got)
						}
					}
					got := sendRequest(t, s.addresses[0], "GET", path)
					if (got.outcome == attempt.Answered) != (missing == 0) || got.outcome == attempt.NotRun {
						t.Errorf("%s without its last %d bytes: got %+v", path, missing, got)
					}
				}
			}
		})
	}
}
