package entry

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

// TestResponseResetDuringUpload guards against a part of a response without a length that
// looks complete: the target sends it when it has read the head of a long upload, and resets
// the connection. The transport may get the reset as the end of the response.
func TestResponseResetDuringUpload(t *testing.T) {
	const upload, tries = 8 << 20, 12
	for _, size := range []int{100, 400 << 10} {
		for _, path := range []string{"/writes/1", "/reads/1"} {
			for _, length := range []int64{upload, -1} {
				t.Run(fmt.Sprintf("%d bytes%s/%d", size, path, length), func(t *testing.T) {
					t.Parallel()
					s := newConnSystem(t, 5*time.Second, func(conn net.Conn) {
						defer conn.Close()
						r, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return
						}
						echo := fmt.Sprintf("X-Request-Id: %s\r\nTurmericfield-Try: %s\r\n", r.Header.Get(RequestIDHeader), r.Header.Get(TryHeader))
						_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // has the body sent
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+echo+"\r\n"+strings.Repeat("y", size))
						_ = conn.(*net.TCPConn).SetLinger(0)
					})
					for range tries {
						r, err := http.NewRequest(http.MethodPost, "http://"+s.addresses[0]+path, strings.NewReader(strings.Repeat("x", upload)))
						if err != nil {
							t.Fatal(err)
						}
						r.ContentLength = length
						r.Header.Set(KeyHeader, testKey)
						response, err := http.DefaultClient.Do(r)
						if err != nil {
							continue
						}
						_, err = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
						if err == nil && response.StatusCode == http.StatusOK {
							t.Error("a cut response looked complete")
						}
					}
				})
			}
		}
	}
}
