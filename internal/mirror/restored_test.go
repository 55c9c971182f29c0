package mirror

import (
	"bytes"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	proofDelay = 1500 * time.Millisecond
	zone       = "closed/z"
)

// at returns the revision of a number in an era.
func at(era, number uint64) uint64 {
	r, err := platform.ComposeRevision(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

func value(key, text string, era, number uint64) platform.Entry {
	return platform.Entry{Key: key, Value: []byte(text), Revision: at(era, number)}
}

// newMirrorOfEra1 returns a mirror at number 90 of era 1. Values are ordered by age.
func newMirrorOfEra1() *Mirror {
	m := New(Options{
		LeasedPrefixes: []string{"servers/", "own/"}, Grace: gracePeriod, OutageThreshold: outageThreshold,
		InstancePrefix: "own/instances/", SelfKey: "own/instances/a", LastingKey: "configuration", ProofDelay: proofDelay,
		IsOutdated: func(known, listed platform.Entry) bool { return bytes.Compare(listed.Value, known.Value) < 0 },
	})
	m.Replace([]platform.Entry{
		value("configuration", "5", 1, 85), value(target, "2", 1, 80), value(zone, "1", 1, 81), value(peer1, "1", 1, 82),
	}, at(1, 90), 0)
	return m
}

// list gives a listing to the mirror as an instance does.
func list(m *Mirror, revision uint64, now time.Duration, entries ...platform.Entry) Judgement {
	believed, j := m.Judge(entries, revision)
	m.Replace(believed, revision, now)
	return j
}

func holds(m *Mirror, key string) string {
	e, _ := m.Get(key)
	return string(e.Value)
}

func TestOlderConfigurationOfARestoredStoreIsNotTaken(t *testing.T) {
	for name, listed := range map[string][]platform.Entry{
		"older version": {value("configuration", "4", 2, 40)}, "missing": nil,
	} {
		m := newMirrorOfEra1()
		list(m, at(2, 50), time.Second, listed...)
		for _, now := range []time.Duration{time.Second, time.Minute} {
			m.Expire(now)
			if holds(m, "configuration") != "5" || m.IsProven("configuration", now) {
				t.Errorf("%s, at %v: %q, proven: %v", name, now, holds(m, "configuration"), m.IsProven("configuration", now))
			}
		}
		list(m, at(2, 60), time.Minute, listed...) // again in the same era
		if holds(m, "configuration") != "5" {
			t.Errorf("%s: a second listing brings %q", name, holds(m, "configuration"))
		}
		m.Apply([]platform.Change{{Entry: value("configuration", "5", 2, 61)}}, at(2, 61), time.Minute)
		if !m.IsProven("configuration", time.Minute) {
			t.Errorf("%s: written again, but not proven", name)
		}
	}
}

// The operator may have written a later version than anyone knows within the lost time.
func TestListedConfigurationIsProvenAfterADelayOnly(t *testing.T) {
	m := newMirrorOfEra1()
	list(m, at(2, 50), time.Second, value("configuration", "5", 2, 40))
	if m.IsProven("configuration", time.Second+proofDelay-1) || !m.IsProven("configuration", time.Second+proofDelay) {
		t.Error("proven too early or never")
	}
	m = newMirrorOfEra1()
	list(m, at(2, 50), time.Second, value("configuration", "5", 2, 40))
	m.Apply([]platform.Change{{Entry: value("configuration", "6", 2, 51)}}, at(2, 51), 2*time.Second)
	if m.IsProven("configuration", 2*time.Second) {
		t.Error("a version written again is proven, although a later one may follow")
	}
}

// Whoever writes again may begin with what was written first.
func TestEarlierStateWrittenAgainIsNotTakenInTheGracePeriod(t *testing.T) {
	m := newMirrorOfEra1()
	list(m, at(2, 50), time.Second)
	outdated := func(key string, number uint64, now time.Duration) bool {
		return m.IsOutdatedChange(platform.Change{Entry: value(key, "1", 2, number)}, now)
	}
	if !outdated(target, 51, 2*time.Second) || !outdated("configuration", 52, 2*time.Second) || !outdated("configuration", 52, time.Minute) {
		t.Error("an earlier state is taken")
	}
	if m.IsOutdatedChange(deletion(target, at(2, 53)), 2*time.Second) {
		t.Error("a deletion is not taken")
	}
	if outdated(target, 54, time.Second+gracePeriod) {
		t.Error("what the target writes after the grace period is not taken")
	}
	m.Apply([]platform.Change{{Entry: value(target, "2", 2, 55)}}, at(2, 55), 2*time.Second)
	if outdated(target, 56, 2*time.Second) {
		t.Error("what the target writes after it has written again is not taken")
	}
}

func TestEntriesThatARestoredStoreLacksAreKeptForTheGracePeriod(t *testing.T) {
	for _, key := range []string{target, zone, peer1} {
		m := newMirrorOfEra1()
		if j := list(m, at(2, 50), time.Second); j.Missing != 4 || j.FromEra != 1 || j.ToEra != 2 {
			t.Fatalf("%+v", j)
		}
		list(m, at(2, 55), 2*time.Second) // a second listing ends nothing
		m.Expire(time.Second + gracePeriod - 1)
		if !has(m, key) {
			t.Errorf("%s is gone before the grace period ended", key)
		}
		m.Expire(time.Second + gracePeriod)
		if has(m, key) {
			t.Errorf("%s stays for good", key)
		}
		m = newMirrorOfEra1()
		list(m, at(2, 50), time.Second)
		m.Apply([]platform.Change{{Entry: value(key, "1", 2, 51)}}, at(2, 51), 2*time.Second)
		m.Expire(time.Minute)
		if !has(m, key) {
			t.Errorf("%s was written again, and is gone", key)
		}
	}
}

func TestEarlierStateOfATargetIsNotTaken(t *testing.T) {
	m := newMirrorOfEra1()
	earlier := value(target, "1", 2, 45)
	if j := list(m, at(2, 50), time.Second, earlier); j.Outdated != 1 || holds(m, target) != "2" {
		t.Fatalf("%+v, the copy has %q", j, holds(m, target))
	}
	list(m, at(2, 55), 2*time.Second, earlier)
	if holds(m, target) != "2" {
		t.Errorf("a second listing brings %q", holds(m, target))
	}
	m.Expire(time.Second + gracePeriod)
	list(m, at(2, 60), time.Minute, earlier)
	if has(m, target) {
		t.Errorf("the earlier state %q came back after the grace period", holds(m, target))
	}
	m.Apply([]platform.Change{{Entry: value(target, "3", 2, 61)}}, at(2, 61), time.Minute)
	if holds(m, target) != "3" {
		t.Errorf("written again as 3, the copy has %q", holds(m, target))
	}
}

func TestTargetThatHadGoneDoesNotComeBackWithTheStore(t *testing.T) {
	m := newMirrorOfEra1()
	gone, later := value("servers/gone", "1", 2, 40), value("servers/later", "1", 2, 95)
	if j := list(m, at(2, 96), time.Second, gone, later); j.Withheld != 1 || has(m, gone.Key) || !has(m, later.Key) {
		t.Fatalf("%+v, the gone one is back: %v, one written later is there: %v", j, has(m, gone.Key), has(m, later.Key))
	}
	list(m, at(2, 97), time.Minute, gone, later)
	if has(m, gone.Key) {
		t.Error("a second listing brings it back")
	}
	m.Apply([]platform.Change{{Entry: value("servers/gone", "1", 2, 98)}}, at(2, 98), time.Minute)
	if !has(m, gone.Key) {
		t.Error("it was written again, and is not there")
	}
}

// An instance writes its entry once, so that one held back would stay unknown.
func TestUnknownInstanceOfARestoredStoreIsBelieved(t *testing.T) {
	m := newMirrorOfEra1()
	list(m, at(2, 50), time.Second, value(peer2, "1", 2, 45))
	if !has(m, peer2) {
		t.Error("the instance is not known")
	}
}

// An instance that lags, or that starts, gets from a neighbour what that one believes.
func TestCopyOfANeighbourBringsWhatItKept(t *testing.T) {
	kept := []platform.Entry{value("configuration", "5", 1, 85), value(target, "2", 1, 80)}
	behind := newMirrorOfEra1()
	behind.entries["configuration"] = value("configuration", "4", 1, 40)
	fresh := New(behind.options)
	directly := newMirrorOfEra1()
	directly.entries["configuration"] = value("configuration", "4", 1, 40)
	list(directly, at(2, 50), 0, value("configuration", "4", 2, 40))
	for name, m := range map[string]*Mirror{"lags": behind, "starts": fresh, "listed the store itself": directly} {
		list(m, at(2, 51), time.Second, kept...)
		if holds(m, "configuration") != "5" || m.IsProven("configuration", time.Minute) {
			t.Errorf("%s: configuration %q, proven: %v", name, holds(m, "configuration"), m.IsProven("configuration", time.Minute))
		}
		m.Expire(time.Second + gracePeriod)
		if has(m, target) {
			t.Errorf("%s: a target that was not written again stays", name)
		}
		list(m, at(2, 60), time.Minute, value(target, "1", 2, 45))
		if has(m, target) {
			t.Errorf("%s: its earlier state came back", name)
		}
	}
	list(fresh, at(2, 70), time.Minute, kept...)
	if has(fresh, target) {
		t.Error("a copy after the grace period brings the target back")
	}
}

func TestSecondRestoreIsJudgedLikeTheFirst(t *testing.T) {
	m := newMirrorOfEra1()
	list(m, at(2, 50), time.Second, value("configuration", "4", 2, 40))
	list(m, at(3, 45), 2*time.Second, value("configuration", "4", 3, 40), value("servers/gone", "1", 3, 30))
	if holds(m, "configuration") != "5" || has(m, "servers/gone") || m.IsProven("configuration", time.Minute) {
		t.Errorf("configuration %q, gone target is back: %v", holds(m, "configuration"), has(m, "servers/gone"))
	}
}

// An instance that starts does not know when the store came back.
func TestFirstListingIsProvenAfterADelayOnly(t *testing.T) {
	for name, c := range map[string]struct {
		era      uint64
		settle   func(m *Mirror)
		provenAt time.Duration
	}{
		"store without eras":         {0, func(*Mirror) {}, 0},
		"no word of the era":         {2, func(*Mirror) {}, time.Second + proofDelay},
		"settled before the listing": {2, func(m *Mirror) { m.NoteSettled(2, time.Second) }, time.Second},
		"settled later":              {2, func(m *Mirror) { m.NoteSettled(2, time.Minute) }, time.Second + proofDelay},
		"another era is settled":     {2, func(m *Mirror) { m.NoteSettled(1, time.Second); m.NoteSettled(3, time.Second) }, time.Second + proofDelay},
	} {
		m := New(Options{LastingKey: "configuration", ProofDelay: proofDelay})
		list(m, at(c.era, 50), time.Second, value("configuration", "5", c.era, 40))
		list(m, at(c.era, 60), 1100*time.Millisecond, value("configuration", "5", c.era, 40)) // does not prolong it
		c.settle(m)
		if m.IsProven("configuration", c.provenAt-1) && c.era > 0 || !m.IsProven("configuration", c.provenAt) {
			t.Errorf("%s: not proven from %v on", name, c.provenAt)
		}
	}
}
