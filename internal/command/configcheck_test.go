package command

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/configcheck"
	"github.com/turmericfield/turmericfield/platform"
)

// No file may make the check crash, and each finding must have a file, a path in it, a
// known name and a severity. A file does not differ from itself.
func FuzzConfigCheck(f *testing.F) {
	archive, err := txtar.ParseFile("../../test/scripts/testdata/configcheck.txtar")
	if err != nil {
		f.Fatal(err)
	}
	var seeds [][]byte
	for _, file := range archive.Files {
		seeds = append(seeds, file.Data)
	}
	examples, err := filepath.Glob("../../examples/*.*")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range examples {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, text)
	}
	for i, text := range seeds {
		f.Add(text, seeds[(i+1)%len(seeds)])
	}
	known := slices.Concat(config.ErrorNames(), configcheck.WarningNames(), configcheck.DifferenceNames())
	instance, err := platform.CheckedInstance("")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text, oldText []byte) {
		require := func(findings config.Findings) {
			for _, found := range findings {
				if found.File == "" || found.Path == "" || found.Message == "" || found.Severity == "" || found.Line < 0 || !slices.Contains(known, found.Name) {
					t.Errorf("finding %+v", found)
				}
				if found.Severity == config.SeverityWarning && found.Line == 0 {
					t.Errorf("warning without a line: %+v", found)
				}
			}
		}
		parse := func(name string, text []byte) *loadedConfiguration {
			c, err := parseConfiguration(name, text)
			var findings config.Findings
			if err != nil && (!errors.As(err, &findings) || len(findings) == 0) {
				t.Fatalf("error %v without findings", err)
			}
			require(findings)
			return c
		}
		c, old := parse("new", text), parse("old", oldText)
		if c == nil {
			return
		}
		require(c.place(configcheck.Check(c.Configuration, instance)))
		if inOld, inNew := configcheck.Compare(c.Configuration, c.Configuration); len(inOld)+len(inNew) > 0 {
			t.Errorf("differs from itself: %v %v", inOld, inNew)
		}
		if old != nil && old.form == c.form {
			inOld, inNew := configcheck.Compare(old.Configuration, c.Configuration)
			require(old.place(inOld))
			require(c.place(inNew))
		}
	})
}
