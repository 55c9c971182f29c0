package placement

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/config"
)

// tell lets a target say something in a response.
func tell(p *Placer, name string, n availability.Notice, now time.Time) {
	p.Observe(Grant{Target: p.targets[name].Target}, n, now)
}

// placedOn places requests until one is refused, and returns how many a target got. All
// requests have ended afterwards.
func placedOn(p *Placer, r Request, name string, now time.Time) (n int) {
	for _, g := range placeUntilRefused(p, r, now) {
		if g.Target.Name == name {
			n++
		}
		p.Done(g, Answered, now)
	}
	return n
}

func TestPausedTargetGetsRequestsOrPollsBeforeTheEnd(t *testing.T) {
	doc := testDocument(12, 6)
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	const pause = 3 * time.Second
	for _, name := range []string{"listings-1", "listings-2"} { // own and borrowed slots
		before, after := p.Observe(Grant{Target: p.targets[name].Target}, availability.Notice{Pause: pause}, start)
		if before != availability.Serving || after != availability.Paused {
			t.Fatalf("%s was %s before and %s after", name, before, after)
		}
		tell(p, name, availability.Notice{Pause: time.Second}, start.Add(time.Second)) // does not shorten it
	}
	for _, at := range []time.Duration{0, 2100 * time.Millisecond, pause - 1} {
		now := start.Add(at)
		p.ApplyReport(Report{Target: "listings-1"}, now) // nor does a report
		if a, b := placedOn(p, request(doc, 0), "listings-1", now), placedOn(p, request(doc, 0), "listings-2", now); a+b > 0 {
			t.Errorf("%v after the begin: %d and %d requests", at, a, b)
		}
		for _, name := range p.DuePolls("a", []string{"a"}, now) {
			if name == "listings-1" {
				t.Errorf("%v after the begin: a poll", at)
			}
		}
		if n := p.AvailabilityCount(availability.Paused, now); n != 2 {
			t.Errorf("%v after the begin: %d targets count as paused", at, n)
		}
	}
	end := start.Add(pause + availability.ReturnDuration)
	if a, b := placedOn(p, request(doc, 0), "listings-1", end), placedOn(p, request(doc, 0), "listings-2", end); a == 0 || b == 0 {
		t.Errorf("after the pause: %d and %d requests", a, b)
	}
}

func TestAllSlotsOfATargetReturnAtTheEndOfItsPause(t *testing.T) {
	doc := testDocument(12, 60)
	p, _ := newTestPlacer(t, doc, 0, 7)
	all := placedOn(p, request(doc, 0), "listings-1", start)
	tell(p, "listings-1", availability.Notice{Pause: time.Second}, start)
	for part, want := range map[time.Duration]int{0: 1, 4: all / 4, 2: all / 2, 1: all} {
		end := start.Add(time.Second)
		if part > 0 {
			end = end.Add(availability.ReturnDuration / part)
		}
		if got := placedOn(p, request(doc, 0), "listings-1", end); got != want {
			t.Errorf("%v after the pause: %d of %d slots, want %d", end.Sub(start)-time.Second, got, all, want)
		}
	}
}

// setUnusable makes the targets of a service unusable, each in its own way.
var setUnusable = map[string]func(p *Placer, name string){
	"leaves":      func(p *Placer, name string) { tell(p, name, availability.Notice{Leaving: true}, start) },
	"reported":    func(p *Placer, name string) { p.MarkLeaving(name, start) },
	"pauses 2 s":  func(p *Placer, name string) { tell(p, name, availability.Notice{Pause: 2 * time.Second}, start) },
	"pauses 5 s":  func(p *Placer, name string) { tell(p, name, availability.Notice{Pause: 5 * time.Second}, start) },
	"both":        func(p *Placer, name string) { tell(p, name, availability.Notice{Leaving: true, Pause: 1}, start) },
	"ejected":     func(p *Placer, name string) { p.targets[name].ejectedUntil = start.Add(time.Hour) },
	"drained":     func(p *Placer, name string) { p.targets[name].drained = true },
	"full":        func(p *Placer, name string) { p.targets[name].inFlight = 6 },
	"tried":       func(*Placer, string) {},
	"tried, then": func(p *Placer, name string) { tell(p, name, availability.Notice{Pause: time.Second}, start) },
}

func TestRequestWaitsThoughEveryTargetLeavesOrPauses(t *testing.T) {
	const none = -1 // the error is not an UnavailableError
	for _, c := range []struct {
		ways [2]string // what the two targets do
		wait time.Duration
		err  error
	}{
		{[2]string{"leaves", "leaves"}, 0, nil},
		{[2]string{"leaves", "reported"}, 0, nil},
		{[2]string{"pauses 5 s", "pauses 2 s"}, 2 * time.Second, nil},
		{[2]string{"leaves", "pauses 5 s"}, 5 * time.Second, nil},
		{[2]string{"both", "pauses 5 s"}, 5 * time.Second, nil},
		{[2]string{"drained", "pauses 5 s"}, 5 * time.Second, nil},
		{[2]string{"tried, then", "pauses 5 s"}, time.Second, nil},
		{[2]string{"tried", "pauses 5 s"}, none, ErrNoTarget},
		{[2]string{"ejected", "pauses 5 s"}, none, ErrNoTarget},
		{[2]string{"drained", "drained"}, none, ErrNoTarget},
		{[2]string{"full", "pauses 5 s"}, none, ErrOverloaded},
		{[2]string{"full", "leaves"}, none, ErrOverloaded},
	} {
		doc := testDocument(12, 6)
		doc.Services[0].Targets = []config.Target{doc.Services[0].Targets[0], doc.Services[0].Targets[6]}
		p, _ := newTestPlacer(t, doc, 0, 7)
		r := request(doc, 0)
		for i, way := range c.ways {
			name := doc.Services[0].Targets[i].Name
			setUnusable[way](p, name)
			if way == "tried" || way == "tried, then" {
				r.Exclude = append(r.Exclude, name)
			}
		}
		_, err := p.Choose(r, start)
		var unavailable *UnavailableError
		switch {
		case errors.As(err, &unavailable) != (c.wait != none):
			t.Errorf("%v: %v", c.ways, err)
		case unavailable != nil && unavailable.Wait != c.wait:
			t.Errorf("%v: wait %v, want %v", c.ways, unavailable.Wait, c.wait)
		case unavailable == nil && !errors.Is(err, c.err):
			t.Errorf("%v: %v, want %v", c.ways, err, c.err)
		}
	}
}

func TestRejectionsInAPauseEjectTheTarget(t *testing.T) {
	doc := testDocument(12, 60)
	p, _ := newTestPlacer(t, doc, 0, 7)
	grants := placeUntilRefused(p, request(doc, 0), start)
	for _, g := range grants {
		if g.Target.Name == "listings-1" {
			p.Observe(g, availability.Notice{Pause: time.Second}, start)
			p.Done(g, NotRun, start)
		}
	}
	if n := placedOn(p, request(doc, 0), "listings-1", start.Add(time.Second)); n == 0 {
		t.Error("no request after a pause of 1 s in which all requests under way were rejected")
	}
}

func TestTargetThatPausesWithEachRequestIsNeverEjected(t *testing.T) {
	doc := testDocument(12, 6)
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	now := start
	for range failuresToEject {
		g := Grant{Target: p.targets["listings-1"].Target, target: p.targets["listings-1"], region: p.homeRegion, start: now}
		g.target.inFlight++
		g.target.service.inFlight++
		g.region.inFlight++
		p.Observe(g, availability.Notice{Pause: time.Millisecond}, now)
		p.Done(g, NotRun, now)
		now = now.Add(10 * time.Millisecond)
	}
	if n := placedOn(p, request(doc, 0), "listings-1", now); n > 0 {
		t.Errorf("%d requests after %d requests that it rejected with a pause each", n, failuresToEject)
	}
}

func TestNoticeOfTheProcessAtAFormerAddressHoldsForTheNewOne(t *testing.T) {
	for name, n := range map[string]availability.Notice{"leaving": {Leaving: true}, "paused": {Pause: time.Minute}} {
		doc := testDocument(12, 6)
		p, _ := newTestPlacer(t, doc, 0, 7)
		former := Grant{Target: p.targets["listings-1"].Target}
		p.Observe(former, n, start)
		if got := placedOn(p, request(doc, 0), "listings-1", start); got > 0 {
			t.Fatalf("%s: %d requests before the change", name, got)
		}
		doc.Services[0].Targets[0].Address = "127.0.0.1:99"
		now := start.Add(time.Second)
		p.Update(config.Compile(2, doc), now)
		p.Observe(former, n, now)                                                              // late
		p.ApplyReport(Report{Target: "listings-1", Draining: true, Age: 2 * time.Second}, now) // of the former process
		if got := placedOn(p, request(doc, 0), "listings-1", now); got == 0 {
			t.Errorf("%s: no request at the new address", name)
		}
	}
}

func TestLeavingNoticeEndsWithoutANewerReportOrNeverEnds(t *testing.T) {
	doc := testDocument(12, 6)
	p, _ := newTestPlacer(t, doc, 0, 7)
	now := start.Add(10 * time.Second)
	tell(p, "listings-1", availability.Notice{Leaving: true}, now)
	p.ApplyReport(Report{Target: "listings-1", Age: time.Millisecond}, now) // sent before the response came
	if n := placedOn(p, request(doc, 0), "listings-1", now.Add(time.Hour)); n > 0 {
		t.Errorf("%d requests after an older report", n)
	}
	now = now.Add(leavingPollInterval)
	if change := p.ApplyReport(Report{Target: "listings-1"}, now); change != StoppedLeaving {
		t.Errorf("change %v by a newer report", change)
	}
	if n := placedOn(p, request(doc, 0), "listings-1", now); n == 0 {
		t.Error("no request after a newer report")
	}
}
