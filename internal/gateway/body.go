package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBufferedRequestBody is the size in bytes up to which a request's body
// is read completely before it is sent, so that it can be sent again to
// another target. Longer bodies are streamed.
const maxBufferedRequestBody = 64 << 10

// readBody reads a body of up to maxBufferedRequestBody bytes completely and
// prepares a longer one for streaming.
func (c *call) readBody() *refusal {
	r := c.request
	if r.ContentLength == 0 {
		return nil
	}
	body := io.Reader(r.Body)
	if limit := c.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(c.writer, r.Body, limit)
	}
	if r.ContentLength > maxBufferedRequestBody {
		c.streamedBody = body
		_ = http.NewResponseController(c.writer).EnableFullDuplex() // if unsupported, the server reads the body before it writes the response
		return nil
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.deadline) // best effort: the caller stops waiting by itself
	var b bytes.Buffer
	_, err := io.CopyN(&b, body, maxBufferedRequestBody+1)
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case err == io.EOF:
		c.bufferedBody = b.Bytes()
		return nil
	case err != nil && c.remaining() <= 0:
		return &refusal{http.StatusRequestTimeout, "body-late", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "body-incomplete", 0}
	}
	c.streamedBody = io.MultiReader(&b, body)
	_ = controller.EnableFullDuplex() // if unsupported, the server reads the body before it writes the response
	return nil
}

// writeStreamedBody copies the streamed body to a target, in chunked encoding
// if its length is unknown. The error is set unless all of it was read and written.
func (c *call) writeStreamedBody(to io.Writer) error {
	if c.request.ContentLength >= 0 {
		_, err := io.Copy(to, c.streamedBody)
		if err == nil {
			c.bodyComplete.Store(true)
		}
		return err
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.streamedBody.Read(buffer)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buffer[:n]...), "\r\n"...)
			if _, err := to.Write(chunk); err != nil {
				return err
			}
		}
		if err == io.EOF {
			c.bodyComplete.Store(true)
			_, err := io.WriteString(to, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
