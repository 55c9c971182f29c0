package dissemination

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
)

// testCore returns a core of the only known instance of its zone.
func testCore(name string, now time.Time) *Core {
	self := membership.Member{Name: name, AvailabilityZone: "zone", PeerAddress: name}
	return New(Options{Self: self, Tracker: &freshness.Tracker{}, Invariants: &invariant.Recorder{}, Now: now})
}

// pullOnce lets one core pull from another, and changes the answer on its way.
func pullOnce(puller, source *Core, now time.Time, change func(*peerpb.SyncResponse)) {
	p := puller.newPull(now, "source")
	answer := source.AnswerPull(now, p.Request)
	change(answer)
	puller.PullAnswered(now, p.ID, answer)
}

// TestRejectedRecordIsPulledAgain rejects records whose chunks were corrupted on
// their way, once without and twice with an earlier version in force. The core
// must fall back to the earlier version, so that it does not pass on the corrupt
// one, and must then pull the rejected version again. A version in force must
// not be dropped.
func TestRejectedRecordIsPulledAgain(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	source, puller := testCore("source", now), testCore("puller", now)
	unchanged := func(*peerpb.SyncResponse) {}
	corrupt := func(m *peerpb.SyncResponse) {
		for _, c := range m.GetChunks() {
			c.Data = []byte("spoilt")
		}
	}
	for version := uint64(1); version <= 3; version++ {
		hash := string(rune('a' + version))
		source.accept(&Record{Version: version, Hashes: []string{hash}, Chunks: map[string][]byte{hash: []byte("whole")}})
		source.SetInForce(version)
		pullOnce(puller, source, now, unchanged) // brings the manifest, and the chunks too if a version is held
		if version == 1 {
			pullOnce(puller, source, now, corrupt)
		} else {
			puller.NewestRecord().Chunks[hash] = []byte("spoilt")
		}
		puller.Reject(version)
		if held := puller.NewestRecord(); held.Version != version-1 || len(held.missing()) > 0 {
			t.Fatalf("core holds version %d, or not all of its chunks, after version %d was rejected", held.Version, version)
		}
		for range 2 {
			pullOnce(puller, source, now, unchanged)
		}
		if got := puller.NewestRecord(); got.Version != version || string(got.Chunks[hash]) != "whole" {
			t.Fatalf("core holds version %d after two more pulls, want an intact version %d", got.Version, version)
		}
		puller.SetInForce(version)
		puller.Reject(version) // has no effect, as the version is in force
		if puller.NewestRecord().Version != version {
			t.Fatal("a version in force was dropped")
		}
	}
}
