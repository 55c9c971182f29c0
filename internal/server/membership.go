package server

import "github.com/turmericfield/turmericfield/api/peerpb"

func (s *Server) receiveMembership(_ string, _ *peerpb.MembershipMessage) {}
