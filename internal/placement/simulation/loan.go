package simulation

import (
	"strconv"
	"time"

	"github.com/turmericfield/turmericfield/internal/placement"
)

// loanInterval is the time between two rounds of loan messages of an instance.
const loanInterval = 50 * time.Millisecond

// exchangeLoans sends the borrow requests and returns of an instance that are due,
// and schedules the next round.
func (m *model) exchangeLoans(instance int) {
	if m.now.Sub(m.start) >= RunDuration || !m.alive[instance] {
		return
	}
	m.after(loanInterval, func() { m.exchangeLoans(instance) })
	self, borrower := strconv.Itoa(instance), m.placer(instance)
	for _, borrowRequest := range borrower.DueBorrowRequests(m.peers(instance), m.now) {
		to, _ := strconv.Atoi(borrowRequest.To)
		m.sendMessage(instance, to, func() {
			loan := m.placer(to).Lend(borrowRequest, self, m.now)
			m.sendMessage(to, instance, func() { borrower.AcceptLoan(loan, borrowRequest.To, m.now) })
		})
	}
	for _, r := range borrower.DueLoanReturns(m.now) {
		to, _ := strconv.Atoi(r.To)
		m.sendMessage(instance, to, func() { m.placer(to).ReclaimLoan(r.ID, self) })
	}
}

// placer returns the placer of an instance under the policy SharesAndLoans.
func (m *model) placer(instance int) *placement.Placer {
	return m.choosers[instance].(*placerChooser).Placer
}

// peers returns the live instances other than self.
func (m *model) peers(self int) (out []placement.Peer) {
	for i := range instances {
		if i != self && m.alive[i] {
			out = append(out, placement.Peer{Name: strconv.Itoa(i), AvailabilityZone: seatOf(i).AvailabilityZone})
		}
	}
	return out
}

// sendMessage calls deliver after the network delay if both instances are alive
// then. Otherwise the message is lost.
func (m *model) sendMessage(from, to int, deliver func()) {
	m.result.LoanMessages++
	distance := (&target{zone: zoneOf(to)}).distanceFrom(zoneOf(from))
	m.after(networkDelay(distance), func() {
		if m.alive[to] && m.alive[from] {
			deliver()
		}
	})
}
