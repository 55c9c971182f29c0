package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

const (
	// linkUnit is the granularity of link budgets, in bytes. A request takes at
	// least one unit in each direction, which bounds the number of requests.
	linkUnit = 4 << 10
	// interactiveWindow and bulkWindow are the times in which a class's part of
	// a link carries all its bytes that may be in flight.
	interactiveWindow = time.Second
	bulkWindow        = 4 * time.Second
	// interactivePart and bulkPart divide a link between the classes, in
	// percent. The rest is for traffic that is not accounted for.
	interactivePart = 30
	bulkPart        = 50
	bytesPerMegabit = 1_000_000 / 8
)

// direction of a region's link, seen from the region.
type direction int

const (
	outbound direction = iota
	inbound
)

// linkUse is what one request takes of the links between two regions.
type linkUse struct {
	class             config.Class
	request, response int // units
}

func useOf(r Request) linkUse {
	return linkUse{class: r.Route.Class, request: linkUnits(r.Bytes), response: linkUnits(int64(r.Route.TypicalResponseBytes))}
}

func linkUnits(bytes int64) int {
	return int(max(1, (bytes+linkUnit-1)/linkUnit))
}

// region is the placer's view of a config.Region.
type region struct {
	name     string
	bounded  bool // by inFlight
	inFlight pool
	used     int // requests in flight from this instance
	links    map[config.Class]*[2]pool

	// The headroom of the links for the present choice.
	headroom float64
	choice   uint64
}

func newRegion(name string) *region {
	r := &region{name: name, links: map[config.Class]*[2]pool{config.ClassInteractive: {}, config.ClassBulk: {}}}
	r.inFlight.offset = offsetOf("region", name)
	for class, pools := range r.links {
		for d := range pools {
			pools[d].offset = offsetOf("link/"+string(class), name) + uint64(d)
		}
	}
	return r
}

// set takes over a configuration. The settle times are those of the routes.
func (r *region) set(c config.Region, settle map[config.Class]time.Duration) {
	r.bounded = c.MaxInFlight > 0
	r.inFlight.set(c.MaxInFlight, max(settle[config.ClassInteractive], settle[config.ClassBulk]))
	r.setLinks(config.ClassInteractive, c.LinkMbps*interactivePart/100, interactiveWindow, settle)
	r.setLinks(config.ClassBulk, c.LinkMbps*bulkPart/100, bulkWindow, settle)
}

func (r *region) setLinks(class config.Class, mbps int, window time.Duration, settle map[config.Class]time.Duration) {
	units := mbps * bytesPerMegabit * int(window/time.Second) / linkUnit
	for d := range r.links[class] {
		r.links[class][d].set(units, settle[class])
	}
}

// regionShare returns the requests that this instance may have in flight in a
// region.
func (p *Placer) regionShare(r *region, now time.Time) int {
	if !r.bounded {
		return r.used
	}
	return r.inFlight.share(&p.fleet, p.options.MaxFleetLayoutLag, now)
}

func (p *Placer) regionHasRoom(r *region, now time.Time) bool {
	return !r.bounded || r.used < p.regionShare(r, now)
}

// linkHeadroom returns the least part of the links' budgets between here and a
// region that is left once a request has taken its units; 0 if it does not fit.
func (p *Placer) linkHeadroom(r *region, use linkUse, now time.Time) float64 {
	if r.choice == p.choices {
		return r.headroom
	}
	here, there := p.home.links[use.class], r.links[use.class]
	r.choice = p.choices
	r.headroom = min(
		p.left(&here[outbound], use.request, now), p.left(&there[inbound], use.request, now),
		p.left(&there[outbound], use.response, now), p.left(&here[inbound], use.response, now))
	return r.headroom
}

// left returns the part of a pool's share that is free once units are taken. A
// request that takes the last unit still leaves a positive part.
func (p *Placer) left(b *pool, units int, now time.Time) float64 {
	share := b.share(&p.fleet, p.options.MaxFleetLayoutLag, now)
	if b.used+units > share {
		return 0
	}
	return float64(share-b.used-units+1) / float64(share+1)
}

// takeLinks adds (sign 1) or removes (sign -1) a request's use.
func (p *Placer) takeLinks(r *region, use linkUse, sign int) {
	here, there := p.home.links[use.class], r.links[use.class]
	here[outbound].used += sign * use.request
	there[inbound].used += sign * use.request
	there[outbound].used += sign * use.response
	here[inbound].used += sign * use.response
}

func (p *Placer) linksWithin(r *region, use linkUse, now time.Time) bool {
	for _, pools := range []*[2]pool{p.home.links[use.class], r.links[use.class]} {
		for d := range pools {
			if pools[d].used > pools[d].share(&p.fleet, p.options.MaxFleetLayoutLag, now) {
				return false
			}
		}
	}
	return true
}
