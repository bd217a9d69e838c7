package routingconfig

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"lotusbend/decide"
)

const example = `{"Classes": [{"AimMs": 600, "GiveUpMs": 2500, "Group": "all", "Importance": 2, "KeyTtlMs": 5000,
	"LateWorth": 0, "Name": "read", "Semantics": "pure", "Streamed": false}], "Discovery": "ask", "New": [1],
	"FamilyInfo": {"ClassRead": ["bounded"], "OldestDataMs": [300], "PatienceMs": 50, "PositionZeroMs": 1000,
	"Stamps": false, "Tokens": "carried", "WhenBehind": "wait"},
	"Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "Limits": {"MaxAttempts": 10, "Probes": true},
	"Rules": {"RemovalNotBinding": true, "ColdMs": 17000}}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.Classes[0].MaxStaleness != 300*time.Millisecond || !c.PollOnly || !c.HealthChecksReportRole || c.RemovalEnforced ||
		c.StaleReadPolicy != decide.WaitThenReject || !c.SessionTokens || !c.HealthChecks {
		t.Errorf("Parse(example).Config = %+v, want the values of the example", c)
	}
	status := s.HealthReport([]float32{2, 1})
	if status.Role != decide.RolePrimary || status.Position > 3*time.Second || status.Position < 2999*time.Millisecond {
		t.Errorf("HealthReport(2, 1) = %+v, want a primary at 2.999 s to 3 s", status)
	}
	if status := s.HealthReport([]float32{1}); status.Role != decide.RoleUnknown {
		t.Errorf("HealthReport(1) = %+v, want an unknown role", status)
	}
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":               "x",
		"empty":                  "{}",
		"two reads of one class": strings.Replace(example, `["bounded"]`, `["bounded", "any"]`, 1),
		"no staleness bound":     strings.Replace(example, `[300]`, `[]`, 1),
		"unknown ClassRead":      strings.Replace(example, `["bounded"]`, `["x"]`, 1),
		"unknown Semantics":      strings.Replace(example, `"pure"`, `"x"`, 1),
		"unknown WhenBehind":     strings.Replace(example, `"wait"`, `"x"`, 1),
	} {
		if _, err := Parse([]byte(text)); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: Parse = %v, want ErrInvalid", name, err)
		}
	}
}

func TestFleetSizeIsAtLeastOneRouter(t *testing.T) {
	for size, want := range map[string]int{"0": 1, "-3": 1, "0.5": 1, "130": 130, "1e300": math.MaxInt32} {
		text := strings.Replace(example, `"Feedback"`, `"FleetSize": `+size+`, "Feedback"`, 1)
		s, err := Parse([]byte(text))
		if err != nil || s.Config.Routers != want {
			t.Errorf("FleetSize %s: Parse = %+v, %v; want %d routers", size, s, err, want)
		}
	}
	if s, err := Parse([]byte(example)); err != nil || s.Config.Routers != 1 {
		t.Errorf("no FleetSize: Parse = %+v, %v; want 1 router", s, err)
	}
}
