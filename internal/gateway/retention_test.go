package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/turmericfield/turmericfield/internal/logging"
)

// lineBuffer is a string buffer for concurrent use.
type lineBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lineBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// The errors of parsing a response quote it, and logs may be kept outside the home regions.
func TestPartsOfAMalformedAnswerAreNotLogged(t *testing.T) {
	t.Parallel()
	const secret = "bytes of the answer"
	long := strings.Repeat("x", 2*maxBufferedResponse)
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\n"
	const chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]string{
		"instead of an answer":         secret + "\r\n\r\n",
		"in the status":                "HTTP/1.1 " + secret + "\r\n\r\n",
		"in a header line":             head + secret + "\r\n\r\n",
		"as a length":                  head + "Content-Length: " + secret + "\r\n\r\n",
		"as an encoding":               head + "Transfer-Encoding: " + secret + "\r\n\r\n",
		"in the trailer":               chunks + chunked("short", 5)[:len("5\r\nshort\r\n0\r\n")] + secret + "\r\n\r\n",
		"in the trailer of a long one": chunks + strings.TrimSuffix(chunked(long, 0x8000), "Checksum: 1\r\n\r\n") + secret + "\r\n\r\n",
		"as a chunk size after a long": chunks + strings.TrimSuffix(chunked(long, 0x8000), "0\r\nChecksum: 1\r\n\r\n") + secret + "\r\n\r\n",
		"after a whole answer":         success("a", "ok") + secret,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, _ received) bool {
				write(c, answer)
				return false
			}))
			var out lineBuffer
			logs := logging.New(&out, "info")
			call.gateway.Log = logs.Part("gateway")
			_, _, _ = call.do(http.MethodPost, "/once/1", "a")
			if err := logs.Close(); err != nil {
				t.Fatal(err)
			}
			if log := out.String(); !strings.Contains(log, `"request":"a"`) || strings.Contains(log, secret) {
				t.Errorf("the log does not name the request, or quotes its answer:\n%s", log)
			}
		})
	}
}
