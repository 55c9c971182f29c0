// Package placement chooses the target that runs a request. It is a
// deterministic core without I/O.
//
// What all instances share is kept as pools of whole units. A fixed rule deals
// the units of a pool out over seats: the slots of a target over the seats of
// its own availability zone, the requests in a region and the bytes on links
// over the seats of the fleet. So the requests in flight of all instances
// together stay in bound although no instance knows what the others do. An
// instance that runs short borrows slots from others for a short time.
package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Errors of a choice. Either way the request was not run.
var (
	ErrNoTarget   = errors.New("no target can serve this route")
	ErrOverloaded = errors.New("every target of this route is at its limit")
)

// Request describes what is to be placed.
type Request struct {
	Route     *config.Route
	Workspace string
	// Bytes is the size of the request's body if it is known.
	Bytes int64
	// Exclude names targets that were tried already.
	Exclude []string
}

// Reason tells why a target was chosen.
type Reason string

// Reasons of a choice.
const (
	ReasonOwnZone     Reason = "own-zone"
	ReasonOwnRegion   Reason = "own-region"
	ReasonOtherRegion Reason = "across"
	ReasonShift       Reason = "shift"
)

// Grant is the right to run one request on a target. It is given back with
// Done.
type Grant struct {
	Target config.Target
	// Region of the target.
	Region string
	// Reason of the choice.
	Reason Reason

	target      *target
	region      *region
	otherRegion bool
	links       linkUse // zero unless the target is in another region
	shift       *shift  // nil unless the route is being shifted from here
	start       time.Time
}

// Outcome is how the use of a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	Answered Outcome = iota
	NotRun
	Unknown
)

// Options configure a placer.
type Options struct {
	// AvailabilityZone of the instance.
	AvailabilityZone string
	// Seats tells which share of the fleet this instance may use.
	Seats seat.Provider
	// MaxFleetLayoutLag is the time after which every instance has taken over a new
	// number of seats, or has lost its right to its seat.
	MaxFleetLayoutLag time.Duration
	// MaxZoneLayoutLag is the same for the right to the own zone's targets.
	MaxZoneLayoutLag time.Duration
	// FirstLoanID is a random number from which the IDs of loans count up.
	FirstLoanID uint64
	// Invariants records violations; nil checks nothing.
	Invariants *invariant.Recorder
}

// Placer places requests on behalf of one instance. It is not safe for
// concurrent use.
type Placer struct {
	options          Options
	snapshot         *config.Snapshot
	fleetEntitlement entitlement // to shares of regions and links
	zoneEntitlement  entitlement // to shares of the own availability zone's targets
	services         map[string]*service
	targets          map[string]*target
	regions          map[string]*region
	homeRegion       *region // region of the instance
	shifts           map[string]*shift
	maxHold          time.Duration // the longest time that any unit stays in use
	sharesWillGrow   bool          // a share may change by the mere passing of time
	loans            loanLedger
	choiceCount      uint64 // counts choices; marks cached link headroom
	shareVersion     uint64 // counts changes of shares; marks cached ones
}

// New returns a placer.
func New(o Options) *Placer {
	return &Placer{
		options: o, services: map[string]*service{}, targets: map[string]*target{},
		regions: map[string]*region{}, shifts: map[string]*shift{}, loans: loanLedger{lastID: o.FirstLoanID},
	}
}

// Choose picks a target. Near ones come first: the own availability zone, then
// the own region, then the region whose link has most room. Among equally near
// ones it picks the lowest score (see target.score).
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
		return Grant{}, ErrNoTarget
	}
	return p.grant(best, use, shift, moved, now), nil
}

// pick returns the best target, or nil. The result usable tells whether any
// target could be used if it had room. A region, unless nil, is the only one
// considered.
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
		if t.inFlight >= t.limitDuringSlowStart(limit, now) || !p.regionHasRoom(t.region, now) {
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
		g.links = use
		p.addLinkUse(g.region, use, 1)
	}
	p.checkInvariants(&g, now)
	return g
}

// check asserts that a grant is within every budget.
func (p *Placer) checkInvariants(g *Grant, now time.Time) {
	t, rec := g.target, p.options.Invariants
	if share := p.usableSlots(t, now); t.inFlight > share {
		rec.Check(false, invariant.TargetWithinSlots, "%s: %d in flight of %d", t.Name, t.inFlight, share)
	}
	if share := p.regionShare(t.region, now); t.region.inFlight > share {
		rec.Check(false, invariant.RegionWithinBudget, "%s: %d in flight of %d", t.region.name, t.region.inFlight, share)
	}
	if g.otherRegion && !p.linksWithinBudget(g.region, g.links, now) {
		rec.Check(false, invariant.LinkWithinBudget, "between %s and %s", p.homeRegion.name, t.region.name)
	}
	if t.drained || t.leaving {
		rec.Check(false, invariant.LeavingGetsNothing, "%s", t.Name)
	}
	if s := g.shift; s != nil && s.moved*ppm > s.capPPM*s.seen {
		rec.Check(false, invariant.ShiftWithinCap, "%s: %d of %d", s.Name, s.moved, s.seen)
	}
}

// Done gives a grant back.
func (p *Placer) Done(g Grant, outcome Outcome, now time.Time) {
	t := g.target
	if t == nil {
		return
	}
	t.inFlight--
	t.service.inFlight--
	g.region.inFlight--
	if g.otherRegion {
		p.addLinkUse(g.region, g.links, -1)
	}
	took := now.Sub(g.start)
	t.recordOutcome(outcome, took, now)
	if g.shift != nil {
		g.shift.recordOutcome(g.Reason == ReasonShift, outcome, took, now)
	}
}

// InFlight returns the number of requests that this instance has in flight on
// a target.
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
