package intent

import (
	"slices"

	"github.com/turmericfield/turmericfield/internal/config"
)

// maxRemovedNames bounds the number of names of removed workspaces in a record.
const maxRemovedNames = 256

// markNewWorkspaces sets FirstVersion of the workspaces in after, the document of
// the given version that replaces before. removed lists the names of the
// workspaces removed earlier; the result is that list with the newly removed ones
// added.
//
// Only a workspace whose name was never used before is new and gets the given
// version. For a name that was removed and is used again, FirstVersion is 0, as
// an instance that is cut off from the others may still apply the limits of the
// earlier workspace. Once maxRemovedNames names are listed, further ones are not
// kept and so no workspace counts as new any more.
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
