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

// A bad configuration ends the program at its start, with a plain line.
func TestParse(t *testing.T) {
	none := func(string) string { return "" }
	c, err := Parse([]byte(validFile), none)
	if err != nil || c.Seed != 0x8c1f30d27a5be964 || c.Descriptors != 1024 || c.MemoryMiB != 192 {
		t.Fatalf("%+v, %v", c, err)
	}
	c, err = Parse([]byte(validFile), func(name string) string {
		return map[string]string{"GW_NAME": "other", "GW_LISTEN": "127.0.0.2:1"}[name]
	})
	if err != nil || c.Name != "other" || c.Listen != "127.0.0.2:1" {
		t.Errorf("the environment is not heard: %+v, %v", c, err)
	}
	for _, change := range [][2]string{
		{`{"name"`, `"name"`}, {"127.0.0.1:5433", "nowhere"}, {"127.0.0.1:8500", ""}, {"8c1f30d27a5be964", "seed"},
		{":1024", ":-1"}, {`"settings"`, `"other"`}, {`"any"`, `"odd"`}, {`"endpoints":[]`, `"endpoints":3`},
	} {
		if _, err := Parse([]byte(strings.Replace(validFile, change[0], change[1], 1)), none); err == nil {
			t.Errorf("no error with %q for %q", change[1], change[0])
		}
	}
	if _, err := Load(none); !errors.Is(err, ErrNoFile) {
		t.Errorf("without a file: %v, want ErrNoFile", err)
	}
}

// The address of discovery that the environment gave was that of the start:
// the file that SIGHUP points to names the one from now on.
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
			t.Errorf("%+v, %v; want discovery at %s", got, err, c.want)
		}
	}
}
