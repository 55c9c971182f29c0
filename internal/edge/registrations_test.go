package edge

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

func TestEndedTargetIsNotNamed(t *testing.T) {
	entry := func(id string, started int64) registration {
		return registration{target: affinity.Target{ID: id, Started: started}}
	}
	unreadable := registration{err: errors.New("unreadable")}
	old := map[string]registration{
		"/stays": entry("stays", 1), "/restarts": entry("restarts", 1), "/goes": entry("goes", 1),
		"/unreadable-now": entry("unreadable-now", 1), "/unreadable-before": unreadable,
	}
	next := map[string]registration{
		"/stays": entry("stays", 1), "/restarts": entry("restarts", 2), "/comes": entry("comes", 1),
		"/unreadable-now": unreadable, "/unreadable-before": entry("unreadable-before", 1),
	}
	if got, want := endedTargets(old, next), []string{"goes", "restarts", "unreadable-now"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
