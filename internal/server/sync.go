package server

import (
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/peer"
)

// answerSync answers another instance's pull.
func (s *Server) answerSync(*peerpb.SyncRequest) *peerpb.SyncResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.SyncResponse{Evidence: peer.EvidenceToProto(s.freshness.Evidence(time.Now()))}
}
