package soak

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/edge"
	"github.com/turmericfield/turmericfield/internal/gateway"
	store "github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/platform"
)

// defectiveAdapter is the platform's adapter with one defect in what it translates, so
// that the instance violates a guarantee.
type defectiveAdapter struct {
	platform.Adapter
	defect  string
	first   config.RoutingTableSource // the first configuration
	proxies map[string]string         // IP:port of the proxies before targets, by the target's
}

// Seeds of the runs with defects. A seed chooses the addresses of a run: the seeds of
// defect n are firstDefectSeed+n, and further tries lie defectSeedStride apart, so that
// no two runs at the same time share addresses.
const (
	firstDefectSeed  = 150
	defectSeedStride = 30
)

// defect is a defect of all instances of a run.
type defect struct {
	name        string  // "" for none
	faults      []fault // that show it, in this order
	wantMessage string  // a part of the message with which the checker must report it
}

// caught returns the violation by which the checker has reported the defect, or "".
func (d defect) caught(c *checker) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		if d.name != "" && strings.Contains(violation, d.wantMessage) {
			return violation
		}
	}
	return ""
}

const (
	believesEarlierRefusals = "believes earlier refusals"
	ignoresLeaving          = "ignores that targets leave"
	ignoresPauses           = "ignores pauses"
	asksStoreOnly           = "asks the store only"
)

var defects = []defect{
	{"repeats all requests", []fault{(*injector).failingTarget}, " times"},
	{"keeps withdrawn keys", []fault{(*injector).keyWithdrawn}, "withdrawn"},
	{"swaps workspaces", faults, "ran for workspace"},
	{"keeps home regions", append([]fault{(*injector).homesMoved}, slices.Repeat([]fault{(*injector).historyLost}, 19)...), "outside the home regions"},
	{believesEarlierRefusals, []fault{(*injector).failingTarget}, "which says that it was not run, but it ran"},
	{ignoresLeaving, []fault{(*injector).targetLeaves}, "that it leaves"},
	{ignoresPauses, []fault{(*injector).targetPauses}, "in a pause that the target had asked for"},
	{asksStoreOnly, []fault{(*injector).turnedAway, (*injector).failingTarget, (*injector).failingTarget, (*injector).failingTarget, (*injector).failingTarget}, "is not in force"},
}

// HTTPHeaders implements edge.Adapter.
func (a *defectiveAdapter) HTTPHeaders() gateway.HeaderNames {
	names := a.Adapter.HTTPHeaders()
	if a.defect == ignoresLeaving {
		names.Leaving = ""
	}
	return names
}

// StoreKeys implements edge.Adapter. An instance that asks the store only finds no others.
func (a *defectiveAdapter) StoreKeys() edge.StoreKeys {
	keys := a.Adapter.StoreKeys()
	if a.defect == asksStoreOnly {
		keys.OwnPrefix += fmt.Sprint(os.Getpid()) + "/"
	}
	return keys
}

// Target implements edge.Adapter. An instance that ignores pauses reaches targets through
// proxies that drop the header.
func (a *defectiveAdapter) Target(id string, value []byte) (affinity.Target, error) {
	t, err := a.Adapter.Target(id, value)
	if err != nil || a.defect != ignoresPauses {
		return t, err
	}
	if a.proxies[t.Address] == "" {
		target := &url.URL{Scheme: "http", Host: t.Address}
		proxy := httptest.NewServer(&httputil.ReverseProxy{
			ErrorLog:       log.New(io.Discard, "", 0), // failing targets are expected
			Rewrite:        func(r *httputil.ProxyRequest) { r.SetURL(target); r.Out.Host = r.In.Host },
			ModifyResponse: func(r *http.Response) error { r.Header.Del("Retry-After"); return nil },
		})
		a.proxies[t.Address] = proxy.Listener.Addr().String()
	}
	t.Address = a.proxies[t.Address]
	return t, nil
}

// Configuration implements edge.Adapter.
func (a *defectiveAdapter) Configuration(value []byte) (config.RoutingTableSource, error) {
	source, err := a.Adapter.Configuration(value)
	if err != nil {
		return source, err
	}
	if a.first.Version == 0 {
		a.first = source
	}
	switch a.defect {
	case "repeats all requests":
		for i := range source.Routes {
			source.Routes[i].Repeatable = true
		}
	case "keeps withdrawn keys":
		source.Keys = a.first.Keys
	case "keeps home regions":
		source.Routes, source.Workspaces = a.first.Routes, a.first.Workspaces
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
	if defect == asksStoreOnly {
		s.PeerSeeds = nil
	}
	signal.Ignore(syscall.SIGHUP) // the product reads its settings again
	ctx := context.Background()
	if defect == believesEarlierRefusals {
		err = http.ListenAndServe(s.Listen, naiveProxy(s.Listen))
	} else {
		err = edge.Provision(s, &defectiveAdapter{defect: defect, proxies: map[string]string{}}, platform.NewStore(s.StoreAddress, s.WatchWait(), store.NewReadLimits(s.MemoryBytes)), os.Stdout).Run(ctx, ctx, nil)
	}
	fmt.Println("turmericfield:", err)
}

// naiveProxy returns a proxy that takes the next response on a target's connection for
// the one to its request. listen is the instance's IP:port, beside which the targets are.
func naiveProxy(listen string) http.Handler {
	address := netip.MustParseAddrPort(listen)
	return &httputil.ReverseProxy{
		ErrorLog: log.New(io.Discard, "", 0), // failing targets are expected
		Rewrite: func(r *httputil.ProxyRequest) {
			i, ip := rand.IntN(len(targetZones)), address.Addr().As4()
			ip[3] = byte(firstTargetIP + i)
			r.Out.URL.Scheme, r.Out.URL.Host = "http", netip.AddrPortFrom(netip.AddrFrom4(ip), address.Port()).String()
			r.Out.Header.Set("Expected-Instance", targetID(i))
		},
	}
}

// A soak run whose instances have a defect must fail with the message for that defect.
// Otherwise TestSoak could pass without checking anything.
func TestDefectiveInstancesAreCaught(t *testing.T) {
	for n, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			const tries = 3 // a seed may bring no fault by which the defect shows
			for i := range uint64(tries) {
				f := runFleet(t, firstDefectSeed+uint64(n)+defectSeedStride*i, t.TempDir(), d)
				if violation := d.caught(f.checks); violation != "" {
					t.Log(violation)
					return
				}
			}
			t.Errorf("none of %d seeds led to the message for this defect", tries)
		})
	}
}
