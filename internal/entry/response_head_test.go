package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/standin/responseheads"
)

func TestInvalidStatusLine(t *testing.T) { testBeginnings(t, responseheads.StatusLines()) }

func TestInvalidField(t *testing.T) { testBeginnings(t, responseheads.Fields()) }

// testBeginnings checks that a response that is no valid HTTP is none. The body of the
// response would be an answer to the request, and its connection is kept by the target.
func testBeginnings(t *testing.T, beginnings []responseheads.Beginning) {
	for _, beginning := range beginnings {
		for _, path := range []string{"/reads/1", "/writes/1", "/reads/empty", "/writes/empty"} {
			t.Run(beginning.Name+path, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				var used sync.Map // connections that have carried the response
				s := newWireSystem(t, 5*time.Second, func(conn net.Conn, r *http.Request, _ int) bool {
					if _, ok := used.Load(conn); ok && !beginning.Valid {
						t.Error("the connection is used again")
					}
					if r.URL.Path != path {
						_, err := io.WriteString(conn, wireResponse(r, true, "200 OK", "", "next"))
						return err == nil
					}
					runs.Add(1)
					used.Store(conn, true)
					if beginning.Repeated {
						for range 100_000 {
							if _, err := io.WriteString(conn, beginning.Text+"\r\n\r\n"); err != nil {
								return false
							}
						}
						return true
					}
					hidden := ""
					if !strings.HasSuffix(path, "empty") {
						hidden = wireResponse(r, true, "200 OK", "", "hidden")
					}
					_, rest, _ := strings.Cut(wireResponse(r, true, "200 OK", "", hidden), "\r\n")
					_, err := fmt.Fprintf(conn, "%s\r\n%s", beginning.Text, rest)
					return err == nil
				})
				method := http.MethodPost
				if strings.HasPrefix(path, "/reads/") {
					method = http.MethodGet
				}
				got := sendRequest(t, s.addresses[0], method, path)
				want, status := attempt.Unknown, http.StatusBadGateway
				if beginning.Valid {
					want, status = attempt.Answered, http.StatusOK
				}
				if got.outcome != want || got.status != status {
					t.Errorf("got %+v, want %s and %d", got, want, status)
				}
				if n := runs.Load(); n != 1 {
					t.Errorf("the request was sent %d times to its only target", n)
				}
				for i := range 4 {
					if got := sendRequest(t, s.addresses[0], "GET", fmt.Sprintf("/reads/after%d", i)); got.outcome != attempt.Answered {
						t.Errorf("a request afterwards got %+v", got)
					}
				}
			})
		}
	}
}
