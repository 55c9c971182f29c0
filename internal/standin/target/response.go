package target

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

const (
	// paddingBytes is the length of the chunks in which a body is filled up.
	paddingBytes = 32 << 10
	// otherRequestID stands for a request other than the one being answered.
	otherRequestID = "of-another-request"
)

var padding = make([]byte, paddingBytes) // zeros

// response is the response to a request that was executed.
type response struct {
	firstLine string // start of the body
	size      int    // bytes of the body; zeros follow the first line
}

// newResponse returns the response to a request whose body had requestBytes bytes.
// The query parameter bytes overrides the configured size of the response body.
// The body has at least its first line.
func (t *Target) newResponse(r *http.Request, requestBytes int64) response {
	res := response{size: t.options.AnswerBytes}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		res.size = n
	}
	res.firstLine = fmt.Sprintf("target %s ran %s %s with %d bytes\n", t.options.Name, r.Method, r.URL.Path, requestBytes)
	res.size = max(res.size, len(res.firstLine))
	return res
}

// writePrefix writes the first n bytes of the body.
func (res response) writePrefix(w io.Writer, n int) {
	written, err := io.WriteString(w, res.firstLine[:min(n, len(res.firstLine))])
	for remaining := n - written; remaining > 0 && err == nil; remaining -= written {
		written, err = w.Write(padding[:min(remaining, paddingBytes)])
	}
}

// writeAll writes the whole response with its Content-Length.
func (res response) writeAll(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(res.size))
	res.writePrefix(w, res.size)
}

// truncate writes half the body and breaks the connection. Depending on the
// fault, the response has a Content-Length, is chunked, or has neither.
func (res response) truncate(w http.ResponseWriter, f Fault) {
	if f == CutUnmarked {
		res.truncateUnmarked(w)
		return
	}
	if f == CutLength {
		w.Header().Set("Content-Length", strconv.Itoa(res.size))
	}
	res.writePrefix(w, res.size/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// truncateUnmarked writes half the body of a response that, as in HTTP/1.0, is
// ended by closing the connection, so that nothing shows the caller that the rest
// is missing.
func (res response) truncateUnmarked(w http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(buffer)
	fmt.Fprint(buffer, "\r\n")
	res.writePrefix(buffer, res.size/2)
	_ = buffer.Flush()
}

// writeUnavailable answers 503, with Retry-After if the settings have one.
func (t *Target) writeUnavailable(w http.ResponseWriter, body string) {
	if value := t.injector.currentSettings().RetryAfter; value != "" {
		w.Header().Set("Retry-After", value)
	}
	http.Error(w, body, http.StatusServiceUnavailable)
}

// writeOtherResponse answers with the headers of another request: the one executed
// before, if there is one. If empty is set, the body is empty.
func writeOtherResponse(w http.ResponseWriter, previousID string, empty bool) {
	if previousID == "" {
		previousID = otherRequestID
	}
	w.Header().Set(RequestIDHeader, previousID)
	w.Header().Set(TryHeader, otherRequestID)
	if empty {
		w.Header().Set("Content-Length", "0")
		return
	}
	fmt.Fprintf(w, "answer of request %s\n", previousID)
}
