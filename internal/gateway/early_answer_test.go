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

// newHastyTarget returns a target that answers each request by its head and reads the body
// later.
func newHastyTarget(t *testing.T, answer func(id string) string) *rawTarget {
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
			hasty := newHastyTarget(t, test.answer)
			calm := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "calm")) })
			call := newCaller(t, hasty, calm)
			call.gateway.pool.dialer.Control = smallBuffer(unix.SO_SNDBUF)
			for i := range 200 {
				r, err := http.NewRequest(http.MethodPost, "http://"+call.address+"/once/1", strings.NewReader(strings.Repeat("x", maxBufferedRequestBody)))
				if err != nil {
					t.Fatal(err)
				}
				r.Host = "h"
				r.Header.Set(testHeaders.RequestID, fmt.Sprint(i))
				before := hasty.requests.Load()
				response, err := call.client.Do(r)
				if err != nil {
					t.Fatalf("request %d, sent to the hasty target %d times: %v", i, hasty.requests.Load()-before, err)
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err != nil || response.StatusCode != 200 && (response.StatusCode != test.want || hasty.requests.Load() == before) {
					t.Errorf("request %d: got %d %q, %v", i, response.StatusCode, body, err)
				}
			}
			if hasty.requests.Load() == 0 {
				t.Error("the hasty target got no request")
			}
		})
	}
}
