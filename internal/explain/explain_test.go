package explain

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

// sampleLog is a log of two instances, which both handled request r1.
const sampleLog = `
  1.0 front-a {"message":"store: lost","evidence_age_ms":4100}
  1.1 front-b {"message":"store: regained"}
  1.2 front-a {"request":"r1","decision":"refused","reason":"keys-stale","status":503}
  not a line of ours
  1.3 front-b {"request":"r1","decision":"answered","status":200}
`

// TestStateAndCauseOfARequest checks that the output shows the state of each instance
// before the request, its decisions and their causes.
func TestStateAndCauseOfARequest(t *testing.T) {
	var out strings.Builder
	if err := Request(strings.NewReader(sampleLog), "r1", &out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"believed  front-a {\"message\":\"store: lost\"", "refused   front-a", causes["keys-stale"], "believed  front-b {\"message\":\"store: regained\"", "answered  front-b"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if err := Request(strings.NewReader(sampleLog), "r2", &out); err == nil {
		t.Error("an unknown request gave no error")
	}
}

// TestExplanationNamesTargetsOfTheServiceThatAreNotServing checks that the output shows,
// for each such target, the last change before the request.
func TestExplanationNamesTargetsOfTheServiceThatAreNotServing(t *testing.T) {
	const log = `
  1.0 front-a {"message":"target: changed","target":"t1","service":"s","to":"paused","source":"response","for_ms":900}
  1.1 front-a {"message":"target: changed","target":"t2","service":"s","to":"ejected","source":"response","for_ms":1000}
  1.2 front-a {"message":"target: changed","target":"t2","service":"s","from":"ejected","to":"serving"}
  1.2 front-a {"message":"target: changed","target":"t6","service":"s","to":"leaving","source":"registration"}
  1.2 front-a {"message":"targets: ended","ended":["t6"]}
  1.3 front-a {"message":"target: changed","target":"t3","service":"other","to":"leaving","source":"registration"}
  1.4 front-b {"message":"target: changed","target":"t4","service":"s","to":"leaving","source":"registration"}
  1.5 front-a {"message":"target: changed","target":"t1","service":"s","to":"leaving","source":"response"}
  1.6 front-a {"request":"r1","decision":"refused","reason":"unavailable","service":"s"}
  1.7 front-a {"message":"target: changed","target":"t5","service":"s","to":"leaving","source":"response"}
`
	var out strings.Builder
	if err := Request(strings.NewReader(log), "r1", &out); err != nil {
		t.Fatal(err)
	}
	want := `believed  front-a {"message":"target: changed","target":"t1","service":"s","to":"leaving","source":"response"}
refused   front-a {"request":"r1","decision":"refused","reason":"unavailable","service":"s"}
cause     ` + causes["unavailable"] + "\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

// TestEachReasonHasACause fails if a reason with which the gateway refuses a request
// has no explanation. It finds the reasons in the gateway's source.
func TestEachReasonHasACause(t *testing.T) {
	reason := regexp.MustCompile(`refusal\{http\.Status\w+, "([a-z-]+)"`)
	files, err := filepath.Glob("../gateway/*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range reason.FindAllStringSubmatch(string(text), -1) {
			found++
			if causes[m[1]] == "" {
				t.Errorf("%s: reason %q has no cause", file, m[1])
			}
		}
	}
	if found < 20 {
		t.Fatalf("only %d reasons found", found)
	}
	for _, r := range []affinity.Reason{affinity.NoTarget, affinity.Full, affinity.Unavailable} {
		if causes[string(r)] == "" {
			t.Errorf("reason %q has no cause", r)
		}
	}
}
