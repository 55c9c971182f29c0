package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSweepInterval is the time between two checks for idle connections. It may close
// a connection that late, because the idle limit is several seconds and callers do not
// reuse a connection in the last fifth of it.
const idleSweepInterval = 500 * time.Millisecond

// idleConns closes callers' connections that have been idle for longer than the
// configuration in force allows. http.Server.IdleTimeout cannot be used, since it must
// not change while the server runs.
type idleConns struct {
	limit func() time.Duration // returns how long a connection may be idle now

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // only connections that are idle
}

// onConnState is the http.Server.ConnState callback.
func (i *idleConns) onConnState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
	} else {
		delete(i.idleSince, c)
	}
}

// sweep closes connections that exceed the idle limit until the context ends.
func (i *idleConns) sweep(ctx context.Context) {
	tick := time.NewTicker(idleSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		i.mu.Lock()
		oldest := time.Now().Add(-i.limit())
		for c, at := range i.idleSince {
			if at.Before(oldest) {
				_ = c.Close() // it is idle, so no request is affected
				delete(i.idleSince, c)
			}
		}
		i.mu.Unlock()
	}
}
