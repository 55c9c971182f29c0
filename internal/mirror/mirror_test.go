package mirror

import (
	"slices"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	gracePeriod     = 2 * time.Second
	outageThreshold = 2500 * time.Millisecond
	target          = "servers/t1"
	peer1           = "own/instances/b"
	peer2           = "own/instances/c"
)

func entry(key string, revision uint64) platform.Entry {
	return platform.Entry{Key: key, Value: []byte(key), Revision: revision}
}

func deletion(key string, revision uint64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true}
}

// newListedMirror returns a mirror that took a listing with a target, three
// instances (itself among them) and a configuration at the given time.
func newListedMirror(at time.Duration) *Mirror {
	m := New(Options{
		LeasedPrefixes: []string{"servers/", "own/"}, Grace: gracePeriod, OutageThreshold: outageThreshold,
		InstancePrefix: "own/instances/", SelfKey: "own/instances/a",
	})
	m.Replace([]platform.Entry{entry(target, 1), entry(peer1, 2), entry(peer2, 3), entry("own/instances/a", 4), entry("configuration", 5)}, 5, at)
	return m
}

func has(m *Mirror, key string) bool {
	_, ok := m.Get(key)
	return ok
}

func TestDeletionAppliesAtOnceWhileStoreIsReachable(t *testing.T) {
	m := newListedMirror(0)
	changed := m.Apply([]platform.Change{deletion(target, 6)}, 6, time.Second)
	if has(m, target) || !slices.Contains(changed, target) {
		t.Fatalf("changed %v, target kept: %v", changed, has(m, target))
	}
}

func TestExpiredEntriesAreKeptForGracePeriodAfterOutage(t *testing.T) {
	m := newListedMirror(0)
	returnedAt := 5 * time.Second
	m.Replace([]platform.Entry{entry("configuration", 5)}, 9, returnedAt) // all leases expired
	if !has(m, target) {
		t.Fatal("expired entry was removed as soon as the store was back")
	}
	m.Apply([]platform.Change{{Entry: entry(peer1, 10)}}, 10, returnedAt+time.Second)
	if gone := m.Expire(returnedAt + gracePeriod - 1); len(gone) != 0 {
		t.Fatalf("%v removed before the grace period ended", gone)
	}
	m.Expire(returnedAt + gracePeriod)
	if has(m, target) || !has(m, peer1) {
		t.Fatalf("target kept: %v, peer that registered again kept: %v", has(m, target), has(m, peer1))
	}
}

func TestExpiriesReportedAsDeletionsAreKeptForGracePeriod(t *testing.T) {
	m := newListedMirror(0)
	returnedAt := 5 * time.Second
	m.Apply([]platform.Change{deletion(target, 6), deletion(peer1, 7), deletion(peer2, 8)}, 8, returnedAt)
	if !has(m, target) {
		t.Fatal("expired entry was removed as soon as the store was back")
	}
}

// An instance that alone was cut off from the store must not go on using a
// target that left meanwhile: the other instances' entries are unchanged, so
// the store was not down.
func TestEntryDeletedWhileOnlyThisInstanceWasCutOffIsRemoved(t *testing.T) {
	for name, reconnect := range map[string]func(m *Mirror, at time.Duration){
		"by listing": func(m *Mirror, at time.Duration) {
			m.Replace([]platform.Entry{entry(peer1, 2), entry(peer2, 3), entry("configuration", 5)}, 9, at)
		},
		"by watch": func(m *Mirror, at time.Duration) {
			m.Apply([]platform.Change{deletion("own/instances/a", 6), deletion(target, 7)}, 9, at)
		},
	} {
		m := newListedMirror(0)
		reconnect(m, 13*time.Second)
		if has(m, target) {
			t.Errorf("%s: the target is still in the copy", name)
		}
	}
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	m := newListedMirror(0)
	if changed := m.Apply([]platform.Change{{Entry: entry(target, 1)}, deletion(target, 1)}, 6, 1); len(changed) != 0 || !has(m, target) {
		t.Fatalf("changed %v", changed)
	}
}

// The pages of a listing are read one after another, so that it may hold entries newer
// than its revision. A listing of a revision before them says nothing of them.
func TestListingRemovesOnlyEntriesUpToItsRevision(t *testing.T) {
	m := newListedMirror(0)
	m.Replace([]platform.Entry{entry(target, 1), entry("servers/t2", 8)}, 6, time.Second)
	if changed := m.Replace([]platform.Entry{entry(target, 1)}, 7, time.Second); len(changed) != 0 || !has(m, "servers/t2") {
		t.Errorf("a listing of an earlier revision changed %v", changed)
	}
	if changed := m.Replace([]platform.Entry{entry(target, 1)}, 8, time.Second); !slices.Equal(changed, []string{"servers/t2"}) || has(m, "servers/t2") {
		t.Errorf("a later listing changed %v", changed)
	}
}
