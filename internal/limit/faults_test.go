package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// faultyZones has more seats than owners.
func faultyZones(seats int) []ZoneSeats {
	return []ZoneSeats{{"a", seats}, {"b", seats}, {"c", seats}}
}

// faultyFleet has one owner with a burst of 3, several with a larger one. The
// fewer owners, the more a single wrong token shows.
func faultyFleet(t *rapid.T) *fleet {
	rate := rapid.SampledFrom([]float64{0.3, 20}).Draw(t, "rate")
	f := newFleet(1, faultyZones(2), rate, rapid.SampledFrom([]int{3, 4, 8}).Draw(t, "burst"))
	if rapid.Bool().Draw(t, "bad network") {
		f.faults = faults{loss: 0.1, duplicate: 0.1}
	}
	f.faults.reorder = 150 * time.Millisecond
	return f
}

func (f *fleet) populate() {
	for i, zone := range []string{"a", "a", "b", "b", "b", "c", "c"} {
		f.start(fmt.Sprint("i", i), zone)
	}
	for _, zone := range []string{"a", "b", "c"} {
		f.write(zone)
	}
}

// step draws one fault, recovery or burst of requests.
func (f *fleet) step(t *rapid.T, last int) {
	pick := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
	zone := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone") }
	switch rapid.IntRange(0, last).Draw(t, "step") {
	case 0, 1:
		f.requests(pick(), rapid.IntRange(1, 16).Draw(t, "requests"))
	case 2, 3, 4:
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for _, n := range f.nodes {
				f.requests(n, 3)
			}
			f.advance(10 * time.Millisecond)
		}
	case 5, 6:
		f.advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
	case 7:
		f.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
	case 8:
		if n := pick(); n.paused {
			f.wake(n)
		} else {
			n.paused = true
		}
	case 9:
		if len(f.nodes) < 16 {
			f.restart(pick(), rapid.Bool().Draw(t, "old one lives on"))
		}
	case 10:
		z := zone()
		f.cut[z] = !f.cut[z]
	case 11:
		for _, n := range f.nodes {
			f.wake(n)
			n.deaf = false
		}
		clear(f.cut)
	case 12:
		f.write(zone())
	case 13:
		if f.now.After(f.configured.Add(testFreshness)) { // see docs/design/limits.md
			f.configure(f.snapshot.Version+1, faultyZones(rapid.IntRange(1, 3).Draw(t, "seats")), f.limit.rate, int(f.limit.burst))
		}
	case 14:
		n := pick()
		n.deaf = !n.deaf
	case 15:
		n := pick()
		f.releases = append(f.releases, n.keeper.Stop(f.now))
		f.restart(n, false)
	}
}

func (f *fleet) requests(n *node, count int) {
	for range count {
		f.request(n)
	}
}

// restart starts a fresh process of the same name; the old one may live on.
func (f *fleet) restart(n *node, livesOn bool) {
	n.dead = !livesOn
	n.paused = livesOn
	f.start(n.name, n.zone)
	f.write(n.zone)
}

func (f *fleet) runFaults(t *rapid.T) string {
	f.populate()
	f.advance(time.Second)
	last := 15
	if rapid.Bool().Draw(t, "no failures") { // sums come closest to the limit
		last = 6
	}
	for range 200 {
		f.step(t, last)
		if f.violation != "" {
			return f.violation
		}
	}
	return ""
}

func TestRateHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := faultyFleet(t).runFaults(t); fault != "" {
			t.Fatal(fault)
		}
	})
}

// lenderKeeps undoes the deduction of tokens that are lent.
func lenderKeeps(n *node, outgoing []Outgoing) {
	for _, o := range outgoing {
		for _, g := range o.Message.Grants {
			s := &n.limiter.workspaces[g.Workspace].share
			s.settle(g.ID, g.Tokens, nil)
		}
	}
}

// lenderForgets refills lent tokens before they have been used.
func lenderForgets(n *node, outgoing []Outgoing) {
	for _, o := range outgoing {
		for _, g := range o.Message.Grants {
			n.limiter.workspaces[g.Workspace].share.forget(g.ID)
		}
	}
}

// successorStartsFull fills the bucket of a seat that is new to its holder.
func successorStartsFull() func(*node, []Outgoing) {
	filled := map[*node]uint64{}
	return func(n *node, _ []Outgoing) {
		held, ok := n.keeper.Seat(n.now())
		w := n.limiter.workspaces[testName]
		if ok && w != nil && filled[n] != held.AssignedVersion {
			filled[n] = held.AssignedVersion
			w.share.begin(held.AssignedVersion, n.now())
			w.share.tokens = w.share.now.burst
		}
	}
}

// rightIsRemembered uses a seat once held without asking again.
func rightIsRemembered(l *Limiter) {
	right := l.options.Seat
	var last seat.Seat
	l.options.Seat = func(now time.Time) (seat.Seat, bool) {
		if s, ok := right(now); ok {
			last = s
		}
		return last, last.AssignedVersion != 0
	}
}

// TestBrokenVariantsExceedTheRate shows that the test above can fail.
func TestBrokenVariantsExceedTheRate(t *testing.T) {
	variants := []struct {
		name    string
		seed    int // first seed to try
		breakIt func(*fleet)
	}{
		{"lender does not deduct", 0, func(f *fleet) { f.tamper = lenderKeeps }},
		{"lender forgets its loans", 0, func(f *fleet) { f.tamper = lenderForgets }},
		{"successor starts full", 0, func(f *fleet) { f.tamper = successorStartsFull() }},
		{"right is asked for once", 0, func(f *fleet) { f.change = rightIsRemembered }},
		{"layout is in force at once", 0, func(f *fleet) { f.change = func(l *Limiter) { l.options.SettleTime = 0 } }},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			found := -1
			for seed := v.seed; seed < v.seed+200 && found < 0; seed++ {
				rapid.Custom(func(t *rapid.T) bool {
					f := faultyFleet(t)
					f.recorder = nil // the fleet's sum has to show it
					v.breakIt(f)
					if f.runFaults(t) != "" {
						found = seed
					}
					return true
				}).Example(seed)
			}
			if found < 0 {
				t.Fatal("the variant kept the limit")
			}
			t.Logf("exceeds the limit with seed %d", found)
		})
	}
}

// loneOwner is a limiter that owns all of a workspace's rate.
func loneOwner(seated *bool) (*Limiter, *fleet) {
	f := newFleet(1, []ZoneSeats{{"a", 1}}, 10, 5)
	return New(Options{
		Instance: "i", AvailabilityZone: "a", SettleTime: testSettle, GrantLifetime: testLife, MaxWait: testWait, AskTimeout: testTimeout,
		Seat:       func(time.Time) (seat.Seat, bool) { return seat.Seat{AssignedVersion: 1}, *seated },
		SeatHolder: func(int) string { return "i" },
		Layout:     func(*config.Snapshot) []ZoneSeats { return f.layout[1] },
	}), f
}

// TestMissedLayoutSuspendsTheShare covers an instance whose right ran out:
// others may have gone by a layout that it never saw.
func TestMissedLayoutSuspendsTheShare(t *testing.T) {
	seated := true
	l, f := loneOwner(&seated)
	l.Update(f.snapshot, f.now)
	l.RefreshShares(f.now)
	now := f.now.Add(time.Minute)
	if !l.Take(testName, now).Allowed {
		t.Fatal("the owner refuses with a full bucket")
	}
	seated = false
	f.configure(1, []ZoneSeats{{"a", 1}}, 10, 5)
	l.Update(f.snapshot, now)
	seated = true
	if l.Take(testName, now.Add(testSettle-time.Second)).Allowed {
		t.Fatal("the share is in force before the layout has settled")
	}
	l.Tick(now.Add(testSettle)) // ends the wait of the refused request
	l.RefreshShares(now.Add(testSettle))
	if !l.Take(testName, now.Add(testSettle+time.Second)).Allowed {
		t.Fatal("the share is not in force after the layout has settled")
	}
}

// TestGrantedTokensExpire covers a paused asker: the owner counts its tokens
// as gone once their life is over.
func TestGrantedTokensExpire(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{testLife, true}, {testLife + 1, false}} {
		seated := false
		l, f := loneOwner(&seated)
		l.Update(f.snapshot, f.now)
		l.Take(testName, f.now)
		outgoing, _ := l.Drain()
		l.Receive("o", Message{Grants: []Grant{{ID: 9, AskID: outgoing[0].Message.Asks[0].ID, Workspace: testName, Tokens: 2}}}, f.now)
		if got := l.Take(testName, f.now.Add(c.after)).Allowed; got != c.want {
			t.Errorf("a granted token is usable after %s: %v, want %v", c.after, got, c.want)
		}
	}
}
