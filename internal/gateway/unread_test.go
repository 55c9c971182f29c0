package gateway

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/callerserver"
)

func TestNextUnreadStep(t *testing.T) {
	for _, c := range []struct {
		untaken time.Duration
		room    bool
		want    unreadStep
	}{
		{0, true, awaitCaller}, {slowCallerTime - 1, true, awaitCaller}, {slowCallerTime, true, holdMore},
		{slowCallerTime, false, awaitCaller}, {maxUnreadTime - 1, false, awaitCaller}, {maxUnreadTime, false, breakOff}, {time.Hour, true, holdMore},
	} {
		if got := nextUnreadStep(c.untaken, c.room); got != c.want {
			t.Errorf("%v, room %v: step %d, want %d", c.untaken, c.room, got, c.want)
		}
	}
}

// longResponse is more than the socket buffers on its way hold.
const longResponse = 24 << 20

// newLongTarget returns a target whose responses are long, and a channel that is told how
// long each took to be taken from it, or its error.
func newLongTarget(t *testing.T, body []byte) (*rawTarget, chan error) {
	sent := make(chan error, 8)
	return newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.path == "/once/short" {
			return write(c, success(r.id, "ok"))
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: %d\r\n\r\n", r.id, len(body))
		if err == nil {
			_, err = c.Write(body)
		}
		sent <- err
		return err == nil
	}), sent
}

// slowly sends a request on a connection whose response is not read yet.
func (c *caller) slowly(path string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp4", c.address)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(256 << 10) // best effort
	if _, err := io.WriteString(conn, pipelined(path)); err != nil {
		c.tb.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func randomBytes(n int) []byte {
	random, b := rand.NewChaCha8([32]byte{1}), make([]byte, n)
	_, _ = random.Read(b) // never fails
	return b
}

// noneHeld waits until nothing is held for callers.
func (c *caller) noneHeld() {
	c.tb.Helper()
	eventually(c.tb.(*testing.T), "nothing is held", func() bool {
		return strings.Contains(c.gateway.Metrics.Text(), "turmericfield_caller_bytes_held 0\n")
	})
}

func TestTargetIsFreeWhileACallerDoesNotReadItsResponse(t *testing.T) {
	t.Parallel()
	body := randomBytes(longResponse)
	target, sent := newLongTarget(t, body)
	call := newCaller(t, target)
	conn, reader := call.slowly("/once/1")
	select {
	case err := <-sent:
		if err != nil {
			t.Fatalf("the response was broken off: %v", err)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the target waits for the caller")
	}
	eventually(t, "the connection to the target is kept", func() bool {
		call.gateway.pool.mu.Lock()
		defer call.gateway.pool.mu.Unlock()
		return len(call.gateway.pool.idle["t0"]) == 1
	})
	if status, _, err := call.do(http.MethodPost, "/once/short", "2"); status != 200 || err != nil {
		t.Fatalf("another request got %d, %v", status, err)
	}
	if n := target.connections.Load(); n != 1 {
		t.Errorf("the target has had %d connections, want one, which is reused", n)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, got, err := readAnswer(reader)
	if err != nil || response.StatusCode != 200 || sha256.Sum256([]byte(got)) != sha256.Sum256(body) {
		t.Errorf("%v, %d bytes, %v", response, len(got), err)
	}
	call.noneHeld()
}

func TestUnreadResponseThatMayNotBeHeldIsBrokenOff(t *testing.T) {
	t.Parallel()
	target, sent := newLongTarget(t, randomBytes(longResponse))
	call := newCallerWith(t, func(o *callerserver.Options) { o.MemoryBytes = 8 << 20 }, target)
	conn, reader := call.slowly("/once/1")
	select {
	case err := <-sent:
		if err == nil {
			t.Fatal("all was held")
		}
	case <-time.After(maxUnreadTime + 2*time.Second):
		t.Fatal("the target waits for the caller")
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if response, got, err := readAnswer(reader); err == nil {
		t.Errorf("%v with %d bytes looked complete", response, len(got))
	}
	eventually(t, "the metric counts it", func() bool {
		return strings.Contains(call.gateway.Metrics.Text(), "answers_unread_broken_off_total 1\n")
	})
	call.noneHeld()
}

// A caller that takes a little at a time, and never pauses for long, gets everything,
// whatever may be held.
func TestCallerThatReadsSteadilyGetsALongResponse(t *testing.T) {
	t.Parallel()
	body := randomBytes(longResponse)
	target, _ := newLongTarget(t, body)
	call := newCallerWith(t, func(o *callerserver.Options) { o.MemoryBytes = 8 << 20 }, target)
	conn, reader := call.slowly("/once/1")
	_ = conn.SetReadDeadline(time.Now().Add(2 * testTimeout))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	sum, n := sha256.New(), int64(0)
	for err == nil {
		var read int64
		read, err = io.CopyN(sum, response.Body, 1<<20)
		n += read
		time.Sleep(20 * time.Millisecond)
	}
	if want := sha256.Sum256(body); err != io.EOF || string(sum.Sum(nil)) != string(want[:]) {
		t.Errorf("%d bytes, %v", n, err)
	}
	call.noneHeld()
}

// What is held for a caller that does not read ends with its request's deadline.
func TestHeldResponseEndsAtTheDeadline(t *testing.T) {
	t.Parallel()
	target, sent := newLongTarget(t, randomBytes(longResponse))
	call := newCaller(t, target)
	_, _ = call.slowly("/short/1")
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	call.noneHeld()
}

// The response to a request that runs ahead waits behind one that its caller does not read,
// and neither may be held.
func TestUnreadResponseAheadOfItsTurnIsBrokenOff(t *testing.T) {
	t.Parallel()
	target, sent := newLongTarget(t, randomBytes(longResponse))
	call := newCallerWith(t, func(o *callerserver.Options) { o.MemoryBytes = 8 << 20 }, target)
	conn, reader := call.pipeline("/safe/1", "/safe/2")
	limit := time.After(maxUnreadTime + 2*time.Second)
	for range 2 {
		select {
		case err := <-sent:
			if err == nil {
				t.Error("all was held")
			}
		case <-limit:
			t.Fatal("the target waits for the caller")
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if response, got, err := readAnswer(reader); err == nil {
		t.Errorf("%v with %d bytes looked complete", response, len(got))
	}
	call.noneHeld()
}

// A caller that reads slowly all the time takes something, also while the buffers of its
// connection are so full that no write to it goes on.
func TestCallerThatReadsSlowlyIsNotBrokenOff(t *testing.T) {
	t.Parallel()
	target, sent := newLongTarget(t, randomBytes(longResponse))
	call := newCallerWith(t, func(o *callerserver.Options) { o.MemoryBytes = 8 << 20 }, target)
	conn, reader := call.slowly("/once/1")
	_ = conn.SetReadDeadline(time.Now().Add(2 * testTimeout))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout - time.Second); err == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_, err = io.CopyN(io.Discard, response.Body, 8<<10)
		select {
		case err = <-sent:
		default:
		}
	}
	if err != nil {
		t.Errorf("the response was broken off: %v", err)
	}
}

// A response that waits for its turn, since the target of an earlier one is at work, is not
// unread by its caller's fault.
func TestLongResponseThatWaitsForItsTurnIsNotBrokenOff(t *testing.T) {
	t.Parallel()
	body := randomBytes(longResponse)
	first, second := make(chan struct{}), make(chan struct{}, 8)
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.path == "/safe/1" {
			<-first
			return write(c, success(r.id, "ok"))
		}
		second <- struct{}{}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: %d\r\n\r\n", r.id, len(body))
		if err == nil {
			_, err = c.Write(body)
		}
		return err == nil
	})
	call := newCallerWith(t, func(o *callerserver.Options) { o.MemoryBytes = 8 << 20 }, target)
	conn, reader := call.pipeline("/safe/1", "/safe/2")
	<-second
	time.Sleep(maxUnreadTime + slowCallerTime + 250*time.Millisecond)
	close(first)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if r, _, err := readAnswer(reader); err != nil || r.StatusCode != 200 {
		t.Fatal(r, err)
	}
	r, got, err := readAnswer(reader)
	if err != nil || r.StatusCode != 200 || sha256.Sum256([]byte(got)) != sha256.Sum256(body) {
		t.Errorf("%v, %d bytes, %v", r, len(got), err)
	}
}
