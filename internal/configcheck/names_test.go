package configcheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/turmericfield/turmericfield/internal/config"
)

// The lists of names must have every constant that the source defines.
func TestListsOfNamesAreComplete(t *testing.T) {
	for _, c := range []struct {
		file, prefix string
		not          string // prefix of constants that are no names
		listed       []string
	}{
		{"../config/finding.go", "Name", "", config.ErrorNames()},
		{"check.go", "", "unsent", WarningNames()},
		{"compare.go", "", "Group", DifferenceNames()},
		{"compare.go", "Group", "", Groups()},
	} {
		defined := stringConstants(t, c.file, c.prefix, c.not)
		listed := slices.Sorted(slices.Values(c.listed))
		if !slices.Equal(defined, listed) {
			t.Errorf("%s defines %v, listed are %v", c.file, defined, listed)
		}
	}
}

// stringConstants returns the sorted values of a file's string constants whose names have
// one prefix and, unless it is empty, not another.
func stringConstants(t *testing.T, file, prefix, not string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, prefix) || not != "" && strings.HasPrefix(spec.Names[0].Name, not) {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			value, _ := strconv.Unquote(literal.Value)
			values = append(values, value)
		}
		return true
	})
	slices.Sort(values)
	return values
}
