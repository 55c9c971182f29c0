package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBodyBytes is the largest request body that a caller may send.
	maxBodyBytes = 256 << 20
	// maxBufferedRequestBytes is the largest request body that is read into memory
	// before the request goes to a target, so that a retry can send it again.
	maxBufferedRequestBytes = 64 << 10
	// defaultProgressTimeout is how long one read of a request body from the caller
	// or one write of a response body to it may take.
	defaultProgressTimeout = 10 * time.Second
)

// requestBody is the body of a caller's request. A body of known length up to
// maxBufferedRequestBytes is read into memory at once and can be sent to several
// targets. Any other body is streamed from the caller and can be sent only once.
type requestBody struct {
	length   int64           // in bytes; -1 if unknown
	buffered []byte          // the whole body, unless it is streamed
	stream   *progressReader // nil unless the body is streamed

	streamMu sync.Mutex // held while the stream is read

	mu           sync.Mutex  // guards the fields below
	activeReader *bodyReader // of the current try; only it may read the stream
	consumed     bool        // a try has begun to read the stream
}

// newRequestBody prepares the body of a request: it reads a short one and leaves
// a long one to be streamed. Each read from the caller must end within
// progressTimeout, and the last one by the deadline. An error means that the
// caller did not send the whole body in time.
func newRequestBody(w http.ResponseWriter, r *http.Request, progressTimeout time.Duration, deadline time.Time) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.ContentLength == 0 {
		return b, nil
	}
	controller := http.NewResponseController(w)
	reader := &progressReader{
		reader: http.MaxBytesReader(w, r.Body, maxBodyBytes), controller: controller, timeout: progressTimeout, deadline: deadline,
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedRequestBytes {
		b.stream = reader
		return b, nil
	}
	b.buffered = make([]byte, r.ContentLength)
	_, err := io.ReadFull(reader, b.buffered)
	if err == nil {
		// The HTTP server notices that the caller has closed its connection only
		// once the body has been read up to io.EOF.
		_, err = reader.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
	}
	return b, err
}

// streams reports whether the body is streamed and so can be sent only once.
func (b *requestBody) streams() bool { return b.stream != nil }

// unread reports whether a part of the body has not been read. The caller's
// connection must then be closed after the response, because the server would
// parse the rest of the body as the next request.
func (b *requestBody) unread() bool { return b.stream != nil && !b.stream.reachedEOF.Load() }

// open returns a reader of the body for one try. Reads through the readers that
// earlier calls returned fail from then on if the body is streamed.
func (b *requestBody) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	if !b.streams() {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeReader = &bodyReader{body: b}
	return b.activeReader
}

// release ends the access of a finished try to a streamed body. It reports
// whether some of the body was read, so that it cannot be sent again.
func (b *requestBody) release() (consumed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeReader = nil
	return b.consumed
}

// close returns once no read of the body is in progress, and interrupts one that
// is. The handler must not return before, because the server would then reuse
// the connection while a transport still reads from it.
func (b *requestBody) close() {
	if b == nil || !b.streams() {
		return
	}
	b.release()
	for !b.streamMu.TryLock() {
		_ = b.stream.controller.SetReadDeadline(time.Now())
		time.Sleep(closeRetryInterval)
	}
	b.streamMu.Unlock()
}

// closeRetryInterval is the time between two checks whether a read has ended.
const closeRetryInterval = time.Millisecond

// bodyReader reads a streaming body on behalf of one try.
type bodyReader struct{ body *requestBody }

// errBodyReleased is the error of reads on behalf of a try that is over.
var errBodyReleased = errors.New("request body read on behalf of a try that has ended")

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.body.streamMu.Lock()
	defer r.body.streamMu.Unlock()
	r.body.mu.Lock()
	if r.body.activeReader != r {
		r.body.mu.Unlock()
		return 0, errBodyReleased
	}
	r.body.consumed = true
	r.body.mu.Unlock()
	return r.body.stream.Read(p)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }

// progressReader reads a request body from the caller and limits the time of
// each read.
type progressReader struct {
	reader     io.Reader
	controller *http.ResponseController
	timeout    time.Duration // of each read
	deadline   time.Time     // of the whole body
	reachedEOF atomic.Bool   // the body was read to its end
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	limit := time.Now().Add(r.timeout)
	if r.deadline.Before(limit) {
		limit = r.deadline
	}
	_ = r.controller.SetReadDeadline(limit)
	n, err := r.reader.Read(p)
	if err == io.EOF {
		r.reachedEOF.Store(true)
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// progressWriter writes a response to the caller and limits the time of each
// write.
type progressWriter struct {
	writer         http.ResponseWriter
	controller     *http.ResponseController
	timeout        time.Duration // of each write
	flushEachWrite bool          // send each part at once, unbuffered
	err            error         // of the last write or flush to the caller
}

// writeHeader writes the header, and flushes it if each write is flushed. Some
// HTTP libraries resend a request by themselves if its connection breaks before
// a response header arrives; once the caller has the header, they report a
// response that is cut short as an error instead.
func (w *progressWriter) writeHeader(status int) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	w.writer.WriteHeader(status)
	if w.flushEachWrite {
		w.err = w.controller.Flush()
	}
}

// Write implements io.Writer.
func (w *progressWriter) Write(p []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.writer.Write(p)
	if err == nil && w.flushEachWrite {
		err = w.controller.Flush()
	}
	w.err = err
	return n, err
}
