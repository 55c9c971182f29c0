package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// TestMain fixes the seed and the number of checks of the randomised tests, unless
// they are given by flags.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("500")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

const routeTimeout = 2 * time.Second

// testDocument returns a configuration of three regions with two zones each and
// one service, whose targets are spread evenly over the zones. slots are those of
// each target. Route 0 is interactive, route 1 is bulk.
func testDocument(targets, slots int) *config.Document {
	doc := &config.Document{}
	for _, r := range []string{"sierra", "costa", "oriente"} {
		doc.Regions = append(doc.Regions, config.Region{Name: r, LinkMbps: 280})
		for i := 1; i <= 2; i++ {
			doc.AvailabilityZones = append(doc.AvailabilityZones, config.AvailabilityZone{Name: fmt.Sprintf("%s-%d", r, i), Region: r})
		}
	}
	s := config.Service{Name: "listings", Slots: slots}
	for i := range targets {
		s.Targets = append(s.Targets, config.Target{
			Name: fmt.Sprintf("listings-%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			AvailabilityZone: doc.AvailabilityZones[i%len(doc.AvailabilityZones)].Name,
		})
	}
	doc.Services = []config.Service{s}
	timeout := int(routeTimeout / time.Millisecond)
	doc.Routes = []config.Route{
		{Name: "read", Service: "listings", Class: config.ClassInteractive, TimeoutMillis: timeout, TypicalResponseBytes: 20_000},
		{Name: "photos", Service: "listings", Class: config.ClassBulk, TimeoutMillis: timeout, TypicalResponseBytes: 1_500_000},
	}
	return doc
}

// zoneOfSeat returns the zone of the seat with a number; the zones take turns.
func zoneOfSeat(doc *config.Document, number int) string {
	return doc.AvailabilityZones[number%len(doc.AvailabilityZones)].Name
}

// fakeProvider is a seat.Provider whose answers a test sets.
type fakeProvider struct {
	seat          seat.Seat
	held, reserve bool
}

func (h *fakeProvider) Seat(time.Time) (seat.Seat, bool)    { return h.seat, h.held }
func (h *fakeProvider) Reserve(time.Time) (seat.Seat, bool) { return h.seat, h.reserve }

// fleetSeat returns the seat with a number in a fleet spread over the zones. Under
// version 1 of the seat table, the seat has had no earlier holder.
func fleetSeat(doc *config.Document, number, seats int, version uint64) seat.Seat {
	zones := len(doc.AvailabilityZones)
	return seat.Seat{
		AvailabilityZone: zoneOfSeat(doc, number), Index: number / zones,
		ZoneSeats: (seats - number%zones + zones - 1) / zones,
		Number:    number, FleetSeats: seats, TableVersion: version, AssignedVersion: version, Clean: version == 1,
	}
}

// failingRecorder returns a recorder that fails the test at each violation.
func failingRecorder(t interface{ Errorf(string, ...any) }) *invariant.Recorder {
	return &invariant.Recorder{OnViolation: func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) }}
}

// newTestPlacer returns a placer that holds the seat with a number in a fleet of
// some seats.
func newTestPlacer(t testing.TB, doc *config.Document, number, seats int) (*Placer, *fakeProvider) {
	h := &fakeProvider{seat: fleetSeat(doc, number, seats, 1), held: true, reserve: true}
	p := New(Options{AvailabilityZone: h.seat.AvailabilityZone, Seats: h, MaxFleetLayoutLag: 5 * time.Second, MaxZoneLayoutLag: 5 * time.Second, Invariants: failingRecorder(t)})
	p.Update(config.Compile(1, doc), start)
	return p, h
}

// request returns a request of the document's route with an index.
func request(doc *config.Document, route int) Request { return Request{Route: &doc.Routes[route]} }

// borrowEverywhere gives a placer borrowed slots on each target outside its zone.
func borrowEverywhere(p *Placer, slots int) {
	for _, t := range p.targets {
		if t.distance != distanceSameZone {
			t.borrowed = slots
		}
	}
}
