package placement

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/config"
)

func TestSharesSumToTheSlots(t *testing.T) {
	for _, size := range []struct{ targets, slots, seats int }{{32, 6, 7}, {12, 3, 7}, {24, 3, 7}, {24, 30, 40}, {32, 6, 1600}} {
		doc := testDocument(size.targets, size.slots)
		sum := map[string]int{}
		for number := range size.seats {
			p, _ := newTestPlacer(t, doc, number, size.seats)
			for name, target := range p.targets {
				sum[name] += p.slots(target, start)
			}
		}
		for name, n := range sum {
			if n != size.slots {
				t.Errorf("%+v: the shares of %s sum to %d", size, name, n)
			}
		}
	}
}

func TestDealtIsExactAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units, seats := rapid.IntRange(0, 5000).Draw(t, "units"), rapid.IntRange(1, 200).Draw(t, "seats")
		offset := rapid.Uint64().Draw(t, "offset")
		sum := 0
		for number := range seats {
			n := dealt(units, offset, position{seats, number})
			if n > dealt(units+1, offset, position{seats, number}) {
				t.Fatal("a larger pool gives a seat less")
			}
			sum += n
		}
		if sum != units {
			t.Fatalf("dealt %d units of %d", sum, units)
		}
	})
}

func TestNoRightNoWork(t *testing.T) {
	doc := testDocument(12, 3)
	p, h := newTestPlacer(t, doc, 1, 7)
	h.held, h.reserve = false, false
	if g, err := p.Choose(request(doc, 0), start); err != ErrOverloaded {
		t.Fatalf("chose %v, %v without a right", g.Target.Name, err)
	}
	h.reserve = true
	for {
		g, err := p.Choose(request(doc, 0), start)
		if err != nil {
			break
		}
		if g.Reason != ReasonOwnZone {
			t.Fatalf("the reserve reached %s", g.Target.Name)
		}
	}
	// The zone has two targets with three slots each, and one seat.
	if p.home.used != 6 {
		t.Fatalf("%d requests on the own zone, want 6", p.home.used)
	}
}

// A successor begins only when what its predecessor started has surely ended.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	doc := testDocument(12, 3)
	p, h := newTestPlacer(t, doc, 0, 7)
	whole := func(now time.Time) (n int) {
		p.Tick(now)
		for _, target := range p.targets {
			n += p.ownSlots(target, now)
		}
		return n
	}
	h.seat.Index, h.seat.AssignedVersion = 1, 2
	at := start.Add(time.Second)
	if n := whole(at); n != 0 {
		t.Fatalf("a new seat gave %d slots at once", n)
	}
	at = at.Add(routeTimeout + loanTime + p.options.ReserveBound)
	if n := whole(at); n == 0 {
		t.Fatal("a new seat gives no slots after the wait")
	}
	h.seat.Version = 3
	if n := whole(at.Add(time.Minute)); n == 0 {
		t.Fatal("a seat that is kept under a new table gives no slots")
	}
	h.seat.Index = 0
	if n := whole(at.Add(time.Minute + time.Millisecond)); n != 0 {
		t.Fatalf("a seat that was renumbered in one layout gave %d slots at once", n)
	}
	at = at.Add(time.Minute)
	h.seat.AssignedVersion = 4
	if n := whole(at.Add(2 * time.Minute)); n != 0 {
		t.Fatalf("a seat that passed through other hands gave %d slots", n)
	}
}

// fleet is a set of placers with views of their own.
type fleet struct {
	t       *rapid.T
	doc     *config.Document
	now     time.Time
	members []*member
	// layouts are the accepted numbers of seats.
	layouts []int
	// accepted is when each layout was accepted.
	accepted []time.Time
	// messages are on their way; each delivers itself.
	messages []func()
}

type member struct {
	*Placer
	holder *fakeHolder
	number int
	layout int // index in layouts
	paused bool
	grants []Grant
}

const (
	fleetBound  = 5 * time.Second
	maxMembers  = 9
	fleetTarget = 12
	targetSlots = 3
)

func newFleet(t *rapid.T) *fleet {
	doc := testDocument(fleetTarget, targetSlots)
	for i := range doc.Regions {
		doc.Regions[i].LinkMbps = 20
	}
	doc.Regions[1].MaxInFlight = 9
	f := &fleet{t: t, doc: doc, now: start, layouts: []int{7}, accepted: []time.Time{start}}
	for number := range maxMembers {
		f.members = append(f.members, f.fresh(number, number < 7, true))
	}
	return f
}

// fresh starts a process for a seat, which is clean if nobody had it before.
func (f *fleet) fresh(number int, held, clean bool) *member {
	layout := len(f.layouts) - 1
	h := &fakeHolder{seat: fleetSeat(f.doc, number, f.layouts[layout], 2), held: held, reserve: held}
	h.seat.Clean = clean
	p := New(Options{AvailabilityZone: h.seat.AvailabilityZone, Seats: h, LayoutBound: fleetBound, ReserveBound: fleetBound, FirstLoan: uint64(len(f.members)) << 32, Invariants: recorder(f.t)})
	p.Update(config.Compile(uint64(layout+1), f.doc), f.now)
	return &member{Placer: p, holder: h, number: number, layout: layout}
}

// advance moves time; requests end by their timeout, and a member that has not
// taken over an accepted layout within the bound loses its right.
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
		if next := m.layout + 1; next < len(f.layouts) && f.now.Sub(f.accepted[next]) > fleetBound-time.Millisecond {
			m.holder.held, m.holder.reserve = false, false
		}
		if !m.paused {
			m.Tick(f.now)
		}
	}
}

// adopt lets a member take over the newest layout.
func (f *fleet) adopt(m *member) {
	m.layout = len(f.layouts) - 1
	seats := f.layouts[m.layout]
	m.holder.held = m.number < seats
	m.holder.reserve = m.holder.held
	if m.holder.held {
		tenure := m.holder.seat.AssignedVersion
		m.holder.seat = fleetSeat(f.doc, m.number, seats, tenure)
		m.holder.seat.Clean = false
	}
	m.Update(config.Compile(uint64(m.layout+1), f.doc), f.now)
}

// burst lets a member place requests until one is refused.
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

// peers names all members but one.
func (f *fleet) peers(self int) []Peer {
	var out []Peer
	for i, m := range f.members[:maxMembers] {
		if i != self {
			out = append(out, Peer{Name: strconv.Itoa(i), AvailabilityZone: m.options.AvailabilityZone})
		}
	}
	return out
}

// member returns the process that has a name now.
func (f *fleet) member(name string) *member {
	i, _ := strconv.Atoi(name)
	return f.members[i]
}

// ask puts a member's asks on their way, and their answers after them.
func (f *fleet) ask(i int) {
	m, self := f.members[i], strconv.Itoa(i)
	if m.paused {
		return
	}
	m.services["listings"].noteShortage(maxAskUnits)
	for _, a := range m.Asks(f.peers(i), f.now) {
		f.messages = append(f.messages, func() {
			loan := f.member(a.To).Lend(a, self, f.now)
			f.messages = append(f.messages, func() { f.member(self).Borrow(loan, a.To, f.now) })
		})
	}
	for _, r := range m.Returns(f.now) {
		f.messages = append(f.messages, func() { f.member(r.To).TakeBack(r.ID, self) })
	}
}

func (f *fleet) check() {
	targets, regions := map[string]int{}, map[string]int{}
	links := map[string]int{}
	for _, m := range f.members {
		for name, target := range m.targets {
			targets[name] += target.used
		}
		for name, r := range m.regions {
			regions[name] += r.used
			for class, pools := range r.links {
				links[name+string(class)+"out"] += pools[outbound].used
				links[name+string(class)+"in"] += pools[inbound].used
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
	r := f.members[0].home
	for name, n := range links {
		if limit := max(r.links[config.ClassBulk][0].units, r.links[config.ClassInteractive][0].units); n > limit {
			f.t.Fatalf("link %s carries %d units of %d", name, n, limit)
		}
	}
}

// Placers with different views, pauses, kills, changes of the number of seats,
// and loans by messages that are lost, late and doubled: no sum over the fleet ever passes a budget.
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
					f.burst(m, 0, fleetTarget*targetSlots)
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
			"ask": func(t *rapid.T) { f.ask(rapid.IntRange(0, maxMembers-1).Draw(t, "member")) },
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
			"lose":  func(*rapid.T) { f.messages = nil },
			"pause": func(t *rapid.T) { m := pick(t); m.paused = !m.paused },
			"adopt": func(t *rapid.T) {
				for _, i := range rapid.SliceOfN(rapid.IntRange(0, maxMembers-1), 1, 4).Draw(t, "members") {
					f.adopt(f.members[i])
				}
			},
			"layout": func(t *rapid.T) {
				if f.now.Sub(f.accepted[len(f.accepted)-1]) <= fleetBound {
					return
				}
				f.layouts = append(f.layouts, rapid.IntRange(5, maxMembers).Draw(t, "seats"))
				f.accepted = append(f.accepted, f.now)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, maxMembers-1).Draw(t, "member")
				old := f.members[i]
				// The dead process's requests run on until their timeout.
				f.members = append(f.members, &member{Placer: old.Placer, holder: &fakeHolder{}, grants: old.grants, layout: 1 << 30, paused: true})
				f.members[i] = f.fresh(old.number, old.number < f.layouts[len(f.layouts)-1], false)
			},
			"": func(*rapid.T) { f.check() },
		})
	})
}
