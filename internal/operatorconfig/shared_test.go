package operatorconfig

import (
	"strings"
	"testing"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// Shared state is off without its section, missing keys keep their defaults, and
// an error is one line with the file and the line.
func TestSharedSection(t *testing.T) {
	member := `"membership": {"bind": "127.0.0.1:7000"}`
	o, err := Parse("f", []byte(`{`+member+`, "shared": {"lease_ms": 4000, "skew_ms": 0, "sabotage": "trust-one"}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := fleetstate.Defaults()
	want.LeaseMs = 4000
	want.SkewMs = 0
	want.FaultInjection = faultinjection.TrustOne
	if o.Shared == nil || o.Shared.Rules != want {
		t.Errorf("Parse: shared = %+v, want %+v", o.Shared, want)
	}
	if o, err := Parse("f", []byte(`{`+member+`}`)); err != nil || o.Shared != nil {
		t.Errorf("Parse without the section: shared = %+v, %v; want nil", o.Shared, err)
	}
	for text, says := range map[string]string{
		`{"shared": {}}`: "shared requires membership",
		`{` + member + `, "shared": {"lease_ms": 1}}`:                   "lease_ms",
		`{` + member + `, "shared": {"lease_ms": 300, "tick_ms": 200}}`: "twice the tick",
		`{` + member + `, "shared": {"share_most": 1}}`:                 "share_most",
		`{` + member + `, "shared": {"fold_ms": 20000}}`:                "ten leases",
		`{` + member + `, "shared": {"sabotage": "all"}}`:               "sabotage",
		`{` + member + `, "shared": {"leases_ms": 1}}`:                  "leases_ms",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "f:1:") {
			t.Errorf("%s: %v, want one line at f:1 that names %q", text, err, says)
		}
	}
}
