// Package config holds the typed configuration that operators set: its shape,
// its parsing with places, its validation and the compiled snapshot that the
// data path reads. It does no I/O.
package config

import "time"

// Document is one whole configuration, as an operator writes it in YAML and
// as the store keeps it.
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

// Region is a group of availability zones joined by short links.
type Region struct {
	Name string `yaml:"name" json:"name"`
	// LinkMbps is the capacity of the link to the other regions, each way, in
	// megabits per second.
	LinkMbps int `yaml:"link_mbps" json:"link_mbps"`
	// MaxInFlight bounds the requests that may run in the region at once; 0
	// means the sum of its targets' slots.
	MaxInFlight int `yaml:"max_in_flight,omitempty" json:"max_in_flight,omitempty"`
}

// AvailabilityZone is one failure domain inside a region.
type AvailabilityZone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// Instances is the number of entry instances that the zone is to have; each
	// has one seat. 0 means 1.
	Instances int `yaml:"instances,omitempty" json:"instances,omitempty"`
	// ReserveShare is the part of the zone's seats, 0 to 1, that stays usable
	// while the zone is cut off from the others.
	ReserveShare float64 `yaml:"reserve_share,omitempty" json:"reserve_share,omitempty"`
}

// Seats returns the number of seats of the zone.
func (z AvailabilityZone) Seats() int { return max(z.Instances, 1) }

// Site is a place that callers are steered to.
type Site struct {
	Name             string `yaml:"name" json:"name"`
	AvailabilityZone string `yaml:"availability_zone" json:"availability_zone"`
	// Demand is the site's share of all load, relative to other sites; 0 means 1.
	Demand float64 `yaml:"demand,omitempty" json:"demand,omitempty"`
	// Clients lists the address prefixes of the site's callers, an IPv4 /24 or
	// an IPv6 /48 at the narrowest.
	Clients []string `yaml:"clients,omitempty" json:"clients,omitempty"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Slots is the number of requests that one target runs at once.
	Slots int `yaml:"slots" json:"slots"`
	// MaxConnections bounds the connections to one target from all instances
	// together.
	MaxConnections int      `yaml:"max_connections" json:"max_connections"`
	Targets        []Target `yaml:"targets" json:"targets"`

	// The fields below are set where targets register themselves.

	// HealthPath is the path of a target's health check.
	HealthPath string `yaml:"-" json:"-"`
	// ColdStart is how long a started target stays cold.
	ColdStart time.Duration `yaml:"-" json:"-"`
	// ColdRate is the number of requests per second that a cold target bears
	// from all instances together; 0 means no limit.
	ColdRate float64 `yaml:"-" json:"-"`
}

// Target is one process that runs requests.
type Target struct {
	Name             string `yaml:"name" json:"name"`
	AvailabilityZone string `yaml:"availability_zone" json:"availability_zone"`
	// Address is the IP:port that serves HTTP.
	Address string `yaml:"address" json:"address"`
}

// Class orders requests that compete for links and slots.
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
	// Repeatable says that running a request twice does no harm.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Open says that no key is needed.
	Open  bool  `yaml:"open,omitempty" json:"open,omitempty"`
	Class Class `yaml:"class" json:"class"`
	// TimeoutMillis bounds the whole request, in milliseconds.
	TimeoutMillis int `yaml:"timeout_ms" json:"timeout_ms"`
	// TypicalResponseBytes is the expected size of an answer, for link budgets.
	TypicalResponseBytes int `yaml:"typical_response_bytes,omitempty" json:"typical_response_bytes,omitempty"`

	// The fields below are set where the configuration is accepted elsewhere.

	// Host is the host name that the route belongs to.
	Host string `yaml:"-" json:"-"`
	// Split lists the services that share the route's requests; it has one
	// part if the route has one service.
	Split []SplitPart `yaml:"-" json:"-"`
	// LatencyObjective is the latency objective.
	LatencyObjective time.Duration `yaml:"-" json:"-"`
	// MaxAttempts bounds the targets that one request may be sent to; 0 means 1.
	MaxAttempts int `yaml:"-" json:"-"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `yaml:"-" json:"-"`
	// HomeRegions lists the only regions that may run the requests; empty means
	// all.
	HomeRegions []string `yaml:"-" json:"-"`
	// Affinity says that a target that ran an object lately runs it faster.
	Affinity bool `yaml:"-" json:"-"`
}

// SplitPart is one service's part of a route's requests.
type SplitPart struct {
	Service string
	Weight  float64 // relative to the other parts
}

// Timeout returns the bound of the whole request.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Workspace is one tenant.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Rate is the number of requests per second over the whole fleet.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests that may come at once.
	Burst int `yaml:"burst" json:"burst"`
	// Routes names the routes that the workspace may use.
	Routes []string `yaml:"routes" json:"routes"`
	Keys   []Key    `yaml:"keys" json:"keys"`
	// CutOff refuses every request of the workspace.
	CutOff bool `yaml:"cut_off,omitempty" json:"cut_off,omitempty"`
	// FirstVersion is the version that defined a workspace of this name for the
	// first time; 0 if that is not known. The system sets it.
	FirstVersion uint64 `yaml:"-" json:"first_version,omitempty"`
	// Priority goes before the routes' priority if HasPriority; 0 is the most
	// urgent. Set where the configuration is accepted elsewhere.
	Priority    int  `yaml:"-" json:"-"`
	HasPriority bool `yaml:"-" json:"-"`
	// HomeRegions lists the only regions that may serve the workspace; empty
	// means all. Set where the configuration is accepted elsewhere.
	HomeRegions []string `yaml:"-" json:"-"`
}

// Key is one credential of a workspace. The secret itself is never kept.
type Key struct {
	ID string `yaml:"id" json:"id"`
	// SHA256 is the digest of the secret, in lower-case hexadecimal.
	SHA256 string `yaml:"sha256" json:"sha256"`
}

// DrainKind says what a drain empties.
type DrainKind string

// Kinds of drains.
const (
	DrainRegion           DrainKind = "region"
	DrainAvailabilityZone DrainKind = "zone"
	DrainTarget           DrainKind = "target"
)

// Drain takes a site out of service: its targets get no new work.
type Drain struct {
	Kind DrainKind `yaml:"kind" json:"kind"`
	Name string    `yaml:"name" json:"name"`
}

// Shift moves a share of one route's requests from one region to another.
type Shift struct {
	Name  string `yaml:"name" json:"name"`
	Route string `yaml:"route" json:"route"`
	From  string `yaml:"from" json:"from"`
	To    string `yaml:"to" json:"to"`
	// Cap is the largest share that may be moved, 0 to 1.
	Cap float64 `yaml:"cap" json:"cap"`
	// Step is the share that each ramp step adds, 0 to 1.
	Step float64 `yaml:"step" json:"step"`
	// StepSeconds is the time between two ramp steps, in seconds.
	StepSeconds int `yaml:"step_seconds" json:"step_seconds"`
}
