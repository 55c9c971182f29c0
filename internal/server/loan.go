package server

import (
	"context"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/placement"
)

// balanceLoans sends the asks and returns that are due.
func (s *Server) balanceLoans(ctx context.Context) {
	members := map[string]membership.Member{}
	var peers []placement.Peer
	for _, m := range s.members() {
		if m.Name != s.options.Name && m.State != membership.Suspected {
			members[m.Name] = m
			peers = append(peers, placement.Peer{Name: m.Name, AvailabilityZone: m.AvailabilityZone})
		}
	}
	var asks []placement.BorrowRequest
	var returns []placement.LoanReturn
	s.entry.WithLock(func(now time.Time) {
		asks = s.placer.DueBorrowRequests(peers, now)
		returns = s.placer.DueLoanReturns(now)
	})
	messages := map[string]*peerpb.PlacementMessage{}
	to := func(name string) *peerpb.PlacementMessage {
		if messages[name] == nil {
			messages[name] = &peerpb.PlacementMessage{}
		}
		return messages[name]
	}
	for _, a := range asks {
		m := to(a.To)
		m.Requests = append(m.Requests, &peerpb.LoanRequest{Id: a.ID, Service: a.Service, Slots: int32(a.MaxSlots), Extends: a.Extends})
	}
	for _, r := range returns {
		m := to(r.To)
		m.Returned = append(m.Returned, r.ID)
	}
	for name, m := range messages {
		if member, ok := members[name]; ok {
			go s.sendPlacement(ctx, member, m)
		}
	}
}

// receiveLoans takes over a peer's messages about loans and answers its asks.
func (s *Server) receiveLoans(from string, m *peerpb.PlacementMessage) {
	answer := &peerpb.PlacementMessage{}
	s.entry.WithLock(func(now time.Time) {
		for _, id := range m.GetReturned() {
			s.placer.ReclaimLoan(id, from)
		}
		for _, l := range m.GetLoans() {
			s.placer.AcceptLoan(loanOf(l), from, now)
		}
		for _, r := range m.GetRequests() {
			ask := placement.BorrowRequest{ID: r.GetId(), Service: r.GetService(), MaxSlots: int(r.GetSlots()), Extends: r.GetExtends()}
			if loan := s.placer.Lend(ask, from, now); len(loan.Parts) > 0 || loan.Extended {
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

func loanOf(l *peerpb.Loan) placement.Loan {
	loan := placement.Loan{ID: l.GetId(), Service: l.GetService(), Extended: l.GetExtended()}
	for _, u := range l.GetSlots() {
		loan.Parts = append(loan.Parts, placement.LoanPart{Target: u.GetTarget(), Slots: int(u.GetSlots())})
	}
	return loan
}

func encodeLoan(loan placement.Loan) *peerpb.Loan {
	l := &peerpb.Loan{Id: loan.ID, Service: loan.Service, Extended: loan.Extended}
	for _, u := range loan.Parts {
		l.Slots = append(l.Slots, &peerpb.LoanSlots{Target: u.Target, Slots: int32(u.Slots)})
	}
	return l
}
