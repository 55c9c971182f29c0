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
	// maxBodyBytes bounds the body of a caller's request.
	maxBodyBytes = 256 << 20
	// maxBufferedRequestBytes is the size up to which a body is read before its
	// request is sent, so that it can be sent again.
	maxBufferedRequestBytes = 64 << 10
	// defaultProgressTimeout bounds how long a caller may take to send or take
	// the next part of a body.
	defaultProgressTimeout = 10 * time.Second
)

// requestBody is a caller's body. A short one is read at once and can be sent
// to several targets; a long one streams and can be sent once.
type requestBody struct {
	length   int64 // -1 if unknown
	buffered []byte
	stream   *progressReader

	streamMu sync.Mutex // held while the stream is read

	mu           sync.Mutex // guards the fields below
	activeReader *bodyReader
	consumed     bool
}

// newRequestBody prepares a body, each part of which must come within the
// progress time and all of it by the deadline. An error means that the caller did not send
// it whole or in time.
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
		// Reading the end as well lets the server watch the connection.
		_, err = reader.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
	}
	return b, err
}

// streams tells whether the body can be sent only once.
func (b *requestBody) streams() bool { return b.stream != nil }

// unread tells whether some of the body has not been read. The caller's
// connection must then close after the answer, because the server would take
// the rest of the body for the next request.
func (b *requestBody) unread() bool { return b.stream != nil && !b.stream.reachedEOF.Load() }

// open returns the body for one try. Earlier readers end.
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

// release takes the body from a finished try. It tells whether the body cannot
// be sent again.
func (b *requestBody) release() (consumed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeReader = nil
	return b.consumed
}

// close ends every read of the body. The server must not go on with the
// connection while a transport still reads from it.
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

// closeInterval is the time between two tries to end a read.
const closeRetryInterval = time.Millisecond

// bodyReader reads a streaming body on behalf of one try.
type bodyReader struct{ body *requestBody }

var errBodyReleased = errors.New("the try that read this body has ended")

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

// progressReader gives the caller a limited time for each part of its body.
type progressReader struct {
	reader     io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	deadline   time.Time
	reachedEOF atomic.Bool // the body was read to its end
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

// progressWriter gives the caller a limited time to take each part of an
// answer, and passes each part on at once if asked to.
type progressWriter struct {
	writer         http.ResponseWriter
	controller     *http.ResponseController
	timeout        time.Duration
	flushEachWrite bool
	err            error
}

// header sends the header. A caller that has it does not take a cut answer for
// a lost request, which some HTTP libraries send again by themselves.
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
