package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// connection is the state of one connection to the stand-in.
type connection struct {
	responses atomic.Int64 // responses sent, without refusals for want of a slot
	muted     atomic.Bool  // further requests are never answered
}

// connectionContextKey is the key of the *connection in the context of a request.
type connectionContextKey struct{}

// NewServer returns the HTTP server of a target. It keeps the state of each
// connection, which the fault Mute and Options.MuteAfter need.
func NewServer(t *Target) *http.Server {
	return &http.Server{
		Handler: t, ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionContextKey{}, &connection{})
		},
	}
}

// connectionFor returns the state of the request's connection, or a new one if the
// request did not come through NewServer.
func connectionFor(r *http.Request) *connection {
	c, ok := r.Context().Value(connectionContextKey{}).(*connection)
	if !ok {
		return &connection{}
	}
	return c
}

// neverAnswer waits until the caller gives up, then breaks the connection. It does
// not return.
func neverAnswer(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// closeWithoutNotice sends what is buffered of a response and closes the
// connection, although the response did not announce it by Connection: close.
func closeWithoutNotice(w http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = buffer.Flush()
	_ = conn.Close()
}
