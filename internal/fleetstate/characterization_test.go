package fleetstate_test

import (
	"bufio"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// update rewrites the expected digests. They fix the behaviour of the package and
// may change only with a deliberate change of behaviour, never to make a
// refactoring pass.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt, only with a deliberate change of behaviour")

var goldenFile = filepath.Join("testdata", "characterization.txt")

// TestCharacterization runs seeded scenarios of routers that share state over
// unreliable links and compares a digest of all outputs of the nodes with the
// recorded one. The digests cover only values and their order, so that renaming a
// type, a field or a kind does not change them.
func TestCharacterization(t *testing.T) {
	golden, got := readGolden(t), map[string]string{}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(t, s)
			s.script(c)
			c.recordNodes()
			got[s.name] = c.digest.sum()
			if !*update && got[s.name] != golden[s.name] {
				t.Errorf("digest = %q, want %q", got[s.name], golden[s.name])
			}
		})
	}
	if *update {
		writeGolden(t, got)
		return
	}
	for name := range golden {
		if !slices.ContainsFunc(scenarios, func(s scenario) bool { return s.name == name }) {
			t.Errorf("%s has a digest for %q, which is not a scenario", goldenFile, name)
		}
	}
}

// readGolden returns the recorded digests by scenario name. It returns nil if the
// file does not exist and is about to be written.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open(goldenFile)
	if os.IsNotExist(err) && *update {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	golden := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, value, found := strings.Cut(lines.Text(), " ")
		if _, twice := golden[name]; !found || twice {
			t.Fatalf("%s: line %q is malformed or repeated", goldenFile, lines.Text())
		}
		golden[name] = value
	}
	return golden
}

// writeGolden writes the digests of all scenarios to the golden file.
func writeGolden(t *testing.T, got map[string]string) {
	t.Helper()
	if len(got) != len(scenarios) {
		t.Fatalf("%d of %d scenarios ran, want all of them for -update", len(got), len(scenarios))
	}
	var content strings.Builder
	for _, name := range slices.Sorted(maps.Keys(got)) {
		fmt.Fprintln(&content, name, got[name])
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(content.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
