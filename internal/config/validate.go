package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

const (
	maxNameLength     = 64    // characters
	sha256HexChars    = 64    // a SHA-256 digest in hexadecimal
	maxRate           = 1e6   // requests per second of one workspace
	maxIPv4PrefixBits = 24    // length of the longest IPv4 prefix of a site
	maxIPv6PrefixBits = 48    // length of the longest IPv6 prefix of a site
	maxInstances      = 10000 // instances of one availability zone
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// validator collects findings, and the names defined so far, to which later parts of
// the document refer.
type validator struct {
	findings Findings
	regions  map[string]bool
	zones    map[string]bool
	services map[string]bool
	routes   map[string]bool
	targets  map[string]bool
	keys     map[string]bool
}

// Validate returns all faults of the document, in the order of its fields.
func Validate(doc *Document) Findings {
	v := &validator{
		regions: map[string]bool{}, zones: map[string]bool{}, services: map[string]bool{},
		routes: map[string]bool{}, targets: map[string]bool{}, keys: map[string]bool{},
	}
	v.checkRegions(doc)
	v.checkZones(doc)
	v.checkSites(doc)
	v.checkServices(doc)
	v.checkRoutes(doc)
	v.checkWorkspaces(doc)
	v.checkDrains(doc)
	v.checkShifts(doc)
	return v.findings
}

func (v *validator) addFinding(name, path, format string, args ...any) {
	v.findings = append(v.findings, Finding{Name: name, Severity: SeverityError, Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkName checks the form of a name and that it is not in seen, and adds it there.
func (v *validator) checkName(path, name string, seen map[string]bool) {
	switch {
	case !namePattern.MatchString(name) || len(name) > maxNameLength:
		v.addFinding(NameMalformed, path, "name %q must be lower-case letters, digits and hyphens, at most %d", name, maxNameLength)
	case seen[name]:
		v.addFinding(NameDuplicate, path, "name %q is used twice", name)
	}
	seen[name] = true
}

// checkExists checks that a name that the document refers to is defined.
func (v *validator) checkExists(path, kind, name string, defined map[string]bool) {
	if !defined[name] {
		v.addFinding(NameUnknownReference, path, "%s %q does not exist", kind, name)
	}
}

func (v *validator) checkPositive(path string, value int) {
	if value <= 0 {
		v.addFinding(NameOutOfRange, path, "must be above 0, is %d", value)
	}
}

func (v *validator) checkRegions(doc *Document) {
	if len(doc.Regions) == 0 {
		v.addFinding(NameMissing, "regions", "needs at least one region")
	}
	for i, r := range doc.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		v.checkName(path+".name", r.Name, v.regions)
		v.checkPositive(path+".link_mbps", r.LinkMbps)
		if r.MaxInFlight < 0 {
			v.addFinding(NameOutOfRange, path+".max_in_flight", "must not be negative, is %d", r.MaxInFlight)
		}
	}
}

func (v *validator) checkZones(doc *Document) {
	if len(doc.AvailabilityZones) == 0 {
		v.addFinding(NameMissing, "availability_zones", "needs at least one availability zone")
	}
	for i, z := range doc.AvailabilityZones {
		path := fmt.Sprintf("availability_zones[%d]", i)
		v.checkName(path+".name", z.Name, v.zones)
		v.checkExists(path+".region", "region", z.Region, v.regions)
		if z.Instances < 0 || z.Instances > maxInstances {
			v.addFinding(NameOutOfRange, path+".instances", "must be 0 to %d, is %d", maxInstances, z.Instances)
		}
		if !(z.ReserveShare >= 0 && z.ReserveShare <= 1) {
			v.addFinding(NameOutOfRange, path+".reserve_share", "must be 0 to 1, is %g", z.ReserveShare)
		}
	}
}

func (v *validator) checkSites(doc *Document) {
	names, clients := map[string]bool{}, map[string]string{}
	for i, s := range doc.Sites {
		path := fmt.Sprintf("sites[%d]", i)
		v.checkName(path+".name", s.Name, names)
		v.checkExists(path+".availability_zone", "availability zone", s.AvailabilityZone, v.zones)
		if s.Demand < 0 {
			v.addFinding(NameOutOfRange, path+".demand", "must not be negative, is %g", s.Demand)
		}
		for j, text := range s.Clients {
			v.checkClients(fmt.Sprintf("%s.clients[%d]", path, j), text, s.Name, clients)
		}
	}
}

// checkClients checks an address prefix of a site. seen maps the prefixes so far to
// their sites.
func (v *validator) checkClients(path, text, site string, seen map[string]string) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		v.addFinding(NameMalformed, path, "%q is not an address prefix", text)
	case prefix != prefix.Masked():
		v.addFinding(NameMalformed, path, "%q has bits set after its length", text)
	case prefix.Addr().Is4() && prefix.Bits() > maxIPv4PrefixBits, prefix.Addr().Is6() && prefix.Bits() > maxIPv6PrefixBits:
		v.addFinding(NameOutOfRange, path, "%q is narrower than an IPv4 /%d or an IPv6 /%d", text, maxIPv4PrefixBits, maxIPv6PrefixBits)
	case seen[text] != "":
		v.addFinding(NameDuplicate, path, "%q belongs to site %q already", text, seen[text])
	}
	seen[text] = site
}

func (v *validator) checkServices(doc *Document) {
	addresses := map[string]string{}
	for i, s := range doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", s.Name, v.services)
		v.checkPositive(path+".slots", s.Slots)
		v.checkPositive(path+".max_connections", s.MaxConnections)
		for j, t := range s.Targets {
			v.checkTarget(fmt.Sprintf("%s.targets[%d]", path, j), t, addresses)
		}
	}
}

// checkTarget checks a target. addresses maps the addresses so far to their targets.
func (v *validator) checkTarget(path string, t Target, addresses map[string]string) {
	v.checkName(path+".name", t.Name, v.targets)
	v.checkExists(path+".availability_zone", "availability zone", t.AvailabilityZone, v.zones)
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		v.addFinding(NameMalformed, path+".address", "address %q is not IP:port", t.Address)
		return
	}
	if other, ok := addresses[t.Address]; ok {
		v.addFinding(NameDuplicate, path+".address", "address %q is used by target %q already", t.Address, other)
	}
	addresses[t.Address] = t.Name
}

func (v *validator) checkRoutes(doc *Document) {
	for i, r := range doc.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.checkName(path+".name", r.Name, v.routes)
		v.checkExists(path+".service", "service", r.Service, v.services)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			v.addFinding(NameMalformed, path+".path_prefix", "path prefix %q must begin with /", r.PathPrefix)
		}
		if len(r.Methods) == 0 {
			v.addFinding(NameMissing, path+".methods", "needs at least one method")
		}
		if r.Class != ClassInteractive && r.Class != ClassBulk {
			v.addFinding(NameUnknownValue, path+".class", "class %q is neither %q nor %q", r.Class, ClassInteractive, ClassBulk)
		}
		v.checkPositive(path+".timeout_ms", r.TimeoutMillis)
	}
}

func (v *validator) checkWorkspaces(doc *Document) {
	names := map[string]bool{}
	for i, w := range doc.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		v.checkName(path+".name", w.Name, names)
		if !(w.Rate > 0 && w.Rate <= maxRate) {
			v.addFinding(NameOutOfRange, path+".rate", "must be above 0 and at most %g, is %g", float64(maxRate), w.Rate)
		}
		v.checkPositive(path+".burst", w.Burst)
		for j, route := range w.Routes {
			v.checkExists(fmt.Sprintf("%s.routes[%d]", path, j), "route", route, v.routes)
		}
		for j, k := range w.Keys {
			v.checkKey(fmt.Sprintf("%s.keys[%d]", path, j), k)
		}
	}
}

func (v *validator) checkKey(path string, k Key) {
	v.checkName(path+".id", k.ID, v.keys)
	if len(k.SHA256) != sha256HexChars || !sha256Pattern.MatchString(k.SHA256) {
		v.addFinding(NameMalformed, path+".sha256", "must be %d lower-case hexadecimal digits", sha256HexChars)
	}
}

func (v *validator) checkDrains(doc *Document) {
	for i, d := range doc.Drains {
		path := fmt.Sprintf("drains[%d]", i)
		switch d.Kind {
		case DrainRegion:
			v.checkExists(path+".name", "region", d.Name, v.regions)
		case DrainAvailabilityZone:
			v.checkExists(path+".name", "availability zone", d.Name, v.zones)
		case DrainTarget:
			v.checkExists(path+".name", "target", d.Name, v.targets)
		default:
			v.addFinding(NameUnknownValue, path+".kind", "kind %q is not region, zone or target", d.Kind)
		}
	}
}

func (v *validator) checkShifts(doc *Document) {
	names := map[string]bool{}
	type source struct{ route, region string }
	sources := map[source]bool{}
	for i, s := range doc.Shifts {
		path := fmt.Sprintf("shifts[%d]", i)
		v.checkName(path+".name", s.Name, names)
		v.checkExists(path+".route", "route", s.Route, v.routes)
		v.checkExists(path+".from", "region", s.From, v.regions)
		if from := (source{s.Route, s.From}); sources[from] {
			v.addFinding(NameDuplicate, path+".from", "route %q is shifted from region %q already", s.Route, s.From)
		} else {
			sources[from] = true
		}
		v.checkExists(path+".to", "region", s.To, v.regions)
		if s.From == s.To {
			v.addFinding(NameMalformed, path+".to", "must differ from the region %q that is shifted from", s.From)
		}
		if !(s.Cap > 0 && s.Cap <= 1) {
			v.addFinding(NameOutOfRange, path+".cap", "must be above 0 and at most 1, is %g", s.Cap)
		}
		if !(s.Step > 0 && s.Step <= 1) {
			v.addFinding(NameOutOfRange, path+".step", "must be above 0 and at most 1, is %g", s.Step)
		}
		v.checkPositive(path+".step_seconds", s.StepSeconds)
	}
}
