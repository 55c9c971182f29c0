package availability

import (
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/charts"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

func TestTransitionsDifferFromTheChart(t *testing.T) {
	all, err := statechart.Load(charts.Files)
	if err != nil {
		t.Fatal(err)
	}
	c := all["availability"]
	if c == nil {
		t.Fatal("no chart")
	}
	if got := New(func(Change) {}).State(0); string(got) != c.Initial {
		t.Errorf("a new process is %s, in the chart %s", got, c.Initial)
	}
	if len(c.States) != len(transitions) {
		t.Errorf("%d states have transitions, the chart has %d", len(transitions), len(c.States))
	}
	for _, s := range c.States {
		got := map[string]string{}
		for e, next := range transitions[State(s.Name)] {
			got[string(e)] = string(next)
		}
		if !maps.Equal(got, s.On) {
			t.Errorf("%s: transitions %v, in the chart %v", s.Name, got, s.On)
		}
	}
}

// transition is an event in a state.
type transition struct {
	state State
	event event
}

// A chart with a transition that never happens, or without one that does, is wrong.
func TestProcessDoesNotTakeExactlyTheTransitionsOfTheChart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	used := map[transition]bool{}
	for range 300 {
		p, now := New(func(Change) {}), time.Duration(0)
		for range 100 {
			switch random.IntN(8) {
			case 0:
				p.draining = !p.draining
			case 1:
				p.saidLeaving = random.IntN(20) == 0
			case 2:
				p.pausedUntil = now + 2*time.Second
			case 3:
				p.health.ejectionDuration, p.health.ejectedUntil = time.Second, now+time.Second
			case 4:
				p.health.ejectionDuration = 0
			default:
				now += time.Duration(random.IntN(1500)) * time.Millisecond
			}
			for e := p.due(now); e != ""; e = p.due(now) {
				next, ok := transitions[p.state][e]
				if !ok {
					t.Fatalf("event %s happened in %s", e, p.state)
				}
				used[transition{p.state, e}] = true
				p.state = next
			}
		}
	}
	for s, events := range transitions {
		for e := range events {
			if !used[transition{s, e}] {
				t.Errorf("event %s never happened in %s", e, s)
			}
		}
	}
}

// changes returns a process and the list that its changes are appended to.
func changes() (*Process, *[]Change) {
	var list []Change
	return New(func(c Change) { list = append(list, c) }), &list
}

func TestStateThatHasEndedHidesAnotherThatStillHolds(t *testing.T) {
	p, _ := changes()
	p.Eject(0, 4*time.Second, Slow)
	p.Pause(2*time.Second, time.Second)
	p.SetDraining(true, 1500*time.Millisecond)
	for _, step := range []struct {
		at   time.Duration
		want State
	}{{1600 * time.Millisecond, Leaving}, {2 * time.Second, Paused}, {3500 * time.Millisecond, Ejected}, {4 * time.Second, Trial}} {
		if step.at == 2*time.Second {
			p.SetDraining(false, step.at)
		}
		if got := p.State(step.at); got != step.want {
			t.Errorf("at %v: %s, want %s", step.at, got, step.want)
		}
	}
}

func TestRegistrationTakesBackWhatAResponseSaid(t *testing.T) {
	p, _ := changes()
	p.SetDraining(true, 1)
	p.SetDraining(false, 2)
	if got := p.State(2); got != Serving {
		t.Errorf("%s after the registration said that it leaves and then that it stays", got)
	}
	p.Leave(3)
	p.SetDraining(true, 4)
	p.SetDraining(false, 5)
	p.ForgetHealth(6)
	if got := p.State(time.Hour); got != Leaving {
		t.Errorf("%s after a response said that it leaves", got)
	}
}

func TestPauseIsShortenedOrOverflows(t *testing.T) {
	const now = time.Hour
	for name, test := range map[string]struct {
		pauses []time.Duration
		until  time.Duration
	}{
		"negative":                 {[]time.Duration{-1}, 0},
		"none":                     {[]time.Duration{0}, 0},
		"shorter after a longer":   {[]time.Duration{4 * time.Second, time.Second}, now + 4*time.Second},
		"longer after a shorter":   {[]time.Duration{time.Second, 4 * time.Second}, now + 4*time.Second},
		"longer than the clock":    {[]time.Duration{math.MaxInt64}, math.MaxInt64},
		"negative after a longer":  {[]time.Duration{math.MaxInt64, math.MinInt64}, math.MaxInt64},
		"to the end of the clock":  {[]time.Duration{math.MaxInt64 - now}, math.MaxInt64},
		"almost as long the clock": {[]time.Duration{math.MaxInt64 - now - 1}, math.MaxInt64 - 1},
	} {
		p, _ := changes()
		for _, d := range test.pauses {
			p.Pause(d, now)
		}
		length, until := p.LastPause()
		if until != test.until || length != max(until-now, 0) || (p.State(now) == Paused) != (until > now) {
			t.Errorf("%s: %s for %v until %v, want until %v", name, p.State(now), length, until, test.until)
		}
		p.State(math.MaxInt64)
		if share := p.ReturnedShare(math.MaxInt64); share < 0 || share > 1 {
			t.Errorf("%s: returned share %g", name, share)
		}
	}
}

// The caller's clock counts a suspension.
func TestPauseThatEndedDuringASuspensionGoesOn(t *testing.T) {
	p, _ := changes()
	p.Pause(2*time.Second, time.Second)
	if got := p.State(3*time.Second - 1); got != Paused {
		t.Errorf("%s before the end of the pause", got)
	}
	if got := p.State(time.Hour); got != Serving || p.Refuses() || p.ReturnedShare(time.Hour) != 1 {
		t.Errorf("%s with a share of %g an hour later", got, p.ReturnedShare(time.Hour))
	}
}

func TestChangesLackTheirSourceOrLength(t *testing.T) {
	p, list := changes()
	p.SetDraining(true, 0)
	p.SetDraining(false, 0)
	p.Pause(2*time.Second, time.Second)
	p.Pause(3*time.Second, time.Second) // extends
	p.Eject(2*time.Second, 4*time.Second, Slow)
	p.State(5 * time.Second)
	p.State(6 * time.Second)
	for range 20 {
		p.RecordSuccess(7 * time.Second)
	}
	p.Leave(8 * time.Second)
	want := []Change{
		{From: Serving, To: Leaving, Source: Registration},
		{From: Leaving, To: Serving, Source: Registration},
		{From: Serving, To: Paused, Source: Response, For: 2 * time.Second},
		{From: Paused, To: Paused, Source: Ejection, Reason: Slow, For: 4 * time.Second},
		{From: Paused, To: Ejected, Source: Timer, For: time.Second},
		{From: Ejected, To: Trial, Source: Timer},
		{From: Trial, To: Serving, Source: Ejection, Reason: Recovered},
		{From: Serving, To: Leaving, Source: Response},
	}
	for i, c := range *list {
		c.Failures, c.FailureRate, c.RelativeLatency = 0, 0, 0
		if i >= len(want) || c != want[i] {
			t.Errorf("change %d is %+v, want %+v", i, c, want[min(i, len(want)-1)])
		}
	}
	if len(*list) != len(want) {
		t.Errorf("%d changes, want %d", len(*list), len(want))
	}
}

func TestPauseHidesTheEndOfTheFormerOne(t *testing.T) {
	p, list := changes()
	p.Pause(time.Second, time.Second)
	p.Pause(time.Second, time.Minute)
	if len(*list) != 3 || (*list)[1].To != Serving || (*list)[1].Source != Timer || (*list)[2].To != Paused {
		t.Errorf("changes %+v, want a pause, its end and another pause", *list)
	}
}
