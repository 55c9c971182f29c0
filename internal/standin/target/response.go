package target

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

const (
	paddingBytes   = 32 << 10
	otherRequestID = "of-another-request"
)

var padding = make([]byte, paddingBytes)

// response is the response of a request that was run.
type response struct {
	firstLine string // start of the body
	size      int    // bytes of the body
}

func (t *Target) newResponse(r *http.Request, requestBytes int64) response {
	res := response{size: t.options.AnswerBytes}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		res.size = n
	}
	res.firstLine = fmt.Sprintf("target %s ran %s %s with %d bytes\n", t.options.Name, r.Method, r.URL.Path, requestBytes)
	res.size = max(res.size, len(res.firstLine))
	return res
}

// writePrefix writes the first n bytes of the answer.
func (res response) writePrefix(w io.Writer, n int) {
	written, err := io.WriteString(w, res.firstLine[:min(n, len(res.firstLine))])
	for remaining := n - written; remaining > 0 && err == nil; remaining -= written {
		written, err = w.Write(padding[:min(remaining, paddingBytes)])
	}
}

// writeAll writes the whole answer with its length.
func (res response) writeAll(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(res.size))
	res.writePrefix(w, res.size)
}

// truncate writes half the answer and breaks the connection.
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

// truncateUnmarked ends half an answer in the way of HTTP/1.0: by closing.
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

// writeOtherResponse gives the answer of another request.
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
