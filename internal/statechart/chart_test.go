package statechart

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/charts"
)

func load(t *testing.T) map[string]*Chart {
	t.Helper()
	all, err := Load(charts.Files)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// The Promela models in the folder spec must have the same states as the charts, so
// that what a model checker proves of them is about these states.
func TestModelsHaveTheStatesOfTheCharts(t *testing.T) {
	all := load(t)
	statesPattern := regexp.MustCompile(`mtype:(\w+) = \{ ([^}]*) \}`)
	models := 0
	files, _ := filepath.Glob(filepath.Join("..", "..", "spec", "*.pml"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range statesPattern.FindAllStringSubmatch(string(text), -1) {
			models++
			states := strings.Split(m[2], ", ")
			if c := all[m[1]]; c == nil || !slices.Equal(sorted(c.StateNames()), sorted(states)) {
				t.Errorf("%s: model of %s has the states %v, the chart is %+v", file, m[1], states, c)
			}
		}
	}
	if models != 3 {
		t.Errorf("%d models declare states, want 3", models)
	}
}

func sorted(names []string) []string { return slices.Sorted(slices.Values(names)) }

func TestFaultyChartsAreReportedTogether(t *testing.T) {
	files := fstest.MapFS{
		"a.yaml": {Data: []byte("name: a\ninitial: x\nstates: [{name: y, on: {go: z}}, {name: y, final: true}]\n")},
		"b.yaml": {Data: []byte("name: b\nstart: x\n")},
	}
	_, err := Load(files)
	for _, want := range []string{
		`a.yaml:initial: state "x" does not exist`, `a.yaml:states[0].on.go: state "z" does not exist`,
		`a.yaml:states[1].name: name "y" is empty or used twice`, `a.yaml:states[1]: state "y" cannot be reached`,
		"b.yaml:yaml:",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in %v", want, err)
		}
	}
}

func TestMachineFollowsItsChart(t *testing.T) {
	m := NewMachine(load(t)["instance"])
	for _, step := range []struct{ event, want string }{
		{"start", "serving"}, {"finished", ""}, {"stop", "leaving"}, {"start", ""},
		{"answers-expired", "draining"}, {"finished", "stopped"}, {"kill", ""},
	} {
		before := m.State()
		err := m.Fire(step.event)
		if step.want == "" && (!errors.Is(err, ErrEventNotAllowed) || m.State() != before) {
			t.Errorf("%s in %s: %v, now %s", step.event, before, err, m.State())
		}
		if step.want != "" && (err != nil || m.State() != step.want) {
			t.Errorf("%s in %s: %v, now %s", step.event, before, err, m.State())
		}
	}
}
