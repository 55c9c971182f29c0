package target

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

const (
	paddingBytes  = 32 << 10
	otherAnswerID = "of-another-request"
)

var padding = make([]byte, paddingBytes)

// answer is the answer of a request that was run.
type answer struct {
	text string // start of the body
	size int    // bytes of the body
}

func (t *Target) newAnswer(r *http.Request, bodyBytes int64) answer {
	a := answer{size: t.options.AnswerBytes}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		a.size = n
	}
	a.text = fmt.Sprintf("target %s ran %s %s with %d bytes\n", t.options.Name, r.Method, r.URL.Path, bodyBytes)
	a.size = max(a.size, len(a.text))
	return a
}

// write writes the first n bytes of the answer.
func (a answer) write(w io.Writer, n int) {
	written, err := io.WriteString(w, a.text[:min(n, len(a.text))])
	for rest := n - written; rest > 0 && err == nil; rest -= written {
		written, err = w.Write(padding[:min(rest, paddingBytes)])
	}
}

// whole writes the whole answer with its length.
func (a answer) whole(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(a.size))
	a.write(w, a.size)
}

// cut writes half the answer and breaks the connection.
func (a answer) cut(w http.ResponseWriter, f Fault) {
	if f == CutUnmarked {
		a.cutUnmarked(w)
		return
	}
	if f == CutLength {
		w.Header().Set("Content-Length", strconv.Itoa(a.size))
	}
	a.write(w, a.size/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// cutUnmarked ends half an answer in the way of HTTP/1.0: by closing.
func (a answer) cutUnmarked(w http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(buffer)
	fmt.Fprint(buffer, "\r\n")
	a.write(buffer, a.size/2)
	_ = buffer.Flush()
}

// cross gives the answer of another request.
func cross(w http.ResponseWriter, previous string, empty bool) {
	if previous == "" {
		previous = otherAnswerID
	}
	w.Header().Set(RequestIDHeader, previous)
	w.Header().Set(TryHeader, otherAnswerID)
	if empty {
		w.Header().Set("Content-Length", "0")
		return
	}
	fmt.Fprintf(w, "answer of request %s\n", previous)
}
