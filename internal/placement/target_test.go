package placement

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// placeUntilRefused places requests until one is refused.
func placeUntilRefused(p *Placer, r Request, now time.Time) (grants []Grant) {
	for {
		g, err := p.Choose(r, now)
		if err != nil {
			return grants
		}
		grants = append(grants, g)
	}
}

// Requests go to another region only when nearer targets are full.
func TestNearTargetsComeFirst(t *testing.T) {
	doc := testDocument(12, 6)
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	last := distanceSameZone
	for _, g := range placeUntilRefused(p, request(doc, 0), start) {
		if g.target.distance < last {
			t.Fatalf("%s at distance %d after %d", g.Target.Name, g.target.distance, last)
		}
		last = g.target.distance
	}
	if last != distanceOtherRegion {
		t.Fatal("no request went to another region")
	}
}

// Bulk requests use only the part of a link that is for them. None goes to another
// region if its response exceeds this instance's share, and those that go leave the
// interactive part free.
func TestBulkRequestsLeaveInteractiveLinkBudgetFree(t *testing.T) {
	doc := testDocument(30, 40)
	for i := range doc.Regions {
		doc.Regions[i].LinkMbps = 20
	}
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	bulkToOtherRegion := 0
	for _, g := range placeUntilRefused(p, request(doc, 1), start) {
		if g.otherRegion {
			bulkToOtherRegion++
		}
	}
	if bulkToOtherRegion != 0 {
		t.Fatalf("%d bulk requests went to another region, none fits the seat's share", bulkToOtherRegion)
	}
	p, _ = newTestPlacer(t, doc, 0, 7)
	doc.Routes[1].TypicalResponseBytes = 100_000
	placeUntilRefused(p, request(doc, 1), start)
	if g, err := p.Choose(Request{Route: &doc.Routes[0], Exclude: nil}, start); err == nil && g.linkUnits.class != config.ClassInteractive {
		t.Fatal("an interactive request took a bulk budget")
	}
	if h := p.linkHeadroom(p.regions["costa"], linkUseOf(request(doc, 0)), start); h <= 0.5 {
		t.Fatalf("bulk requests left a headroom of %g to interactive ones, want more than 0.5", h)
	}
}

// A target gets no new request from the first sign that it is leaving, whichever
// source gives the sign.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	doc := testDocument(12, 6)
	later := start.Add(time.Second)
	signs := map[string]func(p *Placer, name string){
		"health": func(p *Placer, name string) { p.ApplyReport(Report{Target: name, Draining: true}, later) },
		"answer": func(p *Placer, name string) { p.MarkLeaving(name, later) },
		"drain": func(p *Placer, name string) {
			drained := *doc
			drained.Drains = []config.Drain{{Kind: config.DrainTarget, Name: name}}
			p.Update(config.Compile(2, &drained), later)
		},
		"removal": func(p *Placer, name string) {
			removed := *doc
			removed.Services = []config.Service{{Name: "listings", Slots: 6, Targets: doc.Services[0].Targets[1:]}}
			p.Update(config.Compile(2, &removed), later)
		},
	}
	for source, sign := range signs {
		p, _ := newTestPlacer(t, doc, 0, 7)
		borrowEverywhere(p, 3)
		before, _ := p.Choose(request(doc, 0), start)
		sign(p, "listings-1")
		for _, g := range placeUntilRefused(p, request(doc, 0), later) {
			if g.Target.Name == "listings-1" {
				t.Errorf("%s: a leaving target got new work", source)
			}
		}
		p.Done(before, Answered, later)
	}
}

// A report that is older than the sign that a target is leaving does not bring the
// target back. A newer one does, with a slow start.
func TestOnlyNewerReportEndsLeaving(t *testing.T) {
	doc := testDocument(12, 6)
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	now := start.Add(10 * time.Second)
	p.MarkLeaving("listings-1", now)
	p.ApplyReport(Report{Target: "listings-1", Age: time.Second}, now)
	if !p.targets["listings-1"].leaving(now) {
		t.Fatal("an older report brought the leaving target back")
	}
	p.ApplyReport(Report{Target: "listings-1"}, now.Add(time.Second))
	target := p.targets["listings-1"]
	if target.leaving(now.Add(time.Second)) || target.slowStartFraction(now.Add(time.Second)) > 0.3 {
		t.Fatalf("leaving %t, slow-start fraction %g", target.leaving(now.Add(time.Second)), target.slowStartFraction(now.Add(time.Second)))
	}
	if target.slowStartFraction(now.Add(time.Second+slowStartDuration)) != 1 {
		t.Fatal("the slow start has not ended")
	}
}

// Outdated and false reports of no load change neither how many requests are
// placed nor which target is better by the instance's own counts.
func TestReportedLoadNeverOutweighsLocalCounts(t *testing.T) {
	doc := testDocument(12, 6)
	honest, _ := newTestPlacer(t, doc, 1, 7)
	misreported, _ := newTestPlacer(t, doc, 1, 7)
	for i := range doc.Services[0].Targets {
		misreported.ApplyReport(Report{Target: doc.Services[0].Targets[i].Name, InFlight: 0, Slots: 6}, start)
	}
	if a, b := len(placeUntilRefused(honest, request(doc, 0), start)), len(placeUntilRefused(misreported, request(doc, 0), start)); a != b {
		t.Fatalf("%d requests placed, %d with lying reports", a, b)
	}
	busy, _ := newTestPlacer(t, doc, 1, 7)
	g, _ := busy.Choose(request(doc, 0), start)
	busy.ApplyReport(Report{Target: g.Target.Name, InFlight: 0, Slots: 6}, start)
	other := map[string]string{"listings-2": "listings-8", "listings-8": "listings-2"}[g.Target.Name]
	busy.ApplyReport(Report{Target: other, InFlight: 6, Slots: 6}, start)
	next, _ := busy.Choose(request(doc, 0), start)
	if next.Target.Name == g.Target.Name {
		t.Fatal("a report of no load outweighed the local count")
	}
}

// At most one target in targetsPerEjection is ejected, even if all fail.
func TestEjectionIsBounded(t *testing.T) {
	doc := testDocument(12, 6)
	p, _ := newTestPlacer(t, doc, 0, 7)
	borrowEverywhere(p, 3)
	for range 20 * failuresToEject {
		if g, err := p.Choose(request(doc, 0), start); err == nil {
			p.Done(g, Unknown, start)
		}
	}
	ejected := 0
	for _, target := range p.targets {
		if start.Before(target.ejectedUntil) {
			ejected++
		}
	}
	if ejected != 12/targetsPerEjection {
		t.Fatalf("%d of 12 targets ejected", ejected)
	}
}

func benchmarkChoose(b *testing.B, targets int) {
	doc := testDocument(targets, 100)
	p, _ := newTestPlacer(b, doc, 0, 7)
	r := request(doc, 0)
	b.ReportAllocs()
	for b.Loop() {
		g, err := p.Choose(r, start)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(g, Answered, start)
	}
}

func BenchmarkChoose32(b *testing.B)  { benchmarkChoose(b, 32) }
func BenchmarkChoose300(b *testing.B) { benchmarkChoose(b, 300) }
