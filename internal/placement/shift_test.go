package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
)

// shiftDocument returns a configuration that shifts the read route from sierra to
// costa, by 10 % every 10 s up to 50 %.
func shiftDocument() *config.Document {
	doc := testDocument(12, 6)
	doc.Shifts = []config.Shift{{Name: "to-costa", Route: "read", From: "sierra", To: "costa", Cap: 0.5, Step: 0.1, StepSeconds: 10}}
	return doc
}

// placeAndAnswer places one request and ends it after a time. It reports whether
// the request was moved.
func placeAndAnswer(t interface{ Fatal(...any) }, p *Placer, doc *config.Document, outcome Outcome, took time.Duration, now time.Time) bool {
	g, err := p.Choose(request(doc, 0), now)
	if err != nil {
		t.Fatal(err)
	}
	p.Done(g, outcome, now.Add(took))
	return g.Reason == ReasonShift
}

// After each request of any sequence, through restarts and steps of the ramp, the
// moved requests of all instances together are within the cap.
func TestShiftStaysWithinItsCapAtEveryPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := shiftDocument()
		limit := float64(rapid.IntRange(1, 100).Draw(t, "cap")) / 100
		doc.Shifts[0].Cap, doc.Shifts[0].Step = limit, float64(rapid.IntRange(1, 100).Draw(t, "step"))/100
		newShiftPlacer := func() *Placer {
			h := &fakeProvider{seat: fleetSeat(doc, 0, 7, 1), held: true, reserve: true}
			p := New(Options{AvailabilityZone: "sierra-1", Seats: h, Invariants: failingRecorder(t)})
			p.Update(config.Compile(1, doc), start)
			borrowEverywhere(p, 3)
			return p
		}
		placers := []*Placer{newShiftPlacer(), newShiftPlacer(), newShiftPlacer()}
		now, seen, moved := start, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			i := rapid.IntRange(0, len(placers)-1).Draw(t, "placer")
			switch rapid.IntRange(0, 40).Draw(t, "fault") {
			case 0:
				placers[i] = newShiftPlacer()
			case 1:
				now = now.Add(11 * time.Second)
			}
			outcome := Answered
			if rapid.IntRange(0, 9).Draw(t, "outcome") == 0 {
				outcome = Unknown
			}
			seen++
			if placeAndAnswer(t, placers[i], doc, outcome, time.Millisecond, now) {
				moved++
			}
			if float64(moved) > limit*float64(seen) {
				t.Fatalf("moved %d of %d, cap %g", moved, seen, limit)
			}
		}
	})
}

// The ramp goes on while moved requests are answered in time, stays where it is
// while they are slow, goes back when they fail, and ends at the cap.
func TestRampStepsHoldsAndStepsBack(t *testing.T) {
	doc := shiftDocument()
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	now := start
	drive := func(n int, outcome Outcome, moved time.Duration) float64 {
		for range n {
			now = now.Add(100 * time.Millisecond)
			g, err := p.Choose(request(doc, 0), now)
			if err != nil {
				t.Fatal(err)
			}
			if g.Reason == ReasonShift {
				p.Done(g, outcome, now.Add(moved))
			} else {
				p.Done(g, Answered, now.Add(20*time.Millisecond))
			}
		}
		return p.Shifts()[0].Share
	}
	expect := func(what string, got, want float64) {
		t.Helper()
		if got != want {
			t.Fatalf("%s: share %g, want %g", what, got, want)
		}
	}
	expect("begin", drive(50, Answered, 60*time.Millisecond), 0.1)
	expect("first step", drive(60, Answered, 60*time.Millisecond), 0.2)
	expect("slow destination", drive(300, Answered, time.Second), 0.2)
	for range 25 {
		if drive(10, Answered, 60*time.Millisecond) > 0.2 {
			break
		}
	}
	expect("resumed", p.Shifts()[0].Share, 0.3)
	expect("failures", drive(140, Unknown, 60*time.Millisecond), 0.2)
	// Let the ejections of targets end.
	now = now.Add(time.Minute)
	drive(700, Answered, 60*time.Millisecond)
	expect("the cap", drive(500, Answered, 60*time.Millisecond), 0.5)
}

// The ramp never goes on without an answer to a moved request.
func TestRampHoldsWithoutAnswers(t *testing.T) {
	doc := shiftDocument()
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	for i := range 30 {
		g, err := p.Choose(request(doc, 0), start.Add(time.Duration(i)*time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		if g.Reason != ReasonShift {
			p.Done(g, Answered, start.Add(time.Duration(i)*time.Minute))
		}
	}
	if share := p.Shifts()[0].Share; share != 0.1 {
		t.Fatalf("share %g without an answer from the destination", share)
	}
}

// The invariant is reported as violated if too many requests were moved.
func TestShiftWithinCapInvariantReportsViolation(t *testing.T) {
	doc := shiftDocument()
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	found := &invariant.Recorder{}
	p.options.Invariants = found
	p.shifts["read"].moved = 100
	placeAndAnswer(t, p, doc, Answered, 0, start)
	if found.Counts()[invariant.ShiftWithinCap] != 1 {
		t.Fatalf("violations: %v", found.Counts())
	}
}

// A shift that may move all requests moves no more than this instance's share of
// the destination's limit.
func TestShiftStaysWithinDestinationBudget(t *testing.T) {
	doc := shiftDocument()
	doc.Shifts[0].Cap, doc.Shifts[0].Step = 1, 1
	for i := range doc.Regions {
		doc.Regions[i].MaxInFlight = 14
	}
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	for {
		if _, err := p.Choose(request(doc, 0), start); err != nil {
			break
		}
	}
	if n := p.regions["costa"].inFlight; n != 2 {
		t.Fatalf("%d in flight in costa, the seat's share is 2", n)
	}
}
