package edge

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// refusingStore refuses every call.
type refusingStore struct{ platform.Store }

func (refusingStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, errors.New("refused")
}

func (refusingStore) List(context.Context, string) ([]platform.Entry, uint64, error) {
	return nil, 0, errors.New("refused")
}

// startBehind returns an instance without a copy whose store refuses, with these seeds.
func startBehind(t *testing.T, seeds ...string) *follower {
	t.Helper()
	e := Provision(Settings{
		Name: "new", AvailabilityZone: "zone", Region: "region", MaxRevocationDelay: 5 * time.Second, MaxConfigurationDelay: 2500 * time.Millisecond,
		PeerSeeds: seeds,
	}, plainAdapter{}, refusingStore{}, io.Discard)
	t.Cleanup(func() { _ = e.logs.Close() })
	return e.follower
}

// An instance that starts asks several others, and one of them sends the whole copy.
func TestStartTakesOneWholeCopy(t *testing.T) {
	var seeds []string
	var sources []*follower
	for range 3 {
		f, address := servedFollower(t, 0)
		if err := f.applyCopy(storeCopy(5, platform.Entry{Key: "big", Value: make([]byte, 8<<20), Revision: 4})); err != nil {
			t.Fatal(err)
		}
		seeds, sources = append(seeds, address), append(sources, f)
	}
	f := startBehind(t, seeds...)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	f.search(ctx, "", false)
	if f.revision() != 5 {
		t.Fatalf("revision %d, want 5", f.revision())
	}
	copies := 0
	for _, s := range sources {
		if strings.Contains(s.metrics.Text(), "copies_total 1") {
			copies++
		}
	}
	if copies != 1 {
		t.Errorf("%d whole copies were asked for, want 1", copies)
	}
}

// A copy that makes no progress holds the next one back by copyHeadStart only.
func TestStalledCopyLetsTheNextOneBegin(t *testing.T) {
	turns := newCopyTurns()
	if waited, ok := turns.begin(t.Context()); waited || !ok {
		t.Fatalf("the first copy: waited %v, begins %v", waited, ok)
	}
	ended, cancel := context.WithTimeout(t.Context(), copyHeadStart/5)
	defer cancel()
	if _, ok := turns.begin(ended); ok {
		t.Error("the second copy begins beside one that makes progress")
	}
	began := time.Now()
	if waited, ok := turns.begin(t.Context()); !waited || !ok || time.Since(began) > 2*copyHeadStart {
		t.Errorf("the second copy: waited %v, begins %v after %v", waited, ok, time.Since(began))
	}
	turns.end()
	turns.end()
	if waited, ok := turns.begin(t.Context()); waited || !ok {
		t.Errorf("after both: waited %v, begins %v", waited, ok)
	}
}
