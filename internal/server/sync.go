package server

import "github.com/turmericfield/turmericfield/api/peerpb"

// answerSync answers another instance's pull.
func (s *Server) answerSync(*peerpb.SyncRequest) *peerpb.SyncResponse {
	return &peerpb.SyncResponse{Evidence: &peerpb.Evidence{AgeUs: -1}}
}
