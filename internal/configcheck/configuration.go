// Package configcheck finds what is wrong with a configuration that is valid: entries
// that can never match, limits that contradict each other, and what differs from
// another configuration. It does no I/O. It works on the terms that both written forms
// of a configuration share, and takes time and memory in proportion to the number of
// entries, up to 100,000 routes.
package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Field is a field of a configuration that findings name as their place.
type Field int

// Fields. Those of targets, parts and keys take an index.
const (
	FieldNone Field = iota
	FieldHost
	FieldPrefix
	FieldService
	FieldSplitPart // index
	FieldTimeout
	FieldObjective
	FieldAttempts
	FieldHomes
	FieldPriority
	FieldOpen
	FieldMethods
	FieldTargets
	FieldKeys
	FieldKey // index
	FieldRoutes
	FieldRate
	FieldBodyLimit
	FieldHeaderLimit
)

// Places says where the entries of a configuration stand in its file. The functions
// return the path of an entry, such as routes[2].
type Places struct {
	Route, Service, Workspace func(i int) string
	Limits                    string
	// Fields holds what follows the path of the entry, such as .path_prefix, or
	// .split[%d] for a field with an index. A field that is missing has the place of
	// its entry.
	Fields map[Field]string
}

// path returns the path of an entry's field.
func (p Places) path(entry string, field Field, index ...any) string {
	suffix := p.Fields[field]
	if suffix != "" && len(index) > 0 {
		suffix = fmt.Sprintf(suffix, index...)
	}
	return entry + suffix
}

// Key is an API key, by what identifies it: the key itself, or its ID and digest.
type Key struct {
	Identity string
	// Shown may be printed. It is empty if the key may not be.
	Shown string
}

// Configuration is a valid configuration in the terms that both written forms share.
type Configuration struct {
	Version    uint64 // 0 if it has none
	Routes     []config.Route
	Services   []config.Service
	Workspaces []config.Workspace
	// Keys holds the keys of each workspace.
	Keys   [][]Key
	Limits config.CallerLimits
	// TargetsListed says that services list their targets. If not, the targets
	// register themselves.
	TargetsListed bool
	// RoutesListed says that workspaces list the routes that they may use. If not, each
	// may use all routes.
	RoutesListed bool
	// EscapedPaths says that prefixes are compared with paths as they are sent, with
	// their percent signs.
	EscapedPaths bool
	// Fleet describes the other parts, by name of the part and of the entry.
	Fleet  map[string]map[string]string
	Places Places
	// drained holds the targets that get no requests.
	drained map[string]bool
	// routeKeys holds what callers know of each route, by name. It is made when needed.
	routeKeys map[string]string
}

// documentFields are the fields of a Document.
var documentFields = map[Field]string{
	FieldPrefix: ".path_prefix", FieldService: ".service", FieldTimeout: ".timeout_ms", FieldOpen: ".open", FieldMethods: ".methods",
	FieldTargets: ".targets", FieldKeys: ".keys", FieldKey: ".keys[%d]", FieldRoutes: ".routes", FieldRate: ".rate",
}

// FromDocument returns the configuration of a valid document.
func FromDocument(version uint64, doc *config.Document) *Configuration {
	c := &Configuration{
		Version: version, Routes: doc.Routes, Services: doc.Services, Workspaces: doc.Workspaces,
		TargetsListed: true, RoutesListed: true, drained: map[string]bool{},
		Places: Places{Route: indexed("routes"), Service: indexed("services"), Workspace: indexed("workspaces"), Fields: documentFields},
	}
	for _, w := range doc.Workspaces {
		keys := make([]Key, len(w.Keys))
		for i, k := range w.Keys {
			keys[i] = Key{Identity: k.ID + "." + k.SHA256, Shown: k.ID}
		}
		c.Keys = append(c.Keys, keys)
	}
	if len(doc.Drains) > 0 {
		snapshot := config.Compile(version, &config.Document{AvailabilityZones: doc.AvailabilityZones, Services: doc.Services, Drains: doc.Drains})
		for _, s := range doc.Services {
			for _, t := range s.Targets {
				c.drained[t.Name] = snapshot.Drained(t.Name)
			}
		}
	}
	c.Fleet = documentFleet(doc)
	return c
}

// documentFleet describes the parts of a document other than routes, services and
// workspaces.
func documentFleet(doc *config.Document) map[string]map[string]string {
	fleet := map[string]map[string]string{}
	add := func(part, name string, entry any) {
		if fleet[part] == nil {
			fleet[part] = map[string]string{}
		}
		fleet[part][name] = fmt.Sprintf("%+v", entry)
	}
	for _, r := range doc.Regions {
		add("regions", r.Name, r)
	}
	for _, z := range doc.AvailabilityZones {
		add("availability_zones", z.Name, z)
	}
	for _, s := range doc.Sites {
		add("sites", s.Name, s)
	}
	for _, d := range doc.Drains {
		add("drains", string(d.Kind)+" "+d.Name, d)
	}
	for _, s := range doc.Shifts {
		add("shifts", s.Name, s)
	}
	return fleet
}

func indexed(part string) func(int) string {
	return func(i int) string { return part + "[" + strconv.Itoa(i) + "]" }
}

// routeKey is what callers know of a route: requests with the same are for the same.
type routeKey struct{ host, prefix, methods string }

func keyOf(r *config.Route) routeKey {
	k := routeKey{host: strings.ToLower(r.Host), prefix: r.PathPrefix}
	switch len(r.Methods) {
	case 0:
	case 1:
		k.methods = r.Methods[0]
	default:
		methods := slices.Clone(r.Methods)
		slices.Sort(methods)
		k.methods = strings.Join(slices.Compact(methods), ",")
	}
	return k
}

func (k routeKey) String() string {
	if k.methods == "" {
		return k.host + k.prefix
	}
	return k.methods + " " + k.host + k.prefix
}
