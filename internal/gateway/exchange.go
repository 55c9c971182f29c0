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
	// maxBuffered is the size up to which an answer is read whole before it is
	// passed on, so that a cut one can still be replaced.
	maxBuffered = 128 << 10
	// maxStrays is how many answers to other requests may come first on a
	// connection.
	maxStrays = 2
	// inlineBody is the size up to which a request's body is written before its
	// answer is read.
	inlineBody = 4 << 10
	// endInterval is the time between two tries to end the reading of a body.
	endInterval = time.Millisecond
)

var errStray = errors.New("the answers on the connection belong to other requests")

// exchange is one request to one target and its answer.
type exchange struct {
	conn *targetConn
	// wrote says that bytes of the request may have reached the target.
	wrote    bool
	response *http.Response
	// body is the whole body if whole is set, else its beginning.
	body  []byte
	whole bool
	// spoilt says that the connection cannot be used again.
	spoilt bool
	stop   func() bool
	// bodyDone is closed when the request's body has been written.
	bodyDone chan struct{}
	// caller controls the connection that a streamed body comes from.
	caller *http.ResponseController
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
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := ctx.Err(); err != nil {
		return x, err
	}
	if !c.stillAllowed() {
		return x, errWithdrawn
	}
	x.wrote = true
	if err := x.write(c, head); err != nil {
		return x, errors.Wrap(err, "write")
	}
	if err := x.readHead(c.request, g.Headers, c.id); err != nil {
		return x, err
	}
	return x, x.readBody()
}

func (x *exchange) write(c *call, head []byte) error {
	if c.streamed == nil && len(c.buffered) <= inlineBody {
		_, err := x.conn.Write(append(head, c.buffered...))
		return err
	}
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	x.bodyDone, x.caller = make(chan struct{}), http.NewResponseController(c.writer)
	go func() {
		defer close(x.bodyDone)
		if c.streamed == nil {
			_, _ = io.Copy(x.conn, bytes.NewReader(c.buffered)) // a failure shows when the answer is read
			return
		}
		c.copyBody(x.conn)
	}()
	return nil
}

// readHead reads answers until one belongs to the request.
func (x *exchange) readHead(r *http.Request, d HeaderNames, id string) error {
	for range maxStrays + 1 {
		response, err := readResponse(x.conn.reader, r)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if got := response.Header.Get(d.RequestID); got != "" && got != id {
			x.spoilt = true
			if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				return errStray
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read a stray answer")
			}
			continue
		}
		x.response = response
		return nil
	}
	return errStray
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
	if length > maxBuffered {
		return nil
	}
	if length >= 0 {
		x.body, x.whole = make([]byte, length), true
		_, err := io.ReadFull(x.response.Body, x.body)
		return errors.Wrap(err, "read body")
	}
	var b bytes.Buffer
	n, err := io.CopyN(&b, x.response.Body, maxBuffered)
	x.body, x.whole = b.Bytes(), n < maxBuffered
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
	if x.bodyDone != nil {
		select {
		case <-x.bodyDone:
		default: // answered before it read the body
			x.spoilt = true
			x.endBody()
		}
	}
	if !x.stop() || x.spoilt || x.response.Close || x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 {
		_ = x.conn.Close()
		return
	}
	x.conn.keep = keepAlive(x.response.Header)
	p.put(x.conn)
}

// discard ends an exchange and its connection.
func (x *exchange) discard() {
	if x.conn != nil {
		x.stop()
		_ = x.conn.Close()
		x.endBody()
	}
}

// endBody ends the writing of the request's body. The caller's connection must
// not be used further while its body is still read.
func (x *exchange) endBody() {
	if x.bodyDone == nil {
		return
	}
	_ = x.conn.Close()
	for {
		select {
		case <-x.bodyDone:
			return
		default:
			_ = x.caller.SetReadDeadline(time.Now()) // a server that cannot do it reads to the end
			time.Sleep(endInterval)
		}
	}
}

// keepAlive returns the idle time that a target allows, or 0.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(value); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
