package attempt_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/attempt"
)

// TestMain fixes the seed of the random tests unless the command line sets it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestMachine drives requests through random events. It checks that a request
// that may not be repeated is never tried again after it may have run, and that
// the caller is told "not run" or "unknown" as the events prove.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := attempt.NewBudget()
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			checkRequest(t, budget)
		}
	})
}

// checkRequest drives one request to its end.
func checkRequest(t *rapid.T, budget *attempt.Budget) {
	repeatable := rapid.Bool().Draw(t, "repeatable")
	machine := attempt.New(repeatable, budget)
	decision := machine.Start(time.Second)
	mayHaveRun := 0 // tries whose target may have run the request
	for tries := 1; decision.Action == attempt.Try; tries++ {
		if tries > attempt.MaxTries {
			t.Fatalf("%d tries", tries)
		}
		if !repeatable && (mayHaveRun > 0 || !decision.NewConnection || decision.HeaderWait != 0) {
			t.Fatalf("try %d of a request that may not be repeated, %d before may have run: %+v", tries, mayHaveRun, decision)
		}
		kind := attempt.EventKind(rapid.IntRange(int(attempt.NoTarget), int(attempt.ResponseHeader)).Draw(t, "event"))
		switch kind {
		case attempt.NoTarget, attempt.DialFailed, attempt.WroteNothing, attempt.Shed:
		default:
			mayHaveRun++
		}
		decision = machine.Handle(attempt.Event{
			Kind: kind, Remaining: time.Second / 2,
			BodyConsumed: rapid.Bool().Draw(t, "spent"), RequestEnded: rapid.Bool().Draw(t, "ended"),
		})
	}
	switch {
	case decision.Action == attempt.ReplyNotRun && mayHaveRun > 0:
		t.Fatalf("the caller is told not run, but %d tries may have run", mayHaveRun)
	case decision.Action == attempt.ReplyUnknown && mayHaveRun == 0:
		t.Fatal("the caller is told unknown, but no try can have run")
	}
}

// TestBudget checks that the retries of requests that targets shed stay a tenth of
// the requests, and that retries after failed connections are not charged to the
// budget.
func TestBudget(t *testing.T) {
	const requests = 10_000
	for _, c := range []struct {
		kind     attempt.EventKind
		min, max int
	}{
		{attempt.Shed, requests / 10, requests/10 + 11},
		{attempt.DialFailed, 2 * requests, 2 * requests},
	} {
		budget, retries := attempt.NewBudget(), 0
		for range requests {
			machine := attempt.New(true, budget)
			decision := machine.Start(time.Second)
			for decision.Action == attempt.Try {
				decision = machine.Handle(attempt.Event{Kind: c.kind, Remaining: time.Second})
			}
			retries += machine.Tries() - 1
		}
		if retries < c.min || retries > c.max {
			t.Errorf("event %d: %d retries of %d requests, want %d to %d", c.kind, retries, requests, c.min, c.max)
		}
	}
}
