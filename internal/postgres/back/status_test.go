package back

import (
	"testing"
	"time"

	"lotusbend/decide"
)

// A position that is reported too high lets a stale read through.
func TestPositionsAreExactAndRoundedSafely(t *testing.T) {
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
			t.Errorf("%s, rounded up %v: %d, want %d", c.text, c.roundUp, got, c.want)
		}
	}
}

// A report of which any part is malformed must be rejected whole: a role read
// from the rest would route writes.
func TestParseHealth(t *testing.T) {
	for text, want := range map[string]decide.ReplicationStatus{
		"x0=2.5,x1=1,util=0.61,queue=3": {Role: decide.RolePrimary, Position: 2500 * time.Millisecond},
		"x1=0,x0=2":                     {Role: decide.RoleReplica, Position: 2 * time.Second},
	} {
		if got, ok := parseHealth([]byte(text)); !ok || got != want {
			t.Errorf("%q: %+v, %v", text, got, ok)
		}
	}
	for _, malformed := range []string{
		"", "x1=1,util=", "x1=1,,", "x1=2", "x0=-1,x1=1", "x1", "=1,x1=1", "x0=1e300", "\x00\xff",
	} {
		if got, ok := parseHealth([]byte(malformed)); ok {
			t.Errorf("%q is read as %+v", malformed, got)
		}
	}
}
