package fleettest

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/limit"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Times of a process, as in the server.
const (
	joinedGrantLife  = 400 * time.Millisecond
	joinedTokenWait  = 250 * time.Millisecond
	joinedAskTimeout = 60 * time.Millisecond
	limiterTick      = 10 * time.Millisecond
	refreshPeriod    = 500 * time.Millisecond
	claimPeriod      = time.Second
	reserveBound     = time.Hour
	limitMessageSize = 64 // bytes
	requestsPerWork  = 3
)

// process joins the cores of one Node with its seat, its limiter and its
// writing of control records.
type process struct {
	j       *Joined
	n       *Node
	id      freshness.WriterID
	keeper  *seat.Tracker
	limiter *limit.Limiter
	ticking bool
	waiting map[uint64]string // workspaces of requests that wait, by ticket
	// Wishes of others, at a writer, by zone.
	claims   map[string][]seat.Process
	releases map[string][]seat.Release

	refreshed, claimed time.Time
	last               seat.Seat // for RemembersRight
}

func (j *Joined) newProcess(n *Node) Extension {
	j.started++
	p := &process{
		j: j, n: n, id: freshness.WriterID{Instance: n.Member.Name, Incarnation: j.started},
		claims: map[string][]seat.Process{}, releases: map[string][]seat.Release{},
		waiting: map[uint64]string{},
	}
	zone := n.Member.AvailabilityZone
	n.Tracker.Zone, n.Tracker.LocalWriter.ID = zone, p.id
	p.keeper = seat.NewTracker(seat.Process(p.id), zone, seat.Bounds{MaxAge: KeyFreshness, ReserveMaxAge: reserveBound, TakeoverMargin: seatMargin})
	settle := KeyFreshness + seatMargin
	if j.variant == SettlesAtOnce {
		settle = 0
	}
	p.limiter = limit.New(limit.Options{
		Instance: p.id.Instance, AvailabilityZone: zone, Incarnation: j.rand.Uint64(),
		Seat: p.seat, SeatHolder: func(i int) string { return p.keeper.Table().Holder(i) }, Layout: j.layout,
		SettleTime: settle, GrantLifetime: joinedGrantLife, MaxWait: joinedTokenWait, AskTimeout: joinedAskTimeout,
		Invariants: &n.fleet.Invariants,
	})
	j.processes[n] = p
	return p
}

// seat is asked for at each use.
func (p *process) seat(now time.Time) (seat.Seat, bool) {
	p.n.Tracker.Fresh(now, 0)
	p.keeper.Observe(p.n.Tracker.AsOf(), p.n.Core.SeatTable(p.n.Member.AvailabilityZone).GetVersion())
	s, ok := p.keeper.Seat(now)
	if p.j.variant != RemembersRight {
		return s, ok
	}
	if ok {
		p.last = s
	}
	return p.last, p.last.AssignedVersion != 0
}

// Apply implements Extension.
func (p *process) Apply(version uint64) {
	c := p.j.contents[version]
	p.limiter.Update(c.snapshot, p.j.Bus.Now)
	p.n.Tracker.RecordInForce(freshness.Versions{Config: version})
	p.n.Tracker.SetWriters(c.writers)
}

// Work implements Extension.
func (p *process) Work() {
	now := p.j.Bus.Now
	if p.n.InForce == 0 {
		return
	}
	p.adopt(now)
	p.control(now)
	if now.Sub(p.refreshed) >= refreshPeriod {
		p.refreshed = now
		p.limiter.RefreshShares(now)
	}
	for range p.j.rand.IntN(requestsPerWork) {
		p.request(joinedWorkspaces[p.j.rand.IntN(len(joinedWorkspaces))].Name)
	}
	p.drain()
}

func (p *process) adopt(now time.Time) {
	zone := p.n.Member.AvailabilityZone
	for _, z := range p.j.layout(p.j.contents[p.n.InForce].snapshot) {
		if z.AvailabilityZone == zone {
			p.keeper.SetLayout(seat.Layout{ZoneSeats: z.Seats})
		}
	}
	table, err := seat.DecodeTable(p.n.Core.SeatTable(zone).GetValue())
	p.j.check(err == nil, "decode: %v", err)
	p.keeper.Adopt(table, now)
	if p.keeper.HasSeat() || p.keeper.Stopped() || now.Sub(p.claimed) < claimPeriod {
		return
	}
	p.claimed = now
	p.toWriter(func(w *process) { w.claims[zone] = append(w.claims[zone], p.keeper.Process()) })
}

// toWriter sends a wish to a listed writer.
func (p *process) toWriter(f func(*process)) {
	writers := p.j.contents[p.n.InForce].writers
	if len(writers) == 0 {
		return
	}
	p.send(writers[p.j.rand.IntN(len(writers))].Instance, f)
}

// leave gives the seat and the right to write up.
func (p *process) leave() {
	zone, seated := p.n.Member.AvailabilityZone, p.keeper.HasSeat()
	r := p.keeper.Stop(p.j.Bus.Now)
	p.n.Tracker.LocalWriter.Retire()
	if seated {
		p.toWriter(func(w *process) { w.releases[zone] = append(w.releases[zone], r) })
	}
}

func (p *process) request(workspace string) {
	p.j.counts.Requests++
	switch d := p.limiter.Take(workspace, p.j.Bus.Now); {
	case d.Allowed:
		p.j.admit(p, workspace)
	case d.Ticket != 0:
		p.waiting[d.Ticket] = workspace
	}
}

// drain sends the limiter's messages and counts its late decisions.
func (p *process) drain() {
	outgoing, resolved := p.limiter.CollectOutput()
	for _, r := range resolved {
		if r.Decision.Allowed {
			p.j.admit(p, p.waiting[r.Ticket])
		}
		delete(p.waiting, r.Ticket)
	}
	for _, o := range outgoing {
		p.send(p.destination(o), func(to *process) {
			to.limiter.Receive(p.id.Instance, o.Message, p.j.Bus.Now)
			to.drain()
		})
	}
	if p.ticking || !p.limiter.NeedsTick() {
		return
	}
	p.ticking = true
	p.j.Bus.After(limiterTick, func() {
		p.n.at(func() {
			p.ticking = false
			p.limiter.Tick(p.j.Bus.Now)
			p.drain()
		})
	})
}

func (p *process) destination(o limit.Outgoing) string {
	if o.Instance != "" {
		return o.Instance
	}
	for _, m := range p.n.View.Members() {
		if m.AvailabilityZone == o.AvailabilityZone && m.State == membership.Live {
			return m.Name
		}
	}
	return ""
}

// send hands a message to the process that the own view knows under a name.
func (p *process) send(instance string, f func(*process)) {
	if instance == p.id.Instance {
		f(p)
		return
	}
	for _, m := range p.n.View.Members() {
		if m.Name == instance {
			p.n.send(m.PeerAddress, limitMessageSize, func(to *Node) { f(p.j.processes[to]) })
			return
		}
	}
}
