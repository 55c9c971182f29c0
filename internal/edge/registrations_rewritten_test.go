package edge

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/changefeed"
	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// Instances that restart write their entries again with the same value. A follower that has
// been told of changes only must not take these for signs of an outage of the store when it
// gets a whole copy, or it keeps targets that left.
func TestEntriesWrittenAgainDoNotLookLikeAnOutage(t *testing.T) {
	e := newTestFollower(t, 1).Edge
	start := []platform.Entry{
		entryAt("own/instances/a", "a", 1), entryAt("own/instances/b", "b", 2), entryAt("own/instances/c", "c", 3), entryAt("targets/t", "s", 4),
	}
	source := changefeed.NewFeed(e.sameEntry)
	source.Replace(start, 4)
	copied := mirror.New(mirror.Options{
		LeasedPrefixes: []string{"targets/", "own/"}, Grace: registrationGrace, OutageThreshold: outageThreshold,
		InstancePrefix: "own/instances/", SelfKey: "own/instances/self",
	})
	copied.Replace(start, 4, 0)

	source.Apply([]platform.Change{{Entry: entryAt("own/instances/a", "a", 5)}, {Entry: entryAt("own/instances/b", "b", 6)}}, 6)
	batch, ok := source.ChangesSince(copied.Revision())
	if !ok {
		t.Fatal("the source has no changes for the follower")
	}
	copied.Apply(batch.Changes, batch.Revision, time.Second)

	// The follower is cut off; the store is not down, and the target leaves.
	source.Apply([]platform.Change{{Entry: platform.Entry{Key: "targets/t", Revision: 7}, Deleted: true}}, 7)
	entries, revision := source.Entries()
	copied.Replace(entries, revision, time.Second+outageThreshold+time.Millisecond)
	if _, kept := copied.Get("targets/t"); kept {
		t.Error("a target that left while only this instance was cut off is kept")
	}
}
