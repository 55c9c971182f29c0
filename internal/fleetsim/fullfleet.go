package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Shape of a full fleet.
const (
	fullFleetSize       = 9 // instances at the start
	fullFleetZones      = 3 // each in a region of its own
	initialSeatsPerZone = 3
	fullFleetListLag    = 5 * time.Second
	// takeoverMargin is how long the new holder of a seat waits beyond KeyFreshness.
	takeoverMargin = time.Second
	// tokenTolerance allows for rounding errors in the count of tokens.
	tokenTolerance  = 1e-6
	seatCheckPeriod = 50 * time.Millisecond
)

// testWorkspaces have a high and a low rate. A single token too many shows best at
// the low rate, a constant excess at the high one.
var testWorkspaces = []config.Workspace{{Name: "busy", Rate: 30, Burst: 12}, {Name: "rare", Rate: 0.3, Burst: 3}}

// Variant is a full fleet's deliberate error, by which tests show that the checks of
// a run can fail.
type Variant int

// Variants.
const (
	// Correct has no error.
	Correct Variant = iota
	// DatesEvidenceAtReceipt dates evidence at the arrival of an answer instead of
	// the sending of its request.
	DatesEvidenceAtReceipt
	// ForgetsUnknownWrites takes a write of unknown outcome as rejected, so that the
	// writer goes on vouching that it has no write under way.
	ForgetsUnknownWrites
	// CachesSeat goes on using a seat that the process held once, although its
	// evidence may be too old.
	CachesSeat
	// SkipsSettleTime uses a new number of seats at once, although other instances
	// may still use the old one.
	SkipsSettleTime
	// SkipsWriterCheck lets a process write seat tables although the newest
	// configuration does not list it as a writer.
	SkipsWriterCheck
)

// FullFleet is a fleet whose nodes also write the configuration and the seat tables,
// hold seats and limit the rates of workspaces. It checks while it runs that no seat
// has two users, no workspace exceeds its limit, and no instance whose freshness
// evidence is younger than KeyFreshness lacks a change that was accepted more than
// KeyFreshness ago. Freshness evidence is a moment up to which an instance is known to
// have every accepted change (see package freshness).
type FullFleet struct {
	*Fleet
	variant          Variant
	rand             *rand.Rand                 // decides faults, writes and requests; the network has its own
	configs          map[uint64]configContent   // by version
	acceptedTables   map[string][]acceptedTable // by zone, in order of version
	meters           map[string]*tokenMeter     // by workspace
	processes        map[*Node]*process
	startedProcesses uint64   // number so far, which is the incarnation of the newest process
	trace            []string // what note recorded
	counts           SoakCounts
	storeDownSince   time.Time              // zero while the store is up
	storeCutUntil    map[Location]time.Time // end of the time in which a location does not reach the store
}

// SoakCounts tells how often a run came to the situations that it is meant to check.
type SoakCounts struct {
	// Requests counts the requests, and Allowed those that got a token.
	Requests, Allowed int
	// Configs and Tables count the accepted writes of the configuration and of seat
	// tables, and Unknown the writes of both whose outcome the writer did not learn.
	Configs, Tables int
	Unknown         int
	// Seated counts the checks that found a process with a usable seat.
	Seated int
	// Vouched counts, summed over the steps, the nodes whose freshness evidence was
	// younger than KeyFreshness although the store had been down for more than twice
	// KeyFreshness.
	Vouched int
}

// configContent is what a version of the configuration contains. The chunks in Store
// carry no content, so the nodes look it up here by version.
type configContent struct {
	snapshot         *config.Snapshot
	writers          []freshness.WriterID
	layoutAcceptedAt time.Time // when the store accepted the last change of the number of seats
}

// acceptedTable is a version of a zone's seat table and the time of its acceptance.
type acceptedTable struct {
	at    time.Time
	table seat.Table
	proto *peerpb.SeatTable
}

// tokenMeter checks the requests of one workspace over the whole fleet against its
// limit, as one exact token bucket. Its level goes below zero if and only if, in some
// interval of length d, more than rate*d + burst requests were allowed.
type tokenMeter struct {
	rate, burst, level float64   // rate in tokens per second, the others in tokens
	at                 time.Time // of the last request
}

// take counts an allowed request and tells whether it was within the limit.
func (m *tokenMeter) take(now time.Time) bool {
	m.level = min(m.burst, m.level+now.Sub(m.at).Seconds()*m.rate) - 1
	m.at = now
	return m.level >= -tokenTolerance
}

// NewFullFleet returns a full fleet at the time Start. Its first two instances are
// the listed writers, and the store has a location of its own.
func NewFullFleet(seed uint64, v Variant) *FullFleet {
	fleet := &FullFleet{
		variant: v, rand: rand.New(rand.NewPCG(seed, 7)), configs: map[uint64]configContent{},
		acceptedTables: map[string][]acceptedTable{}, meters: map[string]*tokenMeter{}, processes: map[*Node]*process{},
		storeCutUntil: map[Location]time.Time{},
	}
	for _, w := range testWorkspaces {
		fleet.meters[w.Name] = &tokenMeter{rate: w.Rate, burst: float64(w.Burst), level: float64(w.Burst), at: Start}
	}
	fleet.Fleet = New(Options{
		Size: fullFleetSize, Zones: fullFleetZones, Regions: fullFleetZones, Seed: seed, ListLag: fullFleetListLag, Chunks: 4, ChunkBytes: 16,
		Faults:      Faults{Loss: 0.02, Duplicate: 0.02, Jitter: 10 * time.Millisecond},
		AsOfReceipt: v == DatesEvidenceAtReceipt, NewExtension: fleet.newProcess,
	})
	seats := map[string]int{}
	for zone := range fullFleetZones {
		seats[zoneName(zone)] = initialSeatsPerZone
	}
	fleet.configs[1] = configContent{
		snapshot: compileSnapshot(1, seats), layoutAcceptedAt: Start,
		writers: []freshness.WriterID{fleet.processes[fleet.Nodes[0]].id, fleet.processes[fleet.Nodes[1]].id},
	}
	fleet.Store.Location = Location{Region: fullFleetZones, Zone: fullFleetZones}
	fleet.Bus.CutOff = fleet.isCutOff
	fleet.Store.SeatTables = fleet.newestSeatTables
	fleet.scheduleSeatChecks()
	return fleet
}

// zoneName returns the name of an availability zone, as Fleet.start names it.
func zoneName(zone int) string { return fmt.Sprintf("region-%d-zone-%d", zone, zone) }

// compileSnapshot returns a configuration with these numbers of seats by zone.
func compileSnapshot(version uint64, seats map[string]int) *config.Snapshot {
	d := &config.Document{Workspaces: testWorkspaces}
	for zone := range fullFleetZones {
		d.AvailabilityZones = append(d.AvailabilityZones, config.AvailabilityZone{Name: zoneName(zone), Instances: seats[zoneName(zone)]})
	}
	return config.Compile(version, d)
}

// zoneSeats returns the number of seats of each zone in a configuration.
func (fleet *FullFleet) zoneSeats(s *config.Snapshot) []ratelimit.ZoneSeats {
	var out []ratelimit.ZoneSeats
	for _, z := range s.Document.AvailabilityZones {
		out = append(out, ratelimit.ZoneSeats{AvailabilityZone: z.Name, Seats: z.Seats()})
	}
	return out
}

// acceptConfig is the store's side of a write of the configuration. The write takes
// effect, and true is returned, if base is the newest version. A zero
// layoutAcceptedAt in next stands for now.
func (fleet *FullFleet) acceptConfig(base uint64, next configContent, seats map[string]int) bool {
	if base != fleet.Store.newestRecord().Version {
		return false
	}
	version := fleet.Store.Accept(fleet.Bus.Now)
	next.snapshot = compileSnapshot(version, seats)
	if next.layoutAcceptedAt.IsZero() {
		next.layoutAcceptedAt = fleet.Bus.Now
	}
	fleet.configs[version] = next
	fleet.counts.Configs++
	fleet.note("version %d is accepted, writers %v, seats %v", version, next.writers, seats)
	return true
}

// acceptSeatTable is the store's side of a write of a zone's seat table. The write
// takes effect, and true is returned, if base is the newest version of the table and
// config the newest version of the configuration. The variant SkipsWriterCheck leaves
// out the second condition.
func (fleet *FullFleet) acceptSeatTable(zone string, config, base uint64, next seat.Table) bool {
	if base != fleet.newestSeatTable(zone).Version || config != fleet.Store.newestRecord().Version && fleet.variant != SkipsWriterCheck {
		return false
	}
	value, err := next.Encode()
	fleet.check(err == nil, "cannot encode a seat table: %v", err)
	fleet.acceptedTables[zone] = append(fleet.acceptedTables[zone], acceptedTable{
		at: fleet.Bus.Now, table: next, proto: &peerpb.SeatTable{AvailabilityZone: zone, Version: next.Version, Value: value},
	})
	fleet.counts.Tables++
	fleet.note("table %d of %s is accepted: %s", next.Version, zone, value)
	return true
}

// newestSeatTable returns the newest seat table of a zone, or an empty one.
func (fleet *FullFleet) newestSeatTable(zone string) seat.Table {
	if all := fleet.acceptedTables[zone]; len(all) > 0 {
		return all[len(all)-1].table
	}
	return seat.Table{}
}

// newestSeatTables returns the newest seat tables of all zones that have one.
func (fleet *FullFleet) newestSeatTables() []*peerpb.SeatTable {
	var out []*peerpb.SeatTable
	for zone := range fullFleetZones {
		if all := fleet.acceptedTables[zoneName(zone)]; len(all) > 0 {
			out = append(out, all[len(all)-1].proto)
		}
	}
	return out
}

// scheduleSeatChecks calls checkSeats now and every seatCheckPeriod.
func (fleet *FullFleet) scheduleSeatChecks() {
	fleet.checkSeats()
	fleet.Bus.After(seatCheckPeriod, fleet.scheduleSeatChecks)
}

// checkSeats checks that no two running processes may use the same seat now, and
// calls checkSeatTableAge for each process whose freshness evidence is younger than
// KeyFreshness.
func (fleet *FullFleet) checkSeats() {
	now := fleet.Bus.Now
	users := map[string]*process{}
	for _, n := range fleet.Nodes {
		if now.Before(n.pausedUntil) {
			continue
		}
		p := fleet.processes[n]
		if n.Freshness.Fresh(now, KeyFreshness) {
			fleet.checkSeatTableAge(p)
		}
		s, ok := p.currentSeat(now)
		if !ok {
			continue
		}
		fleet.counts.Seated++
		key := fmt.Sprintf("%s/%d", s.AvailabilityZone, s.Index)
		if other := users[key]; other != nil {
			fleet.check(false, "seat %s is used by %v and %v", key, other.id, p.id)
		}
		users[key] = p
	}
}

// checkSeatTableAge checks that a process whose freshness evidence is younger than
// KeyFreshness has every seat table of its zone that was accepted more than
// KeyFreshness ago.
func (fleet *FullFleet) checkSeatTableAge(p *process) {
	zone := p.node.Member.AvailabilityZone
	held, due := p.node.Dissemination.SeatTable(zone).GetVersion(), uint64(0)
	for _, t := range fleet.acceptedTables[zone] {
		if t.at.Before(fleet.Bus.Now.Add(-KeyFreshness)) {
			due = t.table.Version
		}
	}
	fleet.check(held >= due, "%v has fresh evidence and seat table %d of %s although table %d was accepted more than %s ago", p.id, held, zone, due, KeyFreshness)
}

// countAllowed counts an allowed request and checks its workspace's limit.
func (fleet *FullFleet) countAllowed(p *process, workspace string) {
	fleet.counts.Allowed++
	m := fleet.meters[workspace]
	if !m.take(fleet.Bus.Now) {
		fleet.check(false, "%v allowed a request of workspace %s beyond its limit, by %g tokens", p.id, workspace, -m.level)
	}
}

// note records an event, with the virtual time since Start, for Trace.
func (fleet *FullFleet) note(format string, args ...any) {
	fleet.trace = append(fleet.trace, fmt.Sprintf("%s: ", fleet.Bus.Now.Sub(Start))+fmt.Sprintf(format, args...))
}

// Trace returns the last n events of the run: faults, recoveries and accepted writes.
func (fleet *FullFleet) Trace(n int) []string { return fleet.trace[max(0, len(fleet.trace)-n):] }
