package dissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
)

// maxReportedVersions bounds the versions of one report; the lowest ones are
// kept apart, as they are the ones that are behind.
const maxReportedVersions = 8

// seatTables holds the seat tables that this instance keeps.
type seatTables struct {
	own    string // availability zone
	tables map[string]*peerpb.SeatTable
}

func (s *seatTables) version(zone string) uint64 { return s.tables[zone].GetVersion() }

func (s *seatTables) versions(all bool) []*peerpb.ZoneVersion {
	out := []*peerpb.ZoneVersion{{AvailabilityZone: s.own, Version: s.version(s.own)}}
	if !all {
		return out
	}
	for zone, t := range s.tables {
		if zone != s.own {
			out = append(out, &peerpb.ZoneVersion{AvailabilityZone: zone, Version: t.GetVersion()})
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.ZoneVersion) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
	return out
}

func (s *seatTables) merge(tables []*peerpb.SeatTable) {
	for _, t := range tables {
		if t.GetVersion() > s.version(t.GetAvailabilityZone()) {
			s.tables[t.GetAvailabilityZone()] = t
		}
	}
}

// newer returns the tables that a puller lacks.
func (s *seatTables) newer(r *peerpb.SyncRequest) []*peerpb.SeatTable {
	held := map[string]uint64{}
	for _, z := range r.GetSeats() {
		held[z.GetAvailabilityZone()] = z.GetVersion()
	}
	var out []*peerpb.SeatTable
	for zone, t := range s.tables {
		if (r.GetAllZones() || zone == r.GetAvailabilityZone()) && t.GetVersion() > held[zone] {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.SeatTable) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
	return out
}

// SeatTable returns the seat table of a zone; nil if none is held.
func (c *Core) SeatTable(zone string) *peerpb.SeatTable { return c.seats.tables[zone] }

// StoreRead concludes a read of the store that was sent at a moment. A nil
// record means that the store holds the version that is held already, or none.
func (c *Core) StoreRead(sent time.Time, record *Record, tables []*peerpb.SeatTable) {
	c.reading, c.storeOK = c.reading-1, true
	c.seats.merge(tables)
	if record != nil {
		c.accept(record)
	}
	c.observe(claim{asOf: sent, allZones: true, versions: freshness.Versions{
		Config: c.history.newest().Version, Seats: c.seats.version(c.seats.own),
	}})
}

// StoreFailed concludes a read of the store without an answer.
func (c *Core) StoreFailed() { c.reading, c.storeOK = c.reading-1, false }

// accept takes a whole record unless it is older than the one held.
func (c *Core) accept(r *Record) {
	held := c.history.newest().Version
	if r.Version == held || r.Version < held && !c.options.LowerVersions {
		return
	}
	c.options.Invariants.Check(r.Version > held, invariant.VersionNeverReverts, "accepted %d after %d", r.Version, held)
	c.history.push(r)
	c.fetching = nil
}

// Reject drops the newest whole record if it has a version that cannot be used
// and is not in force, so that it is pulled again and not passed on. Records
// that follow from it have to come with a whole chunk list.
func (c *Core) Reject(version uint64) {
	if version == c.applied || version != c.history.newest().Version {
		return
	}
	c.history.pop()
	c.waiting = claim{}
}

// Answer answers another instance's pull.
func (c *Core) Answer(now time.Time, r *peerpb.SyncRequest) *peerpb.SyncResponse {
	c.reports[r.GetFrom()] = childReport{at: now, report: r.GetReport()}
	out := &peerpb.SyncResponse{Evidence: c.evidence(now, r), Seats: c.seats.newer(r)}
	newest := c.history.newest()
	if newest.Version <= r.GetConfigVersion() {
		return out
	}
	out.Manifest, out.Chunks = c.history.delta(r.GetConfigVersion())
	if len(r.GetWantedChunks()) > 0 {
		wanted := make([]string, len(r.GetWantedChunks()))
		for i, h := range r.GetWantedChunks() {
			wanted[i] = string(h)
		}
		out.Chunks = newest.chunks(wanted)
	}
	return out
}

// evidence is what this instance vouches for to a puller. It can vouch for the
// seat table of its own zone, and for those of others only if it keeps all.
func (c *Core) evidence(now time.Time, r *peerpb.SyncRequest) *peerpb.Evidence {
	e := c.options.Tracker.Evidence(now)
	if r.GetAvailabilityZone() != c.seats.own || r.GetAllZones() {
		e.Versions.Config, e.Age = c.applied, ageOf(c.allAsOf, now)
	}
	e.Versions.Seats = c.seats.version(r.GetAvailabilityZone())
	return peerpb.EvidenceToProto(e)
}

// ageOf returns the age of evidence; negative if there is none.
func ageOf(asOf, now time.Time) time.Duration {
	if asOf.IsZero() {
		return -1
	}
	return now.Sub(asOf)
}

// Pulled concludes a pull with its answer.
func (c *Core) Pulled(now time.Time, id uint64, m *peerpb.SyncResponse) {
	p, ok := c.open[id]
	if !ok {
		return
	}
	delete(c.open, id)
	c.failures = 0
	c.seats.merge(m.GetSeats())
	c.fetch(now, m)
	sent := p.sent
	if c.options.AsOfReceipt {
		sent = now
	}
	e := peerpb.EvidenceFromProto(m.GetEvidence())
	if e.Age >= 0 {
		c.observe(claim{asOf: sent.Add(-e.Age), allZones: p.allZones, versions: e.Versions})
	}
	e.Age = -1
	c.options.Tracker.Merge(sent, e) // the vouchers
}

// observe takes a claim whose version is in force, and keeps another one until
// it is.
func (c *Core) observe(e claim) {
	c.options.Tracker.RecordHeld(c.held())
	if !c.held().Covers(e.versions) {
		c.waiting = e
		return
	}
	c.options.Tracker.Observe(e.asOf, e.versions)
	if e.allZones && e.asOf.After(c.allAsOf) {
		c.allAsOf = e.asOf
	}
}

// fetch takes the manifest and chunks of an answer, and asks again at once
// while chunks are missing.
func (c *Core) fetch(now time.Time, m *peerpb.SyncResponse) {
	manifest := m.GetManifest()
	newest := c.history.newest()
	if manifest == nil || manifest.GetVersion() <= newest.Version && !c.options.LowerVersions {
		return
	}
	if c.fetching == nil || manifest.GetVersion() != c.fetching.Version {
		hashes, ok := apply(manifest, newest.Version, newest.Hashes)
		if !ok {
			return
		}
		c.fetching = c.begin(manifest, hashes)
	}
	for _, chunk := range m.GetChunks() {
		c.fetching.Chunks[string(chunk.GetHash())] = chunk.GetData()
	}
	if len(c.fetching.missing()) > 0 {
		c.nextPull = earlier(c.nextPull, now)
		return
	}
	c.accept(c.fetching)
}

// begin returns a record with the chunks that are held already.
func (c *Core) begin(m *peerpb.Manifest, hashes []string) *Record {
	r := &Record{Version: m.GetVersion(), Head: m.GetHead(), Hashes: hashes, Chunks: map[string][]byte{}}
	for _, from := range []*Record{c.history.newest(), c.fetching} {
		if from == nil {
			continue
		}
		for _, h := range hashes {
			if data, ok := from.Chunks[h]; ok {
				r.Chunks[h] = data
			}
		}
	}
	return r
}

// Report sums up this instance and those that pull from it.
func (c *Core) Report(now time.Time) *peerpb.InForceReport {
	counts := map[uint64]uint32{c.applied: 1}
	for name, child := range c.reports {
		if now.Sub(child.at) > reportTime {
			delete(c.reports, name)
			continue
		}
		for _, v := range child.report.GetVersions() {
			counts[v.GetVersion()] += v.GetInstances()
		}
	}
	out := &peerpb.InForceReport{}
	for version, n := range counts {
		out.Versions = append(out.Versions, &peerpb.VersionCount{Version: version, Instances: n})
	}
	slices.SortFunc(out.Versions, func(a, b *peerpb.VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	if extra := len(out.Versions) - maxReportedVersions; extra > 0 {
		out.Versions = slices.Delete(out.Versions, maxReportedVersions/2, maxReportedVersions/2+extra)
	}
	return out
}
