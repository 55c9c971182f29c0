package placement

import (
	"slices"
	"time"
)

const (
	// loanTime is how long a borrower may start requests on a loan, counted
	// from the moment that it asked.
	loanTime = time.Second
	// askPeriod is the time between two rounds of asking for one service.
	askPeriod = 50 * time.Millisecond
	// peakPeriod is the time over which the most requests in flight are kept.
	peakPeriod = 500 * time.Millisecond
	// renewBefore is how long before the end of a loan its extension is asked
	// for.
	renewBefore = 400 * time.Millisecond
	// maxAskUnits bounds the slots of one loan.
	maxAskUnits = 16
	// freePart is the part of its slots that a giver keeps above its recent
	// peak, and that a borrower wants free: one in so many.
	freePart = 8
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
type ledger struct {
	asks     []pendingAsk
	borrowed []entry // may be used
	ended    []entry // may not be used; something may be running on them
	lent     []entry
	next     uint64 // ID of the next ask
}

type pendingAsk struct {
	id      uint64
	extends uint64
	peer    string
	until   time.Time
}

// entry is a loan on the borrower's or on the giver's side.
type entry struct {
	id       uint64
	peer     string
	service  string
	units    []targetUnits
	until    time.Time
	extended bool // an extension was asked for
}

type targetUnits struct {
	target *target
	units  int
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
	l := &p.ledger
	l.asks = slices.DeleteFunc(l.asks, func(a pendingAsk) bool { return !now.Before(a.until) })
	asks := p.extensions(now)
	for i := range p.snapshot.Document.Services {
		name := p.snapshot.Document.Services[i].Name
		s := p.services[name]
		if now.Sub(s.asked) < askPeriod {
			continue
		}
		near, far := p.byDistance(peers, s.toward)
		units := min(p.wanted(s, now), maxAskUnits)
		s.short, s.toward, s.asked = 0, "", now
		if units == 0 {
			continue
		}
		for _, group := range [][]string{near, far} {
			if len(group) > 0 {
				asks = append(asks, l.ask(LoanRequest{To: group[l.next%uint64(len(group))], Service: name, Slots: units}, now))
			}
		}
	}
	return asks
}

// ask gives an ask its ID and remembers it.
func (l *ledger) ask(a LoanRequest, now time.Time) LoanRequest {
	l.next++
	a.ID = l.next
	l.asks = append(l.asks, pendingAsk{a.ID, a.Extends, a.To, now.Add(loanTime)})
	return a
}

// extensions asks to extend the loans that end soon and are in use.
func (p *Placer) extensions(now time.Time) (asks []LoanRequest) {
	for i := range p.ledger.borrowed {
		e := &p.ledger.borrowed[i]
		s := p.services[e.service]
		if s == nil || e.extended || e.until.Sub(now) > renewBefore || len(e.units) == 0 {
			continue
		}
		s.roll(now)
		if _, own := p.free(s, now); max(s.peaks[0], s.peaks[1]) > own {
			e.extended = true
			asks = append(asks, p.ledger.ask(LoanRequest{To: e.peer, Service: e.service, Extends: e.id}, now))
		}
	}
	return asks
}

// wanted returns the slots to borrow for a service.
func (p *Placer) wanted(s *service, now time.Time) int {
	s.roll(now)
	if s.short == 0 && max(s.peaks[0], s.peaks[1]) == 0 {
		return 0
	}
	free, own := p.free(s, now)
	return s.short + max(0, own/freePart-free)
}

// free returns the free slots of a service, and those that are not borrowed.
func (p *Placer) free(s *service, now time.Time) (free, own int) {
	for _, t := range s.targets {
		if t.accepts(now) {
			n := max(0, p.ownSlots(t, now)-t.lent)
			own += n
			free += max(0, n+t.borrowed-t.used)
		}
	}
	return free, own
}

// byDistance divides peers into those of the own region and the others, which
// are those of one region unless that is "".
func (p *Placer) byDistance(peers []Peer, toward string) (near, far []string) {
	for _, peer := range peers {
		if p.distanceTo(peer.AvailabilityZone) < distanceAcross {
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
		loan.Extended = s.short == 0 && p.extend(a.Extends, from, now.Add(loanTime+s.settle))
		return loan
	}
	e := entry{id: a.ID, peer: from, service: a.Service, until: now.Add(loanTime + s.settle)}
	left := min(a.Slots, maxAskUnits, p.spare(s, now))
	for pass := true; pass && left > 0; {
		pass = false
		for i, t := range s.targets {
			if left == 0 || !t.accepts(now) || p.spareOf(t, now) <= 0 {
				continue
			}
			t.lent++
			left--
			pass = true
			e.add(t, s.targets[i].Name, &loan)
		}
	}
	if len(e.units) > 0 {
		p.ledger.lent = append(p.ledger.lent, e)
	}
	return loan
}

// extend lets a loan that was given run longer.
func (p *Placer) extend(id uint64, to string, until time.Time) bool {
	for i := range p.ledger.lent {
		if e := &p.ledger.lent[i]; e.id == id && e.peer == to {
			e.until = until
			return true
		}
	}
	return false
}

func (e *entry) add(t *target, name string, loan *Loan) {
	for i := range e.units {
		if e.units[i].target == t {
			e.units[i].units++
			loan.Parts[i].Slots++
			return
		}
	}
	e.units = append(e.units, targetUnits{t, 1})
	loan.Parts = append(loan.Parts, LoanPart{name, 1})
}

// spareOf returns the own slots on a target that are neither lent nor in use.
func (p *Placer) spareOf(t *target, now time.Time) int {
	return p.ownSlots(t, now) - t.lent - t.used
}

// spare returns the slots of a service that can be lent: what is left above
// the most requests in flight of late and the part that is kept free, and never
// more than half of all.
func (p *Placer) spare(s *service, now time.Time) int {
	own, lent := 0, 0
	for _, t := range s.targets {
		if t.accepts(now) {
			own += p.ownSlots(t, now)
			lent += t.lent
		}
	}
	s.roll(now)
	free := own - lent - max(s.peaks[0], s.peaks[1]) - max(1, own/freePart)
	return max(0, min(free, own/2-lent))
}

// began counts a request that starts.
func (s *service) began(now time.Time) {
	s.used++
	s.roll(now)
	s.peaks[0] = max(s.peaks[0], s.used)
}

// roll begins a new period if the present one is over.
func (s *service) roll(now time.Time) {
	if now.Sub(s.rolled) >= peakPeriod {
		s.peaks = [2]int{s.used, s.peaks[0]}
		s.rolled = now
	}
}

// AcceptLoan takes over a loan. One that was not asked for, or came too late, is
// ignored; its giver takes it back by itself.
func (p *Placer) AcceptLoan(loan Loan, from string, now time.Time) {
	l := &p.ledger
	i := slices.IndexFunc(l.asks, func(a pendingAsk) bool { return a.id == loan.ID && a.peer == from })
	if i < 0 || !now.Before(l.asks[i].until) {
		return
	}
	ask := l.asks[i]
	l.asks = slices.Delete(l.asks, i, i+1)
	if ask.extends != 0 {
		p.prolong(ask, loan.Extended)
		return
	}
	e := entry{id: loan.ID, peer: from, service: loan.Service, until: ask.until}
	for _, u := range loan.Parts {
		if t := p.targets[u.Target]; t != nil && u.Slots > 0 {
			t.borrowed += u.Slots
			e.units = append(e.units, targetUnits{t, u.Slots})
		}
	}
	l.borrowed = append(l.borrowed, e)
}

// prolong lets a borrowed loan that has not ended run longer.
func (p *Placer) prolong(ask pendingAsk, extended bool) {
	for i := range p.ledger.borrowed {
		if e := &p.ledger.borrowed[i]; extended && e.id == ask.extends {
			e.until, e.extended = ask.until, false
		}
	}
}

// DueLoanReturns gives back the loans that ended and on which nothing runs.
func (p *Placer) DueLoanReturns(now time.Time) []LoanReturn {
	p.observeSeat(now)
	p.expireLoans(now)
	var out []LoanReturn
	p.ledger.ended = slices.DeleteFunc(p.ledger.ended, func(e entry) bool {
		for _, u := range e.units {
			if u.target.used > p.slots(u.target, now) {
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
	l := &p.ledger
	i := slices.IndexFunc(l.lent, func(e entry) bool { return e.id == id && e.peer == from })
	if i < 0 {
		return
	}
	for _, u := range l.lent[i].units {
		u.target.lent -= u.units
	}
	l.lent = slices.Delete(l.lent, i, i+1)
}

// expireLoans ends the loans whose time is over.
func (p *Placer) expireLoans(now time.Time) {
	l := &p.ledger
	for i := 0; i < len(l.borrowed); {
		e := l.borrowed[i]
		if now.Before(e.until) {
			i++
			continue
		}
		for _, u := range e.units {
			u.target.borrowed -= u.units
		}
		l.borrowed = slices.Delete(l.borrowed, i, i+1)
		l.ended = append(l.ended, e)
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
func (s *service) noteShortage(units int) { s.short = min(s.short+units, maxAskUnits) }
