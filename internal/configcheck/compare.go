package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Names of differences. They do not change between versions.
const (
	RouteRemoved            = "route-removed"
	RouteAdded              = "route-added"
	RouteDestinationChanged = "route-destination-changed"
	RouteAccessChanged      = "route-access-changed"
	RouteTimesChanged       = "route-times-changed"
	RouteHandlingChanged    = "route-handling-changed"
	WorkspaceRemoved        = "workspace-removed"
	WorkspaceAdded          = "workspace-added"
	WorkspaceCutOffChanged  = "workspace-cut-off-changed"
	WorkspaceRoutesChanged  = "workspace-routes-changed"
	WorkspaceQuotaChanged   = "workspace-quota-changed"
	WorkspaceHomesChanged   = "workspace-homes-changed"
	WorkspaceRankChanged    = "workspace-priority-changed"
	KeyWithdrawn            = "key-withdrawn"
	KeyAdded                = "key-added"
	CallerLimitsChanged     = "caller-limits-changed"
	ServiceRemoved          = "service-removed"
	ServiceAdded            = "service-added"
	ServiceChanged          = "service-changed"
	FleetChanged            = "fleet-changed"
)

// Groups of differences, by what callers notice.
const (
	GroupRefused = "requests that will be refused"
	GroupServed  = "requests that will be served"
	GroupMoved   = "requests that will run elsewhere"
	GroupTimes   = "other time limits and attempts"
	GroupQuota   = "other quotas, priorities and limits"
	GroupUnseen  = "not noticed by callers while there is capacity"
)

// Groups returns the groups of differences in the order in which they are shown.
func Groups() []string {
	return []string{GroupRefused, GroupServed, GroupMoved, GroupTimes, GroupQuota, GroupUnseen}
}

// DifferenceNames returns the names of all differences.
func DifferenceNames() []string {
	return []string{
		RouteRemoved, RouteAdded, RouteDestinationChanged, RouteAccessChanged, RouteTimesChanged, RouteHandlingChanged,
		WorkspaceRemoved, WorkspaceAdded, WorkspaceCutOffChanged, WorkspaceRoutesChanged, WorkspaceQuotaChanged, WorkspaceHomesChanged, WorkspaceRankChanged,
		KeyWithdrawn, KeyAdded, CallerLimitsChanged, ServiceRemoved, ServiceAdded, ServiceChanged, FleetChanged,
	}
}

// SortDifferences sorts differences by group and leaves their order in a group.
func SortDifferences(findings config.Findings) {
	rank := map[string]int{}
	for i, group := range Groups() {
		rank[group] = i
	}
	slices.SortStableFunc(findings, func(a, b config.Finding) int { return cmp.Compare(rank[a.Group], rank[b.Group]) })
}

// comparer collects what differs between two configurations.
type comparer struct {
	from, to       *Configuration
	inFrom, inTo   config.Findings
	fromRoutes     map[routeKey]int
	toRoutes       map[routeKey]int
	fromWorkspaces map[string]int
	toWorkspaces   map[string]int
	kept           map[string]bool // routes of the configuration to, as callers know them
}

// Compare returns what differs between two configurations of the same form. Findings on
// entries that only the configuration from has are in inFrom, with places in its file;
// the others are in inTo. Routes are the same if callers cannot tell them apart: by
// host, prefix and methods, not by name.
func Compare(from, to *Configuration) (inFrom, inTo config.Findings) {
	c := &comparer{
		from: from, to: to, fromRoutes: routesByKey(from), toRoutes: routesByKey(to),
		fromWorkspaces: workspacesByName(from), toWorkspaces: workspacesByName(to),
	}
	c.compareRoutes()
	c.compareWorkspaces()
	if from.Limits != to.Limits {
		c.differ(CallerLimitsChanged, GroupQuota, to.Places.Limits, "limits on callers: %s, now %s", limitsText(from.Limits), limitsText(to.Limits))
	}
	c.compareServices()
	c.compareFleet()
	return c.inFrom, c.inTo
}

func limitsText(l config.CallerLimits) string {
	return fmt.Sprintf("header %d bytes in %v, body %d bytes, idle %v", l.HeaderBytes, l.HeaderTimeout, l.BodyBytes, l.IdleTimeout)
}

// routesByKey returns the indexes of the routes that are not hidden by others.
func routesByKey(c *Configuration) map[routeKey]int {
	byKey := make(map[routeKey]int, len(c.Routes))
	for i := range c.Routes {
		k := keyOf(&c.Routes[i])
		if _, hidden := byKey[k]; !hidden {
			byKey[k] = i
		}
	}
	return byKey
}

func workspacesByName(c *Configuration) map[string]int {
	byName := make(map[string]int, len(c.Workspaces))
	for i := range c.Workspaces {
		byName[c.Workspaces[i].Name] = i
	}
	return byName
}

func difference(name, group, path, format string, args ...any) config.Finding {
	return config.Finding{Name: name, Severity: config.SeverityDifference, Group: group, Path: path, Message: fmt.Sprintf(format, args...)}
}

// differ adds a difference with a place in the configuration to.
func (c *comparer) differ(name, group, path, format string, args ...any) {
	c.inTo = append(c.inTo, difference(name, group, path, format, args...))
}

// remove adds a difference with a place in the configuration from.
func (c *comparer) remove(name, group, path, format string, args ...any) {
	c.inFrom = append(c.inFrom, difference(name, group, path, format, args...))
}

func (c *comparer) compareRoutes() {
	for i := range c.from.Routes {
		k := keyOf(&c.from.Routes[i])
		if _, kept := c.toRoutes[k]; !kept && c.fromRoutes[k] == i {
			c.remove(RouteRemoved, GroupRefused, c.from.Places.Route(i), "route %q is gone: %s", c.from.Routes[i].Name, k)
		}
	}
	for i := range c.to.Routes {
		k := keyOf(&c.to.Routes[i])
		if c.toRoutes[k] != i {
			continue // hidden
		}
		if before, ok := c.fromRoutes[k]; ok {
			c.compareRoute(&c.from.Routes[before], &c.to.Routes[i], i)
		} else {
			c.differ(RouteAdded, GroupServed, c.to.Places.Route(i), "route %q is new: %s", c.to.Routes[i].Name, k)
		}
	}
}

// compareRoute compares a route with the same route before.
func (c *comparer) compareRoute(old, r *config.Route, i int) {
	place := func(f Field) string { return c.to.Places.path(c.to.Places.Route(i), f) }
	if before, now := destination(old), destination(r); before != now {
		c.differ(RouteDestinationChanged, GroupMoved, place(FieldService), "route %q goes to %s, now to %s", r.Name, before, now)
	}
	if before, now, differ := compareRegions(old.HomeRegions, r.HomeRegions); differ {
		c.differ(RouteDestinationChanged, GroupMoved, place(FieldHomes), "route %q runs in %s, now in %s", r.Name, before, now)
	}
	if old.Open && !r.Open {
		c.differ(RouteAccessChanged, GroupRefused, place(FieldOpen), "route %q needs a key now", r.Name)
	}
	if !old.Open && r.Open {
		c.differ(RouteAccessChanged, GroupServed, place(FieldOpen), "route %q needs no key any more", r.Name)
	}
	if before, now := timesOf(old), timesOf(r); before != now {
		c.differ(RouteTimesChanged, GroupTimes, place(FieldTimeout), "route %q has %s, now %s", r.Name, before, now)
	}
	if before, now := handlingOf(old), handlingOf(r); before != now {
		c.differ(RouteHandlingChanged, GroupQuota, place(FieldPriority), "route %q has %s, now %s", r.Name, before, now)
	}
}

// destination describes the services of a route with their shares.
func destination(r *config.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	shares, sum := map[string]float64{}, 0.0
	for _, p := range r.Split {
		shares[p.Service] += p.Weight
		sum += p.Weight
	}
	parts := []string{}
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		if shares[service] > 0 {
			parts = append(parts, fmt.Sprintf("%s (%.4g%%)", service, 100*shares[service]/sum))
		}
	}
	if len(parts) == 1 {
		return strings.TrimSuffix(parts[0], " (100%)")
	}
	return strings.Join(parts, ", ")
}

// compareRegions describes two sets of regions if they differ.
func compareRegions(old, new config.RegionSet) (before, now string, differ bool) {
	if old.Bound() == new.Bound() && slices.Equal(old, new) {
		return "", "", false
	}
	before, now = regionsText(old), regionsText(new)
	return before, now, before != now
}

func regionsText(s config.RegionSet) string {
	if !s.Bound() {
		return "all regions"
	}
	sorted := slices.Clone(s)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), ", ")
}

// routeTimes are a route's limits on the time and the attempts of a request.
type routeTimes struct {
	timeout, objective time.Duration
	attempts           int
	repeatable         bool
}

func timesOf(r *config.Route) routeTimes {
	return routeTimes{r.Timeout(), r.LatencyObjective, max(r.MaxAttempts, 1), r.Repeatable}
}

func (t routeTimes) String() string {
	text := fmt.Sprintf("timeout %v", t.timeout)
	if t.objective > 0 {
		text += fmt.Sprintf(", objective %v", t.objective)
	}
	text += fmt.Sprintf(", %d attempts", t.attempts)
	if t.repeatable {
		return text + ", repeatable"
	}
	return text
}

// routeHandling is how a route's requests are ranked and placed.
type routeHandling struct {
	priority      int
	class         config.Class
	responseBytes int
	affinity      bool
}

func handlingOf(r *config.Route) routeHandling {
	return routeHandling{r.Priority, r.Class, r.TypicalResponseBytes, r.Affinity}
}

func (h routeHandling) String() string {
	text := fmt.Sprintf("priority %d", h.priority)
	if h.class != "" {
		text += fmt.Sprintf(", class %s, responses of %d bytes", h.class, h.responseBytes)
	}
	if h.affinity {
		return text + ", affinity"
	}
	return text
}

func (c *comparer) compareWorkspaces() {
	if c.from.RoutesListed && c.to.RoutesListed {
		c.kept = map[string]bool{}
		for k := range c.toRoutes {
			c.kept[k.String()] = true
		}
	}
	for i := range c.from.Workspaces {
		w := &c.from.Workspaces[i]
		now, kept := c.toWorkspaces[w.Name]
		if !kept {
			c.remove(WorkspaceRemoved, GroupRefused, c.from.Places.Workspace(i), "%q is gone, with %d keys", w.Name, len(c.from.Keys[i]))
			continue
		}
		held := identities(c.to.Keys[now])
		for j, key := range c.from.Keys[i] {
			if !held[key.Identity] {
				c.remove(KeyWithdrawn, GroupRefused, c.from.Places.path(c.from.Places.Workspace(i), FieldKey, j), "key %sof %q is withdrawn", key.label(), w.Name)
			}
		}
	}
	for i := range c.to.Workspaces {
		w := &c.to.Workspaces[i]
		before, existed := c.fromWorkspaces[w.Name]
		if !existed {
			c.differ(WorkspaceAdded, GroupServed, c.to.Places.Workspace(i), "%q is new, with %d keys", w.Name, len(c.to.Keys[i]))
			continue
		}
		held := identities(c.from.Keys[before])
		for j, key := range c.to.Keys[i] {
			if !held[key.Identity] {
				c.differ(KeyAdded, GroupServed, c.to.Places.path(c.to.Places.Workspace(i), FieldKey, j), "key %sof %q is new", key.label(), w.Name)
			}
		}
		c.compareWorkspace(&c.from.Workspaces[before], w, i)
	}
}

// label returns the key's name for a message, with a space after it, or "".
func (k Key) label() string {
	if k.Shown == "" {
		return ""
	}
	return fmt.Sprintf("%q ", k.Shown)
}

func identities(keys []Key) map[string]bool {
	set := make(map[string]bool, len(keys))
	for _, k := range keys {
		set[k.Identity] = true
	}
	return set
}

// compareWorkspace compares a workspace with the same before, without its keys.
func (c *comparer) compareWorkspace(old, w *config.Workspace, i int) {
	place := func(f Field) string { return c.to.Places.path(c.to.Places.Workspace(i), f) }
	if w.CutOff && !old.CutOff {
		c.differ(WorkspaceCutOffChanged, GroupRefused, place(FieldNone), "%q is cut off", w.Name)
	}
	if !w.CutOff && old.CutOff {
		c.differ(WorkspaceCutOffChanged, GroupServed, place(FieldNone), "%q is not cut off any more", w.Name)
	}
	if c.from.RoutesListed && c.to.RoutesListed {
		before, now := routesOf(c.from, old), routesOf(c.to, w)
		// A route that is gone for all is a difference of its own.
		lost := slices.DeleteFunc(without(before, now), func(route string) bool { return !c.kept[route] })
		if len(lost) > 0 {
			c.differ(WorkspaceRoutesChanged, GroupRefused, place(FieldRoutes), "%q may not use any more: %s", w.Name, strings.Join(lost, "; "))
		}
		if gained := without(now, before); len(gained) > 0 {
			c.differ(WorkspaceRoutesChanged, GroupServed, place(FieldRoutes), "%q may use now: %s", w.Name, strings.Join(gained, "; "))
		}
	}
	if old.Rate != w.Rate || old.Burst != w.Burst {
		c.differ(WorkspaceQuotaChanged, GroupQuota, place(FieldRate), "%q has rate %g and burst %d, now %g and %d", w.Name, old.Rate, old.Burst, w.Rate, w.Burst)
	}
	if before, now, differ := compareRegions(old.HomeRegions, w.HomeRegions); differ {
		c.differ(WorkspaceHomesChanged, GroupMoved, place(FieldHomes), "%q runs in %s, now in %s", w.Name, before, now)
	}
	if before, now := rankText(old), rankText(w); before != now {
		c.differ(WorkspaceRankChanged, GroupQuota, place(FieldPriority), "%q has %s, now %s", w.Name, before, now)
	}
}

func rankText(w *config.Workspace) string {
	if !w.HasPriority {
		return "the routes' priority"
	}
	return fmt.Sprintf("priority %d", w.Priority)
}

// routesOf returns the routes that a workspace lists, as callers know them.
func routesOf(c *Configuration, w *config.Workspace) map[string]bool {
	if c.routeKeys == nil {
		c.routeKeys = make(map[string]string, len(c.Routes))
		for i := range c.Routes {
			c.routeKeys[c.Routes[i].Name] = keyOf(&c.Routes[i]).String()
		}
	}
	routes := make(map[string]bool, len(w.Routes))
	for _, name := range w.Routes {
		routes[c.routeKeys[name]] = true
	}
	return routes
}

// without returns the sorted members of a that are not in b.
func without(a, b map[string]bool) []string {
	var rest []string
	for member := range a {
		if !b[member] {
			rest = append(rest, member)
		}
	}
	slices.Sort(rest)
	return rest
}

func (c *comparer) compareServices() {
	from, to := map[string]int{}, map[string]int{}
	for i := range c.from.Services {
		from[c.from.Services[i].Name] = i
	}
	for i := range c.to.Services {
		to[c.to.Services[i].Name] = i
	}
	for i := range c.from.Services {
		name := c.from.Services[i].Name
		if _, kept := to[name]; !kept && from[name] == i {
			c.remove(ServiceRemoved, GroupUnseen, c.from.Places.Service(i), "service %q is gone", name)
		}
	}
	for i := range c.to.Services {
		s := &c.to.Services[i]
		if to[s.Name] != i {
			continue // replaced by a later one
		}
		before, existed := from[s.Name]
		if !existed {
			c.differ(ServiceAdded, GroupUnseen, c.to.Places.Service(i), "service %q is new", s.Name)
			continue
		}
		old := &c.from.Services[before]
		if then, now := serviceText(old), serviceText(s); then != now {
			c.differ(ServiceChanged, GroupUnseen, c.to.Places.Service(i), "service %q has %s, now %s", s.Name, then, now)
		}
		then, now := targetSet(old), targetSet(s)
		gone, added := without(then, now), without(now, then)
		if len(gone)+len(added) > 0 {
			c.differ(ServiceChanged, GroupUnseen, c.to.Places.path(c.to.Places.Service(i), FieldTargets), "service %q loses targets [%s] and gets [%s]", s.Name, strings.Join(gone, "; "), strings.Join(added, "; "))
		}
	}
}

func serviceText(s *config.Service) string {
	text := fmt.Sprintf("%d connections", s.MaxConnections)
	if s.Slots > 0 {
		text += fmt.Sprintf(", %d slots", s.Slots)
	}
	if s.HealthPath != "" {
		text += ", health path " + s.HealthPath
	}
	if s.ColdStart > 0 || s.ColdRate > 0 {
		text += fmt.Sprintf(", cold for %v at %g/s", s.ColdStart.Round(time.Millisecond), s.ColdRate)
	}
	return text
}

func targetSet(s *config.Service) map[string]bool {
	set := make(map[string]bool, len(s.Targets))
	for _, t := range s.Targets {
		set[fmt.Sprintf("%s at %s in %s", t.Name, t.Address, t.AvailabilityZone)] = true
	}
	return set
}

// compareFleet compares the other parts. All the changes of one part are one finding.
func (c *comparer) compareFleet() {
	parts := map[string]bool{}
	for _, fleet := range []map[string]map[string]string{c.from.Fleet, c.to.Fleet} {
		for part := range fleet {
			parts[part] = true
		}
	}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		from, to := c.from.Fleet[part], c.to.Fleet[part]
		names := map[string]bool{}
		for name, text := range from {
			names[name] = to[name] != text
		}
		for name, text := range to {
			names[name] = from[name] != text
		}
		maps.DeleteFunc(names, func(_ string, changed bool) bool { return !changed })
		if len(names) > 0 {
			c.differ(FleetChanged, GroupUnseen, part, "changed: %s", strings.Join(slices.Sorted(maps.Keys(names)), ", "))
		}
	}
}
