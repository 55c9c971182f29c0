package server

import "time"

// registerGauges publishes the state of the instance's parts.
func (s *Server) registerGauges() {
	s.metrics.Gauge("config_version", func() int64 { return int64(s.snapshot.Load().Version) })
	s.metrics.Gauge("requests_in_flight", s.entry.InFlight)
	s.metrics.Gauge("log_lines_dropped", s.log.Dropped)
	s.metrics.Gauge("members", func() int64 { return int64(len(s.members())) })
	s.metrics.Gauge("evidence_age_ms", s.evidenceAgeMillis)
}

// evidenceAgeMillis returns the age of the freshness evidence, -1 without any.
func (s *Server) evidenceAgeMillis() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.freshness.AsOf()
	if asOf.IsZero() {
		return -1
	}
	return time.Since(asOf).Milliseconds()
}
