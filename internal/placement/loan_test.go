package placement

import (
	"testing"
	"time"
)

// newLoanPair returns a lender, a borrower, and a borrow request that the borrower
// made at start.
func newLoanPair(t *testing.T) (lender, borrower *Placer, request BorrowRequest) {
	doc := testDocument(12, 3)
	lender, _ = newTestPlacer(t, doc, 1, 7)
	borrower, _ = newTestPlacer(t, doc, 2, 7)
	borrower.services["listings"].noteShortage(4)
	requests := borrower.DueBorrowRequests([]Peer{{Name: "lender", AvailabilityZone: "costa-1"}}, start)
	if len(requests) != 1 {
		t.Fatalf("%d borrow requests, want 1", len(requests))
	}
	return lender, borrower, requests[0]
}

// The borrower's use of a loan ends loanDuration after its request, even if the
// answer took most of that time, and so before the lender reclaims the slots. The
// loan is not returned while a request runs on it. Doubled messages have no
// effect.
func TestLoanEndsForBorrowerBeforeLender(t *testing.T) {
	lender, borrower, request := newLoanPair(t)
	loan := lender.Lend(request, "borrower", start.Add(10*time.Millisecond))
	if len(loan.Parts) == 0 || lender.usableSlots(lender.targets[loan.Parts[0].Target], start) != 3-loan.Parts[0].Slots {
		t.Fatalf("loan %+v: no slots, or the lender still uses them", loan)
	}
	name := loan.Parts[0].Target
	arrived := start.Add(900 * time.Millisecond)
	borrower.AcceptLoan(loan, "lender", arrived)
	borrower.AcceptLoan(loan, "lender", arrived) // doubled message
	target := borrower.targets[name]
	if target.borrowed != loan.Parts[0].Slots {
		t.Fatalf("the borrower has %d slots, lent were %d", target.borrowed, loan.Parts[0].Slots)
	}
	target.inFlight++
	ended := start.Add(loanDuration)
	if out := borrower.DueLoanReturns(ended); len(out) != 0 || target.borrowed != 0 {
		t.Fatalf("returns %v with a request in flight; %d slots still borrowed, want 0", out, target.borrowed)
	}
	target.inFlight--
	out := borrower.DueLoanReturns(ended)
	if len(out) != 1 {
		t.Fatalf("returns %v, want 1", out)
	}
	lender.ReclaimLoan(out[0].ID, "borrower")
	lender.ReclaimLoan(out[0].ID, "borrower")
	if n := lender.usableSlots(lender.targets[name], ended); n != 3 {
		t.Fatalf("the lender has %d slots once the loan is returned, want 3", n)
	}
}

// If the return of a loan is lost, the lender reclaims the slots by itself once all
// requests on them must have ended. The next holder of the lender's seat has to
// wait for as long.
func TestLoanExpiresWhenItsReturnIsLost(t *testing.T) {
	lender, _, request := newLoanPair(t)
	loan := lender.Lend(request, "borrower", start)
	name := loan.Parts[0].Target
	lender.Tick(start)
	for _, at := range []struct {
		after time.Duration
		slots int
	}{{loanDuration, 3 - loan.Parts[0].Slots}, {loanDuration + routeTimeout, 3}} {
		lender.DueLoanReturns(start.Add(at.after))
		if n := lender.usableSlots(lender.targets[name], start.Add(at.after)); n != at.slots {
			t.Errorf("%d slots after %s, want %d", n, at.after, at.slots)
		}
	}
	if maxHold := lender.targets[name].slotPool.maxHold; maxHold < loanDuration+routeTimeout {
		t.Errorf("the next holder of the seat waits only %s", maxHold)
	}
}

// A loan goes on if its extension is granted, and ends if the lender refuses the
// extension because it is short of slots.
func TestLoanExtension(t *testing.T) {
	lender, borrower, request := newLoanPair(t)
	loan := lender.Lend(request, "borrower", start)
	borrower.AcceptLoan(loan, "lender", start)
	target := borrower.targets[loan.Parts[0].Target]
	late := start.Add(loanDuration - extendBeforeEnd)
	for range 20 {
		borrower.services["listings"].requestStarted(late)
	}
	peers := []Peer{{Name: "lender", AvailabilityZone: "costa-1"}}
	requests := borrower.DueBorrowRequests(peers, late)
	if len(requests) == 0 || requests[0].Extends != loan.ID {
		t.Fatalf("borrow requests %+v, want an extension", requests)
	}
	borrower.AcceptLoan(lender.Lend(requests[0], "borrower", late), "lender", late)
	borrower.expireLoans(start.Add(loanDuration))
	if target.borrowed == 0 {
		t.Fatal("the loan ended although it was extended")
	}
	later := late.Add(loanDuration - extendBeforeEnd)
	for range 20 {
		borrower.services["listings"].requestStarted(later)
	}
	lender.services["listings"].noteShortage(1)
	borrower.AcceptLoan(lender.Lend(borrower.DueBorrowRequests(peers, later)[0], "borrower", later), "lender", later)
	borrower.expireLoans(late.Add(loanDuration))
	if target.borrowed != 0 {
		t.Fatal("the loan went on although the lender needs its slots")
	}
}

// An idle lender keeps half of its slots, however many loans are requested.
func TestLenderKeepsHalfOfItsSlots(t *testing.T) {
	lender, _, request := newLoanPair(t)
	for range 20 {
		request.ID++
		lender.Lend(request, "borrower", start)
	}
	if free, own := lender.freeSlots(lender.services["listings"], start); free < 3 {
		t.Fatalf("%d free slots left of 6, want 3; %d own", free, own)
	}
}
