package server

import (
	"context"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	listPeriod   = time.Second
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
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.platform.Get(callCtx, operator.RecordKey)
	if err != nil {
		return err
	}
	s.storeSeen.Store(time.Now().UnixNano())
	s.accept(entry)
	return s.platform.Watch(ctx, operator.RecordKey, entry.Revision, func(changes []platform.Change, _ uint64) {
		s.storeSeen.Store(time.Now().UnixNano())
		for _, c := range changes {
			s.accept(c.Entry)
		}
	})
}

func (s *Server) accept(entry platform.Entry) {
	record, err := operator.DecodeRecord(entry)
	if err != nil {
		s.part("config").Error().Err(err).Msg("config: cannot read the record")
		return
	}
	if record.Version == 0 || record.Version == s.snapshot.Load().Version {
		return
	}
	current := s.snapshot.Load().Version
	if !s.invariants.Check(record.Version > current, invariant.VersionNeverReverts, "store offers %d after %d", record.Version, current) {
		return
	}
	snapshot := config.Compile(record.Version, record.Document)
	s.entry.Update(func(now time.Time) {
		s.limiter.Update(snapshot, now)
		s.placer.Update(snapshot, now)
	})
	s.snapshot.Store(snapshot)
	s.part("config").Info().Uint64("version", snapshot.Version).Msg("config: in force")
}

// keysFresh tells whether the store has been heard from within the bound.
func (s *Server) keysFresh(now time.Time) bool {
	return now.UnixNano()-s.storeSeen.Load() <= int64(s.options.KeyFreshness)
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
