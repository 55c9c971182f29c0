package callerserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/metrics"
)

// variedHandler responds as the first byte of the path tells, in ways that differ in what
// net/http adds.
func variedHandler(w http.ResponseWriter, r *http.Request) {
	kind := byte('a')
	if len(r.URL.Path) > 1 {
		kind = r.URL.Path[1]
	}
	switch kind % 12 {
	case 0:
		w.Header().Set("Connection", "close")
	case 1:
		w.WriteHeader(http.StatusNoContent)
		return
	case 2:
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "hello")
		return
	case 3:
		w.Header()["Content-Type"] = nil
		w.Header()["Date"] = nil
	case 4:
		_, _ = io.WriteString(w, strings.Repeat("x", 10000))
		return
	case 5:
		w.Header().Set("Content-Length", "50")
		_, _ = io.WriteString(w, "cut")
		panic(http.ErrAbortHandler)
	case 6:
		w.Header().Set("Trailer", "X")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X", "y")
		return
	case 7:
		w.WriteHeader(http.StatusServiceUnavailable)
		return // without reading the body
	case 8:
		w.Header().Set("Content-Length", "100000")
		_, _ = io.Copy(w, strings.NewReader(strings.Repeat("y", 100000)))
		return
	case 9:
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.CopyN(io.Discard, r.Body, 2)
		w.Header().Set("Connection", "close")
	case 10:
		w.WriteHeader(http.StatusEarlyHints)
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 3))
		_, _ = fmt.Fprint(w, err)
		return
	}
	body, err := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %q %v %v", r.Method, r.URL, body, err, r.Trailer)
}

var dateLine = regexp.MustCompile(`Date: [^\r]*`)

// converse sends each message once the response to the one before is complete, and then
// ends the stream. It returns all that was received.
func converse(tb testing.TB, address string, messages [][]byte) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	var received bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(c, &received))
	for i, message := range messages {
		if _, err := c.Write(message); err != nil {
			break
		}
		if i == len(messages)-1 {
			_ = c.(*net.TCPConn).CloseWrite()
			break
		}
		method, _, _ := bytes.Cut(message, []byte(" "))
		for {
			response, err := http.ReadResponse(reader, &http.Request{Method: string(method)})
			if err != nil {
				break
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode >= 200 {
				break
			}
		}
	}
	_, _ = io.Copy(io.Discard, reader) // a reset ends it too
	return dateLine.ReplaceAllString(received.String(), "Date: now")
}

// comparable reports whether the messages are such that the server promises the bytes of
// net/http: nothing is sent ahead of a response, and no message is refused for its framing.
func comparable(messages [][]byte) bool {
	for i, message := range messages {
		f, used, err := feedAll(message, len(message)+1)
		if err != nil || used < len(message) || !f.done() && i < len(messages)-1 {
			return false
		}
		if bytes.Contains(message, []byte("Expect")) && i < len(messages)-1 || len(message) == 0 {
			return false // the other end decides by time
		}
	}
	return true
}

// pair is the same handler on net/http and on this package's server.
func pair(tb testing.TB, handler http.Handler) (plain, ours string) {
	const limit = 2000
	reference := &http.Server{Handler: handler, MaxHeaderBytes: limit, ReadHeaderTimeout: 5 * time.Second}
	server := New(Options{
		Handler: handler, MaxHeaderBytes: limit, ReadHeaderTimeout: 5 * time.Second, Metrics: metrics.New(),
		Concurrent: func(*http.Request) bool { return true },
	})
	var addresses []string
	for _, serve := range []func(net.Listener) error{reference.Serve, server.Serve} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		addresses = append(addresses, l.Addr().String())
		go func() { _ = serve(l) }()
	}
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = reference.Shutdown(ctx)
		_ = server.Shutdown(ctx)
	})
	return addresses[0], addresses[1]
}

// FuzzSameBytesAsNetHTTP checks that a caller that waits for each response receives what it
// would from net/http. In the input, "~" ends a message.
func FuzzSameBytesAsNetHTTP(f *testing.F) {
	for kind := 'a'; kind < 'a'+12; kind++ {
		for _, message := range []string{
			"GET /%c HTTP/1.1\r\nHost: h\r\n\r\n",
			"HEAD /%c HTTP/1.1\r\nHost: h\r\n\r\n",
			"POST /%c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
			"POST /%c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\nde\r\n0\r\nT: u\r\n\r\n",
			"GET /%c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
			"GET /%c HTTP/1.0\r\n\r\n",
			"POST /%c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nabcde",
			"GET /%c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		} {
			message = fmt.Sprintf(message, kind)
			f.Add([]byte(message))
			f.Add([]byte(message + "~" + message + "~GET /b HTTP/1.1\r\nHost: h\r\n\r\n"))
		}
	}
	for _, message := range []string{
		"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n", "hello\r\n\r\n", "GET / HTTP/3.0\r\n\r\n", "GET / HT", "",
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n~\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
	} {
		f.Add([]byte(message))
	}
	plain, ours := pair(f, http.HandlerFunc(variedHandler))
	f.Fuzz(func(t *testing.T, data []byte) {
		messages := bytes.SplitN(data, []byte("~"), 4)
		if !comparable(messages) {
			t.Skip()
		}
		if got, want := converse(t, ours, messages), converse(t, plain, messages); got != want {
			t.Errorf("%q:\n%q\nby net/http:\n%q", data, got, want)
		}
	})
}

// benchmarkRequests measures requests of one caller that waits for each response, or that
// sends some before it reads the responses to all of them.
func benchmarkRequests(b *testing.B, ours bool, ahead int, think time.Duration) {
	plain, own := pair(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "hello")
	}))
	if ours {
		plain = own
	}
	c, err := net.Dial("tcp", plain)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := []byte(strings.Repeat("GET /a/b HTTP/1.1\r\nHost: example.com\r\nX: 0123456789\r\n\r\n", ahead))
	var response []byte
	buffer := make([]byte, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		for begin := time.Now(); time.Since(begin) < think; {
			continue // a sleep would take longer
		}
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		response = response[:0]
		for bytes.Count(response, []byte("\r\n\r\nhello")) < ahead {
			n, err := c.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			response = append(response, buffer[:n]...)
		}
	}
}

// The next request follows each response at once, so that it overlaps with the end of the
// response at the server; or some time later, as over a network.
func BenchmarkAtOnceNetHTTP(b *testing.B) { benchmarkRequests(b, false, 1, 0) }
func BenchmarkAtOnceServer(b *testing.B)  { benchmarkRequests(b, true, 1, 0) }
func BenchmarkLaterNetHTTP(b *testing.B)  { benchmarkRequests(b, false, 1, 100*time.Microsecond) }
func BenchmarkLaterServer(b *testing.B)   { benchmarkRequests(b, true, 1, 100*time.Microsecond) }
func BenchmarkAheadNetHTTP(b *testing.B)  { benchmarkRequests(b, false, 8, 0) }
func BenchmarkAheadServer(b *testing.B)   { benchmarkRequests(b, true, 8, 0) }
