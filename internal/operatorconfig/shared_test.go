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
	membershipSection := `"membership": {"bind": "127.0.0.1:7000"}`
	options, err := Parse("f", []byte(`{`+membershipSection+`, "shared": {"lease_ms": 4000, "skew_ms": 0, "sabotage": "trust-one"}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := fleetstate.Defaults()
	want.LeaseMs = 4000
	want.SkewMs = 0
	want.FaultInjection = faultinjection.TrustOne
	if options.Shared == nil || options.Shared.Rules != want {
		t.Errorf("Parse: shared = %+v, want %+v", options.Shared, want)
	}
	if options, err := Parse("f", []byte(`{`+membershipSection+`}`)); err != nil || options.Shared != nil {
		t.Errorf("Parse without the section: shared = %+v, %v; want nil", options.Shared, err)
	}
	for text, part := range map[string]string{
		`{"shared": {}}`: "shared requires membership",
		`{` + membershipSection + `, "shared": {"lease_ms": 1}}`:                   "lease_ms",
		`{` + membershipSection + `, "shared": {"lease_ms": 300, "tick_ms": 200}}`: "twice the tick",
		`{` + membershipSection + `, "shared": {"share_most": 1}}`:                 "share_most",
		`{` + membershipSection + `, "shared": {"fold_ms": 20000}}`:                "ten leases",
		`{` + membershipSection + `, "shared": {"sabotage": "all"}}`:               "sabotage",
		`{` + membershipSection + `, "shared": {"leases_ms": 1}}`:                  "leases_ms",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), part) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "f:1:") {
			t.Errorf("%s: %v, want one line at f:1 that names %q", text, err, part)
		}
	}
}
