package deployconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `{"name":"n3","listen":"127.0.0.1:5433","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"memory_mb":192,"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[]},"settings":{"Classes":[
	{"Name":"a","AimMs":1,"GiveUpMs":2,"Semantics":"pure"}],"FamilyInfo":{"ClassRead":["any"],"WhenBehind":"off"},"Limits":{},"Rules":{}}}`

// The environment overrides the file, and an invalid file is an error, with which
// the program fails to start.
func TestParse(t *testing.T) {
	noVariables := func(string) string { return "" }
	config, err := Parse([]byte(validFile), noVariables)
	if err != nil || config.Seed != 0x8c1f30d27a5be964 || config.Descriptors != 1024 || config.MemoryMiB != 192 {
		t.Fatalf("Parse = %+v, %v; want the values of the file", config, err)
	}
	config, err = Parse([]byte(validFile), func(name string) string {
		return map[string]string{"GW_NAME": "other", "GW_LISTEN": "127.0.0.2:1"}[name]
	})
	if err != nil || config.Name != "other" || config.Listen != "127.0.0.2:1" {
		t.Errorf("Parse = %+v, %v; want the name and address of the environment", config, err)
	}
	for _, change := range [][2]string{
		{`{"name"`, `"name"`}, {"127.0.0.1:5433", "nowhere"}, {"127.0.0.1:8500", ""}, {"8c1f30d27a5be964", "seed"},
		{":1024", ":-1"}, {`"settings"`, `"other"`}, {`"any"`, `"odd"`}, {`"endpoints":[]`, `"endpoints":3`},
	} {
		if _, err := Parse([]byte(strings.Replace(validFile, change[0], change[1], 1)), noVariables); err == nil {
			t.Errorf("Parse with %q for %q succeeded, want an error", change[1], change[0])
		}
	}
	if _, err := Load(noVariables); !errors.Is(err, ErrNoFile) {
		t.Errorf("Load without GW_CONFIG = %v, want ErrNoFile", err)
	}
}

// GW_DISCOVERY gives the address of discovery at the start only: after SIGHUP the
// address in the file applies, while GW_NAME still overrides the file.
func TestReloadTakesDiscoveryFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validFile), 0o600); err != nil {
		t.Fatal(err)
	}
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_NAME": "n9", "GW_DISCOVERY": "127.0.0.9:1"}[name]
	}
	for _, c := range []struct {
		load func(func(string) string) (*Config, error)
		want string
	}{{Load, "127.0.0.9:1"}, {Reload, "127.0.0.1:8500"}} {
		if got, err := c.load(env); err != nil || got.Discovery != c.want || got.Name != "n9" {
			t.Errorf("got %+v, %v; want name n9 and discovery at %s", got, err, c.want)
		}
	}
}
