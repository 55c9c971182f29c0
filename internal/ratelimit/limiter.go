package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// clockDrift is added to a grant's lifetime at the owner, because its clock may
// run slightly faster than the asker's.
const clockDrift = 10 * time.Millisecond

// Options are a limiter's settings and the functions that it depends on. All
// instances of a fleet have the same SettleTime and GrantLifetime.
type Options struct {
	// Instance is this instance's name, AvailabilityZone its zone.
	Instance         string
	AvailabilityZone string
	// Incarnation is a random number of this process. IDs count up from it, so
	// that those of different processes don't meet.
	Incarnation uint64
	// Seat returns the seat of this instance if it may be used now.
	Seat func(now time.Time) (seat.Seat, bool)
	// SeatHolder returns the name of the instance that holds a seat of this
	// instance's zone, or "".
	SeatHolder func(index int) string
	// Layout returns the number of seats of every zone in a configuration.
	Layout func(*config.Snapshot) []ZoneSeats
	// SettleTime is how long after this instance has applied a configuration
	// others may still use an older one.
	SettleTime time.Duration
	// GrantLifetime is how long after the ask was sent granted tokens may be used.
	GrantLifetime time.Duration
	// MaxWait bounds how long a request waits for a token.
	MaxWait time.Duration
	// AskTimeout is how long after it was sent an ask without an answer counts as
	// lost. The time that it probably waits at the owner is added.
	AskTimeout time.Duration
	// Invariants records violations of the limit; nil records none.
	Invariants *invariant.Recorder
}

// Limiter is one instance's part in enforcing the limits of the whole fleet; the
// package comment describes how. Call Take for each request, Receive for each
// message, and CollectOutput after each call to get what is to be sent. It is not
// safe for concurrent use.
type Limiter struct {
	options       Options
	workspaces    map[string]*workspace
	needTick      map[string]*workspace // those that Tick has work for
	configVersion uint64
	lastID        uint64

	outgoing    []Outgoing
	resolutions []Resolution
}

// workspace is what one instance knows about one workspace.
type workspace struct {
	name   string
	share  share    // the part of this instance's zone, in use while it holds the seat
	owners []*owner // one for each part; that of this instance's zone comes first
	demand demand
}

// New returns a limiter without a configuration, which refuses every request.
func New(o Options) *Limiter {
	return &Limiter{
		options: o, workspaces: map[string]*workspace{}, needTick: map[string]*workspace{},
		lastID: o.Incarnation,
	}
}

// Update applies the limits of a configuration. It must be called before the
// configuration counts as freshness evidence that lets this instance use its
// seat: while it could not use the seat, it may have missed a layout of seats
// that others used, and Update suspends its shares for that case.
func (l *Limiter) Update(snapshot *config.Snapshot, now time.Time) {
	zones := l.options.Layout(snapshot)
	settleTime := l.options.SettleTime
	if l.configVersion == 0 && snapshot.Version == 1 && snapshot.VacancyVersion == 0 {
		settleTime = 0 // no older configuration exists
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
			growDelay = 0 // a new name: no instance has ever used other limits for it
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

// RefreshShares brings the shares of this instance's seat up to date, so that
// the buckets of a newly assigned seat begin to fill before the first request
// for them. Call it about once a second.
func (l *Limiter) RefreshShares(now time.Time) {
	for _, w := range l.workspaces {
		l.ownsShare(w, now)
	}
}

// removeWorkspace forgets a workspace that the configuration no longer has and
// refuses the requests that wait for its tokens.
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

// setOwners replaces the owners by those of a new configuration and keeps what is
// known about an owner in the same zone. The owner of this instance's zone comes
// first, the others in an order of hashes that differs between instances and
// workspaces, so that owners are asked evenly.
func (w *workspace) setOwners(allotments map[string]allotment, o Options, now time.Time) {
	old := w.owners
	w.owners = nil
	for zone, a := range allotments {
		next := &owner{zone: zone, hashRank: hashRank(o.Instance+w.name, zone, 0), available: a.burst, availableAt: now}
		if i := slices.IndexFunc(old, func(o *owner) bool { return o.zone == zone }); i >= 0 {
			next = old[i]
		}
		next.allotment = a
		w.owners = append(w.owners, next)
	}
	slices.SortFunc(w.owners, func(a, b *owner) int {
		if a.zone == o.AvailabilityZone || b.zone == o.AvailabilityZone {
			return map[bool]int{true: -1, false: 1}[a.zone == o.AvailabilityZone]
		}
		return cmp.Compare(a.hashRank, b.hashRank)
	})
}

// Take takes one token of a workspace for a request. If none is at hand but one
// will probably come within MaxWait, the request waits: the decision then has a
// ticket, and CollectOutput returns its resolution later. An unknown workspace
// is refused.
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

// takeToken uses a token that another owner granted, or one of this instance's
// own share unless asks are queued for it.
func (l *Limiter) takeToken(w *workspace, now time.Time) bool {
	if l.takeHeldToken(w, now) {
		return true
	}
	return l.ownsShare(w, now) && len(w.share.queuedAsks) == 0 && w.share.takeToken(l.options.Invariants)
}

// ownsShare tells whether this instance may use its zone's share of the
// workspace now. If it holds the seat, it also brings the share up to date.
func (l *Limiter) ownsShare(w *workspace, now time.Time) bool {
	held, ok := l.options.Seat(now)
	if !ok || held.Index != w.share.current.seat && held.Index != w.share.upcoming.seat {
		return false
	}
	w.share.emptyIfReassigned(held.AssignedVersion, now)
	w.share.refill(now)
	return held.Index == w.share.current.seat
}

// Cancel ends the wait of a request that its caller has given up.
func (l *Limiter) Cancel(name string, ticket uint64) {
	if w := l.workspaces[name]; w != nil {
		w.demand.waiting = slices.DeleteFunc(w.demand.waiting, func(w waitingRequest) bool { return w.ticket == ticket })
	}
}

// Receive handles a message from another instance.
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

// receiveAsk handles an ask. The owner grants tokens, holds the ask back or
// refuses it; any other instance forwards it to the holder of the seat, once.
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

// enqueueAsk queues an ask at the owner and serves it at once if there are
// tokens. An ask that would probably get none in time is refused, so that the
// asker can try another owner.
func (l *Limiter) enqueueAsk(w *workspace, a Ask, now time.Time) {
	s := &w.share
	if !s.canServeInTime(a) {
		l.refuseAsk(a, s.available(), now)
		return
	}
	s.queuedAsks = append(s.queuedAsks, queuedAsk{ask: a, deadline: now.Add(a.Wait)})
	l.needTick[w.name] = w
	l.serveQueuedAsks(w, now)
}

// serveQueuedAsks grants tokens to queued asks, oldest first. Only the last one
// gets extra tokens.
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
		g.Level = s.available()
		l.sendGrant(a.Asker, g, now)
	}
}

// refuseAsk answers an ask with a grant of no tokens. Available is the owner's
// number of tokens less those that queued asks want, or 0 if this instance isn't
// the owner.
func (l *Limiter) refuseAsk(a Ask, available float64, now time.Time) {
	l.sendGrant(a.Asker, Grant{AskID: a.ID, Workspace: a.Workspace, Level: available}, now)
}

// sendGrant sends a grant to its asker, which may be this instance.
func (l *Limiter) sendGrant(asker string, g Grant, now time.Time) {
	if asker == l.options.Instance {
		l.receiveGrant(asker, g, now)
		return
	}
	l.send(Outgoing{Instance: asker, Message: Message{Grants: []Grant{g}}})
}

// Tick does what is due at a time: timeouts, queued asks, waiting requests and
// reports. Call it every few milliseconds while NeedsTick.
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

// namesNeedingTick returns the names of the workspaces that need a tick, sorted
// so that runs with equal input take equal steps.
func (l *Limiter) namesNeedingTick() []string {
	names := make([]string, 0, len(l.needTick))
	for name := range l.needTick {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NeedsTick tells whether Tick has anything to do, now or later.
func (l *Limiter) NeedsTick() bool { return len(l.needTick) > 0 }

// CollectOutput returns the messages to send and the decisions on waiting requests
// that have come up since the last call.
func (l *Limiter) CollectOutput() ([]Outgoing, []Resolution) {
	outgoing, resolutions := l.outgoing, l.resolutions
	l.outgoing, l.resolutions = nil, nil
	return outgoing, resolutions
}

func (l *Limiter) send(o Outgoing) { l.outgoing = append(l.outgoing, o) }

// nextID returns an ID for a ticket, an ask or a grant.
func (l *Limiter) nextID() uint64 {
	l.lastID++
	return l.lastID
}
