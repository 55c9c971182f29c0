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

// brokenAdapter breaks one promise by what it makes of the configuration.
type brokenAdapter struct {
	platform.Adapter
	how  string
	keys map[string]string // of the first configuration
}

// brokenSeed and brokenSeeds keep the addresses of these runs apart.
const (
	brokenSeed  = 150
	brokenSeeds = 30
)

// Ways to break an instance, and a word of what the checker then says.
var brokenWays = []struct{ how, says string }{
	{"repeats all requests", " times"},
	{"keeps withdrawn keys", "withdrawn"},
	{"swaps workspaces", "ran for workspace"},
}

// Configuration implements edge.Adapter.
func (b *brokenAdapter) Configuration(value []byte) (config.RoutingTableSource, error) {
	source, err := b.Adapter.Configuration(value)
	if err != nil {
		return source, err
	}
	switch b.how {
	case "repeats all requests":
		for i := range source.Routes {
			source.Routes[i].Repeatable = true
		}
	case "keeps withdrawn keys":
		if b.keys == nil {
			b.keys = source.Keys
		}
		source.Keys = b.keys
	case "swaps workspaces":
		source.Keys["key-0"], source.Keys["key-1"] = source.Keys["key-1"], source.Keys["key-0"]
	}
	return source, nil
}

// runBroken runs a broken instance in this process.
func runBroken(how string) {
	s, err := platform.ReadSettings(os.Getenv("TURMERICFIELD_NODE_FILE"))
	if err != nil {
		fmt.Println("turmericfield:", err)
		os.Exit(1)
	}
	s.LogLevel = "info"
	ctx := context.Background()
	err = edge.Provision(s, &brokenAdapter{how: how}, platform.NewStore(s.StoreAddress, s.WatchWait()), os.Stdout).Run(ctx, ctx, nil)
	fmt.Println("turmericfield:", err)
}

// Whole runs of broken instances must be caught, each for what is broken.
func TestBrokenInstancesAreCaught(t *testing.T) {
	for n, way := range brokenWays {
		t.Run(way.how, func(t *testing.T) {
			t.Parallel()
			const tries = 3 // a seed may bring no fault that shows it
			for i := range uint64(tries) {
				f := run(t, brokenSeed+uint64(n)+brokenSeeds*i, t.TempDir(), way.how)
				if strings.Contains(strings.Join(f.check.broken, "\n"), way.says) {
					return
				}
			}
			t.Errorf("%d seeds show nothing", tries)
		})
	}
}
