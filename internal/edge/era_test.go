package edge

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/platform"
)

func inEra(t *testing.T, era, number uint64) uint64 {
	t.Helper()
	revision, err := platform.ComposeRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// newStartedFollower returns the follower of an instance that has just started.
func newStartedFollower(t *testing.T) *follower {
	t.Helper()
	e := Provision(Settings{Name: "self", MaxRevocationDelay: 5 * time.Second, MaxConfigurationDelay: 2500 * time.Millisecond}, plainAdapter{}, nil, io.Discard)
	t.Cleanup(func() { _ = e.logs.Close() })
	return e.follower
}

func (f *follower) isProven() bool { return f.gateway.Staleness() < restoredProofDelay }

// A neighbour may itself have got its copy just after the store came back.
func TestFirstCopyProvesTheConfigurationIfItsSourceIsSettled(t *testing.T) {
	const era = 2
	configuration := entryAt("configuration", "1", inEra(t, era, 5))
	mark := func(settled uint64) platform.Entry {
		return entryAt("own/era", fmt.Sprintf(`{"settled":%d}`, settled), inEra(t, era, 4))
	}
	for name, c := range map[string]struct {
		first  answer
		proven bool
	}{
		"neighbour, settled":                  {answer{source: "b", via: []string{"b"}, settled: true}, true},
		"neighbour, not settled":              {answer{source: "b", via: []string{"b"}}, false},
		"neighbour, not settled, with a mark": {answer{source: "b", via: []string{"b"}, entries: []platform.Entry{mark(era)}}, false},
		"store, marked as settled":            {answer{entries: []platform.Entry{mark(era)}}, true},
		"store, mark of an earlier era":       {answer{entries: []platform.Entry{mark(era - 1)}}, false},
		"store, mark of a later era":          {answer{entries: []platform.Entry{mark(era + 1)}}, false},
		"store, unreadable mark":              {answer{entries: []platform.Entry{entryAt("own/era", "?", inEra(t, era, 4))}}, false},
		"store, no mark":                      {answer{}, false},
	} {
		f := newStartedFollower(t)
		c.first.isCopy, c.first.revision, c.first.currentAsOf = true, inEra(t, era, 5), now()
		c.first.entries = append(c.first.entries, configuration)
		if err := f.applyCopy(c.first); err != nil {
			t.Fatal(err)
		}
		if f.isProven() != c.proven {
			t.Errorf("%s: proven %v, want %v", name, f.isProven(), c.proven)
		}
	}
}

// A listing's first page may be much older than the page with the mark.
func TestMarkInASlowListingProvesNothingOfTheTimeBefore(t *testing.T) {
	const era = 2
	f := newStartedFollower(t)
	a := storeCopy(inEra(t, era, 5), entryAt("configuration", "1", inEra(t, era, 5)), entryAt("own/era", `{"settled":2}`, inEra(t, era, 4)))
	a.currentAsOf -= restoredProofDelay + 100*time.Millisecond
	if err := f.applyCopy(a); err != nil {
		t.Fatal(err)
	}
	if f.gateway.Staleness() < time.Minute {
		t.Error("proven by the listing")
	}
	f.applyCurrent(nil, inEra(t, era, 6), now(), nil)
	if !f.isProven() {
		t.Error("not proven by a watch after it")
	}
}

// The proof delay ends as soon as a source tells that it is over.
func TestSettledSourceEndsTheProofDelay(t *testing.T) {
	const era = 2
	for name, tell := range map[string]func(f *follower){
		"neighbour": func(f *follower) {
			if err := f.applyChanges(answer{source: "b", via: []string{"b"}, revision: inEra(t, era, 6), currentAsOf: now(), settled: true}); err != nil {
				t.Fatal(err)
			}
		},
		"store": func(f *follower) {
			mark := platform.Change{Entry: entryAt("own/era", `{"settled":2}`, inEra(t, era, 6))}
			f.applyCurrent([]platform.Change{mark}, inEra(t, era, 6), now(), nil)
		},
	} {
		f := newStartedFollower(t)
		if err := f.applyCopy(storeCopy(inEra(t, era, 5), entryAt("configuration", "1", inEra(t, era, 5)))); err != nil {
			t.Fatal(err)
		}
		if f.isProven() {
			t.Errorf("%s: proven before", name)
		}
		if tell(f); !f.isProven() {
			t.Errorf("%s: not proven", name)
		}
		response, _ := f.response(&fleetpb.FollowRequest{After: inEra(t, era, 6)}, now())
		_, state, err := f.openCopy(&followerCall{conn: &followerConn{}}, false)
		if err != nil {
			t.Fatal(err)
		}
		if copied, err := decodeCopy(state); err != nil || !copied.GetSettled() || !response.GetSettled() {
			t.Errorf("%s: not passed on: %v, %v", name, response, err)
		}
	}
}

// A source that is behind, or of another era, tells nothing of this copy.
func TestSourceThatIsNotCurrentDoesNotEndTheProofDelay(t *testing.T) {
	const era = 2
	for name, a := range map[string]answer{
		"lost":            {revision: inEra(t, era, 6), currentAsOf: now(), lost: true},
		"more to come":    {revision: inEra(t, era, 6), currentAsOf: now(), more: true},
		"of an older era": {revision: inEra(t, era-1, 6), currentAsOf: now()},
	} {
		f := newStartedFollower(t)
		if err := f.applyCopy(storeCopy(inEra(t, era, 5), entryAt("configuration", "1", inEra(t, era, 5)))); err != nil {
			t.Fatal(err)
		}
		a.source, a.via, a.settled = "b", []string{"b"}, true
		_ = f.applyChanges(a) // an error for all but one
		f.applyCurrent(nil, inEra(t, era, 7), now(), nil)
		if f.isProven() {
			t.Errorf("%s: proven", name)
		}
	}
}

// One instance at the store writes the mark, some time after the era has settled.
func TestEraIsMarkedByAnInstanceAtTheStoreOnceItHasBeenSettled(t *testing.T) {
	const era = 2
	for name, c := range map[string]struct {
		via    []string
		marked uint64
		due    bool
	}{
		"at the store": {nil, era - 1, true}, "below another instance": {[]string{"b"}, era - 1, false}, "marked already": {nil, era, false},
	} {
		f := newStartedFollower(t)
		if err := f.applyCopy(storeCopy(inEra(t, era, 5), entryAt("configuration", "1", inEra(t, era, 5)))); err != nil {
			t.Fatal(err)
		}
		if got, _ := f.dueEraMark(now() + time.Minute); got != 0 {
			t.Errorf("%s: due before the era has settled", name)
		}
		mark := entryAt("own/era", fmt.Sprintf(`{"settled":%d}`, c.marked), inEra(t, era, 6))
		f.applyCurrent([]platform.Change{{Entry: mark}}, inEra(t, era, 6), now()+restoredProofDelay, c.via)
		begun := now()
		if got, _ := f.dueEraMark(begun); got != 0 {
			t.Errorf("%s: due at once", name)
		}
		got, known := f.dueEraMark(begun + restoredProofDelay)
		if (got == era) != c.due || c.due && known != mark.Revision {
			t.Errorf("%s: due mark of era %d over revision %d, want %v", name, got, known, c.due)
		}
	}
}

// The store lacks the newest configuration, whose copies end with the instances.
func TestEraIsNotMarkedBeforeTheConfigurationIsWrittenAgain(t *testing.T) {
	f := newStartedFollower(t)
	configuration := func(era uint64) platform.Entry { return entryAt("configuration", "1", inEra(t, era, 5)) }
	for _, c := range []answer{storeCopy(inEra(t, 1, 5), configuration(1)), storeCopy(inEra(t, 2, 3))} {
		if err := f.applyCopy(c); err != nil {
			t.Fatal(err)
		}
	}
	f.applyCurrent(nil, inEra(t, 2, 4), now()+restoredProofDelay, nil)
	f.dueEraMark(now())
	if got, _ := f.dueEraMark(now() + time.Minute); got != 0 {
		t.Error("marked")
	}
	f.applyCurrent([]platform.Change{{Entry: configuration(2)}}, inEra(t, 2, 5), now()+restoredProofDelay, nil)
	begun := now()
	f.dueEraMark(begun)
	if got, _ := f.dueEraMark(begun + time.Minute); got != 2 {
		t.Error("not marked once it is written again")
	}
}

// markedStore has an entry under the key of the mark, and takes writes late if slow is true.
type markedStore struct {
	platform.Store
	entry platform.Entry
	slow  bool
}

func (s *markedStore) CompareAndSwap(ctx context.Context, w platform.Write) (bool, platform.Entry, error) {
	if s.slow {
		<-ctx.Done()
		return false, platform.Entry{}, ctx.Err()
	}
	if w.ExpectedRevision != s.entry.Revision {
		return false, s.entry, nil
	}
	s.entry.Value, s.entry.Revision = w.Value, s.entry.Revision+1
	return true, s.entry, nil
}

// newMarkingFollower returns a follower that knows no mark, and is due to write one of era 2.
func newMarkingFollower(t *testing.T, s *markedStore) *follower {
	t.Helper()
	f := newStartedFollower(t)
	f.store = s
	if err := f.applyCopy(storeCopy(inEra(t, 2, 5), entryAt("configuration", "1", inEra(t, 2, 5)))); err != nil {
		t.Fatal(err)
	}
	f.applyCurrent(nil, inEra(t, 2, 6), now()+restoredProofDelay, nil)
	f.settled = settledEra{2, now() - restoredProofDelay}
	return f
}

// An earlier mark that came back with the store may be held back from the copy.
func TestEarlierMarkThatTheCopyLacksIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		era     uint64
		value   string
		written bool
	}{
		"earlier mark": {2, `{"settled":1}`, true}, "unreadable": {2, "?", true},
		"present mark": {2, `{"settled":2}`, false}, "the store has come back again": {3, `{"settled":3}`, false},
	} {
		s := &markedStore{entry: entryAt("own/era", c.value, inEra(t, c.era, 3))}
		before := s.entry.Revision
		if err := newMarkingFollower(t, s).markEra(t.Context()); err != nil || (s.entry.Revision > before) != c.written {
			t.Errorf("%s: %s, %v, want written: %v", name, s.entry.Value, err, c.written)
		}
	}
}

// The lease is renewed by the same loop.
func TestSlowWriteOfTheMarkDoesNotDelayTheNextRenewal(t *testing.T) {
	f, begun := newMarkingFollower(t, &markedStore{slow: true}), now()
	ctx, cancel := context.WithTimeout(t.Context(), 2*leaseTTL)
	defer cancel()
	if err := f.markEra(ctx); err == nil {
		t.Error("no error")
	}
	if took := now() - begun; took > renewInterval {
		t.Errorf("took %v", took)
	}
}

// Followers must learn that an entry was written again, or they drop it.
func TestEntryThatIsWrittenAgainInTheNextEraIsPassedOn(t *testing.T) {
	f := newStartedFollower(t)
	for _, key := range []string{"targets/t", "configuration"} {
		known := entryAt(key, "1", inEra(t, 1, 5))
		if !f.sameEntry(known, entryAt(key, "1", inEra(t, 1, 6))) {
			t.Errorf("%s: a heartbeat is passed on", key)
		}
		if f.sameEntry(known, entryAt(key, "1", inEra(t, 2, 3))) {
			t.Errorf("%s: written again, is not passed on", key)
		}
	}
}

// An instance must write its entry again at once, though it does not miss it.
func TestInstanceRegistersAgainWhenTheEraRisesOnly(t *testing.T) {
	f := newStartedFollower(t)
	for _, c := range []struct {
		revision uint64
		again    bool
	}{{inEra(t, 1, 5), false}, {inEra(t, 1, 9), false}, {inEra(t, 2, 3), true}, {inEra(t, 2, 4), false}} {
		if err := f.applyCopy(storeCopy(c.revision)); err != nil {
			t.Fatal(err)
		}
		again := false
		select {
		case <-f.reregister:
			again = true
		default:
		}
		if again != c.again || f.entryLost.Load() {
			t.Errorf("number %d of era %d: registers again %v, want %v; its entry is lost: %v",
				platform.RevisionNumber(c.revision), platform.RevisionEra(c.revision), again, c.again, f.entryLost.Load())
		}
	}
}

// The mark outlasts the instances: it must not make one that starts with others believe
// that it knows them.
func TestMarkTellsNothingOfTheInstances(t *testing.T) {
	f := newStartedFollower(t)
	if err := f.applyCopy(storeCopy(inEra(t, 2, 5), entryAt("own/era", `{"settled":2}`, inEra(t, 2, 4)))); err != nil {
		t.Fatal(err)
	}
	if f.members.known {
		t.Error("the list of instances counts as known")
	}
}
