package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	// floodBytes is what a target sends as an endless answer if nothing ends it.
	floodBytes = 32 << 20
	// maxFlooded bounds what it manages to send: what the gateway reads, and what
	// the sockets' buffers hold, in bytes.
	maxFlooded = 16 << 20
	// maxExchangeMemory bounds what is allocated in one exchange, in bytes.
	maxExchangeMemory = 8 << 20
)

// flood writes the beginning and then the block, again and again, until the connection
// is closed. It returns the number of bytes written.
func flood(c net.Conn, beginning, block string) int64 {
	n, err := io.WriteString(c, beginning)
	written := int64(n)
	for repeated := []byte(strings.Repeat(block, 1+(16<<10)/len(block))); err == nil && written < floodBytes; {
		n, err = c.Write(repeated)
		written += int64(n)
	}
	return written
}

func TestEndlessAnswerIsEndedByItsBytes(t *testing.T) {
	var manyHeaders strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&manyHeaders, "K%d: v\r\n", i)
	}
	const head = "HTTP/1.1 200 OK\r\nId: b\r\nProof: p\r\n"
	const refused = "HTTP/1.1 503 X\r\nId: b\r\nNot-Run: 1\r\n"
	const chunk = "400\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for _, c := range []struct {
		name, beginning, block string
		want                   int
	}{
		{"no line", "", "x", 502},
		{"empty lines", "", "\r\n", 502},
		{"status line", "HTTP/1.1 200 ", "x", 502},
		{"header name", head, "x", 502},
		{"header value", head + "X: ", "x", 502},
		{"header lines", head, manyHeaders.String(), 502},
		{"one header", head, "K: v\r\n", 502},
		{"folded header", head + "K: v\r\n", " v\r\n", 502},
		{"informational", "", "HTTP/1.1 100 Continue\r\n\r\n", 502},
		{"informational with headers", "", "HTTP/1.1 103 X\r\nLink: x\r\n\r\n", 502},
		{"answers to others", "", success("other", ""), 502},
		{"length of another's answer", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1099511627776\r\n\r\n", "x", 502},
		{"chunks of another's answer", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunk + kilobyte + "\r\n", 502},
		{"body of another's answer", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", 502},
		{"body without id", "HTTP/1.1 200 OK\r\nProof: p\r\n\r\n", "x", 502},
		{"chunks without id", "HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", chunk + kilobyte + "\r\n", 502},
		{"body without proof", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x", 502},
		{"body of 503", "HTTP/1.1 503 X\r\nId: b\r\n\r\n", "x", 502},
		{"body of a refusal", refused + "\r\n", "x", 503},
		{"chunks of a refusal", refused + "Transfer-Encoding: chunked\r\n\r\n", chunk + kilobyte + "\r\n", 503},
		{"length of a refusal", refused + "Content-Length: 1099511627776\r\n\r\n", "x", 503},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", 502},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", "x", 502},
		{"small chunks with extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + kilobyte + "\r\nx\r\n", 502},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "K: v\r\n", 502},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%v", c.name, kept), func(t *testing.T) {
				var flooded atomic.Int64
				ended := make(chan struct{}, 4)
				call := newCaller(t, newRawTarget(t, func(conn *net.TCPConn, r received) bool {
					if r.id == "a" {
						return write(conn, success(r.id, "ok"))
					}
					flooded.Store(max(flooded.Load(), flood(conn, c.beginning, c.block)))
					ended <- struct{}{}
					return false
				}))
				if kept {
					if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 200 || err != nil {
						t.Fatalf("the request before got %d, %v", status, err)
					}
				}
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				status, _, err := call.do(http.MethodPost, "/once/2", "b")
				runtime.ReadMemStats(&after)
				if status != c.want || err != nil {
					t.Errorf("got %d, %v; want %d", status, err, c.want)
				}
				<-ended
				if n := flooded.Load(); n > maxFlooded {
					t.Errorf("the target sent %d bytes before its connection was closed, want at most %d", n, maxFlooded)
				}
				if n := after.TotalAlloc - before.TotalAlloc; n > maxExchangeMemory {
					t.Errorf("%d bytes were allocated, want at most %d", n, maxExchangeMemory)
				}
			})
		}
	}
}

// The target sends the head of an answer that is not passed on, a few bytes of its body,
// and then nothing more.
func TestBodyOfAnUnprovenAnswerIsNotAwaited(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"without id":    "HTTP/1.1 200 OK\r\nProof: p\r\n",
		"without proof": "HTTP/1.1 200 OK\r\nId: b\r\n",
		"503":           "HTTP/1.1 503 X\r\nId: b\r\nProof: p\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
				write(c, head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
				_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
				return false
			}))
			if status, _, err := call.do(http.MethodPost, "/once/2", "b"); status != 502 || err != nil {
				t.Errorf("got %d, %v; want 502", status, err)
			}
		})
	}
}

// An answer that is passed on has no bound of bytes; its request's deadline ends it.
func TestEndlessBodyOfAnAnswerIsCutAtTheDeadline(t *testing.T) {
	for name, c := range map[string]struct{ framing, block string }{
		"without length": {"", strings.Repeat("x", 16<<10)},
		"chunked":        {"Transfer-Encoding: chunked\r\n", "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n"},
		"with length":    {"Content-Length: 1099511627776\r\n", strings.Repeat("x", 16<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 4)
			block := []byte(c.block)
			call := newCaller(t, newRawTarget(t, func(conn *net.TCPConn, r received) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\n"+c.framing+"\r\n")
				for err == nil {
					_, err = conn.Write(block)
				}
				ended <- struct{}{}
				return false
			}))
			r, err := http.NewRequest(http.MethodPost, "http://"+call.address+"/short/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h"
			r.Header.Set(testHeaders.RequestID, "a")
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := call.client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			n, err := io.Copy(io.Discard, response.Body)
			runtime.ReadMemStats(&after)
			if response.StatusCode != 200 || err == nil {
				t.Errorf("got %d and %d bytes, which looked complete", response.StatusCode, n)
			}
			<-ended
			if allocated := after.TotalAlloc - before.TotalAlloc; n < 2*maxBufferedResponse || allocated > maxExchangeMemory {
				t.Errorf("%d bytes were allocated for %d bytes of body, want at most %d", allocated, n, maxExchangeMemory)
			}
		})
	}
}
