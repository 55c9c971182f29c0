package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// ids numbers the requests of all clients.
var ids atomic.Int64

// request is a request as a client sends it.
type request struct {
	id, method, path, object string
	deadline                 time.Duration
	key                      string
}

func newRequest(method, path, object string) request {
	return request{id: fmt.Sprintf("%016x", ids.Add(1)), method: method, path: path, object: object, deadline: 6 * time.Second, key: apiKey}
}

// text returns the request's bytes.
func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds())
	if r.object != "" {
		fmt.Fprintf(&b, "Affinity-Key: %s\r\n", r.object)
	}
	if r.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", r.key)
	}
	if r.method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// clientConn is a client's connection to an instance.
type clientConn struct {
	net.Conn
	record *record
	reader *bufio.Reader
}

func dial(r *record, address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, r, bufio.NewReader(c)}, nil
}

// send writes a request.
func (c *clientConn) send(q request) error {
	c.record.logf("client sends %s %s, id %s, object %q, from %s", q.method, q.path, q.id, q.object, c.LocalAddr())
	_, err := io.WriteString(c, q.text())
	return err
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // if the answer is not complete
}

// receive reads the answer to a request.
func (c *clientConn) receive(q request, limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit)) // fails only if the connection has ended, which the read tells
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.record.logf("client gets no answer to %s: %v", q.id, err)
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	c.record.logf("client gets %d for %s, %d bytes, Connection %q, id %s, error %v", response.StatusCode, q.id, len(body), response.Header.Get("Connection"), response.Header.Get("Attempt-Id"), err)
	return answer{response.StatusCode, response.Header, body, err}
}

// once sends a request on a connection of its own and returns the answer.
func once(r *record, address string, q request) answer {
	c, err := dial(r, address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.send(q); err != nil {
		return answer{err: err}
	}
	return c.receive(q, q.deadline)
}
