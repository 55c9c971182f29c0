package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// clockDrift allows for clocks that run at slightly different speeds during
// the life of a grant.
const clockDrift = 10 * time.Millisecond

// Options are the settings and neighbours of a limiter. All instances of a
// fleet have the same Settle and GrantLife.
type Options struct {
	Instance         string
	AvailabilityZone string
	// Incarnation is a random number of this process.
	Incarnation uint64
	// Seat returns the seat if this instance may use it now.
	Seat func(now time.Time) (seat.Seat, bool)
	// SeatHolder returns the instance that holds a seat of the own zone, or "".
	SeatHolder func(index int) string
	// Layout returns the seats of all zones under a configuration.
	Layout func(*config.Snapshot) []ZoneSeats
	// SettleTime is how long after a configuration's adoption here no instance goes
	// by an older one.
	SettleTime time.Duration
	// GrantLifetime bounds the use of granted tokens, from the sending of the ask.
	GrantLifetime time.Duration
	// MaxWait bounds how long a request waits for a token.
	MaxWait time.Duration
	// AskTimeout is when an ask counts as lost.
	AskTimeout time.Duration
	Invariants *invariant.Recorder
}

// Limiter is one instance's part of the limits of a whole fleet. A workspace's
// rate and burst are divided over owner seats in several zones; instances ask
// owners for tokens. It is not safe for concurrent use.
type Limiter struct {
	options    Options
	workspaces map[string]*workspace
	active     map[string]*workspace // those with work for Tick
	version    uint64
	sequence   uint64

	outgoing []Outgoing
	resolved []Resolution
}

// workspace is what one instance knows of one workspace.
type workspace struct {
	name   string
	share  share
	owners []*owner // those that may be asked, nearest first
	demand demand
}

// New returns a limiter without a configuration: it refuses everything.
func New(o Options) *Limiter {
	return &Limiter{
		options: o, workspaces: map[string]*workspace{}, active: map[string]*workspace{},
		sequence: o.Incarnation,
	}
}

// Update takes over the limits of a configuration. It must be called before
// the configuration counts as evidence for the right to the seat: an instance
// whose right ran out may have missed a layout that others went by.
func (l *Limiter) Update(snapshot *config.Snapshot, now time.Time) {
	zones := l.options.Layout(snapshot)
	settle := l.options.SettleTime
	if l.version == 0 && snapshot.Version == 1 && snapshot.VacancyVersion == 0 {
		settle = 0 // there is no older configuration
	}
	l.version = snapshot.Version
	_, seated := l.options.Seat(now)
	for name, w := range snapshot.Workspaces {
		known := l.workspaces[name]
		if known == nil {
			known = &workspace{name: name, share: share{workspace: name, updated: now, lent: map[uint64]loan{}}}
			l.workspaces[name] = known
		}
		allotments := allot(w, zones)
		if !seated {
			known.share.suspend()
		}
		wait := settle
		if w.FirstVersion == snapshot.Version && snapshot.VacancyVersion < w.FirstVersion {
			wait = 0 // no instance has ever gone by other limits
		}
		known.share.update(allotments[l.options.AvailabilityZone], now, wait)
		known.setOwners(allotments, l.options, now)
	}
	for name, w := range l.workspaces {
		if snapshot.Workspaces[name] == nil {
			l.remove(w, now)
		}
	}
}

// RefreshShares starts the shares of a seat that is newly held, so that their
// buckets fill. Call it about once a second.
func (l *Limiter) RefreshShares(now time.Time) {
	for _, w := range l.workspaces {
		l.owns(w, now)
	}
}

// remove refuses the waiting requests of a workspace that is no more.
func (l *Limiter) remove(w *workspace, now time.Time) {
	for _, waiting := range w.demand.waiting {
		l.resolved = append(l.resolved, Resolution{Ticket: waiting.ticket})
	}
	w.demand = demand{}
	w.owners = nil
	w.share.update(allotment{}, now, l.options.SettleTime)
	delete(l.workspaces, w.name)
	delete(l.active, w.name)
}

func (w *workspace) setOwners(allotments map[string]allotment, o Options, now time.Time) {
	old := w.owners
	w.owners = nil
	for zone, a := range allotments {
		at := &owner{zone: zone, rank: rank(o.Instance+w.name, zone, 0), level: a.burst, at: now}
		if i := slices.IndexFunc(old, func(o *owner) bool { return o.zone == zone }); i >= 0 {
			at = old[i]
		}
		at.allotment = a
		w.owners = append(w.owners, at)
	}
	slices.SortFunc(w.owners, func(a, b *owner) int {
		if a.zone == o.AvailabilityZone || b.zone == o.AvailabilityZone {
			return map[bool]int{true: -1, false: 1}[a.zone == o.AvailabilityZone]
		}
		return cmp.Compare(a.rank, b.rank)
	})
}

// Take asks for one token of a workspace. A decision with a ticket is resolved
// later.
func (l *Limiter) Take(name string, now time.Time) Decision {
	w := l.workspaces[name]
	if w == nil {
		return Decision{}
	}
	w.demand.arrived(now)
	if len(w.demand.waiting) == 0 && l.spend(w, now) {
		l.stockUp(w, now)
		return Decision{Allowed: true}
	}
	deadline := now.Add(l.options.MaxWait)
	if l.bestOwner(w, now, deadline) == nil && w.demand.stocked()+w.demand.asked() <= len(w.demand.waiting) {
		return Decision{RetryAfter: w.retryAfter()}
	}
	ticket := l.nextID()
	w.demand.waiting = append(w.demand.waiting, waiter{ticket: ticket, deadline: deadline})
	l.active[w.name] = w
	l.ask(w, now)
	return Decision{Ticket: ticket, RetryAfter: w.retryAfter()}
}

// spend uses a token of the own share, unless others wait for it, or of those
// that were granted.
func (l *Limiter) spend(w *workspace, now time.Time) bool {
	if l.spendGranted(w, now) {
		return true
	}
	return l.owns(w, now) && len(w.share.queue) == 0 && w.share.spend(l.options.Invariants)
}

// owns tells whether this instance may use the own zone's share now, and
// brings it up to date.
func (l *Limiter) owns(w *workspace, now time.Time) bool {
	held, ok := l.options.Seat(now)
	if !ok || held.Index != w.share.now.seat && held.Index != w.share.next.seat {
		return false
	}
	w.share.begin(held.AssignedVersion, now)
	w.share.refill(now)
	return held.Index == w.share.now.seat
}

// Cancel ends the wait of a request.
func (l *Limiter) Cancel(name string, ticket uint64) {
	if w := l.workspaces[name]; w != nil {
		w.demand.waiting = slices.DeleteFunc(w.demand.waiting, func(w waiter) bool { return w.ticket == ticket })
	}
}

// Receive handles a message of another instance.
func (l *Limiter) Receive(from string, m Message, now time.Time) {
	for _, r := range m.Reports {
		l.receiveReport(r, now)
	}
	for _, a := range m.Asks {
		l.receiveAsk(a, now)
	}
	for _, g := range m.Grants {
		l.receiveGrant(from, g, now)
	}
}

func (l *Limiter) receiveReport(r Report, now time.Time) {
	if w := l.workspaces[r.Workspace]; w != nil && l.owns(w, now) {
		w.share.settle(r.GrantID, r.Returned, l.options.Invariants)
		l.serveQueue(w, now)
	}
}

// receiveAsk grants tokens, keeps the ask until there are some, or passes it
// on to the owner.
func (l *Limiter) receiveAsk(a Ask, now time.Time) {
	w := l.workspaces[a.Workspace]
	switch {
	case w == nil:
		l.refuse(a, 0, now)
	case l.owns(w, now):
		l.enqueue(w, a, now)
	case a.Forwarded || l.options.SeatHolder(w.share.next.seat) == "" || l.options.SeatHolder(w.share.next.seat) == l.options.Instance:
		l.refuse(a, 0, now)
	default:
		a.Forwarded = true
		l.send(Outgoing{Instance: l.options.SeatHolder(w.share.next.seat), Message: Message{Asks: []Ask{a}}})
	}
}

func (l *Limiter) enqueue(w *workspace, a Ask, now time.Time) {
	s := &w.share
	if !s.hopeful(a) {
		l.refuse(a, s.level(), now)
		return
	}
	s.queue = append(s.queue, queuedAsk{ask: a, until: now.Add(a.Wait)})
	l.active[w.name] = w
	l.serveQueue(w, now)
}

// serveQueue grants tokens to waiting asks, oldest first.
func (l *Limiter) serveQueue(w *workspace, now time.Time) {
	s := &w.share
	s.queue = slices.DeleteFunc(s.queue, func(q queuedAsk) bool { return now.After(q.until) })
	if !l.owns(w, now) {
		return
	}
	for len(s.queue) > 0 && s.tokens >= 1 {
		a := s.queue[0].ask
		s.queue = s.queue[1:]
		extra := 0
		if len(s.queue) == 0 {
			extra = a.Extra
		}
		g := Grant{ID: l.nextID(), AskID: a.ID, Workspace: a.Workspace}
		g.Tokens = s.lend(g.ID, a.Tokens, extra, now.Add(l.options.GrantLifetime+clockDrift), l.options.Invariants)
		g.Level = s.level()
		l.grant(a.Asker, g, now)
	}
}

func (l *Limiter) refuse(a Ask, level float64, now time.Time) {
	l.grant(a.Asker, Grant{AskID: a.ID, Workspace: a.Workspace, Level: level}, now)
}

func (l *Limiter) grant(asker string, g Grant, now time.Time) {
	if asker == l.options.Instance {
		l.receiveGrant(asker, g, now)
		return
	}
	l.send(Outgoing{Instance: asker, Message: Message{Grants: []Grant{g}}})
}

// Tick does what is due; call it every few milliseconds while Active.
func (l *Limiter) Tick(now time.Time) {
	for _, name := range l.activeNames() {
		w := l.active[name]
		l.expireAsks(w, now)
		l.serveQueue(w, now)
		l.serveWaiting(w, now)
		l.returnIdle(w, now)
		l.ask(w, now)
		l.flushReports(w, now)
		if w.demand.idle() && len(w.share.queue) == 0 {
			delete(l.active, name)
		}
	}
}

// activeNames is in order, so that equal runs take equal steps.
func (l *Limiter) activeNames() []string {
	names := make([]string, 0, len(l.active))
	for name := range l.active {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NeedsTick tells whether Tick has anything to do.
func (l *Limiter) NeedsTick() bool { return len(l.active) > 0 }

// Drain returns the messages to send and the decisions made since the last
// call.
func (l *Limiter) Drain() ([]Outgoing, []Resolution) {
	outgoing, resolved := l.outgoing, l.resolved
	l.outgoing, l.resolved = nil, nil
	return outgoing, resolved
}

func (l *Limiter) send(o Outgoing) { l.outgoing = append(l.outgoing, o) }

func (l *Limiter) nextID() uint64 {
	l.sequence++
	return l.sequence
}
