package placement

import (
	"testing"
	"time"
)

// loanPair returns a giver and a borrower that has asked at start.
func newLoanPair(t *testing.T) (giver, borrower *Placer, request LoanRequest) {
	doc := testDocument(12, 3)
	giver, _ = newTestPlacer(t, doc, 1, 7)
	borrower, _ = newTestPlacer(t, doc, 2, 7)
	borrower.services["listings"].noteShortage(4)
	requests := borrower.DueLoanRequests([]Peer{{Name: "giver", AvailabilityZone: "costa-1"}}, start)
	if len(requests) != 1 {
		t.Fatalf("%d asks", len(requests))
	}
	return giver, borrower, requests[0]
}

// However late the answer comes, the borrower stops before the giver takes the
// slots back, and nothing is returned while it is in use.
func TestLoanEndsForBorrowerBeforeGiver(t *testing.T) {
	giver, borrower, request := newLoanPair(t)
	loan := giver.Lend(request, "borrower", start.Add(10*time.Millisecond))
	if len(loan.Parts) == 0 || giver.usableSlots(giver.targets[loan.Parts[0].Target], start) != 3-loan.Parts[0].Slots {
		t.Fatalf("loan %+v", loan)
	}
	name := loan.Parts[0].Target
	arrived := start.Add(900 * time.Millisecond)
	borrower.AcceptLoan(loan, "giver", arrived)
	borrower.AcceptLoan(loan, "giver", arrived) // a doubled message
	target := borrower.targets[name]
	if target.borrowed != loan.Parts[0].Slots {
		t.Fatalf("borrowed %d, lent %d", target.borrowed, loan.Parts[0].Slots)
	}
	target.inFlight++
	ended := start.Add(loanDuration)
	if out := borrower.DueLoanReturns(ended); len(out) != 0 || target.borrowed != 0 {
		t.Fatalf("returned %v with a request in flight; %d still borrowed", out, target.borrowed)
	}
	target.inFlight--
	out := borrower.DueLoanReturns(ended)
	if len(out) != 1 {
		t.Fatalf("returned %v", out)
	}
	giver.ReclaimLoan(out[0].ID, "borrower")
	giver.ReclaimLoan(out[0].ID, "borrower")
	if n := giver.usableSlots(giver.targets[name], ended); n != 3 {
		t.Fatalf("the giver has %d slots", n)
	}
}

// A loan whose return is lost comes back once its requests have ended; a seat's
// next holder waits for the loans of the one before.
func TestLoanExpiresWhenItsReturnIsLost(t *testing.T) {
	giver, _, request := newLoanPair(t)
	loan := giver.Lend(request, "borrower", start)
	name := loan.Parts[0].Target
	giver.Tick(start)
	for _, at := range []struct {
		after time.Duration
		slots int
	}{{loanDuration, 3 - loan.Parts[0].Slots}, {loanDuration + routeTimeout, 3}} {
		giver.DueLoanReturns(start.Add(at.after))
		if n := giver.usableSlots(giver.targets[name], start.Add(at.after)); n != at.slots {
			t.Errorf("%d slots after %s, want %d", n, at.after, at.slots)
		}
	}
	if settle := giver.targets[name].slotPool.maxHold; settle < loanDuration+routeTimeout {
		t.Errorf("a successor waits %s", settle)
	}
}

// An extension that is granted keeps the loan; one that meets a shortage at the
// giver ends it.
func TestLoanExtension(t *testing.T) {
	giver, borrower, request := newLoanPair(t)
	loan := giver.Lend(request, "borrower", start)
	borrower.AcceptLoan(loan, "giver", start)
	target := borrower.targets[loan.Parts[0].Target]
	late := start.Add(loanDuration - extendBeforeEnd)
	for range 20 {
		borrower.services["listings"].requestStarted(late)
	}
	peers := []Peer{{Name: "giver", AvailabilityZone: "costa-1"}}
	requests := borrower.DueLoanRequests(peers, late)
	if len(requests) == 0 || requests[0].Extends != loan.ID {
		t.Fatalf("asks %+v", requests)
	}
	borrower.AcceptLoan(giver.Lend(requests[0], "borrower", late), "giver", late)
	borrower.expireLoans(start.Add(loanDuration))
	if target.borrowed == 0 {
		t.Fatal("an extended loan ended")
	}
	later := late.Add(loanDuration - extendBeforeEnd)
	for range 20 {
		borrower.services["listings"].requestStarted(later)
	}
	giver.services["listings"].noteShortage(1)
	borrower.AcceptLoan(giver.Lend(borrower.DueLoanRequests(peers, later)[0], "borrower", later), "giver", later)
	borrower.expireLoans(late.Add(loanDuration))
	if target.borrowed != 0 {
		t.Fatal("a loan went on that the giver needs")
	}
}

// However often it is asked, an idle giver keeps half of its slots.
func TestGiverKeepsHalfOfItsSlots(t *testing.T) {
	giver, _, request := newLoanPair(t)
	for range 20 {
		request.ID++
		giver.Lend(request, "borrower", start)
	}
	if free, own := giver.freeSlots(giver.services["listings"], start); free < 3 {
		t.Fatalf("%d slots left of 6, %d own", free, own)
	}
}
