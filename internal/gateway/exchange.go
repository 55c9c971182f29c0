package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/responsehead"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is read
	// completely before any of it is returned to the caller, so that another
	// target can be tried if it is cut off.
	maxBufferedResponse = 128 << 10
	// MaxResponseBytes is the most that the gateway holds of a response when it begins to
	// write it, for callerserver.Options.
	MaxResponseBytes = maxBufferedResponse
	// maxRefusalBody is the size in bytes up to which the body of a rejection is
	// read, so that its connection can be reused.
	maxRefusalBody = 4 << 10
	// maxResponseHead bounds the head of a response in bytes, together with the
	// informational responses before it.
	maxResponseHead = 64 << 10
	// maxMismatchedBody bounds the body, in bytes, of a response to another
	// request that is skipped.
	maxMismatchedBody = 1 << 20
	// maxMismatchedResponses is how many responses to other requests are
	// skipped on a connection before the one to this request.
	maxMismatchedResponses = 2
	// maxInlineRequestBody is the size in bytes up to which a request's body is
	// written together with its head. A longer one is written by a goroutine
	// while the response is awaited.
	maxInlineRequestBody = 4 << 10
	// abortBodyInterval is the interval at which abortRequestBody repeats its
	// attempt to stop the reading of a body.
	abortBodyInterval = time.Millisecond
)

var (
	errTooManyBytes        = errors.New("response has too many bytes")
	errMismatchedResponses = errors.New("responses on the connection belong to other requests")
)

// evidence is what proves that a response answers the request that was sent.
type evidence int

const (
	// unproven means that the response may belong to an earlier exchange.
	unproven evidence = iota
	// firstOnConn means that the response has no id, and that nothing was sent
	// or received on the connection before the request and the response.
	firstOnConn
	// echoedID means that the response echoes the request's id, which the
	// connection has not carried before.
	echoedID
)

// exchange is one request to one target and its response.
type exchange struct {
	conn *targetConn
	// mayHaveArrived is set once bytes of the request may have reached the
	// target.
	mayHaveArrived bool
	response       *http.Response
	// evidence tells by what the response is known to answer this request.
	evidence evidence
	// body is the response's body if bodyComplete is set, else the beginning of
	// it.
	body         []byte
	bodyComplete bool
	// notReusable says that the connection must be closed after this exchange.
	notReusable bool
	// stopCloseOnCancel keeps the end of the context from closing the
	// connection. It returns false if the connection is being closed already.
	stopCloseOnCancel func() bool
	// requestBodyDone is closed when the goroutine that writes the request's
	// body has ended; it is nil if there is no such goroutine.
	requestBodyDone chan struct{}
	// callerController controls the caller's connection, from which a streamed
	// request body is read; nil if the body was read before.
	callerController *http.ResponseController
}

// send writes a request to its target and reads the head of the response and, if
// it is short, its body. The exchange is not nil, also beside an error.
func (g *Gateway) send(ctx context.Context, c *call, head []byte) (*exchange, error) {
	conn, err := g.pool.get(ctx, c.grant.Target, c.id, c.repeatable)
	if err != nil {
		return &exchange{}, err
	}
	x := &exchange{conn: conn}
	// The closed connection also makes the target stop working on the request.
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := ctx.Err(); err != nil {
		return x, err
	}
	targetValid := c.targetStillValid() // first, as it waits for a lock
	switch {
	case !c.stillAllowed():
		return x, errWithdrawn
	case !targetValid:
		return x, errTargetWithdrawn
	}
	x.mayHaveArrived = true
	if err := x.write(c, head); err != nil {
		return x, errors.Wrap(err, "write")
	}
	if err := x.readHead(c.request, g.HeaderNames, c.id); err != nil {
		return x, err
	}
	c.observe(x)
	switch c.verdict(x) {
	case answered:
		return x, x.readBody(maxBufferedResponse)
	case rejected:
		if x.endsWithConnection() {
			return x, nil // the head proves the rejection, and the connection can't be reused
		}
		return x, x.readBody(maxRefusalBody)
	}
	return x, nil
}

// write writes the request. A long body is written in the background.
func (x *exchange) write(c *call, head []byte) error {
	x.conn.requestWritten.Store(false)
	if c.streamedBody == nil && len(c.bufferedBody) <= maxInlineRequestBody {
		_, err := x.conn.Write(append(head, c.bufferedBody...))
		x.conn.requestWritten.Store(err == nil)
		return err
	}
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	x.requestBodyDone = make(chan struct{})
	if c.streamedBody != nil {
		x.callerController = http.NewResponseController(c.writer)
	}
	go func() {
		defer close(x.requestBodyDone)
		var err error // shows when the response is read
		if c.streamedBody == nil {
			_, err = io.Copy(x.conn, bytes.NewReader(c.bufferedBody))
		} else {
			err = c.writeStreamedBody(x.conn)
		}
		x.conn.requestWritten.Store(err == nil)
	}()
	return nil
}

// readHead reads the head of the response. Responses to other requests that
// precede it are skipped.
func (x *exchange) readHead(r *http.Request, names HeaderNames, id string) error {
	for skipped := range maxMismatchedResponses + 1 {
		x.conn.limit(maxResponseHead)
		response, err := readResponse(x.conn.reader, r)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		echoed := response.Header[textproto.CanonicalMIMEHeaderKey(names.RequestID)]
		switch {
		case len(echoed) == 0 && skipped == 0 && len(x.conn.carried) == 1:
			x.evidence = firstOnConn
		case len(echoed) == 1 && echoed[0] == id && id != "":
			x.evidence = echoedID
		case len(echoed) > 0:
			x.notReusable = true
			// Read as a response to HEAD, it has no body, so that its body would
			// be taken for the next head.
			if r.Method == http.MethodHead || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				return errMismatchedResponses
			}
			x.conn.limit(maxMismatchedBody)
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read response to another request")
			}
			continue
		}
		x.response = response
		x.conn.limit(math.MaxInt64) // the body is bounded by readBody or the deadline
		return nil
	}
	return errMismatchedResponses
}

// readResponse reads the head of the next final response; informational (1xx)
// ones are skipped.
func readResponse(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, r)
		if err != nil {
			return nil, err
		}
		if final, err := responsehead.Final(response); err != nil || final {
			return response, err
		}
	}
}

// isHead reports whether the response is to HEAD, and so has no body whatever its headers
// say.
func (x *exchange) isHead() bool {
	return x.response.Request != nil && x.response.Request.Method == http.MethodHead
}

// endsWithConnection reports whether only the end of the connection ends the response, which
// has no length.
func (x *exchange) endsWithConnection() bool {
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// readBody reads a response body of up to limit bytes completely. Of a longer one
// it reads nothing if its length is known, else the beginning.
func (x *exchange) readBody(limit int64) error {
	length := x.response.ContentLength
	if x.isHead() {
		x.bodyComplete = true // the length is that of the response to GET
		return nil
	}
	if length > limit {
		return nil
	}
	if length >= 0 {
		x.body, x.bodyComplete = make([]byte, length), true
		_, err := io.ReadFull(x.response.Body, x.body)
		return errors.Wrap(err, "read response body")
	}
	var b bytes.Buffer
	n, err := io.CopyN(&b, x.response.Body, limit)
	x.body, x.bodyComplete = b.Bytes(), n < limit
	if err == io.EOF {
		err = nil
	}
	return errors.Wrap(err, "read response body")
}

// finish ends an exchange whose response was read to its end, and keeps the
// connection for reuse if possible.
func (c *call) finish(x *exchange) {
	if x.conn == nil {
		return // finished before
	}
	x.release(c.pool)
	// Asked only now, as the target may have begun to leave since its response.
	if id := x.conn.targetID; c.targetLeaving(id) {
		c.pool.closeTarget(id)
	}
}

// release puts the connection into the pool if it can be reused and closes it
// otherwise.
func (x *exchange) release(p *pool) {
	if x.requestBodyDone != nil {
		select {
		case <-x.requestBodyDone:
		default: // the target responded before it had read the whole request body
			x.notReusable = true
			x.abortRequestBody()
		}
	}
	// After a part of a request, the target takes what comes next for the rest of it.
	written := x.conn.requestWritten.Load()
	if !x.stopCloseOnCancel() || x.notReusable || !written || x.response.Close || x.endsWithConnection() {
		_ = x.conn.Close()
		return
	}
	x.conn.idleLimit = keepAliveTimeout(x.response.Header)
	p.put(x.conn)
}

// discard ends an exchange and closes its connection.
func (x *exchange) discard() {
	if x.conn != nil {
		x.stopCloseOnCancel()
		_ = x.conn.Close()
		x.abortRequestBody()
	}
}

// abortRequestBody closes the connection and waits until the goroutine that
// writes the request's body has ended: the caller's connection must not be used
// for anything else while the body is still being read from it.
func (x *exchange) abortRequestBody() {
	if x.requestBodyDone == nil {
		return
	}
	_ = x.conn.Close()
	if x.callerController == nil {
		<-x.requestBodyDone
		return
	}
	for {
		select {
		case <-x.requestBodyDone:
			return
		default:
			_ = x.callerController.SetReadDeadline(time.Now()) // interrupts the read; if unsupported, the body is read to its end
			time.Sleep(abortBodyInterval)
		}
	}
}

// keepAliveTimeout returns the idle time that a target allows in its Keep-Alive
// header, or 0 if it names none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(value); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
