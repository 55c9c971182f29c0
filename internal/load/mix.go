// Package load sends load to a running system, as its callers would, and reports
// latencies and outcomes, also for each workspace. The load is open-loop: requests are
// sent at scheduled times, whether or not earlier ones have been answered.
package load

import (
	"embed"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Mix describes the traffic of a deployment: the kinds of requests and the workspaces
// that send them.
type Mix struct {
	Requests   []Request   `yaml:"requests"`
	Workspaces []Workspace `yaml:"workspaces"`
}

// Request is one kind of request of a mix.
type Request struct {
	Name   string       `yaml:"name"`
	Method string       `yaml:"method"`
	Path   string       `yaml:"path"`
	Class  config.Class `yaml:"class"`
	// Weight is how often the request is sent, relative to the other requests of the
	// same workspace.
	Weight float64 `yaml:"weight"`
	// BodyBytes is the size of the request's body.
	BodyBytes int `yaml:"body_bytes,omitempty"`
	// AnswerBytes is the size of the answer, which a stand-in target is asked for. A
	// shorter answer counts as broken. 0 means any size.
	AnswerBytes int `yaml:"answer_bytes,omitempty"`
	// Repeatable says that the caller may send the request again after an
	// unknown outcome.
	Repeatable bool `yaml:"repeatable,omitempty"`
}

// Workspace is a workspace that sends requests of a mix.
type Workspace struct {
	Name string `yaml:"name"`
	// Key is the workspace's key, as id.secret.
	Key string `yaml:"key"`
	// Weight is how many requests the workspace sends, relative to the others.
	Weight float64 `yaml:"weight"`
	// Requests names the kinds of requests that the workspace sends; empty means
	// all of them.
	Requests []string `yaml:"requests,omitempty"`
}

// mixes holds the built-in mixes.
//
//go:embed mixes/*.yaml
var mixes embed.FS

// ReadMix returns a built-in mix by its name, or reads a mix from a YAML file. The
// error of a mix with invalid values is config.Findings, one for each of them.
func ReadMix(nameOrFile string) (*Mix, error) {
	text, err := mixes.ReadFile("mixes/" + nameOrFile + ".yaml")
	if err != nil {
		if text, err = os.ReadFile(nameOrFile); err != nil {
			return nil, errors.Wrapf(err, "mix %q is neither built in nor a file", nameOrFile)
		}
	}
	mix := &Mix{}
	decoder := yaml.NewDecoder(strings.NewReader(string(text)))
	decoder.KnownFields(true)
	if err := decoder.Decode(mix); err != nil {
		return nil, errors.Wrapf(err, "mix %q", nameOrFile)
	}
	return mix, mix.validate(nameOrFile)
}

// validate returns every fault of a mix. The file is named in the findings.
func (m *Mix) validate(file string) error {
	var findings config.Findings
	add := func(path, message string) {
		findings = append(findings, config.Finding{File: file, Path: path, Message: message})
	}
	if len(m.Requests) == 0 {
		add("requests", "needs at least one request")
	}
	if len(m.Workspaces) == 0 {
		add("workspaces", "needs at least one workspace")
	}
	for i, r := range m.Requests {
		path := fmt.Sprintf("requests[%d]", i)
		if !strings.HasPrefix(r.Path, "/") {
			add(path+".path", fmt.Sprintf("path %q must begin with /", r.Path))
		}
		if r.Method == "" {
			add(path+".method", "must be set")
		}
		if r.Weight <= 0 {
			add(path+".weight", fmt.Sprintf("must be above 0, is %g", r.Weight))
		}
	}
	for i, w := range m.Workspaces {
		if w.Weight <= 0 {
			add(fmt.Sprintf("workspaces[%d].weight", i), fmt.Sprintf("must be above 0, is %g", w.Weight))
		}
		for j, name := range w.Requests {
			if !slices.ContainsFunc(m.Requests, func(r Request) bool { return r.Name == name }) {
				add(fmt.Sprintf("workspaces[%d].requests[%d]", i, j), fmt.Sprintf("request %q does not exist", name))
			}
		}
	}
	return findings.Err()
}
