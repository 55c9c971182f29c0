package server

import "github.com/turmericfield/turmericfield/api/peerpb"

// receive passes another instance's message to the part that handles its type.
func (s *Server) receive(e *peerpb.Envelope) {
	switch m := e.GetMessage().(type) {
	case *peerpb.Envelope_Limit:
		s.receiveLimit(e.GetFrom(), m.Limit)
	case *peerpb.Envelope_Placement:
		s.receivePlacement(e.GetFrom(), m.Placement)
	case *peerpb.Envelope_Membership:
		s.receiveMembership(e.GetFrom(), m.Membership)
	case *peerpb.Envelope_Hint:
		s.receiveHint(m.Hint)
	case *peerpb.Envelope_Seat:
		s.receiveSeatMessage(e.GetFrom(), m.Seat)
	}
}
