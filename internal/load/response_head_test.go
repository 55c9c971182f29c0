package load

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/standin/responseheads"
)

// A response that is no valid HTTP is no answer, whether to a request or to a look-up.
func TestResponseWithAnInvalidHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, beginning := range responseheads.All() {
		t.Run(beginning.Name, func(t *testing.T) {
			t.Parallel()
			address := beginning.Serve(t, `{"instances":[{"address":"127.0.0.1:1"}],"ttl_ms":1}`)
			c := newCallers(Options{Callers: 1})[0]
			want := Unknown
			if beginning.Valid {
				want = Answered
			}
			if got := c.send(t.Context(), address, Request{Method: "GET", Path: "/x"}, "key"); got.outcome != want {
				t.Errorf("a request got %+v, want %s", got, want)
			}
			if answer, err := c.queryInstance(t.Context(), address); (err == nil) != beginning.Valid {
				t.Errorf("a look-up got %+v, %v", answer, err)
			}
		})
	}
}

// A target's answer that has no length ends with its connection. It is reset while the
// request is being written, and that may reach the reader as an end.
func TestAnswerThatIsResetDuringAnUploadIsNotCounted(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(2 * time.Millisecond)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	c := newCallers(Options{Callers: 1})[0]
	for range 40 {
		if got := c.send(t.Context(), l.Addr().String(), Request{Method: "POST", Path: "/x", BodyBytes: 8 << 20}, "key"); got.outcome == Answered {
			t.Errorf("got %+v", got)
		}
	}
}
