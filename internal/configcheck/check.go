package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Names of warnings. They do not change between versions.
const (
	RouteHidden            = "route-hidden"
	RouteHostUnmatched     = "route-host-unmatched"
	RoutePrefixUnmatched   = "route-prefix-unmatched"
	RouteWithoutService    = "route-without-service"
	RouteWithoutTargets    = "route-without-targets"
	RouteWithoutWorkspace  = "route-without-workspace"
	SplitPartUnused        = "split-part-unused"
	ServiceHidden          = "service-hidden"
	WorkspaceWithoutKeys   = "workspace-without-keys"
	WorkspaceWithoutRoutes = "workspace-without-routes"

	TimeoutBelowObjective   = "timeout-below-objective"
	AttemptsOverRetryBudget = "attempts-over-retry-budget"
	HomesWithoutCommon      = "homes-without-common-region"
	QuotaBelowOneRequest    = "quota-below-one-request"
	LimitOverMemory         = "limit-over-memory"
)

// WarningNames returns the names of all warnings.
func WarningNames() []string {
	return []string{
		RouteHidden, RouteHostUnmatched, RoutePrefixUnmatched, RouteWithoutService, RouteWithoutTargets, RouteWithoutWorkspace,
		SplitPartUnused, ServiceHidden, WorkspaceWithoutKeys, WorkspaceWithoutRoutes,
		TimeoutBelowObjective, AttemptsOverRetryBudget, HomesWithoutCommon, QuotaBelowOneRequest, LimitOverMemory,
	}
}

// Instance is what a configuration is held against: the settings of an instance.
type Instance struct {
	// RetryRatio and RetryExtra are the fleet's retry budget: retries for each request,
	// and further ones in each window.
	RetryRatio, RetryExtra float64
	// QuotaWindow is the time over which a workspace's rate is counted.
	QuotaWindow time.Duration
	// MemoryBytes is the memory limit of the process; 0 if it is not known.
	MemoryBytes int64
}

// checker collects the warnings of a configuration.
type checker struct {
	*Configuration
	findings config.Findings
	services map[string]int // index of the service that has the name
}

// Check returns the warnings of a configuration, in the order of its entries.
func Check(c *Configuration, on Instance) config.Findings {
	k := &checker{Configuration: c, services: map[string]int{}}
	k.checkServices()
	k.checkMatches()
	k.checkAllowed()
	for i := range c.Routes {
		k.checkDestination(i)
		k.checkTimes(i, on)
	}
	k.checkHomes()
	k.checkWorkspaces(on)
	k.checkMemory(on)
	return k.findings
}

func (k *checker) warn(name, path, format string, args ...any) {
	k.findings = append(k.findings, config.Finding{Name: name, Severity: config.SeverityWarning, Path: path, Message: fmt.Sprintf(format, args...)})
}

// routePath returns the place of a route's field.
func (k *checker) routePath(i int, field Field, index ...any) string {
	return k.Places.path(k.Places.Route(i), field, index...)
}

// workspacePath returns the place of a workspace's field.
func (k *checker) workspacePath(i int, field Field) string {
	return k.Places.path(k.Places.Workspace(i), field)
}

// checkServices warns of services that a later one of the same name replaces.
func (k *checker) checkServices() {
	for i := range k.Services {
		name := k.Services[i].Name
		if earlier, ok := k.services[name]; ok {
			k.warn(ServiceHidden, k.Places.Service(earlier), "service %q is never used: %s has the same name", name, k.Places.Service(i))
		}
		k.services[name] = i
	}
}

// unsentCharacters never stand in a path as a client sends it: they are escaped there.
const unsentCharacters = " \"<>\\^`{|}?#"

// checkMatches warns of routes that no request can match. Of a host's routes, the one with
// the longest prefix is used, so that only an earlier one with the same prefix hides it.
func (k *checker) checkMatches() {
	type match struct{ host, prefix, method string }
	first := make(map[match]int, len(k.Routes))
	for i := range k.Routes {
		r := &k.Routes[i]
		host := strings.ToLower(r.Host)
		if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
			k.warn(RouteHostUnmatched, k.routePath(i, FieldHost), "route %q matches no request: a request's host is compared without its port", r.Name)
		}
		escaped := k.EscapedPaths && strings.ContainsFunc(r.PathPrefix, func(c rune) bool {
			return c < ' ' || c > '~' || strings.ContainsRune(unsentCharacters, c)
		})
		switch {
		case !strings.HasPrefix(r.PathPrefix, "/"):
			k.warn(RoutePrefixUnmatched, k.routePath(i, FieldPrefix), "route %q matches no request: prefix %q does not begin with /", r.Name, r.PathPrefix)
		case escaped:
			k.warn(RoutePrefixUnmatched, k.routePath(i, FieldPrefix), "route %q matches no request: prefix %q has characters that a path has only as %%XX", r.Name, r.PathPrefix)
		}
		methods := r.Methods
		if len(methods) == 0 {
			methods = anyMethod
		}
		hiddenBy, visible := 0, false
		for _, method := range methods {
			m := match{host, r.PathPrefix, method}
			if earlier, ok := first[m]; ok {
				hiddenBy = earlier
				// The same method twice in one route hides nothing.
				visible = visible || earlier == i
				continue
			}
			first[m], visible = i, true
		}
		if !visible {
			k.warn(RouteHidden, k.routePath(i, FieldPrefix), "route %q matches no request: %s %q comes first for %s", r.Name, k.Places.Route(hiddenBy), k.Routes[hiddenBy].Name, keyOf(r))
		}
	}
}

var anyMethod = []string{""}

// checkAllowed warns of routes that no workspace may use.
func (k *checker) checkAllowed() {
	if !k.RoutesListed {
		return
	}
	allowed := map[string]bool{}
	for i := range k.Workspaces {
		for _, name := range k.Workspaces[i].Routes {
			allowed[name] = true
		}
	}
	for i := range k.Routes {
		if r := &k.Routes[i]; !r.Open && !allowed[r.Name] {
			k.warn(RouteWithoutWorkspace, k.routePath(i, FieldNone), "route %q is used by nobody: it is not open, and no workspace lists it", r.Name)
		}
	}
}

// checkDestination warns of services that cannot run the requests of a route.
func (k *checker) checkDestination(i int) {
	r := &k.Routes[i]
	if len(r.Split) == 0 {
		k.checkService(i, r.Service, k.routePath(i, FieldService))
		return
	}
	for j, part := range r.Split {
		path := k.routePath(i, FieldSplitPart, j)
		if part.Weight == 0 {
			k.warn(SplitPartUnused, path, "service %q gets none of the requests of route %q: its weight is 0", part.Service, r.Name)
			continue
		}
		k.checkService(i, part.Service, path)
	}
}

// checkService warns if a service to which a route sends requests has no targets.
func (k *checker) checkService(i int, name, path string) {
	r := &k.Routes[i]
	index, ok := k.services[name]
	if !ok {
		k.warn(RouteWithoutService, path, "route %q gets no answers: service %q is not defined, so that its targets are not used", r.Name, name)
		return
	}
	if !k.TargetsListed {
		return
	}
	targets := k.Services[index].Targets
	if !slices.ContainsFunc(targets, func(t config.Target) bool { return !k.drained[t.Name] }) {
		k.warn(RouteWithoutTargets, path, "route %q gets no answers: service %q has %d targets, all of them drained", r.Name, name, len(targets))
	}
}

// checkTimes warns of a route's times and attempts that contradict each other or the
// retry budget.
func (k *checker) checkTimes(i int, on Instance) {
	r := &k.Routes[i]
	if r.LatencyObjective > r.Timeout() {
		k.warn(TimeoutBelowObjective, k.routePath(i, FieldTimeout), "route %q ends requests after %v, before its objective of %v", r.Name, r.Timeout(), r.LatencyObjective)
	}
	saved := on.RetryExtra
	if on.RetryRatio > 0 {
		saved = max(saved, 1)
	}
	if repeats := r.MaxAttempts - 1; repeats > 0 && float64(repeats) > saved {
		k.warn(AttemptsOverRetryBudget, k.routePath(i, FieldAttempts), "route %q allows %d repeats of one request, and the fleet's retry budget saves %g at most", r.Name, repeats, saved)
	}
}

// homeSet is a set of home regions and the first entry that has it.
type homeSet struct {
	regions config.RegionSet
	first   int
	members int
}

// homeSets returns the distinct sets among those of n entries, in order, and for each
// entry the index of its set; -1 if it has none.
func homeSets(n int, of func(int) config.RegionSet) ([]homeSet, []int) {
	var sets []homeSet
	byText := map[string]int{}
	member := make([]int, n)
	for i := range n {
		regions := of(i)
		if member[i] = -1; !regions.Bound() {
			continue
		}
		sorted := slices.Clone(regions)
		slices.Sort(sorted)
		sorted = slices.Compact(sorted)
		text := strings.Join(sorted, "\x00")
		s, ok := byText[text]
		if !ok {
			s = len(sets)
			byText[text] = s
			sets = append(sets, homeSet{regions: sorted, first: i})
		}
		sets[s].members++
		member[i] = s
	}
	return sets, member
}

// checkHomes warns of routes and workspaces that no region may serve together. It compares
// distinct sets only, of which there are few.
func (k *checker) checkHomes() {
	ofRoutes, routeSet := homeSets(len(k.Routes), func(i int) config.RegionSet { return k.Routes[i].HomeRegions })
	ofWorkspaces, _ := homeSets(len(k.Workspaces), func(i int) config.RegionSet { return k.Workspaces[i].HomeRegions })
	inSets := map[string]int{} // number of the workspaces' sets that have the region
	for _, w := range ofWorkspaces {
		for _, region := range w.regions {
			inSets[region]++
		}
	}
	type conflict struct{ workspaces, first int }
	conflicts := make([]conflict, len(ofRoutes))
	for i, r := range ofRoutes {
		if slices.ContainsFunc(r.regions, func(region string) bool { return inSets[region] == len(ofWorkspaces) }) {
			continue
		}
		for _, w := range ofWorkspaces {
			if len(r.regions.Intersect(w.regions)) > 0 {
				continue
			}
			if conflicts[i].workspaces == 0 {
				conflicts[i].first = w.first
			}
			conflicts[i].workspaces += w.members
		}
	}
	for i, s := range routeSet {
		if s < 0 || conflicts[s].workspaces == 0 {
			continue
		}
		r, w := &k.Routes[i], &k.Workspaces[conflicts[s].first]
		others := ""
		if n := conflicts[s].workspaces - 1; n > 0 {
			others = fmt.Sprintf(", nor with %d others", n)
		}
		k.warn(HomesWithoutCommon, k.routePath(i, FieldHomes), "route %q, with homes %q, has no region in common with %q, with homes %q%s", r.Name, []string(r.HomeRegions), w.Name, []string(w.HomeRegions), others)
	}
}

// checkWorkspaces warns of workspaces that can send no requests.
func (k *checker) checkWorkspaces(on Instance) {
	for i := range k.Workspaces {
		w := &k.Workspaces[i]
		if len(k.Keys[i]) == 0 {
			k.warn(WorkspaceWithoutKeys, k.workspacePath(i, FieldKeys), "%q has no keys, so that no request is its own", w.Name)
		}
		if k.RoutesListed && len(w.Routes) == 0 {
			k.warn(WorkspaceWithoutRoutes, k.workspacePath(i, FieldRoutes), "%q may use no route", w.Name)
		}
		if granted := w.Rate*on.QuotaWindow.Seconds() + float64(w.Burst); granted < 1 {
			k.warn(QuotaBelowOneRequest, k.workspacePath(i, FieldRate), "%q is granted %g requests in %v, less than one", w.Name, granted, on.QuotaWindow)
		}
	}
}

// checkMemory warns of limits on callers that allow one request more than an instance's
// memory.
func (k *checker) checkMemory(on Instance) {
	for _, l := range []struct {
		field Field
		what  string
		bytes int64
	}{{FieldHeaderLimit, "header", int64(k.Limits.HeaderBytes)}, {FieldBodyLimit, "body", k.Limits.BodyBytes}} {
		if on.MemoryBytes > 0 && l.bytes > on.MemoryBytes {
			k.warn(LimitOverMemory, k.Places.path(k.Places.Limits, l.field), "the %s of one request may have %d bytes, more than the instance's memory of %d", l.what, l.bytes, on.MemoryBytes)
		}
	}
}
