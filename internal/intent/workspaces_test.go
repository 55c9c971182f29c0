package intent

import (
	"fmt"
	"slices"
	"testing"

	"github.com/turmericfield/turmericfield/internal/config"
)

// documentOf returns a document of workspaces with the given names. Their wrong
// FirstVersion stands for one that an operator's file brings along.
func documentOf(names ...string) *config.Document {
	doc := &config.Document{}
	for _, name := range names {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{Name: name, FirstVersion: 99})
	}
	return doc
}

// TestNewWorkspaces adds and removes workspaces. Only a name that was never used
// may count as new, whatever FirstVersion the new document has. After more
// workspaces were removed than names are kept, none may count as new.
func TestNewWorkspaces(t *testing.T) {
	var removed []string
	before := &config.Document{}
	step := func(version uint64, names ...string) (firsts []uint64) {
		after := documentOf(names...)
		removed = markNewWorkspaces(before, after, removed, version)
		for _, w := range after.Workspaces {
			firsts = append(firsts, w.FirstVersion)
		}
		before = after
		return firsts
	}
	for _, s := range []struct {
		names []string
		want  []uint64
	}{
		{[]string{"a"}, []uint64{1}},
		{[]string{"a", "b"}, []uint64{1, 2}},
		{[]string{"b"}, []uint64{2}},
		{[]string{"a", "b"}, []uint64{0, 2}},
	} {
		version := max(uint64(1), s.want[len(s.want)-1])
		if len(s.names) == 1 && s.names[0] == "b" {
			version = 3
		}
		if len(removed) > 0 {
			version = 4
		}
		if got := step(version, s.names...); !slices.Equal(got, s.want) {
			t.Fatalf("workspaces %v: got first versions %v, want %v", s.names, got, s.want)
		}
	}
	var many []string
	for i := range maxRemovedNames + 1 {
		many = append(many, fmt.Sprint("w", i))
	}
	step(5, many...)
	step(6)
	if got := step(7, "never-seen"); got[0] != 0 {
		t.Errorf("a workspace counts as new although the list of removed names is full")
	}
}
