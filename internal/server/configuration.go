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

// readConfiguration reads the control records from the store once and reports the
// result to the dissemination core. After it has succeeded, all changes that were
// accepted before the read was sent are in force.
func (s *Server) readConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	err := s.applyStoredRecord(ctx)
	var tables []*peerpb.SeatTable
	if err == nil {
		tables, err = s.readSeatTables(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var record *dissemination.Record
	if err == nil && s.heldRecord.Manifest().Revision > s.disseminator.NewestRecord().Version {
		record, err = encodeRecord(&s.heldRecord)
	}
	if err != nil {
		s.disseminator.StoreReadFailed()
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.logger("config").Warn().Err(err).Msg("config: lost the store")
		}
		return
	}
	s.disseminator.StoreReadAnswered(sent, record, tables)
	s.disseminator.SetInForce(s.heldRecord.Manifest().Revision)
}

// applyStoredRecord reads the configuration record from the store and puts it in
// force if it is newer than the one held.
func (s *Server) applyStoredRecord(ctx context.Context) error {
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
	return s.applyRecord(manifest, chunks)
}

// missingChunks returns the hashes of the chunks of a manifest that this instance
// lacks. A manifest that is not newer than the one held needs none.
func (s *Server) missingChunks(m config.Manifest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Revision <= s.heldRecord.Manifest().Revision {
		return nil
	}
	return s.heldRecord.MissingChunks(m)
}

// applyRecord puts a configuration record in force if it is newer than the one
// held. Records from the store and from peers both come in here. A new revision
// may change the list of writers only; the snapshot then stays as it is.
func (s *Server) applyRecord(m config.Manifest, chunks []config.Chunk) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	record, newer, err := s.heldRecord.ReplaceIfNewer(m, chunks)
	s.mu.Unlock()
	if err != nil || !newer {
		return err
	}
	previous := s.snapshot.Load()
	current := previous.Version
	if !s.invariants.Check(record.Version >= current, invariant.VersionNeverReverts, "a new record has version %d, but %d is in force", record.Version, current) {
		return nil
	}
	if record.Version > current || !slices.Equal(record.VacantZones, previous.VacantZones) {
		s.putInForce(config.CompileRecord(record))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.RecordInForce(freshness.Versions{Config: record.Revision})
	s.freshness.SetWriters(writerIDs(record.Writers))
	s.disseminator.SetInForce(record.Revision)
	return nil
}

// putInForce makes a snapshot the configuration by which requests are served. The
// limiter must have it before it counts as freshness evidence (see
// ratelimit.Limiter.Update), so applyRecord calls RecordInForce only afterwards.
func (s *Server) putInForce(snapshot *config.Snapshot) {
	s.entry.WithLock(func(now time.Time) {
		s.limiter.Update(snapshot, now)
		s.placer.Update(snapshot, now)
	})
	s.snapshot.Store(snapshot)
	s.logger("config").Info().Uint64("version", snapshot.Version).Msg("config: in force")
}

// keysFresh tells whether this instance knows every withdrawal of a key that was
// accepted KeyFreshness ago or earlier, so that it may trust the keys it knows.
func (s *Server) keysFresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Fresh(now, s.options.KeyFreshness)
}

// Instances implements operator.Fleet. It asks all instances that may be running
// for their status, at the same time.
func (s *Server) Instances(ctx context.Context) []operator.InstanceStatus {
	members := s.possiblyRunning()
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

// instanceStatus asks one instance for its status. If it does not answer, the
// status says that it is not reachable.
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

// sleep returns after a duration or when the context ends, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
