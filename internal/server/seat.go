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
	// seatLoopPeriod is the time between two passes of runSeatLoop.
	seatLoopPeriod = 200 * time.Millisecond
	// claimPeriod is the time between two claims of an instance without a seat.
	claimPeriod = time.Second
	// seatMargin is added to the time after which a former holder must have
	// stopped using a seat. It allows for the drift of clocks and for the lifetime
	// of the tokens that the former holder granted last.
	seatMargin = time.Second
)

// seatState is the state of this instance's own seat and, if it is a writer, of
// its work on the seat tables. All fields but the last are guarded by Server.mu.
type seatState struct {
	tracker     *seat.Tracker
	lastClaimAt time.Time
	// claims and releases are those received since writeSeatTables last ran, by
	// availability zone.
	claims       map[string][]seat.Process
	releases     map[string][]seat.Release
	messagesSent int // messages of sendToWriter, which chooses the writer by it
	// seatGenerations is used by the goroutine of runSeatLoop only.
	seatGenerations generationTracker
}

func (s *Server) newSeatState() seatState {
	process := seat.Process{Instance: s.options.Name, Incarnation: s.incarnation}
	bounds := seat.Bounds{MaxAge: s.options.KeyFreshness, ReserveMaxAge: s.options.ReserveBound, TakeoverMargin: seatMargin}
	return seatState{
		tracker: seat.NewTracker(process, s.options.AvailabilityZone, bounds),
		claims:  map[string][]seat.Process{}, releases: map[string][]seat.Release{},
	}
}

// seatProvider returns the Provider that says which seat this instance may use.
func (s *Server) seatProvider() seat.Provider {
	if s.options.seatProvider != nil {
		return s.options.seatProvider
	}
	return s
}

// Seat implements seat.Provider. The freshness evidence must cover the
// configuration record as well as the seat table, because the configuration
// determines the share of the resources that belongs to each seat.
func (s *Server) Seat(now time.Time) (seat.Seat, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeSeatEvidence(now)
	return s.seats.tracker.Seat(now)
}

// Reserve implements seat.Provider.
func (s *Server) Reserve(now time.Time) (seat.Seat, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeSeatEvidence(now)
	return s.seats.tracker.Reserve(now)
}

// observeSeatEvidence passes the newest freshness evidence to the seat tracker.
// The call of Fresh is for its effect: it brings AsOf up to date, which the
// writers' vouchers may have moved on. The caller holds s.mu.
func (s *Server) observeSeatEvidence(now time.Time) {
	s.freshness.Fresh(now, 0)
	table := s.disseminator.SeatTable(s.options.AvailabilityZone)
	s.seats.tracker.Observe(s.freshness.AsOf(), table.GetVersion())
}

// seatHolder returns the name of the instance that holds a seat of this
// instance's own zone, or "".
func (s *Server) seatHolder(index int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seats.tracker.Table().Holder(index)
}

// seatLayout returns the place of a zone's seats among those of the fleet. Seats
// are numbered zone by zone, in the order of the configuration.
func seatLayout(snapshot *config.Snapshot, zone string) seat.Layout {
	l := seat.Layout{
		ZoneGeneration:  snapshot.SeatGenerations[zone],
		FleetGeneration: snapshot.SeatGenerations[config.FleetGenerationKey],
	}
	for _, z := range snapshot.Document.AvailabilityZones {
		if z.Name == zone {
			l.FirstNumber, l.ZoneSeats = l.FleetSeats, z.Seats()
		}
		l.FleetSeats += z.Seats()
	}
	return l
}

// runSeatLoop adopts new versions of the zone's seat table, claims a seat while
// this instance has none and, if it is a writer, writes the seat tables.
func (s *Server) runSeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.adoptSeatTable()
		if claim := s.dueClaim(time.Now()); claim != nil {
			s.sendToWriter(ctx, claim)
		}
		if s.isListedWriter() {
			s.writeSeatTables(ctx)
		}
		sleep(ctx, seatLoopPeriod)
	}
}

// adoptSeatTable passes the zone's newest seat table, as disseminated, to the
// seat tracker.
func (s *Server) adoptSeatTable() {
	layout := seatLayout(s.snapshot.Load(), s.options.AvailabilityZone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seats.tracker.SetLayout(layout)
	table, err := seat.DecodeTable(s.disseminator.SeatTable(s.options.AvailabilityZone).GetValue())
	if err != nil {
		s.logger("seat").Error().Err(err).Msg("seat: cannot read the table")
		return
	}
	if s.seats.tracker.Adopt(table, time.Now()) {
		index := table.Index(s.seats.tracker.Process())
		s.logger("seat").Info().Uint64("version", table.Version).Int("seat", index).Msg("seat: adopted a table")
	}
}

// dueClaim returns the claim of a seat that is to be sent now, or nil. Claims are
// repeated until a table assigns a seat, because they may be lost.
func (s *Server) dueClaim(now time.Time) *peerpb.SeatMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seats.tracker.HasSeat() || s.seats.tracker.Stopped() || now.Sub(s.seats.lastClaimAt) < claimPeriod {
		return nil
	}
	s.seats.lastClaimAt = now
	p := s.seats.tracker.Process()
	return &peerpb.SeatMessage{AvailabilityZone: s.options.AvailabilityZone, Instance: p.Instance, Incarnation: p.Incarnation}
}

// sendToWriter sends a message to one of the listed writers, to each in turn. The
// message may be lost.
func (s *Server) sendToWriter(ctx context.Context, m *peerpb.SeatMessage) {
	writers := s.listedWriters()
	if len(writers) == 0 {
		return
	}
	s.mu.Lock()
	s.seats.messagesSent++
	w := writers[s.seats.messagesSent%len(writers)]
	s.mu.Unlock()
	if w.Instance == s.options.Name {
		s.receiveSeatMessage(s.options.Name, m)
	} else if address, ok := s.peerAddressOf(w.Instance); ok {
		s.sendAsync(ctx, address, &peerpb.Envelope{Message: &peerpb.Envelope_Seat{Seat: m}})
	}
}

// receiveSeatMessage keeps a claim or release until the next writeSeatTables.
func (s *Server) receiveSeatMessage(_ string, m *peerpb.SeatMessage) {
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

// isListedWriter tells whether the newest configuration record that this
// instance holds lists this process as a writer.
func (s *Server) isListedWriter() bool {
	for _, w := range s.listedWriters() {
		if w == (localWriter{s}).Self() {
			return true
		}
	}
	return false
}

// writeSeatTables writes the seat tables of all zones with pending claims or
// releases. Neither is kept if its write fails: a process that gets no seat
// claims one again.
func (s *Server) writeSeatTables(ctx context.Context) {
	s.seats.seatGenerations.observe(s.snapshot.Load().SeatGenerations, time.Now())
	s.mu.Lock()
	claims, releases := s.seats.claims, s.seats.releases
	s.seats.claims, s.seats.releases = map[string][]seat.Process{}, map[string][]seat.Release{}
	s.mu.Unlock()
	for _, z := range s.snapshot.Load().Document.AvailabilityZones {
		inputs := seat.TableInputs{
			Seats: z.Seats(), Claims: claims[z.Name], Releases: releases[z.Name],
			Gone: func(instance string) bool { return !s.mayBeRunning(instance) },
		}
		inputs.SettledZone, inputs.SettledFleet = s.settledGenerations(z.Name)
		if len(inputs.Claims)+len(inputs.Releases) == 0 {
			continue
		}
		if err := s.writeSeatTable(ctx, z.Name, inputs); err != nil {
			s.logger("seat").Warn().Err(err).Str("zone", z.Name).Msg("seat: could not write the table")
		}
	}
}

// writeSeatTable replaces a zone's seat table by the one that follows from the
// inputs, if it differs. The write fails if the table or the configuration record
// has changed since it was read.
func (s *Server) writeSeatTable(ctx context.Context, zone string, inputs seat.TableInputs) error {
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
	next, changed := table.Next(inputs, fmt.Sprintf("%s-%d", s.options.Name, s.incarnation))
	if !changed {
		return nil
	}
	condition, err := s.listedWriterCondition(ctx)
	if err != nil {
		return err
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	return s.swapSeatTable(ctx, zone, table.Version, platform.Write{
		Key: seat.KeyPrefix + zone, ExpectedRevision: entry.Revision, Value: value, Requires: []platform.Condition{condition},
	})
}

// errNotWriter means that the configuration record lists other writers now.
var errNotWriter = errors.New("this process is no longer a listed writer")

// listedWriterCondition returns the condition under which a seat table may be
// written: that the configuration record, which lists this process as a writer,
// has not changed until the write. During an outage of the store the other
// instances know that no table has changed if all listed writers vouch for it, so
// a process that is not listed must not write a table.
func (s *Server) listedWriterCondition(ctx context.Context) (platform.Condition, error) {
	entry, err := s.platform.Get(ctx, operator.RecordKey)
	if err != nil {
		return platform.Condition{}, err
	}
	manifest, err := operator.DecodeManifest(entry)
	if err != nil {
		return platform.Condition{}, err
	}
	if !slices.Contains(manifest.Writers, localWriter{s}.Self()) {
		return platform.Condition{}, errNotWriter
	}
	return platform.Condition{Key: entry.Key, Revision: entry.Revision}, nil
}

// swapSeatTable sends the write of a seat table on top of the version base, and
// accounts for it in the vouchers that this process gives as a writer.
func (s *Server) swapSeatTable(ctx context.Context, zone string, base uint64, w platform.Write) error {
	s.mu.Lock()
	s.freshness.LocalWriter.RecordSeatsRead(zone, base)
	err := s.freshness.LocalWriter.BeginSeatsWrite()
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
		s.logger("seat").Info().Str("zone", zone).Uint64("version", base+1).Msg("seat: wrote a table")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.LocalWriter.EndSeatsWrite(zone, base, outcome)
	return err
}

// readSeatTables reads the seat tables of all zones from the store.
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

// generationTracker records, at a writer, since when it has known the present
// generations of the number of seats to be in force. A generation counts the
// changes of the number of seats; see config.Record.SeatGenerations. The keys are
// availability zones and config.FleetGenerationKey.
type generationTracker struct {
	generations map[string]int
	changedAt   map[string]time.Time
}

// observe records the generations that are in force now.
func (g *generationTracker) observe(generations map[string]int, now time.Time) {
	if g.changedAt == nil {
		g.generations, g.changedAt = map[string]int{}, map[string]time.Time{}
	}
	for key, n := range generations {
		if g.generations[key] != n {
			g.generations[key], g.changedAt[key] = n, now
		}
	}
}

// settled returns the generation of a key if it has been known for at least
// minAge, and 0 before.
func (g *generationTracker) settled(key string, minAge time.Duration, now time.Time) int {
	if now.Sub(g.changedAt[key]) < minAge {
		return 0
	}
	return g.generations[key]
}

// settledGenerations returns the generations of the number of seats, in a zone
// and in the whole fleet, if no instance can still use an earlier one, and 0
// otherwise. An instance may use the zone's number, on which reserves depend, with
// evidence as old as ReserveBound, and the fleet's with evidence as old as
// KeyFreshness.
func (s *Server) settledGenerations(zone string) (ofZone, ofFleet int) {
	now, g := time.Now(), &s.seats.seatGenerations
	ofZone = g.settled(zone, s.options.ReserveBound+seatMargin, now)
	return ofZone, g.settled(config.FleetGenerationKey, s.options.KeyFreshness+seatMargin, now)
}

// releaseSeat stops using the seat and tells the first listed writer that
// acknowledges the message. If none does, the seat stays assigned until this
// instance is known to be gone.
func (s *Server) releaseSeat(ctx context.Context) {
	s.mu.Lock()
	hadSeat := s.seats.tracker.HasSeat()
	release := s.seats.tracker.Stop(time.Now())
	s.mu.Unlock()
	if !hadSeat {
		return
	}
	m := &peerpb.SeatMessage{
		AvailabilityZone: s.options.AvailabilityZone, Instance: release.Process.Instance, Incarnation: release.Process.Incarnation,
		Release: true, Clean: release.Clean, ReserveClean: release.ReserveClean,
	}
	for _, w := range s.listedWriters() {
		address, ok := s.peerAddressOf(w.Instance)
		if !ok || w.Instance == s.options.Name {
			continue
		}
		if s.network.Send(ctx, address, &peerpb.Envelope{Message: &peerpb.Envelope_Seat{Seat: m}}) == nil {
			s.logger("seat").Info().Str("writer", w.Instance).Bool("clean", release.Clean).Msg("seat: released")
			return
		}
	}
}
