package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSweep is the time between two looks for idle connections; callers reuse none in
// the last fifth of the limit, which is seconds.
const idleSweepInterval = 500 * time.Millisecond

// idleConns closes callers' connections that have been idle for longer than the
// configuration in force allows. The server's own limit cannot change while it runs.
type idleConns struct {
	limit func() time.Duration

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// note is the server's hook on the state of connections.
func (i *idleConns) onConnState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
	} else {
		delete(i.idleSince, c)
	}
}

// sweep closes what is idle for too long until the context ends.
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
				_ = c.Close() // it is idle: nobody waits for anything on it
				delete(i.idleSince, c)
			}
		}
		i.mu.Unlock()
	}
}
