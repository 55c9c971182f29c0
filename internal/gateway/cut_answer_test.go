package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// endings are the ways in which a target ends a connection.
var endings = map[string]func(c *net.TCPConn) bool{
	"closed": func(*net.TCPConn) bool { return false },
	"reset": func(c *net.TCPConn) bool {
		_ = c.SetLinger(0)
		return false
	},
}

// chunked returns a body in chunked encoding, split into chunks of the given size, with
// a trailer.
func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nChecksum: 1\r\n\r\n"
}

// A target ends the connection after each possible number of bytes of a correct answer.
func TestAnswerCutAtAnyByteIsNoSuccess(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nId: ID\r\nProof: p\r\n"
	for name, whole := range map[string]string{
		"with length":            head + "Content-Length: 12\r\n\r\ntwelve bytes",
		"length first":           "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: ID\r\nProof: p\r\n\r\ntwelve bytes",
		"empty":                  head + "Content-Length: 0\r\n\r\n",
		"folded header":          head + "Other: a\r\n b\r\nContent-Length: 0\r\n\r\n",
		"chunked":                head + "Transfer-Encoding: chunked\r\n\r\n" + chunked("twelve bytes", 12),
		"in several chunks":      head + "Transfer-Encoding: chunked\r\n\r\n" + chunked("more than sixteen", 16),
		"without length":         head + "\r\n",
		"no content":             "HTTP/1.1 204 X\r\nId: ID\r\nProof: p\r\n\r\n",
		"informational before":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nId: ID\r\nProof: p\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"another's answer first": success("other", "other") + head + "Content-Length: 2\r\n\r\nok",
		"line feeds only":        strings.ReplaceAll(head+"Content-Length: 2\r\n\r\n", "\r", "") + "ok",
	} {
		for ending, end := range endings {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept=%v", name, ending, kept), func(t *testing.T) {
					t.Parallel()
					testCutAnswer(t, whole, end, kept)
				})
			}
		}
	}
}

func testCutAnswer(t *testing.T, whole string, end func(c *net.TCPConn) bool, kept bool) {
	var length atomic.Int64
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.path == "/once/1" {
			return write(c, success(r.id, "ok"))
		}
		answer := strings.ReplaceAll(whole, "ID", r.id)
		write(c, answer[:min(int(length.Load()), len(answer))])
		return end(c)
	})
	call := newCaller(t, target)
	for n := range len(whole) - len("ID") + len("0000") {
		length.Store(int64(n))
		if kept {
			if status, _, err := call.do(http.MethodPost, "/once/1", fmt.Sprintf("a%03d", n)); status != 200 || err != nil {
				t.Fatalf("the request before got %d, %v", status, err)
			}
		}
		before := target.requests.Load()
		status, body, err := call.do(http.MethodPost, "/once/2", fmt.Sprintf("b%03d", n))
		if status != 502 || err != nil {
			t.Errorf("after %d bytes of %q: got %d %q, %v; want 502", n, whole, status, body, err)
		}
		if ran := target.requests.Load() - before; ran != 1 {
			t.Errorf("after %d bytes of %q: the request ran %d times", n, whole, ran)
		}
	}
}

// The body is too long to be read before its head is passed on.
func TestLongAnswerCutInItsBodyLooksCut(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", maxBufferedResponse/16+1000)
	const head = "HTTP/1.1 200 OK\r\nId: b\r\nProof: p\r\n"
	withLength := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	inChunks := head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 0x2000)
	lastChunk := strings.LastIndex(inChunks, "\r\n0\r\n")
	for name, answer := range map[string]string{
		"in the body":                   withLength[:len(withLength)-1],
		"before the body":               withLength[:len(withLength)-len(body)],
		"in a chunk size":               inChunks[:strings.LastIndex(inChunks[:lastChunk], "\r\n")-1],
		"after a chunk size":            inChunks[:strings.LastIndex(inChunks[:lastChunk], "\r\n")+2],
		"in a chunk":                    inChunks[:lastChunk-1],
		"after a chunk":                 inChunks[:lastChunk],
		"after a chunk's CR":            inChunks[:lastChunk+1],
		"before the last chunk":         inChunks[:lastChunk+2],
		"in the last chunk":             inChunks[:lastChunk+3],
		"before the trailer":            inChunks[:lastChunk+5],
		"in the trailer":                inChunks[:len(inChunks)-6],
		"before the last CRLF":          inChunks[:len(inChunks)-2],
		"in the last CRLF":              inChunks[:len(inChunks)-1],
		"no number as a chunk size":     inChunks[:lastChunk+2] + "x\r\n\r\n",
		"other bytes instead of a CRLF": inChunks[:lastChunk] + "xx0\r\n\r\n",
	} {
		for ending, end := range endings {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept=%v", name, ending, kept), func(t *testing.T) {
					t.Parallel()
					call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
						if r.id == "a" {
							return write(c, success(r.id, "ok"))
						}
						write(c, answer)
						return end(c)
					}))
					if kept {
						if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 200 || err != nil {
							t.Fatalf("the request before got %d, %v", status, err)
						}
					}
					if status, got, err := call.do(http.MethodPost, "/once/2", "b"); status < 300 && err == nil {
						t.Errorf("got %d with a body of %d bytes that looked complete", status, len(got))
					}
				})
			}
		}
	}
}

// An answer without a length ends with its connection, which a reset does not do.
func TestAnswerWithoutLengthThatIsResetLooksCut(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, maxBufferedResponse - 1, maxBufferedResponse, maxBufferedResponse + 1, 2 * maxBufferedResponse} {
		for ending, end := range endings {
			call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
				write(c, "HTTP/1.1 200 OK\r\nId: "+r.id+"\r\nProof: p\r\n\r\n"+strings.Repeat("x", size))
				return end(c)
			}))
			status, body, err := call.do(http.MethodPost, "/once/1", "a")
			whole := status == 200 && err == nil && len(body) == size
			if whole != (ending == "closed") || !whole && status == 200 && err == nil {
				t.Errorf("%d bytes, %s: got %d with %d bytes, %v", size, ending, status, len(body), err)
			}
		}
	}
}

// A caller by HTTP/1.0 takes the close of the connection for the end of a body without a
// length. A cut answer must therefore reach it as a reset.
func TestCutAnswerLooksCutToCallersOfHTTP10(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", maxBufferedResponse/16+1000)
	const head = "HTTP/1.1 200 OK\r\nId: b\r\nProof: p\r\n"
	inChunks := head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 0x2000)
	withLength := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, c := range map[string]struct {
		answer string
		reset  bool
		whole  bool
	}{
		"in chunks":               {inChunks, false, true},
		"in chunks, cut":          {inChunks[:len(inChunks)-100], false, false},
		"in chunks, reset":        {inChunks[:len(inChunks)-100], true, false},
		"with length":             {withLength, false, true},
		"with length, cut":        {withLength[:len(withLength)-1], false, false},
		"without length":          {head + "\r\n" + body, false, true},
		"without length, reset":   {head + "\r\n" + body, true, false},
		"short, without length":   {head + "\r\nshort", false, true},
		"short, in chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n" + chunked("short", 5), false, true},
		"short, in chunks, cut":   {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort", false, false},
		"short, no length, reset": {head + "\r\nshort", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			call := newCaller(t, newRawTarget(t, func(conn *net.TCPConn, _ received) bool {
				write(conn, c.answer)
				if c.reset {
					return endings["reset"](conn)
				}
				return false
			}))
			conn, err := net.Dial("tcp4", call.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			fmt.Fprint(conn, "POST /once/1 HTTP/1.0\r\nHost: h\r\n"+testHeaders.RequestID+": b\r\nContent-Length: 0\r\n\r\n")
			got, err := io.ReadAll(conn)
			_, gotBody, headComplete := strings.Cut(string(got), "\r\n\r\n")
			success := err == nil && headComplete && strings.HasPrefix(string(got), "HTTP/1.0 200")
			length := regexp.MustCompile(`(?i)\r\ncontent-length: (\d+)\r\n`).FindStringSubmatch(string(got))
			if success && len(length) > 1 && length[1] != strconv.Itoa(len(gotBody)) {
				success = false // the caller notices that bytes are missing
			}
			if success != c.whole {
				t.Errorf("success %v, want %v: %d bytes, %v", success, c.whole, len(got), err)
			}
		})
	}
}

func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	t.Parallel()
	call := newCaller(t, newRawTarget(t, func(c *net.TCPConn, r received) bool {
		write(c, "HTTP/1.1 101 Switching Protocols\r\nId: "+r.id+"\r\nProof: p\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes")
		return false
	}))
	if status, _, err := call.do(http.MethodPost, "/once/1", "a"); status != 502 || err != nil {
		t.Errorf("got %d, %v; want 502", status, err)
	}
}
