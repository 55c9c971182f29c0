// Package statechart reads state machines from YAML files (charts), validates them
// and runs them. A Machine changes its state only by Fire.
package statechart

import (
	"bytes"
	"fmt"
	"io/fs"
	"slices"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Chart describes a state machine.
type Chart struct {
	Name    string  `yaml:"name"`
	Initial string  `yaml:"initial"` // name of the initial state
	States  []State `yaml:"states"`
}

// State is one state of a chart.
type State struct {
	Name string `yaml:"name"`
	// Final says that no event leads out of the state.
	Final bool `yaml:"final"`
	// On maps each event that is allowed in the state to the name of the next state.
	On map[string]string `yaml:"on"`
}

// StateNames lists the names of the states in file order.
func (c *Chart) StateNames() []string {
	names := make([]string, len(c.States))
	for i, s := range c.States {
		names[i] = s.Name
	}
	return names
}

// Parse reads one chart and validates it. The error is of type config.Findings. file
// is the name that the findings give.
func Parse(file string, text []byte) (*Chart, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	c := &Chart{}
	if err := decoder.Decode(c); err != nil {
		return nil, config.Findings{{File: file, Path: "yaml", Message: err.Error()}}
	}
	findings := c.validate()
	for i := range findings {
		findings[i].File = file
	}
	return c, findings.Err()
}

// Load reads all YAML files at the top of a file system and returns their charts by
// Chart.Name. The error is of type config.Findings, with those of all files.
func Load(files fs.FS) (map[string]*Chart, error) {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		return nil, err
	}
	charts := map[string]*Chart{}
	var all config.Findings
	for _, name := range names {
		text, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, err
		}
		c, err := Parse(name, text)
		var findings config.Findings
		if errors.As(err, &findings) {
			all = append(all, findings...)
			continue
		}
		if charts[c.Name] != nil {
			all = append(all, config.Finding{File: name, Path: "name", Message: fmt.Sprintf("chart %q exists twice", c.Name)})
		}
		charts[c.Name] = c
	}
	return charts, all.Err()
}

// validate returns the faults of the chart, without file names.
func (c *Chart) validate() config.Findings {
	var findings config.Findings
	add := func(path, format string, args ...any) {
		findings = append(findings, config.Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if c.Name == "" {
		add("name", "must not be empty")
	}
	names := c.StateNames()
	if !slices.Contains(names, c.Initial) {
		add("initial", "state %q does not exist", c.Initial)
	}
	reached := c.reachable()
	for i, s := range c.States {
		path := fmt.Sprintf("states[%d]", i)
		if s.Name == "" || slices.Index(names, s.Name) != i {
			add(path+".name", "name %q is empty or used twice", s.Name)
		}
		if s.Final != (len(s.On) == 0) {
			add(path+".final", "state %q must be final exactly if no event leads out of it", s.Name)
		}
		for _, event := range sortedEvents(s) {
			if !slices.Contains(names, s.On[event]) {
				add(path+".on."+event, "state %q does not exist", s.On[event])
			}
		}
		if !reached[s.Name] {
			add(path, "state %q cannot be reached", s.Name)
		}
	}
	return findings
}

// reachable returns the names of the states that events can lead to from the initial
// one, which is among them.
func (c *Chart) reachable() map[string]bool {
	reached := map[string]bool{}
	next := []string{c.Initial}
	for len(next) > 0 {
		name := next[0]
		next = next[1:]
		if reached[name] {
			continue
		}
		reached[name] = true
		for _, s := range c.States {
			if s.Name == name {
				for _, event := range sortedEvents(s) {
					next = append(next, s.On[event])
				}
			}
		}
	}
	return reached
}

func sortedEvents(s State) []string {
	events := make([]string, 0, len(s.On))
	for event := range s.On {
		events = append(events, event)
	}
	slices.Sort(events)
	return events
}
