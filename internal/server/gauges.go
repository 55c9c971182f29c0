package server

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/metrics"
)

// registerGauges adds the gauges that show the state of the instance's parts to
// its metrics.
func (s *Server) registerGauges() {
	s.metrics.Gauge("config_version", func() int64 { return int64(s.snapshot.Load().Version) })
	s.metrics.Gauge("requests_in_flight", s.entry.InFlight)
	s.metrics.Gauge("log_lines_dropped", s.log.Dropped)
	s.metrics.Gauge("members", func() int64 { return int64(len(s.members())) })
	for _, state := range []membership.State{membership.Live, membership.Leaving, membership.Suspected} {
		s.metrics.Gauge(metrics.Label("members_by_state", "state", string(state)), func() int64 { return s.membersInState(state) })
	}
	s.metrics.Gauge("store_watcher", s.watcherGauge)
	s.metrics.Gauge("evidence_age_ms", s.evidenceAgeMillis)
	for name, state := range map[string]availability.State{"targets_leaving": availability.Leaving, "targets_paused": availability.Paused} {
		s.metrics.Gauge(name, func() int64 { return s.targetsInState(state) })
	}
}

// membersInState returns the number of members in a state.
func (s *Server) membersInState(state membership.State) int64 {
	count := int64(0)
	for _, m := range s.members() {
		if m.State == state {
			count++
		}
	}
	return count
}

// watcherGauge returns 1 while this instance reads the control records from the
// store for its zone, and 0 otherwise.
func (s *Server) watcherGauge() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disseminator.IsWatcher() {
		return 1
	}
	return 0
}

// targetsInState returns the number of targets in a state of availability.
func (s *Server) targetsInState(state availability.State) (n int64) {
	s.entry.WithLock(func(now time.Time) { n = int64(s.placer.AvailabilityCount(state, now)) })
	return n
}

// evidenceAgeMillis returns the age of the freshness evidence in milliseconds, or
// -1 if there is none.
func (s *Server) evidenceAgeMillis() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.freshness.AsOf()
	if asOf.IsZero() {
		return -1
	}
	return time.Since(asOf).Milliseconds()
}
