package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// smallBuffer gives a socket the least buffer of a kind, so that a body does not fit into it.
func smallBuffer(kind int) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.CombineErrors(c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, kind, 1) }), err)
	}
}

// newHastyTarget returns a target that answers each request when it has read its head and
// so many bytes of its body, and reads the rest later.
func newHastyTarget(t *testing.T, bodyBytes int64, answer func(id string) string) *rawTarget {
	config := net.ListenConfig{Control: smallBuffer(unix.SO_RCVBUF)}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	target := &rawTarget{listener: l}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			target.requests.Add(1)
			if _, err := io.CopyN(io.Discard, r.Body, bodyBytes); err != nil {
				return
			}
			if !write(c, answer(r.Header.Get(testHeaders.RequestID))) {
				return
			}
			time.Sleep(20 * time.Millisecond)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return target
}

// postBody sends a request with a body. The error is set if there was no complete response.
func (c *caller) postBody(id string, length int) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/once/1", strings.NewReader(strings.Repeat("x", length)))
	if err != nil {
		c.tb.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, id)
	response, err := c.client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.CombineErrors(err, response.Body.Close())
}

// The gateway is still writing a body that it has read whole when the target answers. The
// caller's connection, on which its next request may come, must not be touched then.
func TestCallerIsAnsweredWhenATargetAnswersBeforeItReadsTheBody(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		answer func(id string) string
		want   int // of requests that the hasty target got; also 200, of the calm one
	}{
		"rejection": {rejection, 503},
		"answer":    {func(id string) string { return success(id, "early") }, 200},
		"garbage":   {func(string) string { return "garbage\r\n\r\n" }, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hasty := newHastyTarget(t, 0, test.answer)
			calm := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "calm")) })
			call := newCaller(t, hasty, calm)
			call.gateway.pool.dialer.Control = smallBuffer(unix.SO_SNDBUF)
			for i := range 200 {
				before := hasty.requests.Load()
				status, err := call.postBody(fmt.Sprint(i), maxBufferedRequestBody)
				if err != nil || status != 200 && (status != test.want || hasty.requests.Load() == before) {
					t.Fatalf("request %d, sent to the hasty target %d times: got %d, %v", i, hasty.requests.Load()-before, status, err)
				}
			}
			if hasty.requests.Load() == 0 {
				t.Error("the hasty target got no request")
			}
		})
	}
}

// The gateway has read the whole body from the caller, but has not written it all.
func TestCallerIsAnsweredWhenATargetAnswersBeforeItReadsTheEndOfAStreamedBody(t *testing.T) {
	t.Parallel()
	const length = maxBufferedRequestBody + 16<<10
	hasty := newHastyTarget(t, maxBufferedRequestBody+1<<10, rejection)
	call := newCaller(t, hasty)
	call.gateway.pool.dialer.Control = smallBuffer(unix.SO_SNDBUF)
	for i := range 60 {
		if status, err := call.postBody(fmt.Sprint(i), length); status != 503 || err != nil {
			t.Fatalf("request %d: got %d, %v; want 503", i, status, err)
		}
	}
}

// The caller is still sending the body, of which it sends the rest only after the answer.
func TestCallerIsAnsweredWhenATargetAnswersWhileABodyArrives(t *testing.T) {
	t.Parallel()
	const length = 4 * maxBufferedRequestBody
	part := strings.Repeat("x", length/2)
	for name, test := range map[string]struct {
		answer func(id string) string
		want   int
	}{
		"rejection": {rejection, 503},
		"answer":    {func(id string) string { return success(id, "early") }, 200},
		"garbage":   {func(string) string { return "garbage\r\n\r\n" }, 502},
	} {
		for framing, body := range map[string]string{
			fmt.Sprint("Content-Length: ", length): part,
			"Transfer-Encoding: chunked":           fmt.Sprintf("%x\r\n%s", length, part),
		} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				call := newCaller(t, newHastyTarget(t, 0, test.answer))
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
				if response.StatusCode != test.want {
					t.Errorf("got %d, want %d", response.StatusCode, test.want)
				}
			})
		}
	}
}
