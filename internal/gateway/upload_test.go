package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// uploads are the framings of a request's body of a given length.
var uploads = map[string]func(length int) io.Reader{
	"with length": func(length int) io.Reader { return strings.NewReader(strings.Repeat("x", length)) },
	"chunked":     func(length int) io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", length))) },
}

const (
	longUpload = 8 << 20 // bytes, more than the sockets' buffers hold
	// unsizedHead begins an answer without a length, which ends with its connection.
	unsizedHead = "HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\n\r\n"
)

// A target answers an upload that it doesn't read and resets the connection. What has come
// of the answer isn't all of it.
func TestAnswerWithoutLengthThatIsResetDuringAnUploadLooksCut(t *testing.T) {
	t.Parallel()
	const tries = 12
	for framing, upload := range uploads {
		for _, size := range []int{100, maxBufferedResponse / 2, 400 << 10} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
				for _, path := range []string{"/once/1", "/safe/1"} {
					t.Run(fmt.Sprintf("%s/%d bytes/%v/%s", framing, size, delay, path[1:5]), func(t *testing.T) {
						t.Parallel()
						call := newCaller(t, newHeadTarget(t, func(c *net.TCPConn, _ received) bool {
							write(c, unsizedHead+strings.Repeat("y", size))
							time.Sleep(delay)
							return endings["reset"](c)
						}))
						whole := 0
						for range tries {
							if status, _, err := call.doBody(http.MethodPost, path, "a", upload(longUpload)); status == http.StatusOK && err == nil {
								whole++
							}
						}
						if whole > 0 {
							t.Errorf("%d of %d cut answers looked complete", whole, tries)
						}
					})
				}
			}
		}
	}
}

// A caller by HTTP/1.0 notices a cut answer without a length only by a reset. Its kernel may
// report that to the write of the upload, so that the reading doesn't tell; the state of the
// connection does.
func TestAnswerThatIsResetDuringAnUploadLooksCutToCallersOfHTTP10(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100, 400 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			call := newCaller(t, newHeadTarget(t, func(c *net.TCPConn, _ received) bool {
				write(c, unsizedHead+strings.Repeat("y", size))
				time.Sleep(2 * time.Millisecond)
				return endings["reset"](c)
			}))
			for range 12 {
				conn, err := net.Dial("tcp4", call.address)
				if err != nil {
					t.Fatal(err)
				}
				go write(conn, fmt.Sprintf("POST /once/1 HTTP/1.0\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", longUpload, strings.Repeat("x", longUpload)))
				got, err := io.ReadAll(conn)
				head, body, _ := strings.Cut(string(got), "\r\n\r\n")
				whole := strings.Contains(head, fmt.Sprint("\r\nContent-Length: ", len(body))) || err == nil && (&targetConn{Conn: conn}).closedByTarget()
				if whole && strings.HasPrefix(head, "HTTP/1.0 200") {
					t.Errorf("a cut answer looked complete after %d bytes", len(body))
				}
				_ = conn.Close()
			}
		})
	}
}

// A target ends its answer before it has read the body: one without a length by ending its side
// of the connection, whose other side it goes on reading, and one with a length by a reset.
// Both are whole whatever has been written of the body.
func TestAnswerThatEndsDuringAnUploadIsWhole(t *testing.T) {
	t.Parallel()
	part := strings.Repeat("x", longUpload/2)
	for framing, body := range map[string]string{
		fmt.Sprint("Content-Length: ", longUpload): part,
		"Transfer-Encoding: chunked":               fmt.Sprintf("%x\r\n%s", longUpload, part),
	} {
		for name, answer := range map[string]struct {
			status, size int
			reset        bool
		}{
			"200":                {200, 100, false},
			"200, half buffered": {200, maxBufferedResponse / 2, false},
			"200, long":          {200, 400 << 10, false},
			"413":                {413, 100, false},
			"413, long":          {413, 400 << 10, false},
			"200, reset":         {200, 100, true},
			"413, reset":         {413, 100, true},
		} {
			t.Run(framing+"/"+name, func(t *testing.T) {
				t.Parallel()
				call := newCaller(t, newHeadTarget(t, func(c *net.TCPConn, _ received) bool {
					head := strings.Replace(unsizedHead, "200", fmt.Sprint(answer.status), 1)
					if answer.reset {
						head = strings.Replace(head, "\r\n\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", answer.size), 1)
					}
					write(c, head+strings.Repeat("y", answer.size))
					if answer.reset {
						return endings["reset"](c)
					}
					if err := c.CloseWrite(); err != nil {
						t.Error(err)
					}
					_, _ = io.Copy(io.Discard, c) // until the gateway closes the connection
					return false
				}))
				c, err := net.Dial("tcp4", call.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
					t.Fatal(err)
				}
				go write(c, "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\n"+framing+"\r\n\r\n"+body)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(response.Body)
				if response.StatusCode != answer.status || len(got) != answer.size || err != nil {
					t.Errorf("got %d with %d bytes, %v; want %d with %d", response.StatusCode, len(got), err, answer.status, answer.size)
				}
			})
		}
	}
}

// The request is short enough to be sent again. The target that gets it first resets the
// connection while the request is being written.
func TestSecondAttemptAfterAnAnswerThatIsResetDuringAnUpload(t *testing.T) {
	t.Parallel()
	const requests = 40
	for name, c := range map[string]struct {
		path, answer string
		want         int
	}{
		"answer to a request that may run twice":     {"/safe/1", unsizedHead + "part", 200},
		"answer to a request that may not run twice": {"/once/1", unsizedHead + "part", 502},
		"rejection": {"/once/1", "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\n\r\nfull", 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts sync.Map // ids of the requests that were tried before
			answer := func(conn *net.TCPConn, r received) bool {
				if _, again := attempts.LoadOrStore(r.id, true); !again {
					write(conn, strings.Replace(c.answer, "Id: a", "Id: "+r.id, 1))
					time.Sleep(2 * time.Millisecond)
					return endings["reset"](conn)
				}
				_, err := io.Copy(io.Discard, r.body)
				return err == nil && write(conn, success(r.id, "whole"))
			}
			call := newCaller(t, newHeadTarget(t, answer), newHeadTarget(t, answer))
			call.gateway.pool.dialer.Control = smallBuffer(unix.SO_SNDBUF)
			for i := range requests {
				body := strings.NewReader(strings.Repeat("x", maxBufferedRequestBody))
				status, got, err := call.doBody(http.MethodPost, c.path, fmt.Sprint("b", i), body)
				if status != c.want || status == 200 && got != "whole" || err != nil {
					t.Errorf("request %d got %d %q, %v; want %d", i, status, got, err, c.want)
				}
			}
		})
	}
}

// A body exceeds the limit after a part of it was sent, and its target answers nevertheless.
// The target takes what comes next on the connection for the rest of the body.
func TestConnectionWithAnUnfinishedRequestIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	const limit = 2 * maxBufferedRequestBody
	call := newCaller(t, newHeadTarget(t, func(conn *net.TCPConn, r received) bool {
		if r.id != "a" {
			return write(conn, success(r.id, r.path))
		}
		if _, err := io.CopyN(io.Discard, r.body, limit); err != nil {
			t.Error(err)
			return false
		}
		time.Sleep(50 * time.Millisecond)
		if !write(conn, success(r.id, "early")) {
			return false
		}
		rest, err := io.ReadAll(r.body)
		if err == nil || len(rest) > 0 {
			t.Errorf("%d bytes of the rest of the body have come, %v", len(rest), err)
		}
		return false
	}))
	limited := *call.gateway.Table()
	limited.Limits.BodyBytes = limit
	call.gateway.SetTable(&limited)
	if status, got, err := call.doBody(http.MethodPost, "/once/1", "a", uploads["chunked"](2*limit)); status != 200 || got != "early" || err != nil {
		t.Errorf("got %d %q, %v", status, got, err)
	}
	for i := range 4 {
		if status, got, err := call.do(http.MethodPost, "/once/2", fmt.Sprint("b", i)); status != 200 || got != "/once/2" || err != nil {
			t.Errorf("a request afterwards got %d %q, %v", status, got, err)
		}
	}
}
