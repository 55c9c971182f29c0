package idempotency_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/idempotency"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// fakeStore is the platform's store with randomly drawn failures and virtual
// time.
type fakeStore struct {
	platform.Store
	t         *rapid.T
	now       time.Time
	revision  uint64
	entries   map[string]platform.Entry
	leaseEnds map[uint64]time.Time // by lease id
}

var errStore = errors.New("store failed")

// failurePoint draws whether a call succeeds (0), fails before it takes effect
// (1) or loses its response after it took effect (2).
func (f *fakeStore) failurePoint(label string) int {
	return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(f.t, label)
}

// expire deletes the entries whose lease has ended.
func (f *fakeStore) expire() {
	maps.DeleteFunc(f.entries, func(_ string, e platform.Entry) bool { return !f.now.Before(f.leaseEnds[e.LeaseID]) })
}

func (f *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	f.expire()
	if f.failurePoint("get") > 0 {
		return platform.Entry{}, errors.Mark(errStore, platform.ErrUnavailable)
	}
	return f.entries[key], nil
}

func (f *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if f.failurePoint("grant") > 0 {
		return 0, errors.Mark(errStore, platform.ErrUnknownOutcome)
	}
	f.revision++
	f.leaseEnds[f.revision] = f.now.Add(ttl)
	return f.revision, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, w platform.Write) (bool, platform.Entry, error) {
	f.now = f.now.Add(rapid.SampledFrom([]time.Duration{0, 0, time.Second, 4 * time.Minute, 9 * time.Minute, time.Hour}).Draw(f.t, "pause"))
	f.expire()
	failurePoint := f.failurePoint("swap")
	if failurePoint == 1 {
		return false, platform.Entry{}, errors.Mark(errStore, platform.ErrUnknownOutcome)
	}
	if !w.Delete && !f.now.Before(f.leaseEnds[w.LeaseID]) {
		return false, platform.Entry{}, platform.ErrLeaseExpired
	}
	current := f.entries[w.Key]
	swapped := current.Revision == w.ExpectedRevision
	if swapped && w.Delete {
		delete(f.entries, w.Key)
	} else if swapped {
		f.revision++
		current = platform.Entry{Key: w.Key, Value: w.Value, Revision: f.revision, LeaseID: w.LeaseID}
		f.entries[w.Key] = current
	}
	if failurePoint == 2 {
		return false, platform.Entry{}, errors.Mark(errStore, platform.ErrUnknownOutcome)
	}
	return swapped, current, nil
}

// TestMain fixes the seed of the random tests unless it is set on the command
// line.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Two instances claim the same ids while the store loses responses, fails and
// delays calls beyond the end of leases. Within MinClaimLifetime only one claim
// of an id may succeed, unless it was released.
func TestConcurrentClaimsAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{t: t, now: time.Unix(0, 0), entries: map[string]platform.Entry{}, leaseEnds: map[uint64]time.Time{}}
		now := func() time.Time { return store.now }
		claimers := []*idempotency.Claimer{idempotency.NewClaimer(store, now), idempotency.NewClaimer(store, now)}
		claimedAt := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			claimer := claimers[rapid.IntRange(0, 1).Draw(t, "instance")]
			id := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id"))
			claim, result := claimer.Claim(context.Background(), "quito", id)
			if result != idempotency.Claimed {
				continue
			}
			if at, ok := claimedAt[id]; ok && store.now.Sub(at) < idempotency.MinClaimLifetime {
				t.Fatalf("id %s claimed twice within %s", id, store.now.Sub(at))
			}
			claimedAt[id] = store.now
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				claimer.Release(context.Background(), claim)
				delete(claimedAt, id)
			}
		}
	})
}

// A claim must cost one write, and a lease must be requested only once in each
// leasePeriod.
func TestOneWritePerClaimAndOneLeasePerPeriod(t *testing.T) {
	const claims = 1000
	store := &countingStore{leases: map[uint64]bool{}}
	now := time.Unix(0, 0)
	claimer := idempotency.NewClaimer(store, func() time.Time { return now })
	for i := range claims {
		if _, result := claimer.Claim(context.Background(), "quito", fmt.Sprint(i)); result != idempotency.Claimed {
			t.Fatalf("claim %d: %v", i, result)
		}
		now = now.Add(time.Second)
	}
	if store.writes != claims || len(store.leases) != 4 {
		t.Fatalf("%d writes and %d leases for %d claims in %s", store.writes, len(store.leases), claims, now.Sub(time.Unix(0, 0)))
	}
}

// countingStore accepts every write and counts writes and leases.
type countingStore struct {
	platform.Store
	writes int
	leases map[uint64]bool
}

func (c *countingStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	c.leases[uint64(len(c.leases)+1)] = true
	return uint64(len(c.leases)), nil
}

func (c *countingStore) CompareAndSwap(_ context.Context, w platform.Write) (bool, platform.Entry, error) {
	c.writes++
	return true, platform.Entry{Key: w.Key, Value: w.Value, Revision: 1}, nil
}
