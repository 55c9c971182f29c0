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
	joinedSize    = 9
	joinedZones   = 3
	joinedSeats   = 3 // of each zone at first
	joinedListLag = 5 * time.Second
	seatMargin    = time.Second
	tokenRounding = 1e-6
	checkPeriod   = 50 * time.Millisecond
)

var joinedWorkspaces = []config.Workspace{{Name: "busy", Rate: 30, Burst: 12}, {Name: "rare", Rate: 0.3, Burst: 3}}

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
	variant   Variant
	rand      *rand.Rand // of the schedule and the load
	contents  map[uint64]content
	tables    map[string][]acceptedTable // by zone, in order of version
	admitted  map[string]*meter
	processes map[*Node]*process
	started   uint64
	trace     []string
	counts    SoakCounts
	downSince time.Time
	storeCut  map[Location]time.Time // sites cut off from the store, and until when
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
type content struct {
	snapshot *config.Snapshot
	writers  []freshness.WriterID
	layoutAt time.Time // acceptance of the newest change of seats
}

type acceptedTable struct {
	at    time.Time
	table seat.Table
	proto *peerpb.SeatTable
}

// meter counts admissions exactly: in some interval they exceed rate*d + burst
// if and only if its level goes below zero.
type meter struct {
	rate, burst, level float64
	at                 time.Time
}

func (m *meter) admit(now time.Time) bool {
	m.level = min(m.burst, m.level+now.Sub(m.at).Seconds()*m.rate) - 1
	m.at = now
	return m.level >= -tokenRounding
}

// NewFullFleet returns a joined fleet that starts now.
func NewFullFleet(seed uint64, v Variant) *FullFleet {
	j := &FullFleet{
		variant: v, rand: rand.New(rand.NewPCG(seed, 7)), contents: map[uint64]content{},
		tables: map[string][]acceptedTable{}, admitted: map[string]*meter{}, processes: map[*Node]*process{},
		storeCut: map[Location]time.Time{},
	}
	for _, w := range joinedWorkspaces {
		j.admitted[w.Name] = &meter{rate: w.Rate, burst: float64(w.Burst), level: float64(w.Burst), at: Start}
	}
	j.Fleet = New(Options{
		Size: joinedSize, Zones: joinedZones, Regions: joinedZones, Seed: seed, ListLag: joinedListLag, Chunks: 4, ChunkBytes: 16,
		Faults:      Faults{Loss: 0.02, Duplicate: 0.02, Jitter: 10 * time.Millisecond},
		AsOfReceipt: v == DatesEvidenceAtReceipt, NewExtension: j.newProcess,
	})
	seats := map[string]int{}
	for zone := range joinedZones {
		seats[zoneName(zone)] = joinedSeats
	}
	j.contents[1] = content{
		snapshot: snapshotOf(1, seats), layoutAt: Start,
		writers: []freshness.WriterID{j.processes[j.Nodes[0]].id, j.processes[j.Nodes[1]].id},
	}
	j.Store.Location = Location{Region: joinedZones, Zone: joinedZones}
	j.Bus.CutOff = j.cutOff
	j.Store.SeatTables = j.seatTables
	j.watch()
	return j
}

func zoneName(zone int) string { return fmt.Sprintf("region-%d-zone-%d", zone, zone) }

func snapshotOf(version uint64, seats map[string]int) *config.Snapshot {
	d := &config.Document{Workspaces: joinedWorkspaces}
	for zone := range joinedZones {
		d.AvailabilityZones = append(d.AvailabilityZones, config.AvailabilityZone{Name: zoneName(zone), Instances: seats[zoneName(zone)]})
	}
	return config.Compile(version, d)
}

func (j *FullFleet) layout(s *config.Snapshot) []limit.ZoneSeats {
	var out []limit.ZoneSeats
	for _, z := range s.Document.AvailabilityZones {
		out = append(out, limit.ZoneSeats{AvailabilityZone: z.Name, Seats: z.Seats()})
	}
	return out
}

// acceptConfig applies a write on top of a version and tells whether it took
// effect.
func (j *FullFleet) acceptConfig(base uint64, next content, seats map[string]int) bool {
	if base != j.Store.newest().Version {
		return false
	}
	version := j.Store.Accept(j.Bus.Now)
	next.snapshot = snapshotOf(version, seats)
	if next.layoutAt.IsZero() {
		next.layoutAt = j.Bus.Now
	}
	j.contents[version] = next
	j.counts.Configs++
	j.note("version %d is accepted, writers %v, seats %v", version, next.writers, seats)
	return true
}

// acceptTable does the same for the seat table of a zone, if the given
// configuration is the newest one.
func (j *FullFleet) acceptTable(zone string, config, base uint64, next seat.Table) bool {
	if base != j.table(zone).Version || config != j.Store.newest().Version && j.variant != SkipsWriterCheck {
		return false
	}
	value, err := next.Encode()
	j.check(err == nil, "encode: %v", err)
	j.tables[zone] = append(j.tables[zone], acceptedTable{
		at: j.Bus.Now, table: next, proto: &peerpb.SeatTable{AvailabilityZone: zone, Version: next.Version, Value: value},
	})
	j.counts.Tables++
	j.note("table %d of %s is accepted: %s", next.Version, zone, value)
	return true
}

func (j *FullFleet) table(zone string) seat.Table {
	if all := j.tables[zone]; len(all) > 0 {
		return all[len(all)-1].table
	}
	return seat.Table{}
}

func (j *FullFleet) seatTables() []*peerpb.SeatTable {
	var out []*peerpb.SeatTable
	for zone := range joinedZones {
		if all := j.tables[zoneName(zone)]; len(all) > 0 {
			out = append(out, all[len(all)-1].proto)
		}
	}
	return out
}

// watch checks the seats every checkPeriod, beside what the processes check
// themselves.
func (j *FullFleet) watch() {
	j.checkSeats()
	j.Bus.After(checkPeriod, j.watch)
}

// checkSeats asserts that no seat has two users, and that whoever is fresh
// knows every seat table of its zone that is older than the bound.
func (j *FullFleet) checkSeats() {
	now := j.Bus.Now
	users := map[string]*process{}
	for _, n := range j.Nodes {
		if now.Before(n.pausedUntil) {
			continue
		}
		p := j.processes[n]
		if n.Freshness.Fresh(now, KeyFreshness) {
			j.checkTable(p)
		}
		s, ok := p.seat(now)
		if !ok {
			continue
		}
		j.counts.Seated++
		key := fmt.Sprintf("%s/%d", s.AvailabilityZone, s.Index)
		if other := users[key]; other != nil {
			j.check(false, "seat %s is used by %v and %v", key, other.id, p.id)
		}
		users[key] = p
	}
}

func (j *FullFleet) checkTable(p *process) {
	zone := p.n.Member.AvailabilityZone
	held, due := p.n.Dissemination.SeatTable(zone).GetVersion(), uint64(0)
	for _, t := range j.tables[zone] {
		if t.at.Before(j.Bus.Now.Add(-KeyFreshness)) {
			due = t.table.Version
		}
	}
	j.check(held >= due, "%v is fresh with seat table %d of %s although %d was accepted over %s ago", p.id, held, zone, due, KeyFreshness)
}

func (j *FullFleet) admit(p *process, workspace string) {
	j.counts.Allowed++
	m := j.admitted[workspace]
	if !m.admit(j.Bus.Now) {
		j.check(false, "%v admits a request of %s beyond its limit, by %g", p.id, workspace, -m.level)
	}
}

// note remembers an event for the report of a failure.
func (j *FullFleet) note(format string, args ...any) {
	j.trace = append(j.trace, fmt.Sprintf("%s: ", j.Bus.Now.Sub(Start))+fmt.Sprintf(format, args...))
}

// Trace returns the last events, at most n.
func (j *FullFleet) Trace(n int) []string { return j.trace[max(0, len(j.trace)-n):] }
