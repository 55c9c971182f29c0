// Package placement chooses the target (back end) that runs a request. It does
// no I/O and reads no clock: callers pass in the time and carry the messages.
//
// Every instance of the fleet places requests on its own, without asking the
// others, and yet all of them together must stay within limits: the slots of a
// target (the requests that it runs at once), the requests in flight in a
// region, and the bytes in flight on the links between regions. Each limit is a
// pool of whole units that is partitioned in advance. A seat is a numbered
// membership of the fleet, held by at most one instance at a time (see package
// seat). A fixed rule maps each unit of a pool to one seat, and an instance uses
// only the units of the seat that it holds. The slots of a target are divided
// among the seats of the target's availability zone; regions and links are
// divided among the seats of the whole fleet.
//
// An instance whose slots run short, or that has no target in its own
// availability zone, borrows slots from other instances for a short time; see
// BorrowRequest.
//
// A shift is a configured, gradual move of a route's requests from one region
// to another; see config.Shift.
package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Errors of Placer.Choose, besides UnavailableError. In each case the request has not
// run.
var (
	// ErrNoTarget means that no target may get the request: each is drained, leaving,
	// paused, ejected or was tried already, or the configuration has no such service.
	// If all that are not drained leave or pause, the error is an UnavailableError.
	ErrNoTarget = errors.New("no target can serve this route")
	// ErrOverloaded means that at least one target is eligible, but for each eligible
	// target this instance's share is used up: of the target's slots, of the requests
	// in flight in its region, or of the bytes in flight on the links to that region.
	ErrOverloaded = errors.New("every target of this route is at its limit")
)

// UnavailableError means that every target of the route, those that were tried included
// and drained ones left out, leaves or has asked for a pause.
type UnavailableError struct {
	// Wait is the time until the first pause ends, 0 if all targets leave.
	Wait time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "every target of this route leaves or has asked for a pause"
}

// Request describes a request that needs a target.
type Request struct {
	Route     *config.Route
	Workspace string
	// Bytes is the size of the request's body, or 0 if it is not known.
	Bytes int64
	// Exclude names the targets that were tried already. If it is not empty, the
	// request is a retry.
	Exclude []string
}

// Reason is why a target was chosen: how near it is, or a shift.
type Reason string

// Reasons for a choice.
const (
	ReasonOwnZone     Reason = "own-zone"
	ReasonOwnRegion   Reason = "own-region"
	ReasonOtherRegion Reason = "across"
	// ReasonShift means that a shift has moved the request.
	ReasonShift Reason = "shift"
)

// Grant is the permission to run one request on a target. The request counts as
// in flight until the grant is passed to Placer.Done.
type Grant struct {
	Target config.Target
	// Region is the name of the target's region.
	Region string
	// Reason is why the target was chosen.
	Reason Reason

	target      *target
	region      *region
	otherRegion bool
	linkUnits   linkUse // zero unless otherRegion is set
	shift       *shift  // nil unless a shift moves the route's requests out of the own region
	start       time.Time
}

// Outcome is how the request of a grant ended.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that the target answered.
	Answered Outcome = iota
	// NotRun means that the target refused the request or was not reached, so
	// that another target may run it.
	NotRun
	// Unknown means that the target may or may not have run the request.
	Unknown
)

// Options configure a placer.
type Options struct {
	// AvailabilityZone is the zone of this instance.
	AvailabilityZone string
	// Seats tells which seat this instance holds at a given time.
	Seats seat.Provider
	// MaxFleetLayoutLag is the longest time that an instance may go on using a
	// fleet seat under an old number of seats. By then it has read the new number
	// or has lost its seat.
	MaxFleetLayoutLag time.Duration
	// MaxZoneLayoutLag is the same for the seats of the own availability zone,
	// which stay usable for longer while the zone is cut off from the others.
	MaxZoneLayoutLag time.Duration
	// FirstLoanID is the number from which loan IDs count up. It is random, so
	// that the IDs of different processes don't collide.
	FirstLoanID uint64
	// Invariants records violations, such as a limit that is exceeded; nil records
	// nothing.
	Invariants *invariant.Recorder
}

// Placer chooses targets for one instance and counts its requests in flight. It
// is not safe for concurrent use.
type Placer struct {
	options          Options
	snapshot         *config.Snapshot
	fleetEntitlement entitlement // to units of regions and links
	zoneEntitlement  entitlement // to slots of targets in the own availability zone
	services         map[string]*service
	targets          map[string]*target
	regions          map[string]*region
	homeRegion       *region // of this instance
	shifts           map[string]*shift
	maxHold          time.Duration // longest time that a unit of any pool stays in use
	sharesWillGrow   bool          // a share will change after some time, without any event
	loans            loanLedger
	choiceCount      uint64 // calls of Choose; tells whether region.cachedHeadroom is current
	shareVersion     uint64 // counts changes of shares; tells whether target.cachedOwnSlots is current
}

// New returns a placer that chooses no target until Update has been called.
func New(o Options) *Placer {
	return &Placer{
		options: o, services: map[string]*service{}, targets: map[string]*target{},
		regions: map[string]*region{}, shifts: map[string]*shift{}, loans: loanLedger{lastID: o.FirstLoanID},
	}
}

// Choose picks a target for a request and counts the request as in flight on it.
// The own availability zone comes first, then the own region, then other
// regions. Among equally near targets the lowest score wins (see target.score);
// in other regions, the score is divided by the link's headroom. A shift that
// may move the request tries the region that it moves to before all others.
func (p *Placer) Choose(r Request, now time.Time) (Grant, error) {
	if p.snapshot == nil {
		return Grant{}, ErrNoTarget
	}
	s := p.services[r.Route.Service]
	if s == nil {
		return Grant{}, ErrNoTarget
	}
	p.choiceCount++
	p.observeSeat(now)
	p.expireLoans(now)
	use := linkUseOf(r)
	shift := p.shiftOf(r, now)
	best, usable := (*target)(nil), false
	moved := false
	if shift != nil && shift.mayMove() {
		best, _ = p.pickTarget(s, r, use, p.regions[shift.To], now)
		moved = best != nil
		if !moved {
			s.noteShortage(1)
			s.shortageRegion = shift.To
		}
	}
	if best == nil {
		best, usable = p.pickTarget(s, r, use, nil, now)
	}
	if best == nil && usable {
		s.noteShortage(1)
		return Grant{}, ErrOverloaded
	}
	if best == nil {
		return Grant{}, s.refusal(now)
	}
	return p.grant(best, use, shift, moved, now), nil
}

// pickTarget returns the best target that has room, or nil. usable reports
// whether any target accepts work, with or without room. If only is not nil,
// targets of other regions are left out.
func (p *Placer) pickTarget(s *service, r Request, use linkUse, only *region, now time.Time) (best *target, usable bool) {
	var bestScore float64
	var bestRank distance
	for _, t := range s.targets {
		if only != nil && t.region != only || !t.acceptsWork(now) || excluded(r.Exclude, t.Name) {
			continue
		}
		usable = true
		rank := t.rank(now)
		if best != nil && rank > bestRank {
			continue
		}
		limit := p.usableSlots(t, now)
		if t.inFlight >= t.limitShare(limit, now) || !p.regionHasRoom(t.region, now) {
			continue
		}
		score := t.score(limit, now)
		if t.distance == distanceOtherRegion {
			headroom := p.linkHeadroom(t.region, use, now)
			if headroom <= 0 {
				continue
			}
			score /= headroom
		}
		if best == nil || rank < bestRank || score < bestScore {
			best, bestRank, bestScore = t, rank, score
		}
	}
	return best, usable
}

// grant counts a request on its chosen target and returns the grant. moved says
// that the shift has moved the request.
func (p *Placer) grant(t *target, use linkUse, shift *shift, moved bool, now time.Time) Grant {
	g := Grant{Target: t.Target, Region: t.region.name, target: t, region: t.region, otherRegion: t.distance == distanceOtherRegion, start: now, shift: shift, Reason: reasonByDistance[t.distance]}
	if shift != nil {
		shift.countPlaced(moved)
	}
	if moved {
		g.Reason = ReasonShift
	}
	t.inFlight++
	t.region.inFlight++
	t.service.requestStarted(now)
	t.lastChoice = p.choiceCount
	if g.otherRegion {
		g.linkUnits = use
		p.addLinkUse(g.region, use, 1)
	}
	p.checkInvariants(&g, now)
	return g
}

// checkInvariants records each invariant that a new grant violates: limits of slots,
// regions, links and shifts, and no new requests for a target that is drained, leaves or
// pauses.
func (p *Placer) checkInvariants(g *Grant, now time.Time) {
	t, rec := g.target, p.options.Invariants
	if share := p.usableSlots(t, now); t.inFlight > share {
		rec.Check(false, invariant.TargetWithinSlots, "%s: %d in flight of %d", t.Name, t.inFlight, share)
	}
	if share := p.regionShare(t.region, now); t.region.inFlight > share {
		rec.Check(false, invariant.RegionWithinBudget, "%s: %d in flight of %d", t.region.name, t.region.inFlight, share)
	}
	if g.otherRegion && !p.linksWithinBudget(g.region, g.linkUnits, now) {
		rec.Check(false, invariant.LinkWithinBudget, "between %s and %s", p.homeRegion.name, t.region.name)
	}
	if t.drained || t.refuses(now) {
		rec.Check(false, invariant.LeavingGetsNothing, "%s", t.Name)
	}
	if s := g.shift; s != nil && s.moved*ppm > s.capPPM*s.seen {
		rec.Check(false, invariant.ShiftWithinCap, "%s: %d of %d", s.Name, s.moved, s.seen)
	}
}

// Done ends the request of a grant, frees its units and records its outcome.
func (p *Placer) Done(g Grant, outcome Outcome, now time.Time) {
	t := g.target
	if t == nil {
		return
	}
	t.inFlight--
	t.service.inFlight--
	g.region.inFlight--
	if g.otherRegion {
		p.addLinkUse(g.region, g.linkUnits, -1)
	}
	took := now.Sub(g.start)
	t.recordOutcome(outcome, took, now)
	if g.shift != nil {
		g.shift.recordOutcome(g.Reason == ReasonShift, outcome, took, now)
	}
}

// InFlight returns the number of requests that this instance has in flight on
// a target, by the target's name.
func (p *Placer) InFlight(name string) int {
	if t := p.targets[name]; t != nil {
		return t.inFlight
	}
	return 0
}

func excluded(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
