package logging

import (
	"bufio"
	"bytes"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// lineBuffer signals each write to it.
type lineBuffer struct {
	mu      sync.Mutex // guards text
	text    bytes.Buffer
	written chan struct{}
}

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer close(b.written)
	return b.text.Write(p)
}

// TestUnsolicitedAnswerIsNotLogged guards against a part of an answer in the line that
// the HTTP client logs when a target writes an answer once more.
func TestUnsolicitedAnswerIsNotLogged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe answer"
		_, _ = io.WriteString(conn, answer+answer) // both in one segment
		_, _ = io.Copy(io.Discard, conn)
	}()
	lines := &lineBuffer{written: make(chan struct{})}
	before := stdlog.Writer()
	defer stdlog.SetOutput(before)
	stdlog.SetOutput(OmitQuoted(lines))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	select {
	case <-lines.written:
	case <-time.After(5 * time.Second):
		t.Fatal("the client logged nothing")
	}
	lines.mu.Lock()
	defer lines.mu.Unlock()
	if text := lines.text.String(); strings.Contains(text, "the answer") || !strings.HasSuffix(text, "starting with \"\"; err=<nil>\n") {
		t.Errorf("logged %q", text)
	}
}
