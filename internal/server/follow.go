package server

import (
	"context"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/operator"
)

const (
	listPeriod   = time.Second
	readPeriod   = 500 * time.Millisecond
	retryPeriod  = 500 * time.Millisecond
	storeTimeout = 2 * time.Second
)

// followConfiguration keeps the newest accepted configuration in force.
func (s *Server) followConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.watchConfiguration(ctx); err != nil && ctx.Err() == nil {
			s.part("config").Warn().Err(err).Msg("config: lost the store")
		}
		sleep(ctx, retryPeriod)
	}
}

func (s *Server) watchConfiguration(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.readConfiguration(ctx); err != nil {
			return err
		}
		sleep(ctx, readPeriod)
	}
	return ctx.Err()
}

// readConfiguration reads the record once. What was accepted before the read
// was sent is in force afterwards.
func (s *Server) readConfiguration(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	entry, err := s.platform.Get(callCtx, operator.RecordKey)
	if err != nil {
		return err
	}
	manifest, err := operator.DecodeManifest(entry)
	if err != nil {
		return err
	}
	chunks, err := operator.ReadChunks(callCtx, s.platform, s.missingChunks(manifest))
	if err != nil {
		return err
	}
	if err := s.takeRecord(manifest, chunks); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Observe(sent, freshness.Versions{Config: manifest.Revision})
	return nil
}

// missingChunks lists the chunks of a manifest that this instance lacks.
func (s *Server) missingChunks(m config.Manifest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Revision <= s.held.Manifest().Revision {
		return nil
	}
	return s.held.Missing(m)
}

// takeRecord puts a record in force if it is newer than the present one, from
// whichever source it came.
func (s *Server) takeRecord(m config.Manifest, chunks []config.Chunk) error {
	s.taking.Lock()
	defer s.taking.Unlock()
	s.mu.Lock()
	record, newer, err := s.held.Take(m, chunks)
	s.mu.Unlock()
	if err != nil || !newer {
		return err
	}
	current := s.snapshot.Load().Version
	if !s.invariants.Check(record.Version >= current, invariant.VersionNeverReverts, "offered version %d after %d", record.Version, current) {
		return nil
	}
	if record.Version > current {
		s.putInForce(config.Compile(record.Version, record.Document))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Hold(freshness.Versions{Config: record.Revision})
	s.freshness.SetWriters(writerIDs(record.Writers))
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

// followInstances merges the platform's list into the view.
func (s *Server) followInstances(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		list, err := s.platform.ListInstances(callCtx)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.view.ApplyList(list)
			s.mu.Unlock()
		}
		sleep(ctx, listPeriod)
	}
}

// Instances implements operator.Fleet by asking every member.
func (s *Server) Instances(ctx context.Context) []operator.InstanceStatus {
	members := s.members()
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
