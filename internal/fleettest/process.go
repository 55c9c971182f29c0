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
	grantLifetime      = 400 * time.Millisecond
	maxTokenWait       = 250 * time.Millisecond
	askTimeout         = 60 * time.Millisecond
	limiterTickPeriod  = 10 * time.Millisecond
	shareRefreshPeriod = 500 * time.Millisecond
	seatClaimPeriod    = time.Second
	reserveMaxAge      = time.Hour
	limitMessageBytes  = 64 // bytes
	requestCountRange  = 3
)

// process joins the cores of one Node with its seat, its limiter and its
// writing of control records.
type process struct {
	fleet         *FullFleet
	node          *Node
	id            freshness.WriterID
	seatTracker   *seat.Tracker
	limiter       *limit.Limiter
	tickScheduled bool
	waiting       map[uint64]string // workspaces of requests that wait, by ticket
	// Wishes of others, at a writer, by zone.
	claims   map[string][]seat.Process
	releases map[string][]seat.Release

	sharesRefreshedAt, seatClaimedAt time.Time
	lastSeat                         seat.Seat // for RemembersRight
}

func (fleet *FullFleet) newProcess(n *Node) Extension {
	fleet.startedProcesses++
	p := &process{
		fleet: fleet, node: n, id: freshness.WriterID{Instance: n.Member.Name, Incarnation: fleet.startedProcesses},
		claims: map[string][]seat.Process{}, releases: map[string][]seat.Release{},
		waiting: map[uint64]string{},
	}
	zone := n.Member.AvailabilityZone
	n.Freshness.Zone, n.Freshness.Author.ID = zone, p.id
	p.seatTracker = seat.NewTracker(seat.Process(p.id), zone, seat.Bounds{MaxAge: KeyFreshness, Reserve: reserveMaxAge, TakeoverMargin: takeoverMargin})
	settleTime := KeyFreshness + takeoverMargin
	if fleet.variant == SkipsSettleTime {
		settleTime = 0
	}
	p.limiter = limit.New(limit.Options{
		Instance: p.id.Instance, AvailabilityZone: zone, Incarnation: fleet.rand.Uint64(),
		Seat: p.currentSeat, Holder: func(i int) string { return p.seatTracker.Table().Holder(i) }, Layout: fleet.zoneSeats,
		SettleTime: settleTime, GrantLifetime: grantLifetime, MaxWait: maxTokenWait, AskTimeout: askTimeout,
		Invariants: &n.fleet.Invariants,
	})
	fleet.processes[n] = p
	return p
}

// seat is asked for at each use.
func (p *process) currentSeat(now time.Time) (seat.Seat, bool) {
	p.node.Freshness.Fresh(now, 0)
	p.seatTracker.Observe(p.node.Freshness.AsOf(), p.node.Dissemination.SeatTable(p.node.Member.AvailabilityZone).GetVersion())
	s, ok := p.seatTracker.Seat(now)
	if p.fleet.variant != CachesSeat {
		return s, ok
	}
	if ok {
		p.lastSeat = s
	}
	return p.lastSeat, p.lastSeat.AssignedVersion != 0
}

// Apply implements Extension.
func (p *process) Apply(version uint64) {
	c := p.fleet.configs[version]
	p.limiter.Update(c.snapshot, p.fleet.Bus.Now)
	p.node.Freshness.RecordHeld(freshness.Versions{Config: version})
	p.node.Freshness.SetWriters(c.writers)
}

// Tick implements Extension.
func (p *process) Tick() {
	now := p.fleet.Bus.Now
	if p.node.InForceVersion == 0 {
		return
	}
	p.adoptSeatTable(now)
	p.writeControlRecords(now)
	if now.Sub(p.sharesRefreshedAt) >= shareRefreshPeriod {
		p.sharesRefreshedAt = now
		p.limiter.RefreshShares(now)
	}
	for range p.fleet.rand.IntN(requestCountRange) {
		p.handleRequest(testWorkspaces[p.fleet.rand.IntN(len(testWorkspaces))].Name)
	}
	p.drainLimiter()
}

func (p *process) adoptSeatTable(now time.Time) {
	zone := p.node.Member.AvailabilityZone
	for _, z := range p.fleet.zoneSeats(p.fleet.configs[p.node.InForceVersion].snapshot) {
		if z.AvailabilityZone == zone {
			p.seatTracker.SetLayout(seat.Layout{ZoneSeats: z.Seats})
		}
	}
	table, err := seat.DecodeTable(p.node.Dissemination.SeatTable(zone).GetValue())
	p.fleet.check(err == nil, "decode: %v", err)
	p.seatTracker.Adopt(table, now)
	if p.seatTracker.HasSeat() || p.seatTracker.Stopped() || now.Sub(p.seatClaimedAt) < seatClaimPeriod {
		return
	}
	p.seatClaimedAt = now
	p.sendToWriter(func(w *process) { w.claims[zone] = append(w.claims[zone], p.seatTracker.Process()) })
}

// toWriter sends a wish to a listed writer.
func (p *process) sendToWriter(f func(*process)) {
	writers := p.fleet.configs[p.node.InForceVersion].writers
	if len(writers) == 0 {
		return
	}
	p.send(writers[p.fleet.rand.IntN(len(writers))].Instance, f)
}

// leave gives the seat and the right to write up.
func (p *process) retire() {
	zone, seated := p.node.Member.AvailabilityZone, p.seatTracker.HasSeat()
	r := p.seatTracker.Stop(p.fleet.Bus.Now)
	p.node.Freshness.Author.Retire()
	if seated {
		p.sendToWriter(func(w *process) { w.releases[zone] = append(w.releases[zone], r) })
	}
}

func (p *process) handleRequest(workspace string) {
	p.fleet.counts.Requests++
	switch d := p.limiter.Take(workspace, p.fleet.Bus.Now); {
	case d.Allowed:
		p.fleet.countAllowed(p, workspace)
	case d.Ticket != 0:
		p.waiting[d.Ticket] = workspace
	}
}

// drain sends the limiter's messages and counts its late decisions.
func (p *process) drainLimiter() {
	outgoing, resolved := p.limiter.Drain()
	for _, r := range resolved {
		if r.Decision.Allowed {
			p.fleet.countAllowed(p, p.waiting[r.Ticket])
		}
		delete(p.waiting, r.Ticket)
	}
	for _, o := range outgoing {
		p.send(p.destination(o), func(to *process) {
			to.limiter.Receive(p.id.Instance, o.Message, p.fleet.Bus.Now)
			to.drainLimiter()
		})
	}
	if p.tickScheduled || !p.limiter.NeedsTick() {
		return
	}
	p.tickScheduled = true
	p.fleet.Bus.After(limiterTickPeriod, func() {
		p.node.whenRunning(func() {
			p.tickScheduled = false
			p.limiter.Tick(p.fleet.Bus.Now)
			p.drainLimiter()
		})
	})
}

func (p *process) destination(o limit.Outgoing) string {
	if o.Instance != "" {
		return o.Instance
	}
	for _, m := range p.node.View.Members() {
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
	for _, m := range p.node.View.Members() {
		if m.Name == instance {
			p.node.send(m.PeerAddress, limitMessageBytes, func(to *Node) { f(p.fleet.processes[to]) })
			return
		}
	}
}
