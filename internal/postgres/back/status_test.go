package back

import (
	"testing"
	"time"

	"lotusbend/decide"
)

// TestParsePositionIsExactAndRoundsInGivenDirection checks that positions are converted
// exactly and rounded in the given direction. A position that is too high would
// admit a stale read.
func TestParsePositionIsExactAndRoundsInGivenDirection(t *testing.T) {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, c := range []struct {
		text    string
		unit    time.Duration
		roundUp bool
		want    time.Duration
	}{
		{"1767225600123", time.Millisecond, false, ms(1767225600123)},
		{"1767225600.123", time.Second, false, ms(1767225600123)},
		{"1767225600.0000000019", time.Second, false, ms(1767225600000) + 1},
		{"1767225600.0000000019", time.Second, true, ms(1767225600000) + 2},
		{"1.0000000000", time.Second, true, time.Second},
		{"", time.Second, false, 0},
		{"-1", time.Second, false, 0},
		{"1.x", time.Second, false, 0},
		{"1e3", time.Second, false, 0},
		{"9000000000000000", time.Millisecond, false, 0},
	} {
		if got := parsePosition([]byte(c.text), c.unit, c.roundUp); got != c.want {
			t.Errorf("parsePosition(%q) with roundUp = %v: got %d, want %d", c.text, c.roundUp, got, c.want)
		}
	}
}

// TestParseHealthRejectsMalformedReports checks that a load report with any
// malformed part is rejected: a role taken from the rest could route writes to the
// wrong endpoint.
func TestParseHealthRejectsMalformedReports(t *testing.T) {
	for text, want := range map[string]decide.ReplicationStatus{
		"x0=2.5,x1=1,util=0.61,queue=3": {Role: decide.RolePrimary, Position: 2500 * time.Millisecond},
		"x1=0,x0=2":                     {Role: decide.RoleReplica, Position: 2 * time.Second},
	} {
		if got, ok := parseHealth([]byte(text)); !ok || got != want {
			t.Errorf("parseHealth(%q) = %+v, %v, want %+v, true", text, got, ok, want)
		}
	}
	for _, malformed := range []string{
		"", "x1=1,util=", "x1=1,,", "x1=2", "x0=-1,x1=1", "x1", "=1,x1=1", "x0=1e300", "\x00\xff",
	} {
		if got, ok := parseHealth([]byte(malformed)); ok {
			t.Errorf("parseHealth(%q) = %+v, want it rejected", malformed, got)
		}
	}
}
