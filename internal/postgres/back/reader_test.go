package back

import (
	"testing"
	"time"

	"lotusbend/decide"
	"lotusbend/internal/postgres/wire"
)

// A position that is told too high lets a stale read through.
func TestPositionsAreExactAndRoundedSafely(t *testing.T) {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, c := range []struct {
		text string
		unit time.Duration
		up   bool
		want time.Duration
	}{
		{"1767225600123", time.Millisecond, false, ms(1767225600123)},
		{"1767225600.123", time.Second, false, ms(1767225600123)},
		{"1767225600.0000000019", time.Second, false, ms(1767225600000) + 1},
		{"1767225600.0000000019", time.Second, true, ms(1767225600000) + 2},
		{"1.0000000000", time.Second, true, time.Second},
		{"", time.Second, false, 0}, {"-1", time.Second, false, 0}, {"1.x", time.Second, false, 0},
		{"1e3", time.Second, false, 0}, {"9000000000000000", time.Millisecond, false, 0},
	} {
		if got := position([]byte(c.text), c.unit, c.up); got != c.want {
			t.Errorf("%s up %v: %d, want %d", c.text, c.up, got, c.want)
		}
	}
}

// A report of which any part can't be read must tell nothing: a role read from
// what is left would steer writes.
func TestHealth(t *testing.T) {
	for text, want := range map[string]decide.ReplicationStatus{
		"x0=2.5,x1=1,util=0.61,queue=3": {Role: decide.RolePrimary, Position: 2500 * time.Millisecond},
		"x1=0,x0=2":                     {Role: decide.RoleReplica, Position: 2 * time.Second},
	} {
		if got, ok := health([]byte(text)); !ok || got != want {
			t.Errorf("%q: %+v, %v", text, got, ok)
		}
	}
	for _, bad := range []string{"", "x1=1,util=", "x1=1,,", "x1=2", "x0=-1,x1=1", "x1", "=1,x1=1", "x0=1e300", "\x00\xff"} {
		if got, ok := health([]byte(bad)); ok {
			t.Errorf("%q is read as %+v", bad, got)
		}
	}
}

// The table of outcomes decides what may be repeated.
func TestOutcomes(t *testing.T) {
	for code, want := range map[string]decide.Outcome{
		"25006": decide.Ineligible, "72000": decide.Ineligible, "XX000": decide.Error, "53300": decide.Overloaded,
		"42601": decide.InvalidRequest, "08P01": decide.InvalidRequest, "57014": decide.Error,
	} {
		var r reader
		if err := r.take(wire.ErrorResponse, wire.AppendError(nil, "ERROR", code, "", "")[wire.HeaderLen:]); err != nil {
			t.Fatal(err)
		}
		if rep, whole := r.report(&job{}); !whole || rep.Outcome != want {
			t.Errorf("%s: %v, %v", code, rep.Outcome, whole)
		}
	}
	if _, whole := (&reader{stage: rowed}).report(&job{}); whole {
		t.Error("a row without its CommandComplete is a whole answer")
	}
}

// The tag must be that of the statement: a leftover answer may be whole.
func TestTags(t *testing.T) {
	for _, c := range []struct {
		tag, statement string
		fits           bool
	}{
		{"SELECT 1", "SELECT doc", true}, {"INSERT 0 1", " insert into", true},
		{"SELECT 1", "INSERT INTO", false}, {"SELECT 2", "SELECT doc", false}, {"SELECT", "SELECT doc", false},
		{"", "", false}, {"SELECT 1x", "SELECT 1", false},
	} {
		if got := tagFits([]byte(c.tag), []byte(c.statement)); got != c.fits {
			t.Errorf("%q for %q: %v", c.tag, c.statement, got)
		}
	}
}
