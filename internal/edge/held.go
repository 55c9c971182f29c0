package edge

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/turmericfield/turmericfield/api/fleetpb"
)

const (
	// smallBufferBytes and largeBufferBytes are the largest two sizes of the buffers in
	// which gRPC keeps what is being sent: what exceeds the first takes the second.
	smallBufferBytes = 32 << 10
	largeBufferBytes = 1 << 20
	// copyBufferBytes is what gRPC buffers of a copy that is being sent: 64 KiB, the part
	// that exceeds them and the last one.
	copyBufferBytes = 64<<10 + 2*smallBufferBytes
	// refusalLogInterval is the least time between two log lines of refused followers.
	refusalLogInterval = time.Second
)

// followerConn is a connection of other instances. What they are sent counts as held while
// gRPC may buffer it: until they make another call, or until the connection ends if it is
// a copy that was broken off.
type followerConn struct {
	calls   int   // that have not returned
	answers int64 // bytes reserved for whole answers
	copies  int64 // bytes reserved for copies that are not taken yet, beside the serialized copy
	ended   bool
}

// followerCall is a call on a connection.
type followerCall struct{ conn *followerConn }

type followerConnKey struct{}

// followerConns implements stats.Handler: it gives each connection a followerConn, and
// releases what is held for a connection that ends.
type followerConns struct{ follower *follower }

// TagConn implements stats.Handler.
func (followerConns) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, followerConnKey{}, &followerConn{})
}

// HandleConn implements stats.Handler.
func (c followerConns) HandleConn(ctx context.Context, s stats.ConnStats) {
	conn, ok := ctx.Value(followerConnKey{}).(*followerConn)
	if _, end := s.(*stats.ConnEnd); !ok || !end {
		return
	}
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	conn.ended = true
	if conn.calls == 0 {
		c.follower.releaseAll(conn)
	}
}

// TagRPC implements stats.Handler.
func (followerConns) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (followerConns) HandleRPC(context.Context, stats.RPCStats) {}

// beginCall begins a call of a follower, which shows that it has read what its connection
// was sent before, unless other calls have yet to return.
func (f *follower) beginCall(ctx context.Context) *followerCall {
	conn, ok := ctx.Value(followerConnKey{}).(*followerConn)
	if !ok {
		conn = &followerConn{ended: true}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn.calls == 0 {
		f.release(&conn.answers)
	}
	conn.calls++
	return &followerCall{conn}
}

// endCall ends a call. What it has reserved stays so while its connection lives.
func (f *follower) endCall(c *followerCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.conn.calls--; c.conn.calls == 0 && c.conn.ended {
		f.releaseAll(c.conn)
	}
}

// copyTaken records that gRPC has taken the whole copy of a call.
func (f *follower) copyTaken(c *followerCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.conn.copies -= copyBufferBytes
	c.conn.answers += copyBufferBytes
}

// release releases bytes of a connection. The caller holds the lock.
func (f *follower) release(held *int64) {
	f.budget.Release(*held)
	*held = 0
}

// releaseAll releases all that is reserved for a connection. The caller holds the lock.
func (f *follower) releaseAll(conn *followerConn) {
	f.release(&conn.answers)
	f.release(&conn.copies)
}

// reserveResponse reserves what a response takes while it is sent, and returns it.
func (f *follower) reserveResponse(c *followerCall, r *fleetpb.FollowResponse) (*fleetpb.FollowResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := int64(proto.Size(r))
	if size > smallBufferBytes {
		size = max(size, largeBufferBytes)
	}
	if !f.budget.Reserve(size) {
		return nil, f.refuse(size)
	}
	c.conn.answers += size
	return r, nil
}

// refuse returns the error for a follower that must ask another source, and logs it. The
// caller holds the lock.
func (f *follower) refuse(bytes int64) error {
	if at := now(); f.refusedAt == 0 || at-f.refusedAt >= refusalLogInterval {
		f.refusedAt = at
		f.log.Warn().Int64("bytes", bytes).Int64("held", f.budget.Held()).Int64("limit", f.budget.Limit()).
			Int64("refused", f.budget.Refused()).Msg("followers: refused, the limit of held bytes is reached")
	}
	return status.Error(codes.ResourceExhausted, "the limit of bytes held for followers is reached")
}

// registerMetrics registers the metrics of what is held for followers.
func (f *follower) registerMetrics() {
	f.metrics.Gauge("followers_held_bytes", func() int64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.budget.Held()
	})
	f.metrics.Gauge("followers_refused", func() int64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.budget.Refused()
	})
}
