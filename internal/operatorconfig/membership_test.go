package operatorconfig

import (
	"regexp"
	"testing"
)

func TestMembershipIsOffByDefault(t *testing.T) {
	options, err := Parse("f", []byte(`{"log": {}}`))
	if err != nil || options.Membership != nil {
		t.Fatalf("Parse without membership = %v, %+v; want nil", err, options.Membership)
	}
	options, err = Parse("f", []byte(`{"membership": {"bind": "127.0.0.2:7946", "seeds": ["127.0.0.1:7946"], "period_ms": 100}}`))
	if err != nil {
		t.Fatal(err)
	}
	if section := options.Membership; section.Bind != "127.0.0.2:7946" || len(section.Seeds) != 1 || section.ProbeIntervalMs != 100 || section.SuspicionMult != 4 {
		t.Fatalf("Parse = %+v, want the values of the section and defaults", section)
	}
}

func TestMembershipErrorsNameFileLineAndPath(t *testing.T) {
	for text, want := range map[string]string{
		`{"membership": {}}`:                                           `f:1: membership: bind is required`,
		`{"membership": {"bind": "[::1]:7"}}`:                          `f:1: membership.bind: "\[::1\]:7": not an IPv4 address`,
		`{"membership": {"bind": "127.0.0.1:7", "period_ms": 5}}`:      `f:1: membership.period_ms: 5: expected a whole number from 20`,
		`{"membership": {"bind": "127.0.0.1:7", "seeds": ["x"]}}`:      `f:1: membership.seeds\[0\]: "x": not an IPv4`,
		`{"membership": {"bind": "127.0.0.1:7", "budget_bytes_s": 9}}`: `f:1: membership.budget_bytes_s: 9`,
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !regexp.MustCompile("^"+want).MatchString(err.Error()) {
			t.Errorf("Parse(%s) = %v, want %s", text, err, want)
		}
	}
}
