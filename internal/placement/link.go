package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// linkUnitBytes is the size of one unit of a link's budget. A request takes at
	// least one unit in each direction, which also limits the number of requests.
	linkUnitBytes = 4 << 10
	// interactiveLinkWindow and bulkLinkWindow set how many bytes of a class may
	// be in flight on a link: as many as the class's part of the link's rate
	// transmits in this time.
	interactiveLinkWindow = time.Second
	bulkLinkWindow        = 4 * time.Second
	// interactiveLinkPercent and bulkLinkPercent are the parts of a link's rate for
	// the two classes of routes. The rest is left for traffic that is not counted
	// here.
	interactiveLinkPercent = 30
	bulkLinkPercent        = 50
	bytesPerMegabit        = 1_000_000 / 8
)

// direction is a direction of a region's link, as seen from the region.
type direction int

const (
	outbound direction = iota
	inbound
)

// linkUse is the number of units that one request takes on the links between two
// regions.
type linkUse struct {
	class                       config.Class
	requestUnits, responseUnits int
}

// linkUseOf returns the units that a request takes. The response counts with the
// route's typical size, since its true size is not known yet.
func linkUseOf(r Request) linkUse {
	return linkUse{class: r.Route.Class, requestUnits: linkUnitsOf(r.Bytes), responseUnits: linkUnitsOf(int64(r.Route.TypicalResponseBytes))}
}

// linkUnitsOf returns the units that a number of bytes takes, at least 1.
func linkUnitsOf(bytes int64) int {
	return int(max(1, (bytes+linkUnitBytes-1)/linkUnitBytes))
}

// region holds the budgets of a config.Region and their use by this instance.
type region struct {
	name         string
	hasLimit     bool // inFlightPool limits the requests
	inFlightPool pool
	inFlight     int // requests in flight from this instance
	// links holds, for each class of routes, the pools of linkUnitBytes that may be
	// in flight on the region's link: one pool per direction, indexed by direction.
	links map[config.Class]*[2]pool

	// The latest result of linkHeadroom, and the value of Placer.choiceCount when it
	// was computed.
	cachedHeadroom       float64
	cachedHeadroomChoice uint64
}

func newRegion(name string) *region {
	r := &region{name: name, links: map[config.Class]*[2]pool{config.ClassInteractive: {}, config.ClassBulk: {}}}
	r.inFlightPool.offset = poolOffset("region", name)
	for class, pools := range r.links {
		for d := range pools {
			pools[d].offset = poolOffset("link/"+string(class), name) + uint64(d)
		}
	}
	return r
}

// configure sets the sizes of the region's pools. maxHold gives, for each class of
// routes (interactive or bulk), how long one request can keep units of a pool in use:
// the longest timeout of any route of the class.
func (r *region) configure(c config.Region, maxHold map[config.Class]time.Duration) {
	r.hasLimit = c.MaxInFlight > 0
	r.inFlightPool.resize(c.MaxInFlight, max(maxHold[config.ClassInteractive], maxHold[config.ClassBulk]))
	r.configureLinks(config.ClassInteractive, c.LinkMbps*interactiveLinkPercent/100, interactiveLinkWindow, maxHold)
	r.configureLinks(config.ClassBulk, c.LinkMbps*bulkLinkPercent/100, bulkLinkWindow, maxHold)
}

// configureLinks sets the sizes of a class's pools, one per direction, to the number
// of units of linkUnitBytes that mbps megabits per second transmit in a window.
func (r *region) configureLinks(class config.Class, mbps int, window time.Duration, maxHold map[config.Class]time.Duration) {
	units := mbps * bytesPerMegabit * int(window/time.Second) / linkUnitBytes
	for d := range r.links[class] {
		r.links[class][d].resize(units, maxHold[class])
	}
}

// regionShare returns how many requests this instance may have in flight in a
// region. Without a limit it returns the requests in flight now, so that a check
// against it always passes.
func (p *Placer) regionShare(r *region, now time.Time) int {
	if !r.hasLimit {
		return r.inFlight
	}
	return r.inFlightPool.share(&p.fleetEntitlement, p.options.MaxFleetLayoutLag, now)
}

// regionHasRoom reports whether this instance may have one more request in flight in
// a region.
func (p *Placer) regionHasRoom(r *region, now time.Time) bool {
	return !r.hasLimit || r.inFlight < p.regionShare(r, now)
}

// linkHeadroom returns the fraction, 0 to 1, of this instance's link budgets that
// is still free once a request to another region has taken its units: the
// smallest over the outbound and inbound pools of both regions, or 0 if the
// request does not fit. The result is cached for one call of Choose.
func (p *Placer) linkHeadroom(r *region, use linkUse, now time.Time) float64 {
	if r.cachedHeadroomChoice == p.choiceCount {
		return r.cachedHeadroom
	}
	here, there := p.homeRegion.links[use.class], r.links[use.class]
	r.cachedHeadroomChoice = p.choiceCount
	r.cachedHeadroom = min(
		p.headroomAfter(&here[outbound], use.requestUnits, now), p.headroomAfter(&there[inbound], use.requestUnits, now),
		p.headroomAfter(&there[outbound], use.responseUnits, now), p.headroomAfter(&here[inbound], use.responseUnits, now))
	return r.cachedHeadroom
}

// headroomAfter returns the fraction of the instance's share of a pool that is
// free once units are taken, or 0 if they are not free. It is positive even if
// the last unit is taken, so that 0 always means that the request does not fit.
func (p *Placer) headroomAfter(budget *pool, units int, now time.Time) float64 {
	share := budget.share(&p.fleetEntitlement, p.options.MaxFleetLayoutLag, now)
	if budget.inUse+units > share {
		return 0
	}
	return float64(share-budget.inUse-units+1) / float64(share+1)
}

// addLinkUse adds (sign 1) or removes (sign -1) the units of a request.
func (p *Placer) addLinkUse(r *region, use linkUse, sign int) {
	here, there := p.homeRegion.links[use.class], r.links[use.class]
	here[outbound].inUse += sign * use.requestUnits
	there[inbound].inUse += sign * use.requestUnits
	there[outbound].inUse += sign * use.responseUnits
	here[inbound].inUse += sign * use.responseUnits
}

// linksWithinBudget reports whether this instance stays within its shares of the
// links between its own region and r.
func (p *Placer) linksWithinBudget(r *region, use linkUse, now time.Time) bool {
	for _, pools := range []*[2]pool{p.homeRegion.links[use.class], r.links[use.class]} {
		for d := range pools {
			if pools[d].inUse > pools[d].share(&p.fleetEntitlement, p.options.MaxFleetLayoutLag, now) {
				return false
			}
		}
	}
	return true
}
