package server

import (
	"context"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
)

const (
	// limiterLoopPeriod is the time between two passes of runLimiterLoop.
	limiterLoopPeriod = 5 * time.Millisecond
	// shareRefreshPeriod is the time between two updates of the parts of the
	// workspaces' limits that belong to this instance's seat.
	shareRefreshPeriod = 500 * time.Millisecond
	// grantLifetime is how long after an ask for tokens was sent the tokens that it
	// got may be used. It must be the same on all instances.
	grantLifetime = 400 * time.Millisecond
	// maxTokenWait bounds how long a request waits for a token.
	maxTokenWait = 250 * time.Millisecond
	// askTimeout is how long after it was sent an ask without an answer counts as
	// lost. The limiter adds the time that the ask probably waits at its receiver.
	askTimeout = 60 * time.Millisecond
)

// limiterAdapter connects the rate limiter to the network and to the requests
// that wait for tokens. All of it is guarded by the lock of the entry handler,
// which is held in calls of entry.Limiter and of the function given to
// entry.Handler.WithLock.
type limiterAdapter struct {
	*ratelimit.Limiter
	server  *Server
	waiting map[uint64]chan ratelimit.Decision // of waiting requests, by the ticket of the first decision
}

func (s *Server) newLimiterAdapter() *limiterAdapter {
	return &limiterAdapter{server: s, waiting: map[uint64]chan ratelimit.Decision{}, Limiter: ratelimit.New(ratelimit.Options{
		Instance: s.options.Name, AvailabilityZone: s.options.AvailabilityZone, Incarnation: s.incarnation,
		Seat: s.Seat, SeatHolder: s.seatHolder, Layout: occupiedZoneSeats,
		SettleTime: s.options.KeyFreshness + seatMargin, GrantLifetime: grantLifetime, MaxWait: maxTokenWait, AskTimeout: askTimeout,
		Invariants: s.invariants,
	})}
}

// occupiedZoneSeats returns the number of seats of each zone whose seats may own
// parts of a workspace's limit: all zones but those listed as vacant.
func occupiedZoneSeats(snapshot *config.Snapshot) []ratelimit.ZoneSeats {
	out := make([]ratelimit.ZoneSeats, 0, len(snapshot.Document.AvailabilityZones))
	for _, z := range snapshot.Document.AvailabilityZones {
		if slices.Contains(snapshot.VacantZones, z.Name) {
			continue
		}
		out = append(out, ratelimit.ZoneSeats{AvailabilityZone: z.Name, Seats: z.Seats()})
	}
	return out
}

// Take implements entry.Limiter. A request that has to wait gets a channel, from
// which awaitToken receives the final decision.
func (l *limiterAdapter) Take(workspace string, now time.Time) ratelimit.Decision {
	d := l.Limiter.Take(workspace, now)
	if d.Ticket != 0 {
		l.waiting[d.Ticket] = make(chan ratelimit.Decision, 1)
	}
	l.deliverOutput()
	return d
}

// deliverOutput sends the limiter's outgoing messages and passes its final
// decisions to the requests that wait for them. It is called after every call of
// the limiter that may leave either.
func (l *limiterAdapter) deliverOutput() {
	outgoing, resolved := l.CollectOutput()
	for _, r := range resolved {
		if waiting := l.waiting[r.Ticket]; waiting != nil {
			waiting <- r.Decision
			delete(l.waiting, r.Ticket)
		}
	}
	for _, o := range outgoing {
		if address, ok := l.receiverAddress(o); ok {
			l.server.sendAsync(context.Background(), address, &peerpb.Envelope{
				Message: &peerpb.Envelope_Limit{Limit: encodeLimit(o.Message)},
			})
		}
	}
}

// receiverAddress returns the IP:port to send a message to: that of the instance it
// names, or of any live instance of the zone it names.
func (l *limiterAdapter) receiverAddress(o ratelimit.Outgoing) (string, bool) {
	if o.Instance != "" {
		return l.server.peerAddressOf(o.Instance)
	}
	for _, m := range l.server.members() {
		if m.AvailabilityZone == o.AvailabilityZone && m.State == membership.Live {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// awaitToken waits for the final decision on a request that got a ticket. If the
// context ends first, the request gives up its wait and is refused.
func (s *Server) awaitToken(ctx context.Context, workspace string, ticket uint64) ratelimit.Decision {
	var waiting chan ratelimit.Decision
	s.entry.WithLock(func(time.Time) { waiting = s.limiter.waiting[ticket] })
	if waiting == nil {
		return ratelimit.Decision{}
	}
	select {
	case d := <-waiting:
		return d
	case <-ctx.Done():
	}
	s.entry.WithLock(func(time.Time) {
		s.limiter.Cancel(workspace, ticket)
		delete(s.limiter.waiting, ticket)
	})
	return ratelimit.Decision{}
}

// runLimiterLoop lets the limiter do what is due, such as timeouts, and keeps the
// parts of the limits that belong to this instance's seat up to date.
func (s *Server) runLimiterLoop(ctx context.Context) {
	var refreshed time.Time
	for ctx.Err() == nil {
		s.entry.WithLock(func(now time.Time) {
			if now.Sub(refreshed) >= shareRefreshPeriod {
				refreshed = now
				s.limiter.RefreshShares(now)
			}
			if s.limiter.NeedsTick() {
				s.limiter.Tick(now)
			}
			s.limiter.deliverOutput()
		})
		sleep(ctx, limiterLoopPeriod)
	}
}

// receiveLimit passes a peer's message to the limiter and sends its responses.
func (s *Server) receiveLimit(from string, m *peerpb.LimitMessage) {
	s.entry.WithLock(func(now time.Time) {
		s.limiter.Receive(from, decodeLimit(m), now)
		s.limiter.deliverOutput()
	})
}

// encodeLimit returns the form of a limiter's message that is sent to peers.
func encodeLimit(m ratelimit.Message) *peerpb.LimitMessage {
	out := &peerpb.LimitMessage{}
	for _, a := range m.Asks {
		out.Asks = append(out.Asks, &peerpb.TokenAsk{
			Id: a.ID, Workspace: a.Workspace, Asker: a.Asker, Tokens: uint32(a.Tokens), Extra: uint32(a.Extra),
			WaitUs: a.Wait.Microseconds(), Forwarded: a.Forwarded,
		})
	}
	for _, g := range m.Grants {
		out.Grants = append(out.Grants, &peerpb.TokenGrant{
			Id: g.ID, AskId: g.AskID, Workspace: g.Workspace, Tokens: uint32(g.Tokens), Level: float32(g.Level),
		})
	}
	for _, r := range m.Reports {
		out.Reports = append(out.Reports, &peerpb.TokenReport{
			GrantId: r.GrantID, Workspace: r.Workspace, Returned: uint32(r.Returned),
		})
	}
	return out
}

// decodeLimit is the inverse of encodeLimit.
func decodeLimit(m *peerpb.LimitMessage) ratelimit.Message {
	var out ratelimit.Message
	for _, a := range m.GetAsks() {
		out.Asks = append(out.Asks, ratelimit.Ask{
			ID: a.GetId(), Workspace: a.GetWorkspace(), Asker: a.GetAsker(), Tokens: int(a.GetTokens()), Extra: int(a.GetExtra()),
			Wait: time.Duration(a.GetWaitUs()) * time.Microsecond, Forwarded: a.GetForwarded(),
		})
	}
	for _, g := range m.GetGrants() {
		out.Grants = append(out.Grants, ratelimit.Grant{
			ID: g.GetId(), AskID: g.GetAskId(), Workspace: g.GetWorkspace(), Tokens: int(g.GetTokens()), Level: float64(g.GetLevel()),
		})
	}
	for _, r := range m.GetReports() {
		out.Reports = append(out.Reports, ratelimit.Report{
			GrantID: r.GetGrantId(), Workspace: r.GetWorkspace(), Returned: int(r.GetReturned()),
		})
	}
	return out
}
