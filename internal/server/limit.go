package server

import "github.com/turmericfield/turmericfield/api/peerpb"

func (s *Server) receiveLimit(_ string, _ *peerpb.LimitMessage) {}
