package placement

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/availability"
	"github.com/turmericfield/turmericfield/internal/config"
)

// All slots of a target are divided among the instances: none is left over and
// none is given twice.
func TestSharesSumToTargetSlots(t *testing.T) {
	for _, size := range []struct{ targets, slots, seats int }{{32, 6, 7}, {12, 3, 7}, {24, 3, 7}, {24, 30, 40}, {32, 6, 1600}} {
		doc := testDocument(size.targets, size.slots)
		sum := map[string]int{}
		for number := range size.seats {
			p, _ := newTestPlacer(t, doc, number, size.seats)
			for name, target := range p.targets {
				sum[name] += p.usableSlots(target, start)
			}
		}
		for name, n := range sum {
			if n != size.slots {
				t.Errorf("%+v: the shares of %s sum to %d", size, name, n)
			}
		}
	}
}

// The units of all seats add up to the pool, and a larger pool gives no seat fewer
// units; see pool.resize.
func TestUnitsOfSeatIsExactAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units, seats := rapid.IntRange(0, 5000).Draw(t, "units"), rapid.IntRange(1, 200).Draw(t, "seats")
		offset := rapid.Uint64().Draw(t, "offset")
		sum := 0
		for number := range seats {
			n := unitsOfSeat(units, offset, seatPosition{seats, number})
			if n > unitsOfSeat(units+1, offset, seatPosition{seats, number}) {
				t.Fatal("a larger pool gives a seat less")
			}
			sum += n
		}
		if sum != units {
			t.Fatalf("the seats have %d units of %d", sum, units)
		}
	})
}

// Without its seat, an instance places nothing. While only the seat of its own
// zone is held, it places requests in that zone and nowhere else.
func TestNoSlotsWithoutSeat(t *testing.T) {
	doc := testDocument(12, 3)
	p, h := newTestPlacer(t, doc, 1, 7)
	h.held, h.reserve = false, false
	if g, err := p.Choose(request(doc, 0), start); err != ErrOverloaded {
		t.Fatalf("chose %v, %v without a seat", g.Target.Name, err)
	}
	h.reserve = true
	for {
		g, err := p.Choose(request(doc, 0), start)
		if err != nil {
			break
		}
		if g.Reason != ReasonOwnZone {
			t.Fatalf("%s, outside the own zone, was chosen with the zone's seat only", g.Target.Name)
		}
	}
	// The zone has two targets with three slots each, and one seat.
	if p.homeRegion.inFlight != 6 {
		t.Fatalf("%d requests on the own zone, want 6", p.homeRegion.inFlight)
	}
}

// An instance that gets a seat uses its slots only once all requests and loans of
// the seat's previous holder must have ended.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	doc := testDocument(12, 3)
	p, h := newTestPlacer(t, doc, 0, 7)
	totalOwnSlots := func(now time.Time) (n int) {
		p.Tick(now)
		for _, target := range p.targets {
			n += p.ownSlots(target, now)
		}
		return n
	}
	h.seat.Index, h.seat.AssignedVersion = 1, 2
	at := start.Add(time.Second)
	if n := totalOwnSlots(at); n != 0 {
		t.Fatalf("a new seat gave %d slots at once, want 0", n)
	}
	at = at.Add(routeTimeout + loanDuration + p.options.MaxZoneLayoutLag)
	if n := totalOwnSlots(at); n == 0 {
		t.Fatal("a new seat gives no slots after the wait")
	}
	h.seat.TableVersion = 3
	if n := totalOwnSlots(at.Add(time.Minute)); n == 0 {
		t.Fatal("a seat that was kept under a new seat table gives no slots")
	}
	h.seat.Index = 0
	if n := totalOwnSlots(at.Add(time.Minute + time.Millisecond)); n != 0 {
		t.Fatalf("a seat with a new index in the same layout gave %d slots at once, want 0", n)
	}
	at = at.Add(time.Minute)
	h.seat.AssignedVersion = 4
	if n := totalOwnSlots(at.Add(2 * time.Minute)); n != 0 {
		t.Fatalf("a seat that another instance held in between gave %d slots, want 0", n)
	}
}

// fleet is a set of placers, each of which may know another layout. A layout is one
// number of seats of the fleet.
type fleet struct {
	t       *rapid.T
	doc     *config.Document
	now     time.Time
	members []*member
	// layouts holds the number of seats in each layout, in the order in which the
	// layouts were accepted: the first one first, the newest one last.
	layouts []int
	// accepted holds the time at which each layout was accepted, with the same
	// indexes as layouts.
	accepted []time.Time
	// messages holds the messages in transit; calling one of the functions delivers
	// its message.
	messages []func()
}

// member is a process of the fleet. While it is paused, it does nothing.
type member struct {
	*Placer
	provider *fakeProvider
	number   int
	layout   int // index in layouts
	paused   bool
	grants   []Grant
}

const (
	maxLayoutLag = 5 * time.Second
	maxMembers   = 9
	targetCount  = 12
	targetSlots  = 3
)

// newFleet returns a fleet with seven seats, all held. Links and the second region
// have limits low enough to be reached.
func newFleet(t *rapid.T) *fleet {
	doc := testDocument(targetCount, targetSlots)
	for i := range doc.Regions {
		doc.Regions[i].LinkMbps = 20
	}
	doc.Regions[1].MaxInFlight = 9
	f := &fleet{t: t, doc: doc, now: start, layouts: []int{7}, accepted: []time.Time{start}}
	for number := range maxMembers {
		f.members = append(f.members, f.newMember(number, number < 7, true))
	}
	return f
}

// newMember starts a process for a seat, which is clean if nobody had it before.
func (f *fleet) newMember(number int, held, clean bool) *member {
	layout := len(f.layouts) - 1
	h := &fakeProvider{seat: fleetSeat(f.doc, number, f.layouts[layout], 2), held: held, reserve: held}
	h.seat.Clean = clean
	p := New(Options{AvailabilityZone: h.seat.AvailabilityZone, Seats: h, MaxFleetLayoutLag: maxLayoutLag, MaxZoneLayoutLag: maxLayoutLag, FirstLoanID: uint64(len(f.members)) << 32, Invariants: failingRecorder(f.t)})
	p.Update(config.Compile(uint64(layout+1), f.doc), f.now)
	return &member{Placer: p, provider: h, number: number, layout: layout}
}

// advance moves the time forward. Requests end at their timeout. A member that has
// not adopted an accepted layout within maxLayoutLag loses its seat.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, m := range f.members {
		kept := m.grants[:0]
		for _, g := range m.grants {
			if f.now.Sub(g.start) < routeTimeout {
				kept = append(kept, g)
			} else {
				m.Done(g, Answered, f.now)
			}
		}
		m.grants = kept
		if next := m.layout + 1; next < len(f.layouts) && f.now.Sub(f.accepted[next]) > maxLayoutLag-time.Millisecond {
			m.provider.held, m.provider.reserve = false, false
		}
		if !m.paused {
			m.Tick(f.now)
		}
	}
}

// adopt lets a member learn of the newest layout.
func (f *fleet) adopt(m *member) {
	m.layout = len(f.layouts) - 1
	seats := f.layouts[m.layout]
	m.provider.held = m.number < seats
	m.provider.reserve = m.provider.held
	if m.provider.held {
		assignedVersion := m.provider.seat.AssignedVersion
		m.provider.seat = fleetSeat(f.doc, m.number, seats, assignedVersion)
		m.provider.seat.Clean = false
	}
	m.Update(config.Compile(uint64(m.layout+1), f.doc), f.now)
}

// burst lets a member place a number of requests, or until one is refused.
func (f *fleet) burst(m *member, route, requests int) {
	for range requests {
		if m.paused {
			return
		}
		g, err := m.Choose(request(f.doc, route), f.now)
		if err != nil {
			return
		}
		m.grants = append(m.grants, g)
	}
}

// peers returns all members but one as peers, named by their index.
func (f *fleet) peers(self int) []Peer {
	var out []Peer
	for i, m := range f.members[:maxMembers] {
		if i != self {
			out = append(out, Peer{Name: strconv.Itoa(i), AvailabilityZone: m.options.AvailabilityZone})
		}
	}
	return out
}

// member returns the process that bears a peer's name now.
func (f *fleet) member(name string) *member {
	i, _ := strconv.Atoi(name)
	return f.members[i]
}

// exchangeLoans puts the borrow requests and returns of a member in transit. A
// delivered borrow request puts its answer in transit.
func (f *fleet) exchangeLoans(i int) {
	m, self := f.members[i], strconv.Itoa(i)
	if m.paused {
		return
	}
	m.services["listings"].noteShortage(maxLoanSlots)
	for _, borrowRequest := range m.DueBorrowRequests(f.peers(i), f.now) {
		f.messages = append(f.messages, func() {
			loan := f.member(borrowRequest.To).Lend(borrowRequest, self, f.now)
			f.messages = append(f.messages, func() { f.member(self).AcceptLoan(loan, borrowRequest.To, f.now) })
		})
	}
	for _, r := range m.DueLoanReturns(f.now) {
		f.messages = append(f.messages, func() { f.member(r.To).ReclaimLoan(r.ID, self) })
	}
}

// check fails the test if all members together exceed a limit.
func (f *fleet) check() {
	targets, regions := map[string]int{}, map[string]int{}
	links := map[string]int{}
	for _, m := range f.members {
		for name, target := range m.targets {
			targets[name] += target.inFlight
		}
		for name, r := range m.regions {
			regions[name] += r.inFlight
			for class, pools := range r.links {
				links[name+string(class)+"out"] += pools[outbound].inUse
				links[name+string(class)+"in"] += pools[inbound].inUse
			}
		}
	}
	for name, n := range targets {
		if n > targetSlots {
			f.t.Fatalf("%s has %d in flight of %d", name, n, targetSlots)
		}
	}
	for name, n := range regions {
		if limit := f.doc.Regions[1].MaxInFlight; name == f.doc.Regions[1].Name && n > limit {
			f.t.Fatalf("%s has %d in flight of %d", name, n, limit)
		}
	}
	r := f.members[0].homeRegion
	for name, n := range links {
		if limit := max(r.links[config.ClassBulk][0].units, r.links[config.ClassInteractive][0].units); n > limit {
			f.t.Fatalf("link %s carries %d units of %d", name, n, limit)
		}
	}
}

// All instances together never exceed a limit, in any sequence of bursts, pauses,
// restarts, changes of the number of seats that instances learn of at different
// times, targets that leave or ask for pauses, and loans by messages that are lost, late,
// out of order and doubled.
func TestFleetStaysWithinEveryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		pick := func(t *rapid.T) *member { return f.members[rapid.IntRange(0, maxMembers-1).Draw(t, "member")] }
		t.Repeat(map[string]func(*rapid.T){
			"burst": func(t *rapid.T) {
				f.burst(pick(t), rapid.IntRange(0, 1).Draw(t, "route"), rapid.IntRange(1, 20).Draw(t, "requests"))
			},
			"flood": func(*rapid.T) {
				for _, m := range f.members {
					f.burst(m, 0, targetCount*targetSlots)
				}
			},
			"end": func(t *rapid.T) {
				m := pick(t)
				for _, g := range m.grants {
					m.Done(g, Answered, f.now)
				}
				m.grants = nil
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "half seconds") {
					f.advance(500 * time.Millisecond)
				}
			},
			"settle": func(*rapid.T) {
				for range 9 {
					f.advance(time.Second)
				}
			},
			"ask": func(t *rapid.T) { f.exchangeLoans(rapid.IntRange(0, maxMembers-1).Draw(t, "member")) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 9).Draw(t, "messages") {
					if len(f.messages) == 0 {
						return
					}
					i := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
					deliver := f.messages[i]
					if rapid.IntRange(0, 3).Draw(t, "twice") != 0 {
						f.messages = slices.Delete(f.messages, i, i+1)
					}
					deliver()
				}
			},
			"notice": func(t *rapid.T) {
				m := pick(t)
				if len(m.grants) > 0 {
					m.Observe(rapid.SampledFrom(m.grants).Draw(t, "grant"), availability.Notice{
						Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
					}, f.now)
				}
			},
			"lose":  func(*rapid.T) { f.messages = nil },
			"pause": func(t *rapid.T) { m := pick(t); m.paused = !m.paused },
			"adopt": func(t *rapid.T) {
				for _, i := range rapid.SliceOfN(rapid.IntRange(0, maxMembers-1), 1, 4).Draw(t, "members") {
					f.adopt(f.members[i])
				}
			},
			"layout": func(t *rapid.T) {
				if f.now.Sub(f.accepted[len(f.accepted)-1]) <= maxLayoutLag {
					return
				}
				f.layouts = append(f.layouts, rapid.IntRange(5, maxMembers).Draw(t, "seats"))
				f.accepted = append(f.accepted, f.now)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, maxMembers-1).Draw(t, "member")
				old := f.members[i]
				// The dead process's requests run on until their timeout.
				f.members = append(f.members, &member{Placer: old.Placer, provider: &fakeProvider{}, grants: old.grants, layout: 1 << 30, paused: true})
				f.members[i] = f.newMember(old.number, old.number < f.layouts[len(f.layouts)-1], false)
			},
			"": func(*rapid.T) { f.check() },
		})
	})
}
