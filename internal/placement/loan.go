package placement

import (
	"slices"
	"time"
)

const (
	// loanDuration is how long a borrower may start requests on borrowed slots,
	// counted from the moment that it sent the borrow request.
	loanDuration = time.Second
	// borrowRequestInterval is the least time between two rounds of borrow requests
	// for one service.
	borrowRequestInterval = 50 * time.Millisecond
	// peakWindow is the length of the windows over which a service's most requests
	// in flight are recorded.
	peakWindow = 500 * time.Millisecond
	// extendBeforeEnd is how long before the end of a loan the borrower requests
	// its extension.
	extendBeforeEnd = 400 * time.Millisecond
	// maxLoanSlots is the most slots of one loan.
	maxLoanSlots = 16
	// freeSlotDivisor sets the free slots that an instance aims to have: one in
	// this many of its own slots. A lender keeps them on top of its recent peak; a
	// borrower requests loans until it has them.
	freeSlotDivisor = 8
)

// BorrowRequest asks another instance to lend slots of a service's targets, or to
// extend a loan. The borrower gets it from Placer.DueBorrowRequests, the lender
// answers it with Placer.Lend, and the borrower takes the answer in with
// Placer.AcceptLoan. Sending the messages is up to the caller; they may be lost,
// late or doubled.
type BorrowRequest struct {
	// To is the name of the instance that is to lend.
	To string
	// ID is unique among the borrow requests of all processes. The loan has the same
	// ID.
	ID      uint64
	Service string
	// MaxSlots is the most slots to lend, over all targets of the service.
	MaxSlots int
	// Extends is the ID of the loan to extend, or 0 for a new loan. An extension
	// requests no slots.
	Extends uint64
}

// Loan is the answer to a borrow request. The lender stops using the slots before
// it sends the loan. The borrower may start requests on them until loanDuration
// after it sent the borrow request. The lender uses them again once the borrower
// has returned them, or else once no request on them can be running any more.
type Loan struct {
	ID      uint64
	Service string
	Parts   []LoanPart
	// Extended says that the loan named by BorrowRequest.Extends was extended.
	Extended bool
}

// LoanPart is the part of a loan on one target.
type LoanPart struct {
	Target string
	Slots  int
}

// LoanReturn tells the lender, named by To, that the borrower has stopped using
// the loan and that no request runs on it any more.
type LoanReturn struct {
	To string
	ID uint64
}

// Peer is another instance that loans may be requested from.
type Peer struct {
	Name             string
	AvailabilityZone string
}

// loanLedger records the loans of one instance, in both directions.
type loanLedger struct {
	pending  []pendingBorrowRequest
	borrowed []ledgerEntry // requests may start on them
	expired  []ledgerEntry // borrowed before; requests may still be running on them
	lent     []ledgerEntry
	lastID   uint64 // ID of the latest borrow request
}

// pendingBorrowRequest is a borrow request without an answer so far. An answer
// after the deadline is ignored.
type pendingBorrowRequest struct {
	id       uint64
	extends  uint64
	peer     string
	deadline time.Time
}

// ledgerEntry is a loan as the borrower or the lender records it. For the
// borrower, until is when it stops starting requests; for the lender, it is when
// the last request on the loan must have ended.
type ledgerEntry struct {
	id                 uint64
	peer               string
	service            string
	parts              []ledgerPart
	until              time.Time
	extensionRequested bool // the borrower has requested an extension
}

// ledgerPart is the part of a loan on one target.
type ledgerPart struct {
	target *target
	slots  int
}

// DueBorrowRequests returns the borrow requests to send now: extensions of loans
// that are still needed, and new loans for each service that is short of free
// slots. A new loan is requested from one instance in the own region and from one
// in another region; the peers take turns.
func (p *Placer) DueBorrowRequests(peers []Peer, now time.Time) []BorrowRequest {
	if len(peers) == 0 || p.snapshot == nil {
		return nil
	}
	p.observeSeat(now)
	p.expireLoans(now)
	l := &p.loans
	l.pending = slices.DeleteFunc(l.pending, func(r pendingBorrowRequest) bool { return !now.Before(r.deadline) })
	requests := p.dueExtensionRequests(now)
	for i := range p.snapshot.Document.Services {
		name := p.snapshot.Document.Services[i].Name
		s := p.services[name]
		if now.Sub(s.lastBorrowRequest) < borrowRequestInterval {
			continue
		}
		near, far := p.peersByDistance(peers, s.shortageRegion)
		slots := min(p.slotsToBorrow(s, now), maxLoanSlots)
		s.shortage, s.shortageRegion, s.lastBorrowRequest = 0, "", now
		if slots == 0 {
			continue
		}
		for _, group := range [][]string{near, far} {
			if len(group) > 0 {
				requests = append(requests, l.registerRequest(BorrowRequest{To: group[l.lastID%uint64(len(group))], Service: name, MaxSlots: slots}, now))
			}
		}
	}
	return requests
}

// registerRequest gives a borrow request its ID and records it as pending.
func (l *loanLedger) registerRequest(r BorrowRequest, now time.Time) BorrowRequest {
	l.lastID++
	r.ID = l.lastID
	l.pending = append(l.pending, pendingBorrowRequest{r.ID, r.Extends, r.To, now.Add(loanDuration)})
	return r
}

// dueExtensionRequests returns requests to extend the borrowed loans that end soon
// and are still needed, because the service's recent peak exceeds the instance's
// own slots.
func (p *Placer) dueExtensionRequests(now time.Time) (requests []BorrowRequest) {
	for i := range p.loans.borrowed {
		e := &p.loans.borrowed[i]
		s := p.services[e.service]
		if s == nil || e.extensionRequested || e.until.Sub(now) > extendBeforeEnd || len(e.parts) == 0 {
			continue
		}
		s.advancePeakWindow(now)
		if _, own := p.freeSlots(s, now); max(s.recentPeaks[0], s.recentPeaks[1]) > own {
			e.extensionRequested = true
			requests = append(requests, p.loans.registerRequest(BorrowRequest{To: e.peer, Service: e.service, Extends: e.id}, now))
		}
	}
	return requests
}

// slotsToBorrow returns the number of slots that a service lacks: its requests
// without a slot, and what is missing to the free slots that it aims to have. It
// is 0 for a service without recent requests.
func (p *Placer) slotsToBorrow(s *service, now time.Time) int {
	s.advancePeakWindow(now)
	if s.shortage == 0 && max(s.recentPeaks[0], s.recentPeaks[1]) == 0 {
		return 0
	}
	free, own := p.freeSlots(s, now)
	return s.shortage + max(0, own/freeSlotDivisor-free)
}

// freeSlots counts slots on the targets of a service that accept work: free are
// those, borrowed ones included, that this instance may use and that are not in
// use; own are its own slots that are not lent.
func (p *Placer) freeSlots(s *service, now time.Time) (free, own int) {
	for _, t := range s.targets {
		if t.acceptsWork(now) {
			n := max(0, p.ownSlots(t, now)-t.lent)
			own += n
			free += max(0, n+t.borrowed-t.inFlight)
		}
	}
	return free, own
}

// peersByDistance divides the names of peers into those in the own region and
// those in other regions. Unless toward is "", far only has peers in that region.
func (p *Placer) peersByDistance(peers []Peer, toward string) (near, far []string) {
	for _, peer := range peers {
		if p.distanceTo(peer.AvailabilityZone) < distanceOtherRegion {
			near = append(near, peer.Name)
		} else if toward == "" || p.snapshot.RegionOf(peer.AvailabilityZone) == toward {
			far = append(far, peer.Name)
		}
	}
	return near, far
}

// Lend answers a borrow request of another instance with the slots that this
// instance can do without, at most as many as requested. The answer to a request
// for an extension has no slots; Extended is unset in it if the loan has ended
// or this instance is short of slots itself.
func (p *Placer) Lend(r BorrowRequest, from string, now time.Time) Loan {
	loan := Loan{ID: r.ID, Service: r.Service}
	s := p.services[r.Service]
	if s == nil {
		return loan
	}
	p.observeSeat(now)
	p.expireLoans(now)
	if r.Extends != 0 {
		loan.Extended = s.shortage == 0 && p.extendLent(r.Extends, from, now.Add(loanDuration+s.maxRequestTime))
		return loan
	}
	e := ledgerEntry{id: r.ID, peer: from, service: r.Service, until: now.Add(loanDuration + s.maxRequestTime)}
	remaining := min(r.MaxSlots, maxLoanSlots, p.lendableSlots(s, now))
	for lentInPass := true; lentInPass && remaining > 0; {
		lentInPass = false
		for i, t := range s.targets {
			if remaining == 0 || !t.acceptsWork(now) || p.unusedOwnSlots(t, now) <= 0 {
				continue
			}
			t.lent++
			remaining--
			lentInPass = true
			e.addSlot(t, s.targets[i].Name, &loan)
		}
	}
	if len(e.parts) > 0 {
		p.loans.lent = append(p.loans.lent, e)
	}
	return loan
}

// extendLent moves the end of a loan that this instance has given. It reports
// false if there is no such loan.
func (p *Placer) extendLent(id uint64, to string, until time.Time) bool {
	for i := range p.loans.lent {
		if e := &p.loans.lent[i]; e.id == id && e.peer == to {
			e.until = until
			return true
		}
	}
	return false
}

// addSlot adds one slot of a target to a new loan and to its ledger entry, which
// list their parts in the same order.
func (e *ledgerEntry) addSlot(t *target, name string, loan *Loan) {
	for i := range e.parts {
		if e.parts[i].target == t {
			e.parts[i].slots++
			loan.Parts[i].Slots++
			return
		}
	}
	e.parts = append(e.parts, ledgerPart{t, 1})
	loan.Parts = append(loan.Parts, LoanPart{name, 1})
}

// unusedOwnSlots returns how many of the instance's own slots on a target are
// neither lent nor in use. It is negative while borrowed slots are in use.
func (p *Placer) unusedOwnSlots(t *target, now time.Time) int {
	return p.ownSlots(t, now) - t.lent - t.inFlight
}

// lendableSlots returns how many more slots of a service can be lent: those above
// the recent peak of requests in flight and the slots that are kept free. At most
// half of the instance's own slots are lent at a time.
func (p *Placer) lendableSlots(s *service, now time.Time) int {
	own, lent := 0, 0
	for _, t := range s.targets {
		if t.acceptsWork(now) {
			own += p.ownSlots(t, now)
			lent += t.lent
		}
	}
	s.advancePeakWindow(now)
	free := own - lent - max(s.recentPeaks[0], s.recentPeaks[1]) - max(1, own/freeSlotDivisor)
	return max(0, min(free, own/2-lent))
}

// requestStarted counts a request that starts on one of the service's targets.
func (s *service) requestStarted(now time.Time) {
	s.inFlight++
	s.advancePeakWindow(now)
	s.recentPeaks[0] = max(s.recentPeaks[0], s.inFlight)
}

// advancePeakWindow begins a new peak window if the present one is over.
func (s *service) advancePeakWindow(now time.Time) {
	if now.Sub(s.peakWindowStart) >= peakWindow {
		s.recentPeaks = [2]int{s.inFlight, s.recentPeaks[0]}
		s.peakWindowStart = now
	}
}

// AcceptLoan takes in the answer to a borrow request. An answer that comes too late,
// comes twice or was not requested is ignored; the lender gets its slots back
// when the loan ends.
func (p *Placer) AcceptLoan(loan Loan, from string, now time.Time) {
	l := &p.loans
	i := slices.IndexFunc(l.pending, func(r pendingBorrowRequest) bool { return r.id == loan.ID && r.peer == from })
	if i < 0 || !now.Before(l.pending[i].deadline) {
		return
	}
	request := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	if request.extends != 0 {
		p.extendBorrowed(request, loan.Extended)
		return
	}
	e := ledgerEntry{id: loan.ID, peer: from, service: loan.Service, until: request.deadline}
	for _, u := range loan.Parts {
		if t := p.targets[u.Target]; t != nil && u.Slots > 0 {
			t.borrowed += u.Slots
			e.parts = append(e.parts, ledgerPart{t, u.Slots})
		}
	}
	l.borrowed = append(l.borrowed, e)
}

// extendBorrowed moves the end of a borrowed loan if its extension was granted and
// the loan has not ended yet.
func (p *Placer) extendBorrowed(request pendingBorrowRequest, extended bool) {
	for i := range p.loans.borrowed {
		if e := &p.loans.borrowed[i]; extended && e.id == request.extends {
			e.until, e.extensionRequested = request.deadline, false
		}
	}
}

// DueLoanReturns returns the messages that give back borrowed loans that have
// ended, and forgets these loans. A loan stays while, on any of its targets, more
// requests are in flight than this instance may have without it.
func (p *Placer) DueLoanReturns(now time.Time) []LoanReturn {
	p.observeSeat(now)
	p.expireLoans(now)
	var out []LoanReturn
	p.loans.expired = slices.DeleteFunc(p.loans.expired, func(e ledgerEntry) bool {
		for _, u := range e.parts {
			if u.target.inFlight > p.usableSlots(u.target, now) {
				return false
			}
		}
		out = append(out, LoanReturn{To: e.peer, ID: e.id})
		return true
	})
	return out
}

// ReclaimLoan makes the slots of a loan usable again for this instance, the
// lender. Nothing happens if the loan was reclaimed before.
func (p *Placer) ReclaimLoan(id uint64, from string) {
	l := &p.loans
	i := slices.IndexFunc(l.lent, func(e ledgerEntry) bool { return e.id == id && e.peer == from })
	if i < 0 {
		return
	}
	for _, u := range l.lent[i].parts {
		u.target.lent -= u.slots
	}
	l.lent = slices.Delete(l.lent, i, i+1)
}

// expireLoans ends the loans, borrowed and lent, whose time is over.
func (p *Placer) expireLoans(now time.Time) {
	l := &p.loans
	for i := 0; i < len(l.borrowed); {
		e := l.borrowed[i]
		if now.Before(e.until) {
			i++
			continue
		}
		for _, u := range e.parts {
			u.target.borrowed -= u.slots
		}
		l.borrowed = slices.Delete(l.borrowed, i, i+1)
		l.expired = append(l.expired, e)
	}
	for i := 0; i < len(l.lent); {
		e := l.lent[i]
		if now.Before(e.until) {
			i++
			continue
		}
		p.ReclaimLoan(e.id, e.peer)
	}
}

// noteShortage records that a number of requests found no free slot.
func (s *service) noteShortage(slots int) { s.shortage = min(s.shortage+slots, maxLoanSlots) }
