package server

import "github.com/turmericfield/turmericfield/api/peerpb"

func (s *Server) receivePlacement(_ string, _ *peerpb.PlacementMessage) {}
