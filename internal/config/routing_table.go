package config

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RoutingTable is a configuration that was accepted outside this system, in the form
// by which an instance serves requests: routes by host and path prefix, workspaces
// by API key. It is immutable and safe for concurrent use.
type RoutingTable struct {
	// Version is that of the accepted configuration. A later one has a higher version.
	Version    uint64
	Services   map[string]*Service
	Workspaces map[string]*Workspace
	// RequiresKey says that requests need an API key unless their route is open. It
	// is true if Workspaces is not empty.
	RequiresKey bool
	Limits      CallerLimits

	routesByHost       map[string][]*Route // longest prefix first
	workspacesByDigest map[[sha256.Size]byte]*Workspace
}

// CallerLimits bounds what a caller may send on its connection and how long it may
// take.
type CallerLimits struct {
	HeaderBytes   int           // size of a request's header
	BodyBytes     int64         // size of a request's body
	HeaderTimeout time.Duration // time to send the header
	IdleTimeout   time.Duration // time without a request
}

// RoutingTableSource is the decoded configuration that a RoutingTable is made from.
type RoutingTableSource struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keys maps each API key, in clear text, to the name of its workspace. The table
	// keeps only digests of the keys.
	Keys   map[string]string
	Limits CallerLimits
}

// NewRoutingTable compiles an accepted configuration. It keeps pointers into the
// slices of the source.
func NewRoutingTable(source RoutingTableSource) *RoutingTable {
	t := &RoutingTable{
		Version: source.Version, Limits: source.Limits, RequiresKey: len(source.Workspaces) > 0,
		Services: map[string]*Service{}, Workspaces: map[string]*Workspace{},
		routesByHost: map[string][]*Route{}, workspacesByDigest: map[[sha256.Size]byte]*Workspace{},
	}
	for i := range source.Services {
		t.Services[source.Services[i].Name] = &source.Services[i]
	}
	for i := range source.Workspaces {
		t.Workspaces[source.Workspaces[i].Name] = &source.Workspaces[i]
	}
	for key, name := range source.Keys {
		if w := t.Workspaces[name]; w != nil {
			t.workspacesByDigest[sha256.Sum256([]byte(key))] = w
		}
	}
	for i := range source.Routes {
		r := &source.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Route returns the host's route with the longest prefix of the path, or nil. A port
// in the host is ignored.
func (t *RoutingTable) Route(host, path string) *Route {
	for _, r := range t.routesOf(host) {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HomeRegions returns the home regions of each of the host's routes that has some. A
// port in the host is ignored.
func (t *RoutingTable) HomeRegions(host string) []RegionSet {
	var sets []RegionSet
	for _, r := range t.routesOf(host) {
		if r.HomeRegions.Bound() {
			sets = append(sets, r.HomeRegions)
		}
	}
	return sets
}

func (t *RoutingTable) routesOf(host string) []*Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return t.routesByHost[strings.ToLower(host)]
}

// WorkspaceOf returns the workspace of an API key, or nil.
func (t *RoutingTable) WorkspaceOf(key string) *Workspace {
	return t.workspacesByDigest[sha256.Sum256([]byte(key))]
}

// HomeRegionShares returns, for each region, which part of the sum of all workspaces'
// rates is bound to it by Workspace.HomeRegions, 0 to 1. The rate of a workspace
// with several home regions counts for each in equal parts.
func (t *RoutingTable) HomeRegionShares() map[string]float64 {
	parts, all := map[string]float64{}, 0.0
	for _, w := range t.Workspaces {
		all += w.Rate
		for _, region := range w.HomeRegions {
			parts[region] += w.Rate / float64(len(w.HomeRegions))
		}
	}
	for region := range parts {
		parts[region] /= max(all, 1)
	}
	return parts
}
