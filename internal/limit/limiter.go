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
	options       Options
	workspaces    map[string]*workspace
	needTick      map[string]*workspace // those with work for Tick
	configVersion uint64
	lastID        uint64

	outgoing    []Outgoing
	resolutions []Resolution
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
		options: o, workspaces: map[string]*workspace{}, needTick: map[string]*workspace{},
		lastID: o.Incarnation,
	}
}

// Update takes over the limits of a configuration. It must be called before
// the configuration counts as evidence for the right to the seat: an instance
// whose right ran out may have missed a layout that others went by.
func (l *Limiter) Update(snapshot *config.Snapshot, now time.Time) {
	zones := l.options.Layout(snapshot)
	settleTime := l.options.SettleTime
	if l.configVersion == 0 && snapshot.Version == 1 && snapshot.VacancyVersion == 0 {
		settleTime = 0 // there is no older configuration
	}
	l.configVersion = snapshot.Version
	_, seated := l.options.Seat(now)
	for name, w := range snapshot.Workspaces {
		state := l.workspaces[name]
		if state == nil {
			state = &workspace{name: name, share: share{workspace: name, updated: now, outstanding: map[uint64]outstandingGrant{}}}
			l.workspaces[name] = state
		}
		allotments := divide(w, zones)
		if !seated {
			state.share.suspend()
		}
		growDelay := settleTime
		if w.FirstVersion == snapshot.Version && snapshot.VacancyVersion < w.FirstVersion {
			growDelay = 0 // no instance has ever gone by other limits
		}
		state.share.update(allotments[l.options.AvailabilityZone], now, growDelay)
		state.setOwners(allotments, l.options, now)
	}
	for name, w := range l.workspaces {
		if snapshot.Workspaces[name] == nil {
			l.removeWorkspace(w, now)
		}
	}
}

// RefreshShares starts the shares of a seat that is newly held, so that their
// buckets fill. Call it about once a second.
func (l *Limiter) RefreshShares(now time.Time) {
	for _, w := range l.workspaces {
		l.ownsShare(w, now)
	}
}

// remove refuses the waiting requests of a workspace that is no more.
func (l *Limiter) removeWorkspace(w *workspace, now time.Time) {
	for _, waiting := range w.demand.waiting {
		l.resolutions = append(l.resolutions, Resolution{Ticket: waiting.ticket})
	}
	w.demand = demand{}
	w.owners = nil
	w.share.update(allotment{}, now, l.options.SettleTime)
	delete(l.workspaces, w.name)
	delete(l.needTick, w.name)
}

func (w *workspace) setOwners(allotments map[string]allotment, o Options, now time.Time) {
	old := w.owners
	w.owners = nil
	for zone, a := range allotments {
		entry := &owner{zone: zone, hashRank: hashRank(o.Instance+w.name, zone, 0), available: a.burst, availableAt: now}
		if i := slices.IndexFunc(old, func(o *owner) bool { return o.zone == zone }); i >= 0 {
			entry = old[i]
		}
		entry.allotment = a
		w.owners = append(w.owners, entry)
	}
	slices.SortFunc(w.owners, func(a, b *owner) int {
		if a.zone == o.AvailabilityZone || b.zone == o.AvailabilityZone {
			return map[bool]int{true: -1, false: 1}[a.zone == o.AvailabilityZone]
		}
		return cmp.Compare(a.hashRank, b.hashRank)
	})
}

// Take asks for one token of a workspace. A decision with a ticket is resolved
// later.
func (l *Limiter) Take(name string, now time.Time) Decision {
	w := l.workspaces[name]
	if w == nil {
		return Decision{}
	}
	w.demand.recordArrival(now)
	if len(w.demand.waiting) == 0 && l.takeToken(w, now) {
		l.prefetch(w, now)
		return Decision{Allowed: true}
	}
	deadline := now.Add(l.options.MaxWait)
	if l.fastestOwner(w, now, deadline) == nil && w.demand.heldTokens()+w.demand.askedTokens() <= len(w.demand.waiting) {
		return Decision{RetryAfter: w.retryAfter()}
	}
	ticket := l.nextID()
	w.demand.waiting = append(w.demand.waiting, waitingRequest{ticket: ticket, deadline: deadline})
	l.needTick[w.name] = w
	l.askForWaiting(w, now)
	return Decision{Ticket: ticket, RetryAfter: w.retryAfter()}
}

// spend uses a token of the own share, unless others wait for it, or of those
// that were granted.
func (l *Limiter) takeToken(w *workspace, now time.Time) bool {
	if l.takeHeldToken(w, now) {
		return true
	}
	return l.ownsShare(w, now) && len(w.share.queuedAsks) == 0 && w.share.takeToken(l.options.Invariants)
}

// owns tells whether this instance may use the own zone's share now, and
// brings it up to date.
func (l *Limiter) ownsShare(w *workspace, now time.Time) bool {
	held, ok := l.options.Seat(now)
	if !ok || held.Index != w.share.current.seat && held.Index != w.share.upcoming.seat {
		return false
	}
	w.share.emptyIfReassigned(held.AssignedVersion, now)
	w.share.refill(now)
	return held.Index == w.share.current.seat
}

// Cancel ends the wait of a request.
func (l *Limiter) Cancel(name string, ticket uint64) {
	if w := l.workspaces[name]; w != nil {
		w.demand.waiting = slices.DeleteFunc(w.demand.waiting, func(w waitingRequest) bool { return w.ticket == ticket })
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
	if w := l.workspaces[r.Workspace]; w != nil && l.ownsShare(w, now) {
		w.share.closeGrant(r.GrantID, r.Returned, l.options.Invariants)
		l.serveQueuedAsks(w, now)
	}
}

// receiveAsk grants tokens, keeps the ask until there are some, or passes it
// on to the owner.
func (l *Limiter) receiveAsk(a Ask, now time.Time) {
	w := l.workspaces[a.Workspace]
	switch {
	case w == nil:
		l.refuseAsk(a, 0, now)
	case l.ownsShare(w, now):
		l.enqueueAsk(w, a, now)
	case a.Forwarded || l.options.SeatHolder(w.share.upcoming.seat) == "" || l.options.SeatHolder(w.share.upcoming.seat) == l.options.Instance:
		l.refuseAsk(a, 0, now)
	default:
		a.Forwarded = true
		l.send(Outgoing{Instance: l.options.SeatHolder(w.share.upcoming.seat), Message: Message{Asks: []Ask{a}}})
	}
}

func (l *Limiter) enqueueAsk(w *workspace, a Ask, now time.Time) {
	s := &w.share
	if !s.canServeInTime(a) {
		l.refuseAsk(a, s.uncommitted(), now)
		return
	}
	s.queuedAsks = append(s.queuedAsks, queuedAsk{ask: a, deadline: now.Add(a.Wait)})
	l.needTick[w.name] = w
	l.serveQueuedAsks(w, now)
}

// serveQueue grants tokens to waiting asks, oldest first.
func (l *Limiter) serveQueuedAsks(w *workspace, now time.Time) {
	s := &w.share
	s.queuedAsks = slices.DeleteFunc(s.queuedAsks, func(q queuedAsk) bool { return now.After(q.deadline) })
	if !l.ownsShare(w, now) {
		return
	}
	for len(s.queuedAsks) > 0 && s.tokens >= 1 {
		a := s.queuedAsks[0].ask
		s.queuedAsks = s.queuedAsks[1:]
		extra := 0
		if len(s.queuedAsks) == 0 {
			extra = a.Extra
		}
		g := Grant{ID: l.nextID(), AskID: a.ID, Workspace: a.Workspace}
		g.Tokens = s.grantTokens(g.ID, a.Tokens, extra, now.Add(l.options.GrantLifetime+clockDrift), l.options.Invariants)
		g.Level = s.uncommitted()
		l.sendGrant(a.Asker, g, now)
	}
}

func (l *Limiter) refuseAsk(a Ask, available float64, now time.Time) {
	l.sendGrant(a.Asker, Grant{AskID: a.ID, Workspace: a.Workspace, Level: available}, now)
}

func (l *Limiter) sendGrant(asker string, g Grant, now time.Time) {
	if asker == l.options.Instance {
		l.receiveGrant(asker, g, now)
		return
	}
	l.send(Outgoing{Instance: asker, Message: Message{Grants: []Grant{g}}})
}

// Tick does what is due; call it every few milliseconds while Active.
func (l *Limiter) Tick(now time.Time) {
	for _, name := range l.namesNeedingTick() {
		w := l.needTick[name]
		l.timeOutAsks(w, now)
		l.serveQueuedAsks(w, now)
		l.decideWaiting(w, now)
		l.returnIdleGrants(w, now)
		l.askForWaiting(w, now)
		l.sendDueReports(w, now)
		if w.demand.idle() && len(w.share.queuedAsks) == 0 {
			delete(l.needTick, name)
		}
	}
}

// activeNames is in order, so that equal runs take equal steps.
func (l *Limiter) namesNeedingTick() []string {
	names := make([]string, 0, len(l.needTick))
	for name := range l.needTick {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NeedsTick tells whether Tick has anything to do.
func (l *Limiter) NeedsTick() bool { return len(l.needTick) > 0 }

// Drain returns the messages to send and the decisions made since the last
// call.
func (l *Limiter) Drain() ([]Outgoing, []Resolution) {
	outgoing, resolutions := l.outgoing, l.resolutions
	l.outgoing, l.resolutions = nil, nil
	return outgoing, resolutions
}

func (l *Limiter) send(o Outgoing) { l.outgoing = append(l.outgoing, o) }

func (l *Limiter) nextID() uint64 {
	l.lastID++
	return l.lastID
}
