package server

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/once"
)

// claims returns the claims of requests that callers may send again.
func (s *Server) claims() entry.Claimer { return once.NewStore(s.platform, time.Now) }

// connectionShare returns how many connections this instance may open to a
// target.
func (s *Server) connectionShare(t config.Target, maxConnections int) int {
	own, ok := s.holder().Seat(time.Now())
	if !ok {
		if own, ok = s.holder().Reserve(time.Now()); !ok {
			return 0
		}
	}
	return entry.SeatConnectionShare(t.Name, maxConnections, own)
}

// finishRequests refuses new requests and waits for those in flight.
func (s *Server) finishRequests(kill context.Context, callers *http.Server) {
	s.entry.Drain()
	err := callers.Shutdown(kill)
	if kill.Err() != nil {
		s.part("server").Warn().Int64("in_flight", s.entry.InFlight()).Msg("server: ended at once with requests in flight")
		return
	}
	s.invariants.Check(err == nil && s.entry.InFlight() == 0, invariant.ShutdownCutsNothing,
		"%d requests in flight at the end: %v", s.entry.InFlight(), err)
}
