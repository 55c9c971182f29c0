package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sort"
	"strings"
)

// Snapshot is a validated Document in the form by which an instance serves requests:
// with indexes by name and key. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Version is Record.Version; 0 is the empty configuration of an instance that
	// has not received one yet.
	Version  uint64
	Document *Document
	// BlockShards is the record's field of that name.
	BlockShards []Chunk
	// SeatGenerations is the record's field of that name.
	SeatGenerations map[string]int
	// VacantZones and VacancyVersion are the record's fields of those names.
	VacantZones    []string
	VacancyVersion uint64

	// The maps below are by name.

	Regions      map[string]*Region
	Zones        map[string]*AvailabilityZone
	Services     map[string]*Service
	RoutesByName map[string]*Route
	Workspaces   map[string]*Workspace

	routes         []*Route // longest prefix first
	keysByID       map[string]keyEntry
	drainedTargets map[string]bool // names of targets that a drain covers
}

// keyEntry is an API key of a workspace.
type keyEntry struct {
	digest    []byte // SHA-256 of the secret
	workspace *Workspace
}

// CompileRecord returns the snapshot of an accepted record.
func CompileRecord(r Record) *Snapshot {
	s := Compile(r.Version, r.Document)
	s.BlockShards = r.BlockShards
	s.SeatGenerations = r.SeatGenerations
	s.VacantZones, s.VacancyVersion = r.VacantZones, r.VacancyVersion
	return s
}

// Compile returns the snapshot of a validated document alone, without the other fields
// of a record.
func Compile(version uint64, doc *Document) *Snapshot {
	s := &Snapshot{
		Version: version, Document: doc,
		Regions: map[string]*Region{}, Zones: map[string]*AvailabilityZone{},
		Services: map[string]*Service{}, RoutesByName: map[string]*Route{},
		Workspaces: map[string]*Workspace{}, keysByID: map[string]keyEntry{}, drainedTargets: map[string]bool{},
	}
	for i := range doc.Regions {
		s.Regions[doc.Regions[i].Name] = &doc.Regions[i]
	}
	for i := range doc.AvailabilityZones {
		s.Zones[doc.AvailabilityZones[i].Name] = &doc.AvailabilityZones[i]
	}
	for i := range doc.Services {
		s.Services[doc.Services[i].Name] = &doc.Services[i]
	}
	s.compileRoutes(doc)
	s.compileWorkspaces(doc)
	s.compileDrains(doc)
	return s
}

func (s *Snapshot) compileRoutes(doc *Document) {
	for i := range doc.Routes {
		s.RoutesByName[doc.Routes[i].Name] = &doc.Routes[i]
		s.routes = append(s.routes, &doc.Routes[i])
	}
	sort.SliceStable(s.routes, func(i, j int) bool {
		return len(s.routes[i].PathPrefix) > len(s.routes[j].PathPrefix)
	})
}

func (s *Snapshot) compileWorkspaces(doc *Document) {
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		s.Workspaces[w.Name] = w
		for _, k := range w.Keys {
			digest, err := hex.DecodeString(k.SHA256)
			if err == nil {
				s.keysByID[k.ID] = keyEntry{digest: digest, workspace: w}
			}
		}
	}
}

func (s *Snapshot) compileDrains(doc *Document) {
	for _, d := range doc.Drains {
		for _, service := range doc.Services {
			for _, t := range service.Targets {
				if s.drainCovers(d, t) {
					s.drainedTargets[t.Name] = true
				}
			}
		}
	}
}

// drainCovers tells whether a drain takes a target out of use.
func (s *Snapshot) drainCovers(d Drain, t Target) bool {
	switch d.Kind {
	case DrainTarget:
		return d.Name == t.Name
	case DrainAvailabilityZone:
		return d.Name == t.AvailabilityZone
	case DrainRegion:
		return d.Name == s.RegionOf(t.AvailabilityZone)
	}
	return false
}

// RegionOf returns the region of an availability zone, or "" if the zone is unknown.
func (s *Snapshot) RegionOf(zone string) string {
	if z := s.Zones[zone]; z != nil {
		return z.Region
	}
	return ""
}

// Drained tells whether a drain covers the target, so that it gets no new requests.
func (s *Snapshot) Drained(target string) bool { return s.drainedTargets[target] }

// Route returns the route of a request: of those that allow the method, the one with
// the longest prefix of the path. It returns nil if there is none.
func (s *Snapshot) Route(method, path string) *Route {
	for _, r := range s.routes {
		if strings.HasPrefix(path, r.PathPrefix) && slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// WorkspaceOf returns the workspace of a key that a caller presents, in the form of
// Key, or nil if the key is not valid. The secret is compared in constant time.
func (s *Snapshot) WorkspaceOf(key string) *Workspace {
	id, secret, ok := strings.Cut(key, ".")
	if !ok {
		return nil
	}
	digest := sha256.Sum256([]byte(secret))
	entry, found := s.keysByID[id]
	if !found {
		entry.digest = make([]byte, sha256.Size)
	}
	equal := subtle.ConstantTimeCompare(digest[:], entry.digest) == 1
	if !found || !equal {
		return nil
	}
	return entry.workspace
}

// HashSecret returns the digest of a secret in the form of Key.SHA256.
func HashSecret(secret string) string {
	digest := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(digest[:])
}
