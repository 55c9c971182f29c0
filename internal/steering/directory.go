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
	// AnswerTTL is how long a client may cache an answer that names instances.
	AnswerTTL = 5 * time.Second
	// noInstanceTTL is how long a client may cache the answer that no instance
	// is live.
	noInstanceTTL = time.Second
	// MaxAnswerInstances is the largest number of instances in an answer. The
	// last of them is in another availability zone than the first, if one has
	// live instances, so that a client whose zone fails still knows a live one.
	MaxAnswerInstances = 3
)

// Answer lists the instances that a client should send its requests to.
type Answer struct {
	instances [MaxAnswerInstances]*membership.Member
	count     int
	// TTL is how long the client may cache the answer.
	TTL time.Duration
}

// Instances returns the instances of the answer, most preferred first. They
// are shared with the Directory and must not be modified.
func (a *Answer) Instances() []*membership.Member { return a.instances[:a.count] }

func (a *Answer) add(m *membership.Member) {
	if m != nil && a.count < MaxAnswerInstances {
		a.instances[a.count] = m
		a.count++
	}
}

// Site is a location of clients. Its clients are served by its availability
// zone while that has live instances with enough capacity.
type Site struct {
	Name             string
	AvailabilityZone string
	// Demand is the load of the site's clients, in any unit that is the same
	// for all sites. Only the ratios between sites count.
	Demand float64
}

// Topology groups availability zones into regions.
type Topology interface {
	// RegionOf returns the region of an availability zone.
	RegionOf(zone string) string
}

// Candidate is an instance that answers may include if it is live.
type Candidate struct {
	Member membership.Member
	// Key is hashed instead of the member's name if it is not empty. An
	// instance that replaces another and gets the other's key also gets its
	// clients, and no other client is moved.
	Key string
	// Weight sets the instance's share of the clients of its availability zone,
	// in proportion to the weights of the zone's other instances. 1 is the usual
	// value; instances with a weight of 0 or less are left out.
	Weight float64
}

// Directory answers look-ups from precomputed rankings of the instances of each
// availability zone. It is immutable, except that it reads a Table which may
// change. When instances change, a new Directory is built; it shares the
// rankings of the zones whose instances did not change.
type Directory struct {
	table    *Table
	rankings map[string]*zoneRanking // by availability zone
	bySite   []*zoneAnswers          // by SiteID
	// unknownSite answers clients whose address is not in the table.
	unknownSite *zoneAnswers
}

// zoneAnswers computes the answers for the clients of one availability zone.
type zoneAnswers struct {
	// rankingBySlot holds, for each slot, the ranking of the zone that serves
	// it. If it is nil, ownRanking serves all slots.
	rankingBySlot []*zoneRanking
	ownRanking    *zoneRanking
	// backups are the rankings of the other availability zones, nearest first.
	backups []*zoneRanking
}

// BuildDirectory returns a directory of the live candidates. SiteID values of
// the table are indexes of sites. The rankings of the previous directory, which
// may be nil, are reused for zones whose candidates did not change.
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

// Lookup returns the answer for a client's address. It does not allocate memory.
func (d *Directory) Lookup(addr netip.Addr) Answer {
	answers := d.unknownSite
	if site, ok := d.table.Lookup(addr); ok && int(site) < len(d.bySite) {
		answers = d.bySite[site]
	}
	return answers.answer(BlockOf(addr).hash() % slotCount)
}

// answer returns the best instances of the zone that serves the slot, followed
// by the best one of each other zone, nearest first, as far as there is room.
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

// newZoneAnswers distributes the slots of a zone's clients over the zones that
// serve them, in proportion to the shares.
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

// newUnknownSiteAnswers distributes the slots over all availability zones by
// weighted rendezvous hashing, in proportion to their number of instances.
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

// hashKey returns the string whose hash decides the candidate's ranks.
func (c *Candidate) hashKey() string {
	if c.Key != "" {
		return c.Key
	}
	return c.Member.Name
}

// liveByZone groups the live candidates by availability zone, sorted by name.
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

// maxDistance is the distance between availability zones of different regions.
const maxDistance = 2

// distanceBetween returns 0 for the same availability zone, 1 for zones of the
// same region and maxDistance for all others.
func distanceBetween(a, b string, topology Topology) int {
	switch {
	case a == b:
		return 0
	case topology.RegionOf(a) == topology.RegionOf(b):
		return 1
	}
	return maxDistance
}
