package dissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
)

// maxReportedVersions bounds the versions listed in one report. If there are
// more, the lowest and the highest half of that number are kept. The lowest
// belong to the instances that lag behind.
const maxReportedVersions = 8

// seatTables holds the seat tables that this instance keeps, by availability
// zone: that of its own zone, and at a watcher those of all zones.
type seatTables struct {
	ownZone string // name of the own availability zone
	tables  map[string]*peerpb.SeatTable
}

func (s *seatTables) version(zone string) uint64 { return s.tables[zone].GetVersion() }

// versions lists the version held of the own zone's table, or of all tables that
// are held, sorted by zone.
func (s *seatTables) versions(allZones bool) []*peerpb.ZoneVersion {
	out := []*peerpb.ZoneVersion{{AvailabilityZone: s.ownZone, Version: s.version(s.ownZone)}}
	if !allZones {
		return out
	}
	for zone, t := range s.tables {
		if zone != s.ownZone {
			out = append(out, &peerpb.ZoneVersion{AvailabilityZone: zone, Version: t.GetVersion()})
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.ZoneVersion) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
	return out
}

// merge keeps each of the given tables whose version is higher than that of the table
// held for the same availability zone.
func (s *seatTables) merge(tables []*peerpb.SeatTable) {
	for _, t := range tables {
		if t.GetVersion() > s.version(t.GetAvailabilityZone()) {
			s.tables[t.GetAvailabilityZone()] = t
		}
	}
}

// newerThan returns the tables that a puller asks for and that are newer here
// than there, sorted by zone.
func (s *seatTables) newerThan(r *peerpb.SyncRequest) []*peerpb.SeatTable {
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

// SeatTable returns the seat table of an availability zone, or nil if none is
// held.
func (c *Core) SeatTable(zone string) *peerpb.SeatTable { return c.seats.tables[zone] }

// StoreReadAnswered concludes a read of the store that began at the moment sent.
// A nil record means that the store has no record or the version already held.
func (c *Core) StoreReadAnswered(sent time.Time, record *Record, tables []*peerpb.SeatTable) {
	c.openReads, c.storeReachable = c.openReads-1, true
	c.seats.merge(tables)
	if record != nil {
		c.accept(record)
	}
	c.observe(observation{asOf: sent, allZones: true, versions: freshness.Versions{
		Config: c.history.newest().Version, Seats: c.seats.version(c.seats.ownZone),
	}})
}

// StoreReadFailed concludes a read of the store that gave no result.
func (c *Core) StoreReadFailed() { c.openReads, c.storeReachable = c.openReads-1, false }

// accept makes a record with all its chunks the newest one, unless its version is
// that of the record held or lower.
func (c *Core) accept(r *Record) {
	held := c.history.newest().Version
	if r.Version == held || r.Version < held && !c.options.LowerVersions {
		return
	}
	c.options.Invariants.Check(r.Version > held, invariant.VersionNeverReverts, "accepted %d after %d", r.Version, held)
	c.history.push(r)
	c.fetching = nil
}

// Reject drops the newest record if it is of the given version and that version
// is not in force. Call it if the record turns out to be unusable: it is then
// pulled again and not passed on. The record before it becomes the newest again. If
// that record's chunks have been dropped, this instance holds no record at all, and
// the next one must come with a full chunk list.
func (c *Core) Reject(version uint64) {
	if version == c.inForce || version != c.history.newest().Version {
		return
	}
	c.history.pop()
	c.pendingObservation = observation{}
}

// AnswerPull returns the answer to another instance's pull.
func (c *Core) AnswerPull(now time.Time, r *peerpb.SyncRequest) *peerpb.SyncResponse {
	c.childReports[r.GetFrom()] = childReport{receivedAt: now, report: r.GetReport()}
	out := &peerpb.SyncResponse{Evidence: c.evidence(now, r), Seats: c.seats.newerThan(r)}
	newest := c.history.newest()
	if newest.Version <= r.GetConfigVersion() {
		return out
	}
	out.Manifest, out.Chunks = c.history.changesSince(r.GetConfigVersion())
	if len(r.GetWantedChunks()) > 0 {
		wanted := make([]string, len(r.GetWantedChunks()))
		for i, h := range r.GetWantedChunks() {
			wanted[i] = string(h)
		}
		out.Chunks = newest.selectChunks(wanted)
	}
	return out
}

// evidence returns the evidence for the answer to a pull. Every instance has
// evidence for the seat table of its own zone. For a puller of another zone, or
// one that keeps the tables of all zones, only evidence that covers all zones
// counts.
func (c *Core) evidence(now time.Time, r *peerpb.SyncRequest) *peerpb.Evidence {
	e := c.options.Tracker.Evidence(now)
	if r.GetAvailabilityZone() != c.seats.ownZone || r.GetAllZones() {
		e.Versions.Config, e.Age = c.inForce, ageOf(c.allZonesAsOf, now)
	}
	e.Versions.Seats = c.seats.version(r.GetAvailabilityZone())
	return peerpb.EvidenceToProto(e)
}

// ageOf returns the age of evidence as of a moment, or -1 if that is zero, which
// means that there is no evidence.
func ageOf(asOf, now time.Time) time.Duration {
	if asOf.IsZero() {
		return -1
	}
	return now.Sub(asOf)
}

// PullAnswered concludes a pull with its answer. Evidence is dated back from the
// sending of the pull, as its age was measured at some time after that.
func (c *Core) PullAnswered(now time.Time, id uint64, m *peerpb.SyncResponse) {
	p, ok := c.openPulls[id]
	if !ok {
		return
	}
	delete(c.openPulls, id)
	c.consecutiveFailures = 0
	c.seats.merge(m.GetSeats())
	c.receiveRecord(now, m)
	sent := p.sent
	if c.options.AsOfReceipt {
		sent = now
	}
	e := peerpb.EvidenceFromProto(m.GetEvidence())
	if e.Age >= 0 {
		c.observe(observation{asOf: sent.Add(-e.Age), allZones: p.allZones, versions: e.Versions})
	}
	e.Age = -1
	c.options.Tracker.Merge(sent, e) // with no age, only the vouchers count
}

// observe records an observation as evidence if its versions are in force here, and
// otherwise keeps it until they are.
func (c *Core) observe(o observation) {
	c.options.Tracker.RecordInForce(c.versionsInForce())
	if !c.versionsInForce().Covers(o.versions) {
		c.pendingObservation = o
		return
	}
	c.options.Tracker.Observe(o.asOf, o.versions)
	if o.allZones && o.asOf.After(c.allZonesAsOf) {
		c.allZonesAsOf = o.asOf
	}
}

// receiveRecord takes the manifest and the chunks of an answer. It accepts the
// record once it is complete; while chunks are missing, the next Tick pulls
// again.
func (c *Core) receiveRecord(now time.Time, m *peerpb.SyncResponse) {
	manifest := m.GetManifest()
	newest := c.history.newest()
	if manifest == nil || manifest.GetVersion() <= newest.Version && !c.options.LowerVersions {
		return
	}
	if c.fetching == nil || manifest.GetVersion() != c.fetching.Version {
		hashes, ok := applyManifest(manifest, newest.Version, newest.Hashes)
		if !ok {
			return
		}
		c.fetching = c.beginFetch(manifest, hashes)
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

// beginFetch returns the record that a manifest describes, with those of its
// chunks that are held already.
func (c *Core) beginFetch(m *peerpb.Manifest, hashes []string) *Record {
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

// Report counts the instances that have each version of the configuration in
// force: this instance and all that pull from it, directly or through others.
func (c *Core) Report(now time.Time) *peerpb.InForceReport {
	counts := map[uint64]uint32{c.inForce: 1}
	for name, child := range c.childReports {
		if now.Sub(child.receivedAt) > reportLifetime {
			delete(c.childReports, name)
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
