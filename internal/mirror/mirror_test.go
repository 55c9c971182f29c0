package mirror

import (
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	grace  = 2 * time.Second
	outOf  = 2500 * time.Millisecond
	target = "servers/t1"
	peer1  = "own/instances/b"
	peer2  = "own/instances/c"
)

func entry(key string, revision uint64) platform.Entry {
	return platform.Entry{Key: key, Value: []byte(key), Revision: revision}
}

func deleted(key string, revision uint64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true}
}

func listed(at time.Duration) *Mirror {
	m := New(Options{
		LeasedPrefixes: []string{"servers/", "own/"}, Grace: grace, OutageThreshold: outOf,
		InstancePrefix: "own/instances/", SelfKey: "own/instances/a",
	})
	m.Replace([]platform.Entry{entry(target, 1), entry(peer1, 2), entry(peer2, 3), entry("own/instances/a", 4), entry("op/config", 5)}, 5, at)
	return m
}

func has(m *Mirror, key string) bool {
	_, ok := m.Get(key)
	return ok
}

func TestDeletionIsTakenAtOnceWhileTheStoreAnswers(t *testing.T) {
	m := listed(0)
	changed := m.Apply([]platform.Change{deleted(target, 6)}, 6, time.Second)
	if has(m, target) || !slices.Contains(changed, target) {
		t.Fatalf("changed %v, target kept: %v", changed, has(m, target))
	}
}

func TestLapsedEntriesMayComeBackAfterAnOutage(t *testing.T) {
	m := listed(0)
	back := 5 * time.Second
	m.Replace([]platform.Entry{entry("op/config", 5)}, 9, back) // all leases lapsed
	if !has(m, target) {
		t.Fatal("lapsed entry was dropped at the store's return")
	}
	m.Apply([]platform.Change{{Entry: entry(peer1, 10)}}, 10, back+time.Second)
	if gone := m.Expire(back + grace - 1); len(gone) != 0 {
		t.Fatalf("%v gone before the grace ended", gone)
	}
	m.Expire(back + grace)
	if has(m, target) || !has(m, peer1) {
		t.Fatalf("target kept: %v, peer that came back kept: %v", has(m, target), has(m, peer1))
	}
}

func TestLapsesSeenAsChangesMayComeBack(t *testing.T) {
	m := listed(0)
	back := 5 * time.Second
	m.Apply([]platform.Change{deleted(target, 6), deleted(peer1, 7), deleted(peer2, 8)}, 8, back)
	if !has(m, target) {
		t.Fatal("lapsed entry was dropped at the store's return")
	}
}

// A machine that alone was cut off must not go on using a target that left
// meanwhile: others stand unchanged, so the store was not away.
func TestEntryThatWentWhileOnlyThisInstanceWasAwayIsGone(t *testing.T) {
	for name, come := range map[string]func(m *Mirror, at time.Duration){
		"listed": func(m *Mirror, at time.Duration) {
			m.Replace([]platform.Entry{entry(peer1, 2), entry(peer2, 3), entry("op/config", 5)}, 9, at)
		},
		"watched": func(m *Mirror, at time.Duration) {
			m.Apply([]platform.Change{deleted("own/instances/a", 6), deleted(target, 7)}, 9, at)
		},
	} {
		m := listed(0)
		come(m, 13*time.Second)
		if has(m, target) {
			t.Errorf("%s: the target is still used", name)
		}
	}
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	m := listed(0)
	if changed := m.Apply([]platform.Change{{Entry: entry(target, 1)}, deleted(target, 1)}, 6, 1); len(changed) != 0 || !has(m, target) {
		t.Fatalf("changed %v", changed)
	}
}
