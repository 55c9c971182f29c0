package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// linkUnit is the granularity of link budgets, in bytes. A request takes at
	// least one unit in each direction, which bounds the number of requests.
	linkUnitBytes = 4 << 10
	// interactiveWindow and bulkWindow are the times in which a class's part of
	// a link carries all its bytes that may be in flight.
	interactiveLinkWindow = time.Second
	bulkLinkWindow        = 4 * time.Second
	// interactivePart and bulkPart divide a link between the classes, in
	// percent. The rest is for traffic that is not accounted for.
	interactiveLinkPercent = 30
	bulkLinkPercent        = 50
	bytesPerMegabit        = 1_000_000 / 8
)

// direction of a region's link, seen from the region.
type direction int

const (
	outbound direction = iota
	inbound
)

// linkUse is what one request takes of the links between two regions.
type linkUse struct {
	class                       config.Class
	requestUnits, responseUnits int // units
}

func linkUseOf(r Request) linkUse {
	return linkUse{class: r.Route.Class, requestUnits: linkUnitsOf(r.Bytes), responseUnits: linkUnitsOf(int64(r.Route.TypicalResponseBytes))}
}

func linkUnitsOf(bytes int64) int {
	return int(max(1, (bytes+linkUnitBytes-1)/linkUnitBytes))
}

// region is the placer's view of a config.Region.
type region struct {
	name         string
	hasLimit     bool // by inFlight
	inFlightPool pool
	inFlight     int // requests in flight from this instance
	links        map[config.Class]*[2]pool

	// The headroom of the links for the present choice.
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

// set takes over a configuration. The settle times are those of the routes.
func (r *region) configure(c config.Region, maxHold map[config.Class]time.Duration) {
	r.hasLimit = c.MaxInFlight > 0
	r.inFlightPool.resize(c.MaxInFlight, max(maxHold[config.ClassInteractive], maxHold[config.ClassBulk]))
	r.configureLinks(config.ClassInteractive, c.LinkMbps*interactiveLinkPercent/100, interactiveLinkWindow, maxHold)
	r.configureLinks(config.ClassBulk, c.LinkMbps*bulkLinkPercent/100, bulkLinkWindow, maxHold)
}

func (r *region) configureLinks(class config.Class, mbps int, window time.Duration, maxHold map[config.Class]time.Duration) {
	units := mbps * bytesPerMegabit * int(window/time.Second) / linkUnitBytes
	for d := range r.links[class] {
		r.links[class][d].resize(units, maxHold[class])
	}
}

// regionShare returns the requests that this instance may have in flight in a
// region.
func (p *Placer) regionShare(r *region, now time.Time) int {
	if !r.hasLimit {
		return r.inFlight
	}
	return r.inFlightPool.share(&p.fleetEntitlement, p.options.MaxFleetLayoutLag, now)
}

func (p *Placer) regionHasRoom(r *region, now time.Time) bool {
	return !r.hasLimit || r.inFlight < p.regionShare(r, now)
}

// linkHeadroom returns the least part of the links' budgets between here and a
// region that is left once a request has taken its units; 0 if it does not fit.
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

// left returns the part of a pool's share that is free once units are taken. A
// request that takes the last unit still leaves a positive part.
func (p *Placer) headroomAfter(b *pool, units int, now time.Time) float64 {
	share := b.share(&p.fleetEntitlement, p.options.MaxFleetLayoutLag, now)
	if b.inUse+units > share {
		return 0
	}
	return float64(share-b.inUse-units+1) / float64(share+1)
}

// takeLinks adds (sign 1) or removes (sign -1) a request's use.
func (p *Placer) addLinkUse(r *region, use linkUse, sign int) {
	here, there := p.homeRegion.links[use.class], r.links[use.class]
	here[outbound].inUse += sign * use.requestUnits
	there[inbound].inUse += sign * use.requestUnits
	there[outbound].inUse += sign * use.responseUnits
	here[inbound].inUse += sign * use.responseUnits
}

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
