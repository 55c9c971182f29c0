package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/placement"
)

const (
	copyBufferBytes = 32 << 10
	// smallAnswerBytes is the size up to which an answer is read to its end
	// before the caller gets its header, so that a cut can still be told.
	maxBufferedResponseBytes = 2 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// readSmall reads the body of a small answer to its end.
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

// forward passes a target's answer on to the caller.
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
		invariant.WholeAnswer, "request %s: %d bytes of %d", c.requestID, n, response.ContentLength)
	if !whole {
		return c.handleEvent(attempt.BodyCutShort, true)
	}
	return c.handleEvent(attempt.BodyComplete, true)
}

// onlyReader hides the other methods of a reader, so that io.CopyBuffer uses
// its buffer.
type onlyReader struct{ io.Reader }

// cutShort ends an answer that the target broke off or that the caller did not
// take.
func (c *call) handleTruncated(err error, byCaller bool) attempt.Decision {
	_ = c.exchange.discard(err)
	outcome, message := placement.Unknown, "entry: a target's answer was cut short"
	if byCaller {
		outcome, message = placement.Answered, "entry: a caller did not take its answer"
	}
	c.releaseGrant(c.grant, outcome)
	c.Metrics.Add(metrics.Label("answers_cut_total", "by_caller", strconv.FormatBool(byCaller)), 1)
	c.Log.Warn().Str("request", c.requestID).Str("target", c.grant.Target.Name).Err(err).Msg(message)
	return c.handleEvent(attempt.BodyCutShort, true)
}
