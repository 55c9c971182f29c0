package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedResponse is the size up to which an answer is read whole before it is
	// passed on, so that a cut one can still be replaced.
	maxBufferedResponse = 128 << 10
	// maxMismatchedResponses is how many answers to other requests may come first on a
	// connection.
	maxMismatchedResponses = 2
	// maxInlineRequestBody is the size up to which a request's body is written before its
	// answer is read.
	maxInlineRequestBody = 4 << 10
	// abortBodyInterval is the time between two tries to end the reading of a body.
	abortBodyInterval = time.Millisecond
)

var errMismatchedResponses = errors.New("the answers on the connection belong to other requests")

// exchange is one request to one target and its answer.
type exchange struct {
	conn *targetConn
	// mayHaveArrived says that bytes of the request may have reached the target.
	mayHaveArrived bool
	response       *http.Response
	// body is the whole body if whole is set, else its beginning.
	body         []byte
	bodyComplete bool
	// notReusable says that the connection cannot be used again.
	notReusable       bool
	stopCloseOnCancel func() bool
	// requestBodyDone is closed when the request's body has been written.
	requestBodyDone chan struct{}
	// callerController controls the connection that a streamed body comes from.
	callerController *http.ResponseController
}

// send puts a request on the wire and reads the head of its answer and, if it is
// short, its body.
func (g *Gateway) send(ctx context.Context, c *call, id, address string, head []byte) (*exchange, error) {
	conn, err := g.pool.get(ctx, id, address, c.route.Repeatable)
	if err != nil {
		return &exchange{}, err
	}
	x := &exchange{conn: conn}
	// Closing the connection also makes the target stop its work.
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := ctx.Err(); err != nil {
		return x, err
	}
	if !c.stillAllowed() {
		return x, errWithdrawn
	}
	x.mayHaveArrived = true
	if err := x.write(c, head); err != nil {
		return x, errors.Wrap(err, "write")
	}
	if err := x.readHead(c.request, g.Dialect, c.id); err != nil {
		return x, err
	}
	return x, x.readBody()
}

func (x *exchange) write(c *call, head []byte) error {
	if c.streamedBody == nil && len(c.bufferedBody) <= maxInlineRequestBody {
		_, err := x.conn.Write(append(head, c.bufferedBody...))
		return err
	}
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	x.requestBodyDone, x.callerController = make(chan struct{}), http.NewResponseController(c.writer)
	go func() {
		defer close(x.requestBodyDone)
		if c.streamedBody == nil {
			_, _ = io.Copy(x.conn, bytes.NewReader(c.bufferedBody)) // a failure shows when the answer is read
			return
		}
		c.writeStreamedBody(x.conn)
	}()
	return nil
}

// readHead reads answers until one belongs to the request.
func (x *exchange) readHead(r *http.Request, d Dialect, id string) error {
	for range maxMismatchedResponses + 1 {
		response, err := readResponse(x.conn.reader, r)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if got := response.Header.Get(d.RequestID); got != "" && got != id {
			x.notReusable = true
			if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				return errMismatchedResponses
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read a stray answer")
			}
			continue
		}
		x.response = response
		return nil
	}
	return errMismatchedResponses
}

// readResponse reads the head of a final answer.
func readResponse(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, r)
		if err != nil || response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
}

// readBody reads a short body whole.
func (x *exchange) readBody() error {
	length := x.response.ContentLength
	if length > maxBufferedResponse {
		return nil
	}
	if length >= 0 {
		x.body, x.bodyComplete = make([]byte, length), true
		_, err := io.ReadFull(x.response.Body, x.body)
		return errors.Wrap(err, "read body")
	}
	var b bytes.Buffer
	n, err := io.CopyN(&b, x.response.Body, maxBufferedResponse)
	x.body, x.bodyComplete = b.Bytes(), n < maxBufferedResponse
	if err == io.EOF {
		err = nil
	}
	return errors.Wrap(err, "read body")
}

// finish ends an exchange whose answer was read to its end.
func (x *exchange) finish(p *pool) {
	if x.conn == nil {
		return // ended before
	}
	if x.requestBodyDone != nil {
		select {
		case <-x.requestBodyDone:
		default: // answered before it read the body
			x.notReusable = true
			x.abortRequestBody()
		}
	}
	if !x.stopCloseOnCancel() || x.notReusable || x.response.Close || x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 {
		_ = x.conn.Close()
		return
	}
	x.conn.idleLimit = keepAliveTimeout(x.response.Header)
	p.put(x.conn)
}

// discard ends an exchange and its connection.
func (x *exchange) discard() {
	if x.conn != nil {
		x.stopCloseOnCancel()
		_ = x.conn.Close()
		x.abortRequestBody()
	}
}

// abortRequestBody ends the writing of the request's body. The caller's connection must
// not be used further while its body is still read.
func (x *exchange) abortRequestBody() {
	if x.requestBodyDone == nil {
		return
	}
	_ = x.conn.Close()
	for {
		select {
		case <-x.requestBodyDone:
			return
		default:
			_ = x.callerController.SetReadDeadline(time.Now()) // a server that cannot do it reads to the end
			time.Sleep(abortBodyInterval)
		}
	}
}

// keepAliveTimeout returns the idle time that a target allows, or 0.
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
