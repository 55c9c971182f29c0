package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/placement"
)

const (
	// copyBufferBytes is the size of the buffers for copying a response body.
	copyBufferBytes = 32 << 10
	// maxBufferedResponseBytes is the largest response body that is read to its end
	// before the caller gets the header. If the target breaks off such a response,
	// the request can still be retried or answered with an error.
	maxBufferedResponseBytes = 2 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// bufferSmallBody reads the body of a short response to its end and replaces it
// by the copy in memory.
func (c *call) bufferSmallBody() error {
	length := c.response.ContentLength
	if length <= 0 || length > maxBufferedResponseBytes || c.request.Method == http.MethodHead {
		return nil
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(c.response.Body, body); err != nil {
		return err
	}
	_ = c.response.Body.Close()
	c.response.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// forward copies a target's response to the caller and returns the next step of
// the request.
func (c *call) forward() attempt.Decision {
	response := c.response
	copyResponseHeader(c.writer.Header(), response.Header)
	c.closeAfterResponseIfNeeded()
	out := &progressWriter{
		writer: c.writer, controller: http.NewResponseController(c.writer), timeout: c.progressTimeout,
		flushEachWrite: response.ContentLength < 0 || response.ContentLength > maxBufferedResponseBytes,
	}
	out.writeHeader(response.StatusCode)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	n, err := io.CopyBuffer(out, onlyReader{response.Body}, buffer[:])
	copyBuffers.Put(buffer)
	_ = response.Body.Close()
	if err != nil {
		return c.handleTruncated(err, out.err != nil)
	}
	c.exchange.finish()
	c.releaseGrant(c.grant, placement.Answered)
	whole := c.Invariants.Check(response.ContentLength < 0 || c.request.Method == http.MethodHead || n == response.ContentLength,
		invariant.WholeAnswer, "request %s: passed on %d of the response's %d bytes", c.requestID, n, response.ContentLength)
	if !whole {
		return c.handleEvent(attempt.BodyCutShort, true)
	}
	return c.handleEvent(attempt.BodyComplete, true)
}

// onlyReader hides a reader's WriteTo method, which io.CopyBuffer would call
// instead of using its buffer.
type onlyReader struct{ io.Reader }

// handleTruncated ends a request whose response was not copied to its end: either
// the target broke it off, or writing to the caller failed (byCaller).
func (c *call) handleTruncated(err error, byCaller bool) attempt.Decision {
	_ = c.exchange.discard(err)
	outcome, message := placement.Unknown, "entry: a target's answer was cut short"
	if byCaller {
		outcome, message = placement.Answered, "entry: a caller did not take its answer"
	}
	c.releaseGrant(c.grant, outcome)
	c.Metrics.Add(metrics.Label("answers_cut_total", "by_caller", strconv.FormatBool(byCaller)), 1)
	c.Log.Warn().Str("request", c.requestID).Str("target", c.grant.Target.Name).Str("error", logging.DescribeCopyError(err)).Msg(message)
	return c.handleEvent(attempt.BodyCutShort, true)
}
