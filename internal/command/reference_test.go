package command

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// referenceFile is the operators' reference, which describes every command, flag,
// metric and log message.
const referenceFile = "../../docs/OPERATIONS.md"

func readReference(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(referenceFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestReferenceNamesEveryCommandAndFlag fails if a command or flag is missing in
// the reference: each command must have a heading, and the text under it or under
// the heading of one of its parent commands must name each of its flags.
func TestReferenceNamesEveryCommandAndFlag(t *testing.T) {
	sections := map[string]string{}
	for _, part := range strings.Split(readReference(t), "\n### `")[1:] {
		name, text, _ := strings.Cut(part, "`")
		text, _, _ = strings.Cut(text, "\n## ")
		sections[name] = text
	}
	var check func(cmd *cobra.Command, inherited string)
	check = func(cmd *cobra.Command, inherited string) {
		section, ok := sections[cmd.CommandPath()]
		if !ok && cmd.HasParent() {
			t.Errorf("no heading for %q", cmd.CommandPath())
		}
		section += inherited
		cmd.LocalFlags().VisitAll(func(f *pflag.Flag) {
			if f.Name != "help" && !strings.Contains(section, "`--"+f.Name+"`") {
				t.Errorf("%s: flag --%s is not described", cmd.CommandPath(), f.Name)
			}
		})
		for _, c := range cmd.Commands() {
			check(c, section)
		}
	}
	check(newRoot(), "")
}

// TestReferenceNamesEveryMetricAndLogPrefix fails if a metric, or the prefix of a
// log message such as "store: ", is missing in the reference. It finds both in the
// program's source.
func TestReferenceNamesEveryMetricAndLogPrefix(t *testing.T) {
	reference := readReference(t)
	var metricNames, logPrefixes int
	for position, call := range sourceCalls(t) {
		name, kind := reportedName(call)
		want := "`" + name
		switch kind {
		case "metric":
			metricNames++
		case "log":
			logPrefixes++
			prefix, _, ok := strings.Cut(name, ": ")
			if !ok {
				t.Errorf("%s: log line %q has no prefix", position, name)
			}
			want = "`" + prefix + ": "
		default:
			continue
		}
		if !strings.Contains(reference, want) {
			t.Errorf("%s: %s %q is not described", position, kind, name)
		}
	}
	if metricNames < 10 || logPrefixes < 10 {
		t.Errorf("found only %d metrics and %d log lines in the source", metricNames, logPrefixes)
	}
}

// sourceCalls returns the function calls in the program's source, without its
// tests, by their position as file:line:column.
func sourceCalls(t *testing.T) map[string]*ast.CallExpr {
	t.Helper()
	calls := map[string]*ast.CallExpr{}
	files := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				calls[files.Position(call.Lparen).String()] = call
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return calls
}

// reportedName returns the string literal that a call passes as the name of a
// metric or as the message of a log line, and which of the two it is: "metric",
// "log", or "" for any other call. The name of a metric with a label is passed to
// metrics.Label. Add is also the name of other methods, so that it counts only
// with the two arguments and the name of a counter.
func reportedName(call *ast.CallExpr) (name, kind string) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return "", ""
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", ""
	}
	name, _ = strconv.Unquote(literal.Value)
	switch selector.Sel.Name {
	case "Msg":
		return name, "log"
	case "Label", "Gauge", "Observe":
		return name, "metric"
	case "Add":
		if len(call.Args) == 2 && strings.HasSuffix(name, "_total") {
			return name, "metric"
		}
	}
	return "", ""
}
