package intent

import (
	"slices"

	"github.com/turmericfield/turmericfield/internal/config"
)

// maxRemovedNames bounds the names of removed workspaces that a record keeps.
const maxRemovedNames = 256

// markNewWorkspaces sets FirstVersion of the workspaces of a document that
// follows another one at a version, and returns the names of the workspaces
// that have been removed. A workspace whose name was ever used before is not
// new: an instance that is cut off may still go by its earlier limits.
func markNewWorkspaces(before, after *config.Document, removed []string, version uint64) []string {
	first := map[string]uint64{}
	for _, w := range before.Workspaces {
		first[w.Name] = w.FirstVersion
	}
	for i := range after.Workspaces {
		w := &after.Workspaces[i]
		known, existed := first[w.Name]
		w.FirstVersion = known
		if !existed && len(removed) < maxRemovedNames && !slices.Contains(removed, w.Name) {
			w.FirstVersion = version
		}
		delete(first, w.Name)
	}
	out := slices.Clone(removed)
	for _, w := range before.Workspaces {
		if _, gone := first[w.Name]; gone && len(out) < maxRemovedNames && !slices.Contains(out, w.Name) {
			out = append(out, w.Name)
		}
	}
	return out
}
