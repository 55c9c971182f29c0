package placement

import (
	"slices"
	"time"
)

const (
	// loanTime is how long a borrower may start requests on a loan, counted
	// from the moment that it asked.
	loanDuration = time.Second
	// askPeriod is the time between two rounds of asking for one service.
	loanRequestInterval = 50 * time.Millisecond
	// peakPeriod is the time over which the most requests in flight are kept.
	peakWindow = 500 * time.Millisecond
	// renewBefore is how long before the end of a loan its extension is asked
	// for.
	extendBeforeEnd = 400 * time.Millisecond
	// maxAskUnits bounds the slots of one loan.
	maxLoanSlots = 16
	// freePart is the part of its slots that a giver keeps above its recent
	// peak, and that a borrower wants free: one in so many.
	freeSlotDivisor = 8
)

// LoanRequest requests a loan of slots.
type LoanRequest struct {
	// To is the instance that is asked.
	To string
	// ID is unique among all asks of all processes.
	ID      uint64
	Service string
	Slots   int
	// Extends is the ID of a loan to be extended, or 0. Then no units are asked
	// for.
	Extends uint64
}

// Loan answers an ask. Whoever gives it stops using the slots first. The
// borrower may start requests on them until loanTime after it asked. The giver
// takes them back when they are returned, or else when no request on them can
// be running any more.
type Loan struct {
	ID      uint64
	Service string
	Parts   []LoanPart
	// Extended says that the loan which the ask named was extended.
	Extended bool
}

// LoanPart is the part of a loan on one target.
type LoanPart struct {
	Target string
	Slots  int
}

// LoanReturn tells the giver that a loan is over and nothing runs on it.
type LoanReturn struct {
	To string
	ID uint64
}

// Peer is an instance that may lend.
type Peer struct {
	Name             string
	AvailabilityZone string
}

// ledger holds the loans of one instance.
type loanLedger struct {
	pending  []pendingLoanRequest
	borrowed []ledgerEntry // may be used
	expired  []ledgerEntry // may not be used; something may be running on them
	lent     []ledgerEntry
	lastID   uint64 // ID of the next ask
}

type pendingLoanRequest struct {
	id       uint64
	extends  uint64
	peer     string
	deadline time.Time
}

// entry is a loan on the borrower's or on the giver's side.
type ledgerEntry struct {
	id                 uint64
	peer               string
	service            string
	parts              []ledgerPart
	until              time.Time
	extensionRequested bool // an extension was asked for
}

type ledgerPart struct {
	target *target
	slots  int
}

// DueLoanRequests returns the asks that are due: extensions of loans that are in use, and
// new loans for each service that runs short of free slots, from one instance of
// the own region and one elsewhere, in turn.
func (p *Placer) DueLoanRequests(peers []Peer, now time.Time) []LoanRequest {
	if len(peers) == 0 || p.snapshot == nil {
		return nil
	}
	p.observeSeat(now)
	p.expireLoans(now)
	l := &p.loans
	l.pending = slices.DeleteFunc(l.pending, func(a pendingLoanRequest) bool { return !now.Before(a.deadline) })
	requests := p.dueExtensionRequests(now)
	for i := range p.snapshot.Document.Services {
		name := p.snapshot.Document.Services[i].Name
		s := p.services[name]
		if now.Sub(s.lastLoanRequest) < loanRequestInterval {
			continue
		}
		near, far := p.peersByDistance(peers, s.shortageRegion)
		slots := min(p.slotsToBorrow(s, now), maxLoanSlots)
		s.shortage, s.shortageRegion, s.lastLoanRequest = 0, "", now
		if slots == 0 {
			continue
		}
		for _, group := range [][]string{near, far} {
			if len(group) > 0 {
				requests = append(requests, l.registerRequest(LoanRequest{To: group[l.lastID%uint64(len(group))], Service: name, Slots: slots}, now))
			}
		}
	}
	return requests
}

// ask gives an ask its ID and remembers it.
func (l *loanLedger) registerRequest(a LoanRequest, now time.Time) LoanRequest {
	l.lastID++
	a.ID = l.lastID
	l.pending = append(l.pending, pendingLoanRequest{a.ID, a.Extends, a.To, now.Add(loanDuration)})
	return a
}

// extensions asks to extend the loans that end soon and are in use.
func (p *Placer) dueExtensionRequests(now time.Time) (requests []LoanRequest) {
	for i := range p.loans.borrowed {
		e := &p.loans.borrowed[i]
		s := p.services[e.service]
		if s == nil || e.extensionRequested || e.until.Sub(now) > extendBeforeEnd || len(e.parts) == 0 {
			continue
		}
		s.advancePeakWindow(now)
		if _, own := p.freeSlots(s, now); max(s.recentPeaks[0], s.recentPeaks[1]) > own {
			e.extensionRequested = true
			requests = append(requests, p.loans.registerRequest(LoanRequest{To: e.peer, Service: e.service, Extends: e.id}, now))
		}
	}
	return requests
}

// wanted returns the slots to borrow for a service.
func (p *Placer) slotsToBorrow(s *service, now time.Time) int {
	s.advancePeakWindow(now)
	if s.shortage == 0 && max(s.recentPeaks[0], s.recentPeaks[1]) == 0 {
		return 0
	}
	free, own := p.freeSlots(s, now)
	return s.shortage + max(0, own/freeSlotDivisor-free)
}

// free returns the free slots of a service, and those that are not borrowed.
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

// byDistance divides peers into those of the own region and the others, which
// are those of one region unless that is "".
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

// Lend answers another instance's ask with the slots that can be spared. The
// answer to an extension has no units; it is empty if the loan is over or the
// slots are needed here.
func (p *Placer) Lend(a LoanRequest, from string, now time.Time) Loan {
	loan := Loan{ID: a.ID, Service: a.Service}
	s := p.services[a.Service]
	if s == nil {
		return loan
	}
	p.observeSeat(now)
	p.expireLoans(now)
	if a.Extends != 0 {
		loan.Extended = s.shortage == 0 && p.extendLent(a.Extends, from, now.Add(loanDuration+s.maxRequestTime))
		return loan
	}
	e := ledgerEntry{id: a.ID, peer: from, service: a.Service, until: now.Add(loanDuration + s.maxRequestTime)}
	remaining := min(a.Slots, maxLoanSlots, p.lendableSlots(s, now))
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

// extend lets a loan that was given run longer.
func (p *Placer) extendLent(id uint64, to string, until time.Time) bool {
	for i := range p.loans.lent {
		if e := &p.loans.lent[i]; e.id == id && e.peer == to {
			e.until = until
			return true
		}
	}
	return false
}

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

// spareOf returns the own slots on a target that are neither lent nor in use.
func (p *Placer) unusedOwnSlots(t *target, now time.Time) int {
	return p.ownSlots(t, now) - t.lent - t.inFlight
}

// spare returns the slots of a service that can be lent: what is left above
// the most requests in flight of late and the part that is kept free, and never
// more than half of all.
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

// began counts a request that starts.
func (s *service) requestStarted(now time.Time) {
	s.inFlight++
	s.advancePeakWindow(now)
	s.recentPeaks[0] = max(s.recentPeaks[0], s.inFlight)
}

// roll begins a new period if the present one is over.
func (s *service) advancePeakWindow(now time.Time) {
	if now.Sub(s.peakWindowStart) >= peakWindow {
		s.recentPeaks = [2]int{s.inFlight, s.recentPeaks[0]}
		s.peakWindowStart = now
	}
}

// AcceptLoan takes over a loan. One that was not asked for, or came too late, is
// ignored; its giver takes it back by itself.
func (p *Placer) AcceptLoan(loan Loan, from string, now time.Time) {
	l := &p.loans
	i := slices.IndexFunc(l.pending, func(a pendingLoanRequest) bool { return a.id == loan.ID && a.peer == from })
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

// prolong lets a borrowed loan that has not ended run longer.
func (p *Placer) extendBorrowed(request pendingLoanRequest, extended bool) {
	for i := range p.loans.borrowed {
		if e := &p.loans.borrowed[i]; extended && e.id == request.extends {
			e.until, e.extensionRequested = request.deadline, false
		}
	}
}

// DueLoanReturns gives back the loans that ended and on which nothing runs.
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

// ReclaimLoan ends a loan that a borrower has returned.
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

// expireLoans ends the loans whose time is over.
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

// noteShortage records that requests found no free slot.
func (s *service) noteShortage(slots int) { s.shortage = min(s.shortage+slots, maxLoanSlots) }
