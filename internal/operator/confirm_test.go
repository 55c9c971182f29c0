package operator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/charts"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

// raceSeeds is the number of random seeds that the race of writers is run with.
const raceSeeds = 300

func testDocument() *config.Document {
	return &config.Document{
		Regions:           []config.Region{{Name: "sierra", LinkMbps: 4000}},
		AvailabilityZones: []config.AvailabilityZone{{Name: "sierra-1", Region: "sierra"}},
		Workspaces:        []config.Workspace{{Name: "w", Rate: 1, Burst: 1}},
	}
}

// newServices returns n services that share a store. None is a writer yet: the one
// that confirms the first plan becomes the writer.
func newServices(store platform.Store, n int) []*Service {
	all, err := statechart.Load(charts.Files)
	if err != nil {
		panic(err)
	}
	fleet := &fakeFleet{services: map[config.Writer]*Service{}}
	var out []*Service
	for i := range n {
		s := &Service{
			Store: store, Fleet: fleet, Now: time.Now, PlanChart: all["plan"],
			LocalWriter: &fakeLocalWriter{self: config.Writer{Instance: fmt.Sprint("i", i), Incarnation: 1}},
		}
		fleet.services[s.LocalWriter.Self()] = s
		out = append(out, s)
	}
	return out
}

// mustApply makes testDocument the accepted configuration.
func mustApply(t *testing.T, s *Service) {
	t.Helper()
	plan, err := s.Plan(t.Context(), intent.Intent{Kind: intent.KindApply, Document: testDocument()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Confirm(t.Context(), plan.ID); err != nil {
		t.Fatal(err)
	}
}

func mustReadRecord(t *testing.T, store platform.Store) config.Record {
	t.Helper()
	var held config.HeldRecord
	m, _, err := ReadRecord(t.Context(), store, &held)
	if err != nil {
		t.Fatal(err)
	}
	r, err := config.JoinRecord(m, held.Chunk)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// admitIntent returns the intent to add workspace number i.
func admitIntent(i int) intent.Intent {
	return intent.Intent{Kind: intent.KindAdmit, Workspace: &config.Workspace{Name: fmt.Sprint("w", i), Rate: 1, Burst: 1}}
}

// Two writers confirm plans at the same time while answers of the store get lost.
// Each plan must take effect at most once, the result of a confirm must agree with
// the store, and no version may be used twice.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	for seed := range uint64(raceSeeds) {
		synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
	}
}

func runRace(t *testing.T, seed uint64) {
	store := newFakeStore(seed)
	services := newServices(store, 3)
	mustApply(t, services[0])
	_, err := services[0].ReplaceWriters(t.Context(), func(config.Record) ([]config.Writer, bool) {
		return []config.Writer{services[0].LocalWriter.Self(), services[1].LocalWriter.Self()}, true
	})
	if err != nil {
		t.Fatal(err)
	}
	store.loseAnswers = 0.4
	var invariants invariant.Recorder
	version := mustReadRecord(t, store).Version
	nesting := 0
	store.beforeSwap = func() {
		// At times, the other writer confirms a plan just before this write.
		if nesting == 0 && store.rng.IntN(3) == 0 {
			nesting++
			confirmOne(t, services[1], 100+int(store.rng.Uint32()%1000), store)
			nesting--
		}
	}
	for i := range 8 {
		confirmOne(t, services[0], i, store)
		now := mustReadRecord(t, store).Version
		invariants.Check(now >= version, invariant.VersionNeverReverts, "seed %d: %d after %d", seed, now, version)
		version = now
	}
	if len(invariants.Counts()) > 0 {
		t.Fatal(invariants.Counts())
	}
	checkHistory(t, seed, mustReadRecord(t, store))
}

// confirmOne plans and confirms one change, and checks that the result agrees with
// what is in the store.
func confirmOne(t *testing.T, s *Service, i int, store *fakeStore) {
	plan, err := s.Plan(t.Context(), admitIntent(i))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := s.ConfirmLocally(ctx, plan.ID)
	version, tookEffect := mustReadRecord(t, store).VersionOf(plan.ID)
	switch {
	case err == nil && (!tookEffect || version != c.Version):
		t.Fatalf("plan %d: confirmed as version %d, in the store version %d (took effect: %t)", i, c.Version, version, tookEffect)
	case errors.Is(err, intent.ErrStalePlan) && tookEffect:
		t.Fatalf("plan %d: reported as stale, but it took effect", i)
	case err != nil && tookEffect && !errors.Is(err, platform.ErrUnknownOutcome):
		t.Fatalf("plan %d: took effect, but reported the error %v", i, err)
	}
	if w := s.LocalWriter.(*fakeLocalWriter); w.inFlight != 0 {
		t.Fatalf("%d writes were begun but not ended", w.inFlight)
	}
}

// checkHistory checks that the history has each plan once, and each version in order.
func checkHistory(t *testing.T, seed uint64, r config.Record) {
	seen := map[string]bool{}
	for i, o := range r.History {
		if seen[o.ID] || o.Version != uint64(i+1) {
			t.Fatalf("seed %d: history %v", seed, r.History)
		}
		seen[o.ID] = true
	}
}

func TestConfirmErrorCodes(t *testing.T) {
	store := newFakeStore(1)
	services := newServices(store, 3)
	mustApply(t, services[0])
	stale, _ := services[0].Plan(t.Context(), admitIntent(1))
	plan, _ := services[2].Plan(t.Context(), admitIntent(2))
	c, err := services[2].Confirm(t.Context(), plan.ID)
	if err != nil || c.Version != 2 || c.AlreadyConfirmed {
		t.Fatalf("confirm through an instance that is no writer: %+v, %v", c, err)
	}
	if c, err := services[1].Confirm(t.Context(), plan.ID); err != nil || !c.AlreadyConfirmed || c.Version != 2 {
		t.Errorf("double confirm: %+v, %v", c, err)
	}
	codes := map[string]string{stale.ID: "conflict", "none": "unknown-plan"}
	refused, _ := services[0].Plan(t.Context(), intent.Intent{Kind: intent.KindWithdrawKey, KeyID: "none"})
	codes[refused.ID] = "refused"
	for id, code := range codes {
		if _, err := services[0].Confirm(t.Context(), id); ErrorCode(err) != code || ErrorCode(ErrorFromCode(code, "x")) != code {
			t.Errorf("plan %q: %v, not %s", id, err, code)
		}
	}
	store.down = true
	if _, err := services[0].Confirm(t.Context(), stale.ID); ErrorCode(err) != "store-unavailable" {
		t.Errorf("store down: %v", err)
	}
}

func TestOnlyListedWritersWrite(t *testing.T) {
	store := newFakeStore(1)
	services := newServices(store, 2)
	mustApply(t, services[0])
	plan, _ := services[1].Plan(t.Context(), admitIntent(1))
	if _, err := services[1].ConfirmLocally(t.Context(), plan.ID); !errors.Is(err, ErrNoWriter) {
		t.Errorf("unlisted writer: %v", err)
	}
	delete(services[1].Fleet.(*fakeFleet).services, services[0].LocalWriter.Self())
	if _, err := services[1].Confirm(t.Context(), plan.ID); ErrorCode(err) != "no-writer" {
		t.Errorf("no writer reachable: %v", err)
	}
	services[0].LocalWriter.(*fakeLocalWriter).retired = true
	if _, err := services[0].Confirm(t.Context(), plan.ID); !errors.Is(err, freshness.ErrRetired) {
		t.Errorf("retired writer: %v", err)
	}
}

// If the answer to a write is lost, the local writer must be told that the outcome is
// unknown, so that it does not vouch for a revision that may be outdated.
func TestLostAnswerIsUnknownToTheLocalWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		s := newServices(store, 1)[0]
		mustApply(t, s)
		plan, _ := s.Plan(t.Context(), admitIntent(1))
		store.beforeSwap = func() { store.down = true }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := s.ConfirmLocally(ctx, plan.ID)
		if ErrorCode(err) != "unknown-outcome" {
			t.Errorf("error is %v, not of code unknown-outcome", err)
		}
		if outcomes := s.LocalWriter.(*fakeLocalWriter).outcomes; outcomes[len(outcomes)-1] != freshness.OutcomeUnknown {
			t.Errorf("outcomes %v", outcomes)
		}
	})
}

// After each change, the store must have exactly the chunks that the record uses.
func TestUnusedChunksAreRemoved(t *testing.T) {
	store := newFakeStore(1)
	s := newServices(store, 1)[0]
	mustApply(t, s)
	for i := range 40 {
		plan, _ := s.Plan(t.Context(), admitIntent(i%7))
		if _, err := s.Confirm(t.Context(), plan.ID); err != nil {
			t.Fatal(err)
		}
		m, _, _ := config.SplitRecord(mustReadRecord(t, store))
		chunks := 0
		for key := range store.entries {
			if len(key) > len(ChunkPrefix) && key[:len(ChunkPrefix)] == ChunkPrefix {
				chunks++
			}
		}
		if chunks != len(m.MissingChunks(func(string) bool { return false })) {
			t.Fatalf("%d chunks stored, %d used", chunks, len(m.Chunks))
		}
	}
}
