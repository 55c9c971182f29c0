package operator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// fakeStore is an in-memory store that loses answers at random, from a seed.
type fakeStore struct {
	platform.Store
	rng      *rand.Rand
	entries  map[string]platform.Entry
	revision uint64
	// loseAnswers is the share of writes, 0 to 1, whose answer is lost. Half of
	// these take effect.
	loseAnswers float64
	down        bool // every call fails
	// beforeSwap, if set, is called before each compare-and-swap of the manifest.
	beforeSwap func()
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 2)), entries: map[string]platform.Entry{}}
}

func (f *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	if f.down {
		return platform.Entry{}, platform.ErrUnavailable
	}
	e := f.entries[key]
	e.Key = key
	return e, nil
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	if f.down {
		return 0, platform.ErrUnknownOutcome
	}
	return 1, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, w platform.Write) (bool, platform.Entry, error) {
	if f.beforeSwap != nil && w.Key == RecordKey {
		f.beforeSwap()
	}
	if f.down {
		return false, platform.Entry{}, platform.ErrUnknownOutcome
	}
	lost := f.rng.Float64() < f.loseAnswers
	if lost && f.rng.IntN(2) == 0 {
		return false, platform.Entry{}, platform.ErrUnknownOutcome
	}
	swapped, entry := f.apply(w)
	if lost {
		return false, platform.Entry{}, platform.ErrUnknownOutcome
	}
	return swapped, entry, nil
}

// apply carries out a compare-and-swap.
func (f *fakeStore) apply(w platform.Write) (bool, platform.Entry) {
	old := f.entries[w.Key]
	old.Key = w.Key
	if old.Revision != w.ExpectedRevision {
		return false, old
	}
	f.revision++
	if w.Delete {
		delete(f.entries, w.Key)
		return true, platform.Entry{Key: w.Key}
	}
	e := platform.Entry{Key: w.Key, Value: w.Value, Revision: f.revision, LeaseID: w.LeaseID}
	f.entries[w.Key] = e
	return true, e
}

// fakeLocalWriter records the writes of one instance. Once retired, it forbids them.
type fakeLocalWriter struct {
	self     config.Writer
	inFlight int
	outcomes []freshness.Outcome
	retired  bool
}

func (w *fakeLocalWriter) Self() config.Writer { return w.self }

func (w *fakeLocalWriter) BeginWrite() error {
	if w.retired {
		return freshness.ErrRetired
	}
	w.inFlight++
	return nil
}

func (w *fakeLocalWriter) EndWrite(_ uint64, o freshness.Outcome) {
	w.inFlight--
	w.outcomes = append(w.outcomes, o)
}

// fakeFleet passes confirms on to the services of the writers that it knows.
type fakeFleet struct {
	services map[config.Writer]*Service
}

func (f *fakeFleet) Instances(context.Context) []InstanceStatus { return nil }

func (f *fakeFleet) ConfirmAt(ctx context.Context, w config.Writer, id string) (Confirmation, error) {
	s := f.services[w]
	if s == nil {
		return Confirmation{}, errors.Wrap(ErrNoWriter, w.Instance)
	}
	return s.ConfirmLocally(ctx, id)
}
