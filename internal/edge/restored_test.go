package edge

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// A response that was asked for before the configuration can count as written again tells
// nothing of the time after.
func TestLateResponseDoesNotProveTheConfigurationOfARestoredStore(t *testing.T) {
	f := newTestFollower(t, 5, entryAt("configuration", "1", 5))
	inNextEra := func(number uint64) uint64 {
		revision, err := platform.ComposeRevision(1, number)
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	time.Sleep(300 * time.Millisecond) // the store is away
	if err := f.applyCopy(storeCopy(inNextEra(3), entryAt("configuration", "1", inNextEra(3)))); err != nil {
		t.Fatal(err)
	}
	askedAt := now()
	before := f.gateway.Staleness()
	time.Sleep(restoredProofDelay + 50*time.Millisecond)
	f.applyCurrent([]platform.Change{}, inNextEra(4), askedAt, nil)
	if age := f.gateway.Staleness(); age < before+restoredProofDelay {
		t.Errorf("the proof is %v old, and was %v old %v before", age, before, restoredProofDelay)
	}
	f.applyCurrent([]platform.Change{}, inNextEra(5), now(), nil)
	if age := f.gateway.Staleness(); age > restoredProofDelay {
		t.Errorf("the proof is %v old after a response asked for now", age)
	}
}
