package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Limits on the size of the package's source files, which keep it readable.
const (
	maxColumns       = 110 // a tab counts as four columns
	maxFileLines     = 400
	maxFunctionLines = 60
)

// TestSourceStaysReadable checks the length of every file, function and line of
// the package but its tests.
func TestSourceStaysReadable(t *testing.T) {
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: %d lines, at most %d", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if columns := len(strings.ReplaceAll(line, "\t", "    ")); columns > maxColumns {
				t.Errorf("%s:%d: %d columns, at most %d", name, i+1, columns, maxColumns)
			}
		}
		checkFunctions(t, name, text)
	}
}

// checkFunctions checks the length of every function of one file.
func checkFunctions(t *testing.T, name string, text []byte) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, text, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
		if lines > maxFunctionLines {
			t.Errorf("%s: %s has %d lines, at most %d", name, function.Name.Name, lines, maxFunctionLines)
		}
	}
}

// TestDeploymentNamesEveryFile checks that the policy list of the deployment file
// names every file of the package but its tests, as each may hold decisions.
func TestDeploymentNamesEveryFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]`).FindSubmatch(text)
	if policy == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	var named []string
	for _, match := range regexp.MustCompile(`"decide/([^"]+)"`).FindAllSubmatch(policy[1], -1) {
		named = append(named, string(match[1]))
	}
	slices.Sort(named)
	if files := sourceFiles(t); !slices.Equal(files, named) {
		t.Errorf("deploy/balancer.toml names %v, the package has %v", named, files)
	}
}

// sourceFiles returns the names of the package's files but its tests, sorted.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}
