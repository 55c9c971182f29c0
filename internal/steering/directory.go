package steering

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// AnswerTTL is how long a caller may cache an answer.
	AnswerTTL = 5 * time.Second
	// emptyTTL is how long a caller may cache that no instance is live.
	emptyTTL = time.Second
	// MaxAnswerInstances is the number of instances that an answer names at most.
	// The last of them is outside the availability zone of the first, so that a
	// caller whose zone fails still knows an instance that lives.
	MaxAnswerInstances = 3
)

// Answer names the instances that a caller should use.
type Answer struct {
	instances [MaxAnswerInstances]*membership.Member
	count     int
	// TTL is how long the answer may be cached.
	TTL time.Duration
}

// Instances returns the named instances, best first. They must not be changed.
func (a *Answer) Instances() []*membership.Member { return a.instances[:a.count] }

func (a *Answer) add(m *membership.Member) {
	if m != nil && a.count < MaxAnswerInstances {
		a.instances[a.count] = m
		a.count++
	}
}

// Site is a place that callers are steered to.
type Site struct {
	Name             string
	AvailabilityZone string
	// Demand is the site's share of all callers' load, relative to other sites.
	Demand float64
}

// Topology gives the distance between availability zones.
type Topology interface {
	// RegionOf returns the region of an availability zone.
	RegionOf(zone string) string
}

// Candidate is an instance that may be named, with its weight.
type Candidate struct {
	Member membership.Member
	// Key is hashed in place of the member's name if it is set. A replacement
	// that takes over the key of its predecessor takes over its callers, and no
	// others move.
	Key string
	// Weight is the instance's share relative to others, above 0; 1 is usual.
	Weight float64
}

// Directory answers look-ups from precomputed rings, one for each availability
// zone. It is immutable; a change of members builds a new one that shares the
// rings that did not change.
type Directory struct {
	table  *Table
	rings  map[string]*ring
	bySite []*zoneAnswers
	// anywhere serves callers whose site is not known.
	anywhere *zoneAnswers
}

// zoneAnswers serves the callers of one availability zone.
type zoneAnswers struct {
	// bySlot holds the ring that serves a group of blocks; if it is nil, the
	// zone's own ring serves all of them.
	bySlot []*ring
	own    *ring
	// backups are the rings of other availability zones, nearest first.
	backups []*ring
}

// BuildDirectory returns the directory for the live ones among the candidates. Rings of
// the previous directory, which may be nil, are reused where their members did
// not change.
func BuildDirectory(table *Table, sites []Site, topology Topology, candidates []Candidate, previous *Directory) *Directory {
	byZone := liveByZone(candidates)
	zones := sortedKeys(byZone)
	d := &Directory{table: table, rings: map[string]*ring{}}
	for _, zone := range zones {
		var before *ring
		if previous != nil {
			before = previous.rings[zone]
		}
		d.rings[zone] = buildRing(byZone[zone], before)
	}
	shares := spread(sites, byZone, topology)
	answers := map[string]*zoneAnswers{}
	for _, site := range sites {
		zone := site.AvailabilityZone
		if answers[zone] == nil {
			answers[zone] = d.newZoneAnswers(zone, shares[zone], zones, topology)
		}
		d.bySite = append(d.bySite, answers[zone])
	}
	d.anywhere = d.newAnywhere(byZone, zones)
	return d
}

// Lookup returns the answer for a caller's address. It does not allocate.
func (d *Directory) Lookup(addr netip.Addr) Answer {
	answers := d.anywhere
	if site, ok := d.table.Lookup(addr); ok && int(site) < len(d.bySite) {
		answers = d.bySite[site]
	}
	return answers.answer(BlockOf(addr).hash() % ringSlots)
}

func (z *zoneAnswers) answer(slot uint64) Answer {
	first := z.own
	if z.bySlot != nil {
		first = z.bySlot[slot]
	}
	if first == nil {
		return Answer{TTL: emptyTTL}
	}
	a := Answer{TTL: AnswerTTL}
	for rank := range ringNames {
		a.add(first.member(slot, rank))
	}
	for _, backup := range z.backups {
		if backup != first && a.count < MaxAnswerInstances {
			a.add(backup.member(slot, 0))
		}
	}
	return a
}

func (d *Directory) newZoneAnswers(zone string, shares []share, zones []string, topology Topology) *zoneAnswers {
	z := &zoneAnswers{own: d.rings[zone]}
	for distance := range maxDistance + 1 {
		for _, other := range zones {
			if other != zone && distanceBetween(zone, other, topology) == distance {
				z.backups = append(z.backups, d.rings[other])
			}
		}
	}
	if len(shares) == 1 && shares[0].zone == zone || len(shares) == 0 {
		return z
	}
	z.bySlot = make([]*ring, ringSlots)
	for slot := range z.bySlot {
		u := uniform(slotHash(xxhash.Sum64String(zone), uint64(slot)))
		z.bySlot[slot] = d.rings[pick(shares, u)]
	}
	return z
}

// newAnywhere spreads groups of blocks over all availability zones in
// proportion to their instances.
func (d *Directory) newAnywhere(byZone map[string][]Candidate, zones []string) *zoneAnswers {
	z := &zoneAnswers{}
	if len(zones) == 0 {
		return z
	}
	for _, zone := range zones {
		z.backups = append(z.backups, d.rings[zone])
	}
	z.bySlot = make([]*ring, ringSlots)
	for slot := range z.bySlot {
		best := -1.0
		for _, zone := range zones {
			u := uniform(slotHash(xxhash.Sum64String(zone), uint64(slot)))
			if score := float64(len(byZone[zone])) / -math.Log(u); score > best {
				best, z.bySlot[slot] = score, d.rings[zone]
			}
		}
	}
	return z
}

// hashKey returns what the candidate's rank is computed from.
func (c *Candidate) hashKey() string {
	if c.Key != "" {
		return c.Key
	}
	return c.Member.Name
}

func liveByZone(candidates []Candidate) map[string][]Candidate {
	byZone := map[string][]Candidate{}
	for _, c := range candidates {
		if c.Member.State == membership.Live && c.Weight > 0 {
			byZone[c.Member.AvailabilityZone] = append(byZone[c.Member.AvailabilityZone], c)
		}
	}
	for _, list := range byZone {
		slices.SortFunc(list, func(a, b Candidate) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	}
	return byZone
}

const maxDistance = 2

func distanceBetween(a, b string, topology Topology) int {
	switch {
	case a == b:
		return 0
	case topology.RegionOf(a) == topology.RegionOf(b):
		return 1
	}
	return maxDistance
}
