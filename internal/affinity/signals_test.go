package affinity

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/availability"
)

// said is what a target's process has said in its responses.
type said struct {
	leaving     bool
	pausedUntil time.Duration
}

// signalsModel is a balancer with the registrations and notices that it was given.
type signalsModel struct {
	*Balancer
	now        time.Duration
	all        []Target // what is registered if nothing lapses
	registered []Target
	said       map[string]said // by target, of its latest process
	grants     []Grant         // not yet done
	former     []Grant         // done
}

func newSignalsModel() *signalsModel {
	m := &signalsModel{Balancer: New("a", "r0", 3), now: time.Second, all: newTargets(9, 4), said: map[string]said{}}
	m.SetColdStart(service, 5, time.Second)
	m.SetMaxShift(0.15)
	m.register(m.all)
	return m
}

func (m *signalsModel) register(targets []Target) {
	m.registered = targets
	m.SetTargets(targets, m.now)
}

// refuses reports whether the target must get no request.
func (m *signalsModel) refuses(t Target) bool {
	s := m.said[t.ID]
	for _, x := range m.registered {
		if x.ID == t.ID && x.Leaving {
			return true
		}
	}
	return s.leaving || m.now < s.pausedUntil
}

// send lets the balancer choose a target and checks the grant.
func (m *signalsModel) send(t *rapid.T, r Request) {
	g, ok := m.Choose(r, m.now)
	if !ok {
		return
	}
	if m.refuses(g.Target) {
		t.Fatalf("at %v: granted (%s) to %s, which has said %+v", m.now, g.Reason, g.Target.ID, m.said[g.Target.ID])
	}
	if !m.StillValid(g) {
		t.Fatalf("at %v: a new grant to %s is not valid", m.now, g.Target.ID)
	}
	m.grants = append(m.grants, g)
}

// observe lets a target respond with a notice.
func (m *signalsModel) observe(g Grant, n availability.Notice) {
	m.Observe(g, n, m.now)
	for _, t := range m.all {
		if t.ID != g.Target.ID || t.Started != g.Target.Started {
			continue
		}
		s := m.said[t.ID]
		s.leaving = s.leaving || n.Leaving
		if n.Pause > 0 {
			s.pausedUntil = max(s.pausedUntil, m.now+n.Pause)
		}
		m.said[t.ID] = s
	}
}

// changeOne changes a target and what is known of it.
func (m *signalsModel) changeOne(t *rapid.T) {
	x := &m.all[rapid.IntRange(0, len(m.all)-1).Draw(t, "target")]
	switch rapid.SampledFrom([]string{"restart", "address", "zone", "draining", "written again", "written cold"}).Draw(t, "change") {
	case "restart":
		x.Started++
		delete(m.said, x.ID)
	case "address":
		x.Address += "0"
	case "zone":
		x.Region = rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "region")
		x.AvailabilityZone = x.Region + "-a"
	case "draining":
		x.Leaving = !x.Leaving
	case "written again":
		x.Revision++
	case "written cold":
		x.Revision, x.ColdFor = x.Revision+1, time.Second
	}
}

// actions are what may happen, one at a time.
func (m *signalsModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				r := newRequest(fmt.Sprint("o", rapid.IntRange(0, 30).Draw(t, "object")))
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					r.Object, r.ID = "", r.Object
				case 1:
					r.HomeRegions = []string{"r1"}
				case 2:
					r.Exclude = []string{"t01", "t02"}
				}
				m.send(t, r)
			}
		},
		"end": func(t *rapid.T) {
			outcome := Outcome(rapid.IntRange(int(Answered), int(Abandoned)).Draw(t, "outcome"))
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				if len(m.grants) == 0 {
					return
				}
				g := m.grants[0]
				m.grants, m.former = m.grants[1:], append(m.former, g)
				m.Done(g, Report{Outcome: outcome, Elapsed: 200 * ms}, m.now)
			}
		},
		"notice": func(t *rapid.T) {
			grants := append(m.grants, m.former...)
			if len(grants) == 0 {
				return
			}
			m.observe(rapid.SampledFrom(grants).Draw(t, "grant"), availability.Notice{
				Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Pause: time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "pause")) * ms,
			})
		},
		"registrations change": func(t *rapid.T) {
			m.changeOne(t)
			m.register(append([]Target(nil), m.all...))
		},
		"registrations lapse": func(t *rapid.T) {
			var kept []Target
			for _, x := range m.all {
				if rapid.Bool().Draw(t, "kept") {
					kept = append(kept, x)
				}
			}
			m.register(kept)
		},
		"zones change": func(t *rapid.T) {
			m.SetClosedZones(map[string]bool{"r2-a": rapid.Bool().Draw(t, "closed")}, m.now)
		},
		"time passes": func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms },
		"suspension":  func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second },
		"":            func(t *rapid.T) { m.check(t) },
	}
}

// check checks that no grant to a target that refuses requests is valid.
func (m *signalsModel) check(t *rapid.T) {
	m.AvailabilityCounts(m.now)
	for _, g := range append(m.grants, m.former...) {
		current := false
		for _, x := range m.registered {
			current = current || x.ID == g.Target.ID && x.Started == g.Target.Started
		}
		if current && m.refuses(g.Target) && m.StillValid(g) {
			t.Fatalf("at %v: a grant to %s is valid, which has said %+v", m.now, g.Target.ID, m.said[g.Target.ID])
		}
	}
}

// settle registers all targets, lets all pauses end and checks that all that do not
// leave get requests.
func (m *signalsModel) settle(t *rapid.T) {
	for i := range m.all {
		m.all[i].Leaving, m.all[i].ColdFor = false, 0
	}
	m.register(append([]Target(nil), m.all...))
	m.SetClosedZones(nil, m.now)
	for _, g := range m.grants {
		m.Done(g, Report{Outcome: Abandoned}, m.now)
	}
	m.grants = nil
	for _, s := range m.said {
		m.now = max(m.now, s.pausedUntil)
	}
	m.now += availability.ReturnDuration + 10*time.Second // the longest ejection, and some
	got := map[string]int{}
	for i := range 4000 {
		m.now += 5 * ms
		r := newRequest("") // those without an object go to all regions
		r.ID = fmt.Sprint(i)
		m.send(t, r)
		for _, g := range m.grants {
			m.Done(g, Report{Outcome: Answered, Elapsed: 200 * ms}, m.now)
			got[g.Target.ID]++
		}
		m.grants = nil
	}
	for _, x := range m.all {
		if !m.said[x.ID].leaving && got[x.ID] == 0 {
			t.Errorf("%s got no request after its pause", x.ID)
		}
	}
}

func TestTargetGetsRequestsThatItRefusedOrNoneAfterItsPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSignalsModel()
		t.Repeat(m.actions())
		m.settle(t)
	})
}
