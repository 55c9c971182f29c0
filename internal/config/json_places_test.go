package config

import (
	"fmt"
	"testing"
)

func TestLinesOfJSONPaths(t *testing.T) {
	const text = `
{"a": [1,
  {"b": "}]\"\\", "c":
    null,
   "B": {"x": [true, false,
     -1.5e3]}}
 ], "a.b": {},
 "d": "
",
 "e": 7}`
	for path, want := range map[string]int{
		"":              2,
		"a":             2,
		"a[0]":          2,
		"a[1]":          3,
		"a[1].c":        4,
		"a[1].b":        5, // the last of several fields of one name counts
		"a[1].b.x[2]":   6,
		"a[1].b.x[3]":   5, // the deepest value on the path that exists
		"a[1].none.x":   3,
		"a[9].b":        2,
		"A[1].C":        4,
		"e":             10,
		"e.f[2].g":      10,
		"file":          2,
		"none[2].other": 2,
	} {
		for _, others := range []int{0, 100} {
			findings := Findings{{Path: path}, {Path: "a[0]"}}
			for i := range others {
				findings = append(findings, Finding{Path: fmt.Sprintf("a[%d]", 3+i)}, Finding{Path: fmt.Sprintf("a[1].f%d", i)})
			}
			SetJSONPlaces("f", []byte(text), findings)
			if findings[0].Line != want || findings[0].File != "f" || findings[1].Line != 2 {
				t.Errorf("%s with %d others: line %d, want %d", path, others, findings[0].Line, want)
			}
		}
	}
	for _, broken := range []string{"", "{", `{"a`, `{"a":[`, `["\`, "]", "{]}", `{"a":}`} {
		findings := Findings{{Path: "a[0].b"}}
		SetJSONPlaces("f", []byte(broken), findings)
		if findings[0].Line != 1 {
			t.Errorf("%q: line %d", broken, findings[0].Line)
		}
	}
}
