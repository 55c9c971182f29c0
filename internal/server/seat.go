package server

import "github.com/turmericfield/turmericfield/api/peerpb"

func (s *Server) receiveSeat(_ string, _ *peerpb.SeatMessage) {}
