package server

import (
	"context"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/limit"
	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	limitTick    = 5 * time.Millisecond
	limitRefresh = 500 * time.Millisecond
	grantLife    = 400 * time.Millisecond
	tokenWait    = 250 * time.Millisecond
	askTimeout   = 60 * time.Millisecond
)

// limits carries the messages and decisions of the limiter. All of it is
// guarded by the lock of the entry handler.
type limits struct {
	*limit.Limiter
	server  *Server
	waiting map[uint64]chan limit.Decision
}

func (s *Server) newLimits() *limits {
	return &limits{server: s, waiting: map[uint64]chan limit.Decision{}, Limiter: limit.New(limit.Options{
		Instance: s.options.Name, AvailabilityZone: s.options.AvailabilityZone, Incarnation: s.incarnation,
		Seat: s.Seat, Holder: s.seatHolder, Layout: zoneSeats,
		SettleTime: s.options.KeyFreshness + seatMargin, GrantLifetime: grantLife, MaxWait: tokenWait, AskTimeout: askTimeout,
		Invariants: s.invariants,
	})}
}

// zoneSeats lists the zones whose seats may own parts of a rate.
func zoneSeats(snapshot *config.Snapshot) []limit.ZoneSeats {
	out := make([]limit.ZoneSeats, 0, len(snapshot.Document.AvailabilityZones))
	for _, z := range snapshot.Document.AvailabilityZones {
		if slices.Contains(snapshot.VacantZones, z.Name) {
			continue
		}
		out = append(out, limit.ZoneSeats{AvailabilityZone: z.Name, Seats: z.Seats()})
	}
	return out
}

// Take implements entry.Limiter.
func (l *limits) Take(workspace string, now time.Time) limit.Decision {
	d := l.Limiter.Take(workspace, now)
	if d.Ticket != 0 {
		l.waiting[d.Ticket] = make(chan limit.Decision, 1)
	}
	l.drain()
	return d
}

// drain sends messages and hands decisions to the requests that wait.
func (l *limits) drain() {
	outgoing, resolved := l.Drain()
	for _, r := range resolved {
		if waiting := l.waiting[r.Ticket]; waiting != nil {
			waiting <- r.Decision
			delete(l.waiting, r.Ticket)
		}
	}
	for _, o := range outgoing {
		if address, ok := l.address(o); ok {
			l.server.post(context.Background(), address, &peerpb.Envelope{
				Message: &peerpb.Envelope_Limit{Limit: encodeLimit(o.Message)},
			})
		}
	}
}

func (l *limits) address(o limit.Outgoing) (string, bool) {
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

// awaitToken waits for the decision on a request.
func (s *Server) awaitToken(ctx context.Context, workspace string, ticket uint64) limit.Decision {
	var waiting chan limit.Decision
	s.entry.WithLock(func(time.Time) { waiting = s.limiter.waiting[ticket] })
	if waiting == nil {
		return limit.Decision{}
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
	return limit.Decision{}
}

// followLimits lets the limiter do what is due.
func (s *Server) followLimits(ctx context.Context) {
	var refreshed time.Time
	for ctx.Err() == nil {
		s.entry.WithLock(func(now time.Time) {
			if now.Sub(refreshed) >= limitRefresh {
				refreshed = now
				s.limiter.RefreshShares(now)
			}
			if s.limiter.NeedsTick() {
				s.limiter.Tick(now)
			}
			s.limiter.drain()
		})
		sleep(ctx, limitTick)
	}
}

func (s *Server) receiveLimit(from string, m *peerpb.LimitMessage) {
	s.entry.WithLock(func(now time.Time) {
		s.limiter.Receive(from, decodeLimit(m), now)
		s.limiter.drain()
	})
}

func encodeLimit(m limit.Message) *peerpb.LimitMessage {
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

func decodeLimit(m *peerpb.LimitMessage) limit.Message {
	var out limit.Message
	for _, a := range m.GetAsks() {
		out.Asks = append(out.Asks, limit.Ask{
			ID: a.GetId(), Workspace: a.GetWorkspace(), Asker: a.GetAsker(), Tokens: int(a.GetTokens()), Extra: int(a.GetExtra()),
			Wait: time.Duration(a.GetWaitUs()) * time.Microsecond, Forwarded: a.GetForwarded(),
		})
	}
	for _, g := range m.GetGrants() {
		out.Grants = append(out.Grants, limit.Grant{
			ID: g.GetId(), AskID: g.GetAskId(), Workspace: g.GetWorkspace(), Tokens: int(g.GetTokens()), Level: float64(g.GetLevel()),
		})
	}
	for _, r := range m.GetReports() {
		out.Reports = append(out.Reports, limit.Report{
			GrantID: r.GetGrantId(), Workspace: r.GetWorkspace(), Returned: int(r.GetReturned()),
		})
	}
	return out
}
