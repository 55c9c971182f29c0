package server

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	seatPeriod = 200 * time.Millisecond
	// claimPeriod is the time between two claims of an instance without a seat.
	claimPeriod = time.Second
	// seatMargin allows for the drift of clocks and for the life of the tokens
	// that a former holder granted last.
	seatMargin = time.Second
)

// seats are the seat of this instance and, at a writer, the wishes of others.
type seats struct {
	keeper   *seat.Tracker // guarded by Server.mu
	claimed  time.Time
	claims   map[string][]seat.Process // by availability zone
	releases map[string][]seat.Release
	sent     int // messages to writers
	settling settling
}

func (s *Server) newSeats() seats {
	process := seat.Process{Instance: s.options.Name, Incarnation: s.incarnation}
	bounds := seat.Bounds{MaxAge: s.options.KeyFreshness, Reserve: s.options.ReserveBound, TakeoverMargin: seatMargin}
	return seats{
		keeper: seat.NewTracker(process, s.options.AvailabilityZone, bounds),
		claims: map[string][]seat.Process{}, releases: map[string][]seat.Release{},
	}
}

// holder returns who tells which seat this instance may use.
func (s *Server) holder() seat.Provider {
	if s.options.holder != nil {
		return s.options.holder
	}
	return s
}

// Seat implements seat.Provider. The evidence has to cover the configuration
// too, because that says which seat owns what.
func (s *Server) Seat(now time.Time) (seat.Seat, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeSeats(now)
	return s.seats.keeper.Seat(now)
}

// Reserve implements seat.Provider.
func (s *Server) Reserve(now time.Time) (seat.Seat, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeSeats(now)
	return s.seats.keeper.Reserve(now)
}

func (s *Server) observeSeats(now time.Time) {
	s.freshness.Fresh(now, 0)
	table := s.syncer.SeatTable(s.options.AvailabilityZone)
	s.seats.keeper.Observe(s.freshness.AsOf(), table.GetVersion())
}

// seatHolder returns the instance that holds a seat of the own zone.
func (s *Server) seatHolder(index int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seats.keeper.Table().Holder(index)
}

// seatLayout places the own zone's seats among those of the fleet.
func seatLayout(snapshot *config.Snapshot, zone string) seat.Layout {
	l := seat.Layout{
		ZoneGeneration:  snapshot.SeatGenerations[zone],
		FleetGeneration: snapshot.SeatGenerations[config.FleetGeneration],
	}
	for _, z := range snapshot.Document.AvailabilityZones {
		if z.Name == zone {
			l.FirstNumber, l.ZoneSeats = l.FleetSeats, z.Seats()
		}
		l.FleetSeats += z.Seats()
	}
	return l
}

// followSeats adopts the seat table, asks for a seat and does a writer's duty.
func (s *Server) followSeats(ctx context.Context) {
	for ctx.Err() == nil {
		s.adoptSeats()
		if claim := s.dueClaim(time.Now()); claim != nil {
			s.sendToWriter(ctx, claim)
		}
		if s.mayWriteSeats() {
			s.writeSeats(ctx)
		}
		sleep(ctx, seatPeriod)
	}
}

func (s *Server) adoptSeats() {
	layout := seatLayout(s.snapshot.Load(), s.options.AvailabilityZone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seats.keeper.SetLayout(layout)
	table, err := seat.DecodeTable(s.syncer.SeatTable(s.options.AvailabilityZone).GetValue())
	if err != nil {
		s.part("seat").Error().Err(err).Msg("seat: cannot read the table")
		return
	}
	if s.seats.keeper.Adopt(table, time.Now()) {
		index := table.Index(s.seats.keeper.Process())
		s.part("seat").Info().Uint64("version", table.Version).Int("seat", index).Msg("seat: adopted a table")
	}
}

// dueClaim returns the claim to send, if any.
func (s *Server) dueClaim(now time.Time) *peerpb.SeatMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seats.keeper.HasSeat() || s.seats.keeper.Stopped() || now.Sub(s.seats.claimed) < claimPeriod {
		return nil
	}
	s.seats.claimed = now
	p := s.seats.keeper.Process()
	return &peerpb.SeatMessage{AvailabilityZone: s.options.AvailabilityZone, Instance: p.Instance, Incarnation: p.Incarnation}
}

// sendToWriter sends a message to one listed writer, each time another one.
func (s *Server) sendToWriter(ctx context.Context, m *peerpb.SeatMessage) {
	writers := s.listedWriters()
	if len(writers) == 0 {
		return
	}
	s.mu.Lock()
	s.seats.sent++
	w := writers[s.seats.sent%len(writers)]
	s.mu.Unlock()
	if w.Instance == s.options.Name {
		s.receiveSeat(s.options.Name, m)
	} else if address, ok := s.peerAddressOf(w.Instance); ok {
		s.post(ctx, address, &peerpb.Envelope{Message: &peerpb.Envelope_Seat{Seat: m}})
	}
}

// receiveSeat keeps a wish until this instance's duty as a writer.
func (s *Server) receiveSeat(_ string, m *peerpb.SeatMessage) {
	p := seat.Process{Instance: m.GetInstance(), Incarnation: m.GetIncarnation()}
	zone := m.GetAvailabilityZone()
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.GetRelease() {
		s.seats.releases[zone] = append(s.seats.releases[zone],
			seat.Release{Process: p, Clean: m.GetClean(), ReserveClean: m.GetReserveClean()})
		return
	}
	s.seats.claims[zone] = append(s.seats.claims[zone], p)
}

// mayWriteSeats tells whether this process is a listed writer of the control
// records.
func (s *Server) mayWriteSeats() bool {
	for _, w := range s.listedWriters() {
		if w == (author{s}).Self() {
			return true
		}
	}
	return false
}

// writeSeats writes the tables of all zones with wishes. Whoever gets no seat,
// for instance because a write was lost, asks again.
func (s *Server) writeSeats(ctx context.Context) {
	s.seats.settling.observe(s.snapshot.Load().SeatGenerations, time.Now())
	s.mu.Lock()
	claims, releases := s.seats.claims, s.seats.releases
	s.seats.claims, s.seats.releases = map[string][]seat.Process{}, map[string][]seat.Release{}
	s.mu.Unlock()
	for _, z := range s.snapshot.Load().Document.AvailabilityZones {
		d := seat.TableInputs{
			Seats: z.Seats(), Claims: claims[z.Name], Releases: releases[z.Name],
			Gone: func(instance string) bool { return !s.isListed(instance) },
		}
		d.SettledZone, d.SettledFleet = s.settledGenerations(z.Name)
		if len(d.Claims)+len(d.Releases) == 0 {
			continue
		}
		if err := s.writeTable(ctx, z.Name, d); err != nil {
			s.part("seat").Warn().Err(err).Str("zone", z.Name).Msg("seat: could not write the table")
		}
	}
}

func (s *Server) writeTable(ctx context.Context, zone string, d seat.TableInputs) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.platform.Get(ctx, seat.KeyPrefix+zone)
	if err != nil {
		return err
	}
	table, err := seat.DecodeTable(entry.Value)
	if err != nil {
		return err
	}
	next, changed := table.Next(d, fmt.Sprintf("%s-%d", s.options.Name, s.incarnation))
	if !changed {
		return nil
	}
	record, err := s.recordThatListsSelf(ctx)
	if err != nil {
		return err
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	return s.swapTable(ctx, zone, table.Version, platform.Write{
		Key: seat.KeyPrefix + zone, ExpectedRevision: entry.Revision, Value: value, Requires: []platform.Condition{record},
	})
}

// errNotWriter means that other processes are listed as writers by now.
var errNotWriter = errors.New("this process is not a listed writer any more")

// recordThatListsSelf returns the condition that the configuration still lists
// this process as a writer. The other writers vouch for all tables, so a process
// that they don't know of must not write one.
func (s *Server) recordThatListsSelf(ctx context.Context) (platform.Condition, error) {
	entry, err := s.platform.Get(ctx, operator.RecordKey)
	if err != nil {
		return platform.Condition{}, err
	}
	manifest, err := operator.DecodeManifest(entry)
	if err != nil {
		return platform.Condition{}, err
	}
	if !slices.Contains(manifest.Writers, author{s}.Self()) {
		return platform.Condition{}, errNotWriter
	}
	return platform.Condition{Key: entry.Key, Revision: entry.Revision}, nil
}

// swapTable accounts for the write in this writer's vouchers.
func (s *Server) swapTable(ctx context.Context, zone string, base uint64, w platform.Write) error {
	s.mu.Lock()
	s.freshness.Author.RecordSeatsRead(zone, base)
	err := s.freshness.Author.BeginSeatsWrite()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	swapped, _, err := s.platform.CompareAndSwap(ctx, w)
	outcome := freshness.OutcomeRejected
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		outcome = freshness.OutcomeUnknown
	case swapped:
		outcome = freshness.OutcomeAccepted
		s.part("seat").Info().Str("zone", zone).Uint64("version", base+1).Msg("seat: wrote a table")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Author.EndSeatsWrite(zone, base, outcome)
	return err
}

// readSeatTables reads the tables of all zones from the store.
func (s *Server) readSeatTables(ctx context.Context) ([]*peerpb.SeatTable, error) {
	entries, _, err := s.platform.List(ctx, seat.KeyPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]*peerpb.SeatTable, 0, len(entries))
	for _, e := range entries {
		table, err := seat.DecodeTable(e.Value)
		if err != nil {
			return nil, err
		}
		out = append(out, &peerpb.SeatTable{AvailabilityZone: e.Key[len(seat.KeyPrefix):], Version: table.Version, Value: e.Value})
	}
	return out, nil
}

// settling remembers, at a writer, since when it has held the present
// generations of the numbers of seats.
type settling struct {
	generations map[string]int
	since       map[string]time.Time
}

// observe records the generations in force.
func (g *settling) observe(generations map[string]int, now time.Time) {
	if g.since == nil {
		g.generations, g.since = map[string]int{}, map[string]time.Time{}
	}
	for key, n := range generations {
		if g.generations[key] != n {
			g.generations[key], g.since[key] = n, now
		}
	}
}

// settled returns a generation once it has been held for a time, 0 before.
func (g *settling) settled(key string, hold time.Duration, now time.Time) int {
	if now.Sub(g.since[key]) < hold {
		return 0
	}
	return g.generations[key]
}

// settledGenerations returns the generations of the numbers of seats that
// nobody can use an earlier one of.
func (s *Server) settledGenerations(zone string) (ofZone, ofFleet int) {
	now, g := time.Now(), &s.seats.settling
	ofZone = g.settled(zone, s.options.ReserveBound+seatMargin, now)
	return ofZone, g.settled(config.FleetGeneration, s.options.KeyFreshness+seatMargin, now)
}

// releaseSeat stops using the seat and tells a writer.
func (s *Server) releaseSeat(ctx context.Context) {
	s.mu.Lock()
	seated := s.seats.keeper.HasSeat()
	r := s.seats.keeper.Stop(time.Now())
	s.mu.Unlock()
	if !seated {
		return
	}
	m := &peerpb.SeatMessage{
		AvailabilityZone: s.options.AvailabilityZone, Instance: r.Process.Instance, Incarnation: r.Process.Incarnation,
		Release: true, Clean: r.Clean, ReserveClean: r.ReserveClean,
	}
	for _, w := range s.listedWriters() {
		address, ok := s.peerAddressOf(w.Instance)
		if !ok || w.Instance == s.options.Name {
			continue
		}
		if s.network.Send(ctx, address, &peerpb.Envelope{Message: &peerpb.Envelope_Seat{Seat: m}}) == nil {
			s.part("seat").Info().Str("writer", w.Instance).Bool("clean", r.Clean).Msg("seat: released")
			return
		}
	}
}
