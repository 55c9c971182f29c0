package quota

import (
	"math"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// A share whose right has lapsed may be with another hub already; its release, or what its
// reporter brings, must not change what is left to the others.
func TestReleaseOfALapsedShareTakesNothing(t *testing.T) {
	for name, members := range map[string][2]int{"alone": {1, 0}, "larger than the rest": {300, 100}} {
		h, now := newTestHub(7, &config.Workspace{Name: "w", Rate: 1000, Burst: 1000}, members[0]+max(members[1], 1)), 10*time.Second
		report := func(instance string, members int, echo time.Duration, release bool) Levels {
			return h.Handle(Report{Instance: instance, Started: 1, Carries: true, Members: members, Echo: echo, Release: release}, now)
		}
		a, b := report("a", members[0], 0, false), Levels{}
		if members[1] > 0 {
			b = report("b", members[1], 0, false)
		}
		now += 10 * time.Millisecond
		echo := report("a", members[0], a.SentAt, false).SentAt
		for range 4 {
			now += reporterTTL/4 + time.Millisecond
			if members[1] > 0 {
				b = report("b", members[1], b.SentAt, false)
			}
		}
		least := 0.0 // what a hub has to give out that nobody reports to
		if members[1] > 0 {
			least = h.buckets["w"].left
		}
		if got := report("a", members[0], echo, true); got.Joined || got.Released {
			t.Errorf("%s: a lapsed share counts: %+v", name, got)
		}
		if left := h.buckets["w"].left; math.IsNaN(left) || left < least {
			t.Errorf("%s: %g tokens left, want %g at least", name, left, least)
		}
	}
}

func TestLevelsOfAFormerHubAreAddedOnce(t *testing.T) {
	h, now := newTestHub(7, &config.Workspace{Name: "w", Rate: 10, Burst: 1000}, 10), 10*time.Second
	held := &Levels{Share: 1, Members: 10, Generation: 3, SentAt: time.Second, Levels: []Level{{"w", 500}}}
	report := func(echo time.Duration) Levels {
		h.Handle(Report{Instance: "old", Started: 1, Members: 9}, now) // of a version that tells no echo
		return h.Handle(Report{Instance: "a", Started: 1, Carries: true, Echo: echo, Held: held, HeldAt: now - time.Second}, now)
	}
	first := report(0)
	now += 10 * time.Millisecond
	report(first.SentAt)
	joined := h.buckets["w"].left
	for range 10 { // responses are lost, so that the same echo and levels come again
		now += ReportInterval
		report(first.SentAt)
	}
	second := report(0)
	now += 10 * time.Millisecond
	report(second.SentAt)
	if left, most := h.buckets["w"].left, joined+10*10*ReportInterval.Seconds()+1; left > most {
		t.Errorf("%g tokens, want %g at most", left, most)
	}
}

func TestLevelsOfThisHubAreNotAddedToIt(t *testing.T) {
	h, now := newTestHub(7, &config.Workspace{Name: "w", Rate: 1, Burst: 1000}, 2), 10*time.Second
	held := &Levels{Share: 1, Members: 2, Generation: 7, SentAt: time.Second, Levels: []Level{{"w", 800}}}
	report := func(echo time.Duration) Levels {
		return h.Handle(Report{Instance: "a", Started: 1, Carries: true, Echo: echo, Held: held, HeldAt: now}, now)
	}
	h.Handle(Report{Instance: "b", Started: 1}, now)
	first := report(0)
	before := h.buckets["w"].left
	now += 10 * time.Millisecond
	if second := report(first.SentAt); !second.Joined {
		t.Fatalf("does not count: %+v", second)
	}
	if left := h.buckets["w"].left; left > before+1 {
		t.Errorf("%g tokens, %g before", left, before)
	}
}

// Reporters that have fallen silent bring their part of the levels to another hub. The former one
// must not give it out as well.
func TestLapsedSharesTakeTheirPartOfTheLevels(t *testing.T) {
	for name, carries := range map[string]bool{"carried": true, "of an older version": false} {
		w := &config.Workspace{Name: "w", Rate: 1, Burst: 1000}
		h, now := newTestHub(7, w, 4), 10*time.Second
		sentAt := map[string]time.Duration{}
		report := func(instances ...string) {
			for _, i := range instances {
				sentAt[i] = h.Handle(Report{Instance: i, Started: 1, Carries: carries, Echo: sentAt[i]}, now).SentAt
			}
			now += 10 * time.Millisecond
		}
		report("a", "b", "c", "d")
		report("a", "b", "c", "d")
		h.buckets["w"].left = 400
		for range 5 {
			now += reporterTTL / 4
			report("a", "b")
		}
		want := 400.0
		if carries {
			want = 200
		}
		if left := h.buckets["w"].left; math.Abs(left-want) > 2 {
			t.Errorf("%s: %.0f tokens are left after half of the shares have lapsed, want %.0f", name, left, want)
		}
	}
}
