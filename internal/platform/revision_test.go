package platform

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	var last uint64
	for _, r := range [][2]uint64{{0, 0}, {0, 1}, {0, MaxRevisionNumber}, {1, 1}, {1, 7}, {2, 3}, {MaxEra, MaxRevisionNumber}} {
		got, err := ComposeRevision(r[0], r[1])
		if err != nil || got < last || RevisionNumber(got) != r[1] || RevisionEra(got) != r[0] {
			t.Errorf("era %d, number %d: %d, %v, after %d", r[0], r[1], got, err, last)
		}
		last = got
	}
	if got, err := ComposeRevision(4, 0); err != nil || got != 0 {
		t.Errorf("a key that does not exist in era 4 has revision %d, %v, want 0", got, err)
	}
	for _, r := range [][2]uint64{{MaxEra + 1, 1}, {0, MaxRevisionNumber + 1}} {
		if _, err := ComposeRevision(r[0], r[1]); !errors.Is(err, ErrRevisionRange) {
			t.Errorf("era %d, number %d: %v, want ErrRevisionRange", r[0], r[1], err)
		}
	}
}
