package edge

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// longValue returns a value that is too large for a change that is sent whole.
func longValue(version int) string {
	var text strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&text, "record %d: %x\n", i, i*2654435761)
	}
	return fmt.Sprint(text.String(), version)
}

// follow lets one follower learn the changes of another as a call does.
func follow(t *testing.T, from, to *follower, differences bool) error {
	t.Helper()
	response, _ := from.response(&fleetpb.FollowRequest{After: to.revision(), Differences: differences}, now())
	if response.GetList() {
		return platform.ErrHistoryGone
	}
	changes, err := to.changesFromProto(response.GetChanges())
	if err == nil {
		to.applyCurrent(changes, response.GetRevision(), now(), []string{"other"})
	}
	return err
}

func TestDifferenceToAnotherValueThanTheFollowersIsNotApplied(t *testing.T) {
	source := newTestFollower(t, 5, entryAt("configuration", longValue(1), 4))
	source.applyCurrent([]platform.Change{{Entry: entryAt("configuration", longValue(2), 6)}}, 6, now(), nil)
	for name, c := range map[string]struct {
		held        platform.Entry
		differences bool
		applies     bool
	}{
		"the same value":                   {entryAt("configuration", longValue(1), 4), true, true},
		"another value":                    {entryAt("configuration", longValue(1)[:150000], 4), true, false},
		"a value of another revision":      {entryAt("configuration", longValue(1), 3), true, false},
		"none":                             {entryAt("targets/t", "s", 4), true, false},
		"a follower of an earlier release": {entryAt("configuration", longValue(1), 4), false, false},
	} {
		f := newTestFollower(t, 5, c.held)
		err := follow(t, source, f, c.differences)
		if c.applies != (err == nil) || err != nil && c.differences && !strings.Contains(err.Error(), "difference cannot be applied") || err != nil && !c.differences && !errors.Is(err, platform.ErrHistoryGone) {
			t.Errorf("%s: %v", name, err)
		}
		if held, _ := f.held("configuration"); c.applies != bytes.Equal(held.Value, []byte(longValue(2))) {
			t.Errorf("%s: holds %d bytes of revision %d", name, len(held.Value), held.Revision)
		}
	}
}
