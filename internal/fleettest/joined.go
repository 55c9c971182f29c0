package fleettest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/limit"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// Shape of a joined fleet. A single wrong token shows best where the rate is
// low, a wrong flow where it is high.
const (
	fullFleetSize       = 9
	fullFleetZones      = 3
	initialSeatsPerZone = 3 // of each zone at first
	fullFleetListLag    = 5 * time.Second
	takeoverMargin      = time.Second
	tokenTolerance      = 1e-6
	seatCheckPeriod     = 50 * time.Millisecond
)

var testWorkspaces = []config.Workspace{{Name: "busy", Rate: 30, Burst: 12}, {Name: "rare", Rate: 0.3, Burst: 3}}

// Variant is a deliberate error in the use of the cores.
type Variant int

// Variants.
const (
	Correct Variant = iota
	// DatesEvidenceAtReceipt takes evidence as of the arrival of an answer.
	DatesEvidenceAtReceipt
	// ForgetsUnknownWrites vouches in spite of writes of unknown outcome.
	ForgetsUnknownWrites
	// CachesSeat uses a seat once held without asking again.
	CachesSeat
	// SkipsSettleTime uses a new layout at once.
	SkipsSettleTime
	// SkipsWriterCheck writes seat tables without asking who is listed.
	SkipsWriterCheck
)

// FullFleet is a fleet whose processes also write control records, hold seats
// and limit rates. Every guarantee is checked while it runs.
type FullFleet struct {
	*Fleet
	variant          Variant
	rand             *rand.Rand // of the schedule and the load
	configs          map[uint64]configContent
	acceptedTables   map[string][]acceptedTable // by zone, in order of version
	meters           map[string]*tokenMeter
	processes        map[*Node]*process
	startedProcesses uint64
	trace            []string
	counts           SoakCounts
	storeDownSince   time.Time
	storeCutUntil    map[Location]time.Time // sites cut off from the store, and until when
}

// SoakCounts tell how much of what matters a run has met.
type SoakCounts struct {
	Requests, Allowed int
	Configs, Tables   int // accepted writes
	Unknown           int // writes of unknown outcome
	Seated            int // looks at a process that could use its seat
	Vouched           int // looks at a process that was fresh though the store had been down for longer than the bound
}

// content is what the processes read in a version of the configuration.
type configContent struct {
	snapshot         *config.Snapshot
	writers          []freshness.WriterID
	layoutAcceptedAt time.Time // acceptance of the newest change of seats
}

type acceptedTable struct {
	at    time.Time
	table seat.Table
	proto *peerpb.SeatTable
}

// meter counts admissions exactly: in some interval they exceed rate*d + burst
// if and only if its level goes below zero.
type tokenMeter struct {
	rate, burst, level float64
	at                 time.Time
}

func (m *tokenMeter) take(now time.Time) bool {
	m.level = min(m.burst, m.level+now.Sub(m.at).Seconds()*m.rate) - 1
	m.at = now
	return m.level >= -tokenTolerance
}

// NewFullFleet returns a joined fleet that starts now.
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

func zoneName(zone int) string { return fmt.Sprintf("region-%d-zone-%d", zone, zone) }

func compileSnapshot(version uint64, seats map[string]int) *config.Snapshot {
	d := &config.Document{Workspaces: testWorkspaces}
	for zone := range fullFleetZones {
		d.AvailabilityZones = append(d.AvailabilityZones, config.AvailabilityZone{Name: zoneName(zone), Instances: seats[zoneName(zone)]})
	}
	return config.Compile(version, d)
}

func (fleet *FullFleet) zoneSeats(s *config.Snapshot) []limit.ZoneSeats {
	var out []limit.ZoneSeats
	for _, z := range s.Document.AvailabilityZones {
		out = append(out, limit.ZoneSeats{AvailabilityZone: z.Name, Seats: z.Seats()})
	}
	return out
}

// acceptConfig applies a write on top of a version and tells whether it took
// effect.
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

// acceptTable does the same for the seat table of a zone, if the given
// configuration is the newest one.
func (fleet *FullFleet) acceptSeatTable(zone string, config, base uint64, next seat.Table) bool {
	if base != fleet.newestSeatTable(zone).Version || config != fleet.Store.newestRecord().Version && fleet.variant != SkipsWriterCheck {
		return false
	}
	value, err := next.Encode()
	fleet.check(err == nil, "encode: %v", err)
	fleet.acceptedTables[zone] = append(fleet.acceptedTables[zone], acceptedTable{
		at: fleet.Bus.Now, table: next, proto: &peerpb.SeatTable{AvailabilityZone: zone, Version: next.Version, Value: value},
	})
	fleet.counts.Tables++
	fleet.note("table %d of %s is accepted: %s", next.Version, zone, value)
	return true
}

func (fleet *FullFleet) newestSeatTable(zone string) seat.Table {
	if all := fleet.acceptedTables[zone]; len(all) > 0 {
		return all[len(all)-1].table
	}
	return seat.Table{}
}

func (fleet *FullFleet) newestSeatTables() []*peerpb.SeatTable {
	var out []*peerpb.SeatTable
	for zone := range fullFleetZones {
		if all := fleet.acceptedTables[zoneName(zone)]; len(all) > 0 {
			out = append(out, all[len(all)-1].proto)
		}
	}
	return out
}

// watch checks the seats every checkPeriod, beside what the processes check
// themselves.
func (fleet *FullFleet) scheduleSeatChecks() {
	fleet.checkSeats()
	fleet.Bus.After(seatCheckPeriod, fleet.scheduleSeatChecks)
}

// checkSeats asserts that no seat has two users, and that whoever is fresh
// knows every seat table of its zone that is older than the bound.
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

func (fleet *FullFleet) checkSeatTableAge(p *process) {
	zone := p.node.Member.AvailabilityZone
	held, due := p.node.Dissemination.SeatTable(zone).GetVersion(), uint64(0)
	for _, t := range fleet.acceptedTables[zone] {
		if t.at.Before(fleet.Bus.Now.Add(-KeyFreshness)) {
			due = t.table.Version
		}
	}
	fleet.check(held >= due, "%v is fresh with seat table %d of %s although %d was accepted over %s ago", p.id, held, zone, due, KeyFreshness)
}

func (fleet *FullFleet) countAllowed(p *process, workspace string) {
	fleet.counts.Allowed++
	m := fleet.meters[workspace]
	if !m.take(fleet.Bus.Now) {
		fleet.check(false, "%v admits a request of %s beyond its limit, by %g", p.id, workspace, -m.level)
	}
}

// note remembers an event for the report of a failure.
func (fleet *FullFleet) note(format string, args ...any) {
	fleet.trace = append(fleet.trace, fmt.Sprintf("%s: ", fleet.Bus.Now.Sub(Start))+fmt.Sprintf(format, args...))
}

// Trace returns the last events, at most n.
func (fleet *FullFleet) Trace(n int) []string { return fleet.trace[max(0, len(fleet.trace)-n):] }
