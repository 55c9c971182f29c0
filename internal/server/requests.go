package server

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/idempotency"
	"github.com/turmericfield/turmericfield/internal/invariant"
)

// newClaimStore returns the store of claims to requests. They make sure that a
// request that must not be repeated runs at most once, even if its caller sends it
// again through another instance.
func (s *Server) newClaimStore() entry.Claimer { return idempotency.NewStore(s.platform, time.Now) }

// connectionShare returns how many connections this instance may open to a
// target: the share of its seat, which the reserve is enough to use, or 0 if it
// may use neither. maxConnections is the bound of all instances together.
func (s *Server) connectionShare(t config.Target, maxConnections int) int {
	own, ok := s.seatProvider().Seat(time.Now())
	if !ok {
		if own, ok = s.seatProvider().Reserve(time.Now()); !ok {
			return 0
		}
	}
	return entry.SeatConnectionShare(t.Name, maxConnections, own)
}

// finishRequests refuses new requests and waits until those in flight have
// ended or kill is done.
func (s *Server) finishRequests(kill context.Context, callerServer *http.Server) {
	s.entry.Drain()
	err := callerServer.Shutdown(kill)
	if kill.Err() != nil {
		s.logger("server").Warn().Int64("in_flight", s.entry.InFlight()).Msg("server: ended at once with requests in flight")
		return
	}
	s.invariants.Check(err == nil && s.entry.InFlight() == 0, invariant.ShutdownCutsNothing,
		"%d requests in flight at the end: %v", s.entry.InFlight(), err)
}
