package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const smallFile = `regions:
  - {name: sierra, link_mbps: 4000}
availability_zones:
  - {name: sierra-1, region: sierra}
services:
  - name: listings
    slots: 6
    max_connections: 400
    targets:
      - {name: listings-1, availability_zone: sierra-1, address: "127.0.0.1:80"}
routes:
  - {name: read, service: listings, path_prefix: /, methods: [GET], class: interactive, timeout_ms: 2000}
workspaces:
  - {name: quito, rate: 100, burst: 20, routes: [read], keys: []}
`

// The example files must be valid and describe the two deployments in their sizes.
func TestExamplesAreValid(t *testing.T) {
	sizes := map[string][2]int{"cooperative.yaml": {32, 12}, "association.yaml": {24, 12}}
	for name, targets := range sizes {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		if err != nil {
			t.Fatal(err)
		}
		doc, err := Parse(name, text)
		if err != nil {
			t.Fatal(err)
		}
		seats := 0
		for _, z := range doc.AvailabilityZones {
			seats += z.Seats()
		}
		if len(doc.Services[0].Targets) != targets[0] || len(doc.Services[1].Targets) != targets[1] ||
			len(doc.Workspaces) != 8 || len(doc.AvailabilityZones) != 6 || seats != 7 {
			t.Errorf("%s does not have the size of its deployment", name)
		}
	}
}

func TestBadFilesAreReportedWithTheirPlace(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{"slots: 6", "slots: 0", "f.yaml:7: services[0].slots: must be above 0"},
		{"region: sierra}", "region: costa}", `f.yaml:4: availability_zones[0].region: region "costa" does not exist`},
		{"region: sierra}", "region: sierra, instances: -1}", "f.yaml:4: availability_zones[0].instances: must be 0 to"},
		{"region: sierra}", "region: sierra, reserve_share: .nan}", "f.yaml:4: availability_zones[0].reserve_share: must be 0 to 1"},
		{`"127.0.0.1:80"`, `"localhost:80"`, "f.yaml:10: services[0].targets[0].address:"},
		{"rate: 100", "rate: .inf", "f.yaml:14: workspaces[0].rate:"},
		{"routes: [read]", "routes: [write]", "f.yaml:14: workspaces[0].routes[0]:"},
		{"keys: []", "keys: [{id: a, sha256: plain-secret}]", "f.yaml:14: workspaces[0].keys[0].sha256:"},
		{"class: interactive", "class: fast", "f.yaml:12: routes[0].class:"},
		{"name: quito", "nam: quito", "f.yaml:14: yaml: field nam not found"},
		{"slots: 6", "slots: six", "f.yaml:7: yaml: cannot unmarshal"},
		{smallFile, "", "f.yaml:file: is empty"},
		{smallFile, smallFile + "---\n" + smallFile, "f.yaml:file: holds more than one YAML document"},
		{smallFile, "a: [", "f.yaml:"},
	}
	for _, c := range cases {
		_, err := Parse("f.yaml", []byte(strings.Replace(smallFile, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error is %v, not %q", c.new, err, c.want)
		}
	}
}

// TestHomeRegionsInAFileAreRefused guards against home regions that an operator's file
// sets and that serve, whose placement knows none, does not keep to.
func TestHomeRegionsInAFileAreRefused(t *testing.T) {
	for _, c := range []struct{ old, place string }{{"timeout_ms: 2000", "f.yaml:12"}, {"burst: 20", "f.yaml:14"}} {
		for _, name := range []string{"home_regions", "homeRegions", "HomeRegions", "homeregions"} {
			_, err := Parse("f.yaml", []byte(strings.Replace(smallFile, c.old, c.old+", "+name+": [sierra]", 1)))
			if want := c.place + ": yaml: field " + name + " not found"; err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error is %v, not %q", err, want)
			}
		}
	}
}

func TestAllFindingsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer("slots: 6", "slots: 0", "class: interactive", "class: fast", "burst: 20", "burst: 0").Replace(smallFile)
	_, err := Parse("f.yaml", []byte(text))
	if findings, ok := err.(Findings); !ok || len(findings) != 3 {
		t.Fatalf("error is %v", err)
	}
}

func TestUnknownFieldsHideNoOtherFinding(t *testing.T) {
	text := strings.NewReplacer("slots: 6", "slots: 0\n    sluts: 6", "class: interactive", "class: fast, kind: x", "burst: 20", "burst: 0").Replace(smallFile)
	_, err := Parse("f.yaml", []byte(text))
	findings, ok := err.(Findings)
	if !ok || len(findings) != 5 {
		t.Fatalf("error is %v", err)
	}
	for _, f := range findings {
		if f.File != "f.yaml" || f.Line == 0 {
			t.Errorf("finding without file or line: %+v", f)
		}
	}
}

// Whatever bytes of a file are changed, removed or inserted, the parser must not
// panic, must not accept a document that Validate refuses, and must return its
// errors as findings.
func TestDamagedFilesNeverCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(smallFile)
		for range rapid.IntRange(1, 8).Draw(t, "damages") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				text[at] = rapid.Byte().Draw(t, "byte")
			case 1:
				text = append(text[:at:at], text[min(at+rapid.IntRange(1, 30).Draw(t, "cut"), len(text)):]...)
			case 2:
				piece := rapid.SampledFrom([]string{"&a", "*a", "{", "[", ": ", "\n", "- ", "null", "!!binary ", "<<: "}).Draw(t, "piece")
				text = append(text[:at:at], append([]byte(piece), text[at:]...)...)
			}
			if len(text) == 0 {
				return
			}
		}
		doc, err := Parse("f.yaml", text)
		if err == nil && len(Validate(doc)) > 0 {
			t.Fatalf("accepted an invalid document: %v", Validate(doc))
		}
		if err != nil {
			if _, ok := err.(Findings); !ok {
				t.Fatalf("error %v is not of type Findings", err)
			}
		}
	})
}
