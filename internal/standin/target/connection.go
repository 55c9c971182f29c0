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
	responses atomic.Int64
	muted     atomic.Bool
}

type connectionContextKey struct{}

// NewServer returns the HTTP server of a target. It keeps the state of each
// connection, which the fault mute and Options.MuteAfter need.
func NewServer(t *Target) *http.Server {
	return &http.Server{
		Handler: t, ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionContextKey{}, &connection{})
		},
	}
}

func connectionFor(r *http.Request) *connection {
	c, ok := r.Context().Value(connectionContextKey{}).(*connection)
	if !ok {
		return &connection{}
	}
	return c
}

// neverAnswer waits until the caller gives up, and breaks the connection.
func neverAnswer(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server sees the end only after the body
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// closeWithoutNotice closes a connection after its answer without a word.
func closeWithoutNotice(w http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = buffer.Flush()
	_ = conn.Close()
}
