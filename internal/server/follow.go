package server

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/dissemination"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/operator"
)

// readConfiguration reads the record once. What was accepted before the read
// was sent is in force afterwards.
func (s *Server) readConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	err := s.readRecord(ctx)
	var tables []*peerpb.SeatTable
	if err == nil {
		tables, err = s.readSeatTables(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var record *dissemination.Record
	if err == nil && s.held.Manifest().Revision > s.syncer.NewestRecord().Version {
		record, err = recordOf(&s.held)
	}
	if err != nil {
		s.syncer.StoreReadFailed()
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.part("config").Warn().Err(err).Msg("config: lost the store")
		}
		return
	}
	s.syncer.StoreReadAnswered(sent, record, tables)
	s.syncer.SetInForce(s.held.Manifest().Revision)
}

// readRecord brings the store's record in force if it is newer.
func (s *Server) readRecord(ctx context.Context) error {
	entry, err := s.platform.Get(ctx, operator.RecordKey)
	if err != nil {
		return err
	}
	manifest, err := operator.DecodeManifest(entry)
	if err != nil {
		return err
	}
	chunks, err := operator.ReadChunks(ctx, s.platform, s.missingChunks(manifest))
	if err != nil {
		return err
	}
	return s.takeRecord(manifest, chunks)
}

// missingChunks lists the chunks of a manifest that this instance lacks.
func (s *Server) missingChunks(m config.Manifest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Revision <= s.held.Manifest().Revision {
		return nil
	}
	return s.held.MissingChunks(m)
}

// takeRecord puts a record in force if it is newer than the present one, from
// whichever source it came.
func (s *Server) takeRecord(m config.Manifest, chunks []config.Chunk) error {
	s.taking.Lock()
	defer s.taking.Unlock()
	s.mu.Lock()
	record, newer, err := s.held.ReplaceIfNewer(m, chunks)
	s.mu.Unlock()
	if err != nil || !newer {
		return err
	}
	before := s.snapshot.Load()
	current := before.Version
	if !s.invariants.Check(record.Version >= current, invariant.VersionNeverReverts, "offered version %d after %d", record.Version, current) {
		return nil
	}
	if record.Version > current || !slices.Equal(record.VacantZones, before.VacantZones) {
		s.putInForce(config.CompileRecord(record))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.RecordHeld(freshness.Versions{Config: record.Revision})
	s.freshness.SetWriters(writerIDs(record.Writers))
	s.syncer.SetInForce(record.Revision)
	return nil
}

func (s *Server) putInForce(snapshot *config.Snapshot) {
	s.entry.Update(func(now time.Time) {
		s.limiter.Update(snapshot, now)
		s.placer.Update(snapshot, now)
	})
	s.snapshot.Store(snapshot)
	s.part("config").Info().Uint64("version", snapshot.Version).Msg("config: in force")
}

// keysFresh tells whether every withdrawal older than the bound is known here.
func (s *Server) keysFresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Fresh(now, s.options.KeyFreshness)
}

// Instances implements operator.Fleet by asking every member.
func (s *Server) Instances(ctx context.Context) []operator.InstanceStatus {
	members := s.known()
	out := make([]operator.InstanceStatus, len(members))
	done := make(chan struct{}, len(members))
	for i, m := range members {
		go func() {
			out[i] = s.instanceStatus(ctx, m)
			done <- struct{}{}
		}()
	}
	for range members {
		<-done
	}
	return out
}

func (s *Server) instanceStatus(ctx context.Context, m membership.Member) operator.InstanceStatus {
	status := operator.InstanceStatus{Name: m.Name, AvailabilityZone: m.AvailabilityZone}
	answer := s.peerStatus()
	if m.Name != s.options.Name {
		var err error
		if answer, err = s.network.StatusOf(ctx, m.PeerAddress); err != nil {
			return status
		}
	}
	status.Reachable = true
	status.Version = answer.GetVersion()
	status.InFlight = answer.GetInFlight()
	return status
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
