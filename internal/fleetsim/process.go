package fleetsim

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Settings of the limiter and of the calls to it, as in the server.
const (
	grantLifetime      = 400 * time.Millisecond
	maxTokenWait       = 250 * time.Millisecond
	askTimeout         = 60 * time.Millisecond
	limiterTickPeriod  = 10 * time.Millisecond
	shareRefreshPeriod = 500 * time.Millisecond
	seatClaimPeriod    = time.Second
	reserveMaxAge      = time.Hour
	// limitMessageBytes is the assumed size of a message of the limiter, or of a
	// claim or release of a seat.
	limitMessageBytes = 64
	// requestCountRange is the number of possible counts of requests in one tick: 0
	// to 2 requests arrive.
	requestCountRange = 3
)

// process is the Extension of one node of a FullFleet. It holds a seat, limits the
// rates of workspaces and, if it is listed as a writer, writes the configuration and
// the seat tables.
type process struct {
	fleet         *FullFleet
	node          *Node
	id            freshness.WriterID
	seatTracker   *seat.Tracker
	limiter       *ratelimit.Limiter
	tickScheduled bool              // a tick of the limiter is queued
	waiting       map[uint64]string // workspaces of requests that wait for a token, by ticket
	// Claims and releases of seats that other instances have sent to this writer
	// and that no seat table contains yet, by availability zone.
	claims   map[string][]seat.Process
	releases map[string][]seat.Release

	sharesRefreshedAt, seatClaimedAt time.Time
	lastSeat                         seat.Seat // last seat held; for the variant CachesSeat
}

// newProcess is the Options.NewExtension of a full fleet.
func (fleet *FullFleet) newProcess(n *Node) Extension {
	fleet.startedProcesses++
	p := &process{
		fleet: fleet, node: n, id: freshness.WriterID{Instance: n.Member.Name, Incarnation: fleet.startedProcesses},
		claims: map[string][]seat.Process{}, releases: map[string][]seat.Release{},
		waiting: map[uint64]string{},
	}
	zone := n.Member.AvailabilityZone
	n.Freshness.Zone, n.Freshness.LocalWriter.ID = zone, p.id
	p.seatTracker = seat.NewTracker(seat.Process(p.id), zone, seat.Bounds{MaxAge: KeyFreshness, ReserveMaxAge: reserveMaxAge, TakeoverMargin: takeoverMargin})
	settleTime := KeyFreshness + takeoverMargin
	if fleet.variant == SkipsSettleTime {
		settleTime = 0
	}
	p.limiter = ratelimit.New(ratelimit.Options{
		Instance: p.id.Instance, AvailabilityZone: zone, Incarnation: fleet.rand.Uint64(),
		Seat: p.currentSeat, SeatHolder: func(i int) string { return p.seatTracker.Table().Holder(i) }, Layout: fleet.zoneSeats,
		SettleTime: settleTime, GrantLifetime: grantLifetime, MaxWait: maxTokenWait, AskTimeout: askTimeout,
		Invariants: &n.fleet.Invariants,
	})
	fleet.processes[n] = p
	return p
}

// currentSeat returns this process's seat and whether it may be used now. The
// limiter calls it before each use.
func (p *process) currentSeat(now time.Time) (seat.Seat, bool) {
	p.node.Freshness.Fresh(now, 0) // brings AsOf up to date with the vouchers
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
	p.node.Freshness.RecordInForce(freshness.Versions{Config: version})
	p.node.Freshness.SetWriters(c.writers)
}

// OnTick implements Extension.
func (p *process) OnTick() {
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

// adoptSeatTable brings the seat tracker up to date with the newest layout and seat
// table. If the process has no seat, it claims one every seatClaimPeriod.
func (p *process) adoptSeatTable(now time.Time) {
	zone := p.node.Member.AvailabilityZone
	for _, z := range p.fleet.zoneSeats(p.fleet.configs[p.node.InForceVersion].snapshot) {
		if z.AvailabilityZone == zone {
			p.seatTracker.SetLayout(seat.Layout{ZoneSeats: z.Seats})
		}
	}
	table, err := seat.DecodeTable(p.node.Dissemination.SeatTable(zone).GetValue())
	p.fleet.check(err == nil, "cannot decode a seat table: %v", err)
	p.seatTracker.Adopt(table, now)
	if p.seatTracker.HasSeat() || p.seatTracker.Stopped() || now.Sub(p.seatClaimedAt) < seatClaimPeriod {
		return
	}
	p.seatClaimedAt = now
	p.sendToWriter(func(w *process) { w.claims[zone] = append(w.claims[zone], p.seatTracker.Process()) })
}

// sendToWriter runs f in a random one of the listed writers.
func (p *process) sendToWriter(f func(*process)) {
	writers := p.fleet.configs[p.node.InForceVersion].writers
	if len(writers) == 0 {
		return
	}
	p.send(writers[p.fleet.rand.IntN(len(writers))].Instance, f)
}

// retire gives up the seat and the right to write control records, before the
// process ends.
func (p *process) retire() {
	zone, seated := p.node.Member.AvailabilityZone, p.seatTracker.HasSeat()
	r := p.seatTracker.Stop(p.fleet.Bus.Now)
	p.node.Freshness.LocalWriter.Retire()
	if seated {
		p.sendToWriter(func(w *process) { w.releases[zone] = append(w.releases[zone], r) })
	}
}

// handleRequest takes a token for a request of a workspace.
func (p *process) handleRequest(workspace string) {
	p.fleet.counts.Requests++
	switch d := p.limiter.Take(workspace, p.fleet.Bus.Now); {
	case d.Allowed:
		p.fleet.countAllowed(p, workspace)
	case d.Ticket != 0:
		p.waiting[d.Ticket] = workspace
	}
}

// drainLimiter sends the limiter's messages, counts the waiting requests that it has
// allowed, and queues its next tick.
func (p *process) drainLimiter() {
	outgoing, resolved := p.limiter.CollectOutput()
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

// destination returns the name of the instance to send a message of the limiter to,
// or "" if no instance of the zone is known to be live.
func (p *process) destination(o ratelimit.Outgoing) string {
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

// send runs f in the process of the named instance, after a message's delay. It does
// nothing if this process does not know the instance.
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
