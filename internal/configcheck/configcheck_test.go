package configcheck

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/turmericfield/turmericfield/internal/config"
)

// base returns a configuration without findings.
func base() *Configuration {
	return &Configuration{
		Routes: []config.Route{
			{Name: "read", Host: "a.example", PathPrefix: "/read/", Service: "listings", TimeoutMillis: 2000, LatencyObjective: time.Second, MaxAttempts: 2},
			{Name: "open", Host: "a.example", PathPrefix: "/", Open: true, Service: "listings", TimeoutMillis: 2000},
		},
		Services: []config.Service{{Name: "listings", Slots: 3, Targets: []config.Target{{Name: "listings-1"}}}},
		Workspaces: []config.Workspace{
			{Name: "quito", Rate: 10, Burst: 5, Routes: []string{"read"}},
			{Name: "cuenca", Rate: 10, Burst: 5, Routes: []string{"read", "open"}, CutOff: true},
		},
		Keys:          [][]Key{{{"k-1", "k-1"}}, {{"k-2", "k-2"}}},
		TargetsListed: true, RoutesListed: true,
		Fleet:  map[string]map[string]string{"regions": {"sierra": "100"}},
		Places: Places{Route: indexed("routes"), Service: indexed("services"), Workspace: indexed("workspaces"), Limits: "limits", Fields: documentFields},
	}
}

func TestEveryDifferenceIsFoundAndGrouped(t *testing.T) {
	tested := map[string]bool{}
	for _, c := range []struct {
		change      func(*Configuration)
		name, group string
	}{
		{func(c *Configuration) { c.Routes = c.Routes[:1]; c.Workspaces[1].Routes = []string{"read"} }, RouteRemoved, GroupRefused},
		{func(c *Configuration) {
			c.Routes = append(c.Routes, config.Route{Name: "new", Host: "b.example", PathPrefix: "/", Service: "listings"})
		}, RouteAdded, GroupServed},
		{func(c *Configuration) { c.Routes[0].Service = "media" }, RouteDestinationChanged, GroupMoved},
		{func(c *Configuration) { c.Routes[0].Split = []config.SplitPart{{Service: "media", Weight: 1}} }, RouteDestinationChanged, GroupMoved},
		{func(c *Configuration) { c.Routes[0].HomeRegions = config.RegionSet{"sierra"} }, RouteDestinationChanged, GroupMoved},
		{func(c *Configuration) { c.Routes[0].Open = true }, RouteAccessChanged, GroupServed},
		{func(c *Configuration) { c.Routes[1].Open = false }, RouteAccessChanged, GroupRefused},
		{func(c *Configuration) { c.Routes[0].TimeoutMillis = 1000 }, RouteTimesChanged, GroupTimes},
		{func(c *Configuration) { c.Routes[0].LatencyObjective = 0 }, RouteTimesChanged, GroupTimes},
		{func(c *Configuration) { c.Routes[0].MaxAttempts = 1 }, RouteTimesChanged, GroupTimes},
		{func(c *Configuration) { c.Routes[0].Repeatable = true }, RouteTimesChanged, GroupTimes},
		{func(c *Configuration) { c.Routes[0].Priority = 2 }, RouteHandlingChanged, GroupQuota},
		{func(c *Configuration) { c.Routes[0].Affinity = true }, RouteHandlingChanged, GroupQuota},
		{func(c *Configuration) { c.Workspaces, c.Keys = c.Workspaces[:1], c.Keys[:1] }, WorkspaceRemoved, GroupRefused},
		{func(c *Configuration) {
			c.Workspaces, c.Keys = append(c.Workspaces, config.Workspace{Name: "loja"}), append(c.Keys, nil)
		}, WorkspaceAdded, GroupServed},
		{func(c *Configuration) { c.Workspaces[0].CutOff = true }, WorkspaceCutOffChanged, GroupRefused},
		{func(c *Configuration) { c.Workspaces[1].CutOff = false }, WorkspaceCutOffChanged, GroupServed},
		{func(c *Configuration) { c.Workspaces[0].Routes = nil }, WorkspaceRoutesChanged, GroupRefused},
		{func(c *Configuration) { c.Workspaces[0].Routes = []string{"open", "read"} }, WorkspaceRoutesChanged, GroupServed},
		{func(c *Configuration) { c.Workspaces[0].Rate = 5 }, WorkspaceQuotaChanged, GroupQuota},
		{func(c *Configuration) { c.Workspaces[0].Burst = 4 }, WorkspaceQuotaChanged, GroupQuota},
		{func(c *Configuration) { c.Workspaces[0].HomeRegions = config.RegionSet{} }, WorkspaceHomesChanged, GroupMoved},
		{func(c *Configuration) { c.Workspaces[0].HasPriority = true }, WorkspaceRankChanged, GroupQuota},
		{func(c *Configuration) { c.Keys[0] = nil }, KeyWithdrawn, GroupRefused},
		{func(c *Configuration) { c.Keys[0] = append(c.Keys[0], Key{"k-3", ""}) }, KeyAdded, GroupServed},
		{func(c *Configuration) { c.Limits.BodyBytes = 1 }, CallerLimitsChanged, GroupQuota},
		{func(c *Configuration) { c.Services = nil }, ServiceRemoved, GroupUnseen},
		{func(c *Configuration) { c.Services = append(c.Services, config.Service{Name: "media"}) }, ServiceAdded, GroupUnseen},
		{func(c *Configuration) { c.Services[0].Slots = 4 }, ServiceChanged, GroupUnseen},
		{func(c *Configuration) { c.Services[0].Targets = nil }, ServiceChanged, GroupUnseen},
		{func(c *Configuration) { c.Fleet["regions"]["sierra"] = "200" }, FleetChanged, GroupUnseen},
	} {
		changed := base()
		c.change(changed)
		inOld, inNew := Compare(base(), changed)
		found := append(inOld, inNew...)
		if len(found) != 1 || found[0].Name != c.name || found[0].Group != c.group || found[0].Path == "" || found[0].Severity != config.SeverityDifference {
			t.Errorf("want %s in %q, got %+v", c.name, c.group, found)
		}
		tested[c.name] = true
	}
	for _, name := range DifferenceNames() {
		if !tested[name] {
			t.Errorf("%s is not tested", name)
		}
	}
}

// Callers know a route by host, prefix and methods, so that they notice neither its name
// nor the order of routes, services, keys and parts.
func TestWhatCallersCannotNoticeIsNoDifference(t *testing.T) {
	changed := base()
	slices.Reverse(changed.Routes)
	changed.Routes[1].Name, changed.Workspaces[0].Routes, changed.Workspaces[1].Routes = "renamed", []string{"renamed"}, []string{"open", "renamed"}
	changed.Routes[1].Host = "A.example"
	changed.Routes[0].Split = []config.SplitPart{{Service: "listings", Weight: 7}, {Service: "media", Weight: 0}}
	slices.Reverse(changed.Workspaces)
	slices.Reverse(changed.Keys)
	if inOld, inNew := Compare(base(), changed); len(inOld)+len(inNew) > 0 {
		t.Errorf("%v %v", inOld, inNew)
	}
}

// Hosts are compared without regard to case, and only an equal prefix hides a route.
func TestOnlyTheSameHostAndPrefixHideARoute(t *testing.T) {
	for prefix, want := range map[string]int{"/read/": 1, "/read": 0, "/read/x": 0, "/READ/": 0} {
		b := base()
		b.Routes[1].Host, b.Routes[1].PathPrefix = "A.EXAMPLE", prefix
		if found := Check(b, Instance{RetryRatio: 0.2}); len(found) != want {
			t.Errorf("%s: %v", prefix, found)
		}
	}
}

// Routes and workspaces whose homes have a common region, or none, are no contradiction.
func TestHomesAreComparedWithThoseOfAllWorkspaces(t *testing.T) {
	for _, c := range []struct {
		route, quito, cuenca config.RegionSet
		want                 string
	}{
		{nil, config.RegionSet{"a"}, config.RegionSet{"b"}, ""},
		{config.RegionSet{"a"}, nil, nil, ""},
		{config.RegionSet{"a", "b"}, config.RegionSet{"b", "c"}, config.RegionSet{"a"}, ""},
		{config.RegionSet{"b"}, config.RegionSet{"c", "b"}, config.RegionSet{"a"}, `with "cuenca", with homes ["a"]`},
		{config.RegionSet{"d"}, config.RegionSet{"a", "b"}, config.RegionSet{"b", "a"}, "nor with 1 others"},
	} {
		b := base()
		b.Routes[0].HomeRegions, b.Workspaces[0].HomeRegions, b.Workspaces[1].HomeRegions = c.route, c.quito, c.cuenca
		found := Check(b, Instance{RetryRatio: 0.2})
		if (c.want == "") != (len(found) == 0) || c.want != "" && !strings.Contains(found[0].Message, c.want) {
			t.Errorf("%v: want %q, got %v", c, c.want, found)
		}
	}
}

// Each error and warning must have a file that has it in the scripts.
func TestEveryErrorAndWarningHasAScript(t *testing.T) {
	archive, err := txtar.ParseFile("../../test/scripts/testdata/configcheck.txtar")
	if err != nil {
		t.Fatal(err)
	}
	script := string(archive.Comment)
	for severity, list := range map[string][]string{"error": config.ErrorNames(), "warning": WarningNames()} {
		for _, name := range list {
			if !strings.Contains(script, "'"+severity+" "+name+": ") && !strings.Contains(script, "'"+severity+" "+name+": .*") {
				t.Errorf("%s %s is not in the script", severity, name)
			}
		}
	}
	if files := len(archive.Files); files < 30 {
		t.Errorf("only %d files", files)
	}
}

// The operators' page must list each name and each group in a table, and no others.
func TestNamesAreListedForOperators(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/control.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(page), "\n## Findings\n")
	if !ok {
		t.Fatal("there is no section on findings")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var listed []string
	for _, line := range strings.Split(section, "\n") {
		if name, _, ok := strings.Cut(strings.TrimPrefix(line, "| `"), "` |"); ok && strings.HasPrefix(line, "| `") {
			listed = append(listed, name)
		}
	}
	known := slices.Concat(config.ErrorNames(), WarningNames(), DifferenceNames())
	slices.Sort(known)
	slices.Sort(listed)
	if !slices.Equal(known, listed) {
		t.Errorf("the code has  %v\nthe page lists %v", known, listed)
	}
	for _, group := range Groups() {
		if !strings.Contains(section, group) {
			t.Errorf("group %q is not described", group)
		}
	}
}
