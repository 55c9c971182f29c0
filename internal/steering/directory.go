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
	// noInstanceTTL is how long a caller may cache that no instance is live.
	noInstanceTTL = time.Second
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
	table    *Table
	rankings map[string]*zoneRanking
	bySite   []*zoneAnswers
	// unknownSite serves callers whose site is not known.
	unknownSite *zoneAnswers
}

// zoneAnswers serves the callers of one availability zone.
type zoneAnswers struct {
	// rankingBySlot holds the ring that serves a group of blocks; if it is nil, the
	// zone's own ring serves all of them.
	rankingBySlot []*zoneRanking
	ownRanking    *zoneRanking
	// backups are the rings of other availability zones, nearest first.
	backups []*zoneRanking
}

// BuildDirectory returns the directory for the live ones among the candidates. Rings of
// the previous directory, which may be nil, are reused where their members did
// not change.
func BuildDirectory(table *Table, sites []Site, topology Topology, candidates []Candidate, previous *Directory) *Directory {
	byZone := liveByZone(candidates)
	zones := sortedKeys(byZone)
	d := &Directory{table: table, rankings: map[string]*zoneRanking{}}
	for _, zone := range zones {
		var before *zoneRanking
		if previous != nil {
			before = previous.rankings[zone]
		}
		d.rankings[zone] = buildZoneRanking(byZone[zone], before)
	}
	shares := spreadDemand(sites, byZone, topology)
	answers := map[string]*zoneAnswers{}
	for _, site := range sites {
		zone := site.AvailabilityZone
		if answers[zone] == nil {
			answers[zone] = d.newZoneAnswers(zone, shares[zone], zones, topology)
		}
		d.bySite = append(d.bySite, answers[zone])
	}
	d.unknownSite = d.newUnknownSiteAnswers(byZone, zones)
	return d
}

// Lookup returns the answer for a caller's address. It does not allocate.
func (d *Directory) Lookup(addr netip.Addr) Answer {
	answers := d.unknownSite
	if site, ok := d.table.Lookup(addr); ok && int(site) < len(d.bySite) {
		answers = d.bySite[site]
	}
	return answers.answer(BlockOf(addr).hash() % slotCount)
}

func (z *zoneAnswers) answer(slot uint64) Answer {
	first := z.ownRanking
	if z.rankingBySlot != nil {
		first = z.rankingBySlot[slot]
	}
	if first == nil {
		return Answer{TTL: noInstanceTTL}
	}
	a := Answer{TTL: AnswerTTL}
	for rank := range rankedPerSlot {
		a.add(first.memberAt(slot, rank))
	}
	for _, backup := range z.backups {
		if backup != first && a.count < MaxAnswerInstances {
			a.add(backup.memberAt(slot, 0))
		}
	}
	return a
}

func (d *Directory) newZoneAnswers(zone string, shares []share, zones []string, topology Topology) *zoneAnswers {
	z := &zoneAnswers{ownRanking: d.rankings[zone]}
	for distance := range maxDistance + 1 {
		for _, other := range zones {
			if other != zone && distanceBetween(zone, other, topology) == distance {
				z.backups = append(z.backups, d.rankings[other])
			}
		}
	}
	if len(shares) == 1 && shares[0].zone == zone || len(shares) == 0 {
		return z
	}
	z.rankingBySlot = make([]*zoneRanking, slotCount)
	for slot := range z.rankingBySlot {
		u := uniform(slotHash(xxhash.Sum64String(zone), uint64(slot)))
		z.rankingBySlot[slot] = d.rankings[pickZone(shares, u)]
	}
	return z
}

// newUnknownSiteAnswers spreads groups of blocks over all availability zones in
// proportion to their instances.
func (d *Directory) newUnknownSiteAnswers(byZone map[string][]Candidate, zones []string) *zoneAnswers {
	z := &zoneAnswers{}
	if len(zones) == 0 {
		return z
	}
	for _, zone := range zones {
		z.backups = append(z.backups, d.rankings[zone])
	}
	z.rankingBySlot = make([]*zoneRanking, slotCount)
	for slot := range z.rankingBySlot {
		best := -1.0
		for _, zone := range zones {
			u := uniform(slotHash(xxhash.Sum64String(zone), uint64(slot)))
			if score := float64(len(byZone[zone])) / -math.Log(u); score > best {
				best, z.rankingBySlot[slot] = score, d.rankings[zone]
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
