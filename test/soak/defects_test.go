package soak

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/edge"
	"github.com/turmericfield/turmericfield/platform"
)

// defectiveAdapter is the platform's adapter with one defect in how it translates the
// configuration, so that the instance violates a guarantee.
type defectiveAdapter struct {
	platform.Adapter
	defect    string
	firstKeys map[string]string // keys of the first configuration
}

// Seeds of the runs with defects. A seed chooses the addresses of a run: the seeds of
// defect n are firstDefectSeed+n, and further tries lie defectSeedStride apart, so that
// no two runs at the same time share addresses.
const (
	firstDefectSeed  = 150
	defectSeedStride = 30
)

// defects are the names of the defects and a part of the message with which the
// checker must report each.
var defects = []struct{ defect, wantMessage string }{
	{"repeats all requests", " times"},
	{"keeps withdrawn keys", "withdrawn"},
	{"swaps workspaces", "ran for workspace"},
}

// Configuration implements edge.Adapter.
func (a *defectiveAdapter) Configuration(value []byte) (config.RoutingTableSource, error) {
	source, err := a.Adapter.Configuration(value)
	if err != nil {
		return source, err
	}
	switch a.defect {
	case "repeats all requests":
		for i := range source.Routes {
			source.Routes[i].Repeatable = true
		}
	case "keeps withdrawn keys":
		if a.firstKeys == nil {
			a.firstKeys = source.Keys
		}
		source.Keys = a.firstKeys
	case "swaps workspaces":
		source.Keys["key-0"], source.Keys["key-1"] = source.Keys["key-1"], source.Keys["key-0"]
	}
	return source, nil
}

// runWithDefect runs an instance with a defect in this process until it is killed.
func runWithDefect(defect string) {
	s, err := platform.ReadSettings(os.Getenv("TURMERICFIELD_NODE_FILE"))
	if err != nil {
		fmt.Println("turmericfield:", err)
		os.Exit(1)
	}
	s.LogLevel = "info"
	ctx := context.Background()
	err = edge.Provision(s, &defectiveAdapter{defect: defect}, platform.NewStore(s.StoreAddress, s.WatchWait()), os.Stdout).Run(ctx, ctx, nil)
	fmt.Println("turmericfield:", err)
}

// A soak run whose instances have a defect must fail with the message for that defect.
// Otherwise TestSoak could pass without checking anything.
func TestDefectiveInstancesAreCaught(t *testing.T) {
	for n, d := range defects {
		t.Run(d.defect, func(t *testing.T) {
			t.Parallel()
			const tries = 3 // a seed may bring no fault by which the defect shows
			for i := range uint64(tries) {
				f := runFleet(t, firstDefectSeed+uint64(n)+defectSeedStride*i, t.TempDir(), d.defect)
				if strings.Contains(strings.Join(f.checks.violations, "\n"), d.wantMessage) {
					return
				}
			}
			t.Errorf("none of %d seeds led to the message for this defect", tries)
		})
	}
}
