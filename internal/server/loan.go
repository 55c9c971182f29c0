package server

import (
	"context"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/placement"
)

// sendLoanMessages sends the borrow requests and the returns of loans that are due,
// in one message for each instance. A message is dropped if its receiver is not a
// member any more or is suspected of having failed.
func (s *Server) sendLoanMessages(ctx context.Context) {
	members := map[string]membership.Member{}
	var peers []placement.Peer
	for _, m := range s.members() {
		if m.Name != s.options.Name && m.State != membership.Suspected {
			members[m.Name] = m
			peers = append(peers, placement.Peer{Name: m.Name, AvailabilityZone: m.AvailabilityZone})
		}
	}
	var requests []placement.BorrowRequest
	var returns []placement.LoanReturn
	s.entry.WithLock(func(now time.Time) {
		requests = s.placer.DueBorrowRequests(peers, now)
		returns = s.placer.DueLoanReturns(now)
	})
	messages := map[string]*peerpb.PlacementMessage{}
	messageTo := func(name string) *peerpb.PlacementMessage {
		if messages[name] == nil {
			messages[name] = &peerpb.PlacementMessage{}
		}
		return messages[name]
	}
	for _, request := range requests {
		m := messageTo(request.To)
		m.Requests = append(m.Requests, &peerpb.LoanRequest{Id: request.ID, Service: request.Service, Slots: int32(request.MaxSlots), Extends: request.Extends})
	}
	for _, r := range returns {
		m := messageTo(r.To)
		m.Returned = append(m.Returned, r.ID)
	}
	for name, m := range messages {
		if member, ok := members[name]; ok {
			go s.sendPlacement(ctx, member, m)
		}
	}
}

// receiveLoans handles the loans, returns and borrow requests in a peer's message,
// and sends it the loans that answer its requests. A request without a loan gets
// no answer.
func (s *Server) receiveLoans(from string, m *peerpb.PlacementMessage) {
	answer := &peerpb.PlacementMessage{}
	s.entry.WithLock(func(now time.Time) {
		for _, id := range m.GetReturned() {
			s.placer.ReclaimLoan(id, from)
		}
		for _, l := range m.GetLoans() {
			s.placer.AcceptLoan(decodeLoan(l), from, now)
		}
		for _, r := range m.GetRequests() {
			request := placement.BorrowRequest{ID: r.GetId(), Service: r.GetService(), MaxSlots: int(r.GetSlots()), Extends: r.GetExtends()}
			if loan := s.placer.Lend(request, from, now); len(loan.Parts) > 0 || loan.Extended {
				answer.Loans = append(answer.Loans, encodeLoan(loan))
			}
		}
	})
	if len(answer.Loans) == 0 {
		return
	}
	for _, member := range s.members() {
		if member.Name == from {
			go s.sendPlacement(context.Background(), member, answer)
		}
	}
}

// decodeLoan is the inverse of encodeLoan.
func decodeLoan(l *peerpb.Loan) placement.Loan {
	loan := placement.Loan{ID: l.GetId(), Service: l.GetService(), Extended: l.GetExtended()}
	for _, u := range l.GetSlots() {
		loan.Parts = append(loan.Parts, placement.LoanPart{Target: u.GetTarget(), Slots: int(u.GetSlots())})
	}
	return loan
}

// encodeLoan returns the form of a loan that is sent to peers.
func encodeLoan(loan placement.Loan) *peerpb.Loan {
	l := &peerpb.Loan{Id: loan.ID, Service: loan.Service, Extended: loan.Extended}
	for _, u := range loan.Parts {
		l.Slots = append(l.Slots, &peerpb.LoanSlots{Target: u.Target, Slots: int32(u.Slots)})
	}
	return l
}
