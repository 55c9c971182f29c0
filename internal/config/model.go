// Package config defines the configuration of the fleet. It does no I/O.
//
// An operator writes a Document in YAML. Parse reads and validates it, and reports
// faults with file and line. The accepted document is part of a Record, which is
// stored as a Manifest and chunks. Instances compile it into a Snapshot, by which
// they serve requests.
//
// A configuration can also be accepted outside this system. It has no Document;
// a RoutingTable is compiled from it instead.
package config

import (
	"slices"
	"time"
)

// Document is a whole configuration, as an operator writes it in YAML. It is stored
// as JSON.
type Document struct {
	Regions           []Region           `yaml:"regions" json:"regions"`
	AvailabilityZones []AvailabilityZone `yaml:"availability_zones" json:"availability_zones"`
	Sites             []Site             `yaml:"sites,omitempty" json:"sites,omitempty"`
	Services          []Service          `yaml:"services" json:"services"`
	Routes            []Route            `yaml:"routes" json:"routes"`
	Workspaces        []Workspace        `yaml:"workspaces" json:"workspaces"`
	Drains            []Drain            `yaml:"drains,omitempty" json:"drains,omitempty"`
	Shifts            []Shift            `yaml:"shifts,omitempty" json:"shifts,omitempty"`
}

// Region is a group of availability zones with short network paths between them.
type Region struct {
	Name string `yaml:"name" json:"name"`
	// LinkMbps is the capacity of the link to the other regions, each way, in
	// megabits per second.
	LinkMbps int `yaml:"link_mbps" json:"link_mbps"`
	// MaxInFlight bounds the requests that the region's targets may run at once; 0
	// means that only the targets' slots bound them.
	MaxInFlight int `yaml:"max_in_flight,omitempty" json:"max_in_flight,omitempty"`
}

// AvailabilityZone is one failure domain inside a region.
type AvailabilityZone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// Instances is the number of instances that the zone is to have. It is also the
	// number of the zone's seats, the parts by which instances divide rates, slots
	// and links (see package seat). 0 means 1.
	Instances int `yaml:"instances,omitempty" json:"instances,omitempty"`
	// ReserveShare is the part of the zone's seats, 0 to 1, that is to stay usable
	// while the zone is cut off from the others. It is validated but not used yet.
	ReserveShare float64 `yaml:"reserve_share,omitempty" json:"reserve_share,omitempty"`
}

// Seats returns the number of seats of the zone.
func (z AvailabilityZone) Seats() int { return max(z.Instances, 1) }

// Site is a location of clients. They are steered to its availability zone while
// that has capacity (see package steering).
type Site struct {
	Name             string `yaml:"name" json:"name"`
	AvailabilityZone string `yaml:"availability_zone" json:"availability_zone"`
	// Demand is the load of the site's clients relative to that of other sites, in
	// any unit that is the same for all; 0 means 1.
	Demand float64 `yaml:"demand,omitempty" json:"demand,omitempty"`
	// Clients lists the address prefixes of the site's clients. They may be no
	// longer than an IPv4 /24 or an IPv6 /48.
	Clients []string `yaml:"clients,omitempty" json:"clients,omitempty"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Slots is the number of requests that one target may run at once.
	Slots int `yaml:"slots" json:"slots"`
	// MaxConnections bounds the connections to one target from all instances
	// together.
	MaxConnections int      `yaml:"max_connections" json:"max_connections"`
	Targets        []Target `yaml:"targets" json:"targets"`

	// The fields below are set only in a configuration that was accepted outside
	// this system. Its targets register themselves and are not listed above.

	// HealthPath is the path of a target's health check.
	HealthPath string `yaml:"-" json:"-"`
	// ColdStart is how long a target counts as cold after its start.
	ColdStart time.Duration `yaml:"-" json:"-"`
	// ColdRate is the number of requests per second that a cold target may get from
	// all instances together; 0 means no limit.
	ColdRate float64 `yaml:"-" json:"-"`
}

// Target is one process that runs requests.
type Target struct {
	Name             string `yaml:"name" json:"name"`
	AvailabilityZone string `yaml:"availability_zone" json:"availability_zone"`
	// Address is the IP:port that serves HTTP.
	Address string `yaml:"address" json:"address"`
}

// Class says which part of the bandwidth between regions a request may use: each
// class has its own.
type Class string

// Classes of requests.
const (
	ClassInteractive Class = "interactive"
	ClassBulk        Class = "bulk"
)

// Route maps requests to a service.
type Route struct {
	Name       string   `yaml:"name" json:"name"`
	Service    string   `yaml:"service" json:"service"`
	PathPrefix string   `yaml:"path_prefix" json:"path_prefix"`
	Methods    []string `yaml:"methods" json:"methods"`
	// Repeatable says that running a request twice does no harm, so that it may be
	// sent to another target even if it may have run already.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Open says that callers need no key.
	Open  bool  `yaml:"open,omitempty" json:"open,omitempty"`
	Class Class `yaml:"class" json:"class"`
	// TimeoutMillis bounds the time of a request from its arrival to the end of its
	// response, in milliseconds.
	TimeoutMillis int `yaml:"timeout_ms" json:"timeout_ms"`
	// TypicalResponseBytes is the expected size of a response. It is counted against
	// the bandwidth between regions when a request is sent to another region.
	TypicalResponseBytes int `yaml:"typical_response_bytes,omitempty" json:"typical_response_bytes,omitempty"`

	// The fields below are set only in a configuration that was accepted outside
	// this system.

	// Host is the host name that the route belongs to.
	Host string `yaml:"-" json:"-"`
	// Split lists the services that the route's requests are divided over. If it is
	// empty, all requests go to Service.
	Split []SplitPart `yaml:"-" json:"-"`
	// LatencyObjective is the time within which a request should be answered.
	LatencyObjective time.Duration `yaml:"-" json:"-"`
	// MaxAttempts bounds the number of targets that one request may be delivered to;
	// 0 means 1.
	MaxAttempts int `yaml:"-" json:"-"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `yaml:"-" json:"-"`
	// HomeRegions is the set of regions whose targets may run the requests.
	HomeRegions RegionSet `yaml:"-" json:"-"`
	// Affinity says that a target is faster with objects that it has served lately,
	// so that requests for the same object should go to the same target.
	Affinity bool `yaml:"-" json:"-"`
}

// SendsTo reports whether some of the route's requests go to the service.
func (r Route) SendsTo(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(p SplitPart) bool { return p.Service == service && p.Weight > 0 })
}

// SplitPart is one service's share of a route's requests.
type SplitPart struct {
	Service string
	Weight  float64 // the share is the weight divided by the sum of all weights
}

// Timeout returns TimeoutMillis as a duration.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Workspace is one tenant.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Rate is the number of requests per second that the workspace may send to the
	// whole fleet.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests that may come at once, above the rate.
	Burst int `yaml:"burst" json:"burst"`
	// Routes names the routes that the workspace may use.
	Routes []string `yaml:"routes" json:"routes"`
	Keys   []Key    `yaml:"keys" json:"keys"`
	// CutOff says that every request of the workspace is refused.
	CutOff bool `yaml:"cut_off,omitempty" json:"cut_off,omitempty"`
	// FirstVersion is the version of the configuration that defined a workspace of
	// this name for the first time; 0 if that is not known. The system sets it.
	FirstVersion uint64 `yaml:"-" json:"first_version,omitempty"`
	// Priority replaces Route.Priority for the workspace's requests if HasPriority;
	// 0 is the most urgent. Like HomeRegions, it is set only in a configuration that
	// was accepted outside this system.
	Priority    int  `yaml:"-" json:"-"`
	HasPriority bool `yaml:"-" json:"-"`
	// HomeRegions is the set of regions that may serve the workspace.
	HomeRegions RegionSet `yaml:"-" json:"-"`
}

// Key is one API key of a workspace. Callers present it as ID, a dot and the secret.
// The secret itself is never kept.
type Key struct {
	ID string `yaml:"id" json:"id"`
	// SHA256 is the digest of the secret, in lower-case hexadecimal.
	SHA256 string `yaml:"sha256" json:"sha256"`
}

// DrainKind says what Drain.Name names.
type DrainKind string

// Kinds of drains.
const (
	DrainRegion           DrainKind = "region"
	DrainAvailabilityZone DrainKind = "zone"
	DrainTarget           DrainKind = "target"
)

// Drain takes the targets of a region or an availability zone, or a single target,
// out of use: they get no new requests.
type Drain struct {
	Kind DrainKind `yaml:"kind" json:"kind"`
	Name string    `yaml:"name" json:"name"`
}

// Shift moves a share of one route's requests from one region to another.
type Shift struct {
	Name  string `yaml:"name" json:"name"`
	Route string `yaml:"route" json:"route"` // name of the route
	From  string `yaml:"from" json:"from"`   // name of a region
	To    string `yaml:"to" json:"to"`       // name of a region
	// Cap is the largest share of the requests that may be moved, 0 to 1.
	Cap float64 `yaml:"cap" json:"cap"`
	// Step is by how much the moved share grows at a time, 0 to 1.
	Step float64 `yaml:"step" json:"step"`
	// StepSeconds is the time between two such steps, in seconds.
	StepSeconds int `yaml:"step_seconds" json:"step_seconds"`
}
