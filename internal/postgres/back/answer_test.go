package back

import (
	"testing"

	"lotusbend/decide"
	"lotusbend/internal/postgres/wire"
)

// The outcome of an error decides whether a retry is safe.
func TestOutcomesOfErrors(t *testing.T) {
	for code, want := range map[string]decide.Outcome{
		"25006": decide.Ineligible,
		"72000": decide.Ineligible,
		"XX000": decide.Error,
		"53300": decide.Overloaded,
		"42601": decide.InvalidRequest,
		"08P01": decide.InvalidRequest,
		"57014": decide.Error,
	} {
		var received answer
		message := wire.AppendErrorResponse(nil, "ERROR", code, "", "")
		if err := received.take(wire.ErrorResponse, message[wire.HeaderLen:]); err != nil {
			t.Fatal(err)
		}
		if report, complete := received.report(&job{}); !complete || report.Outcome != want {
			t.Errorf("%s: %v, %v", code, report.Outcome, complete)
		}
	}
	if _, complete := (&answer{stage: rowRead}).report(&job{}); complete {
		t.Error("a row without its CommandComplete is a complete answer")
	}
}

// The tag must be that of the statement: a leftover answer may be complete.
func TestTagFitsStatement(t *testing.T) {
	for _, c := range []struct {
		tag       string
		statement string
		fits      bool
	}{
		{"SELECT 1", "SELECT doc", true},
		{"INSERT 0 1", " insert into", true},
		{"SELECT 1", "INSERT INTO", false},
		{"SELECT 2", "SELECT doc", false},
		{"SELECT", "SELECT doc", false},
		{"", "", false},
		{"SELECT 1x", "SELECT 1", false},
	} {
		if got := tagFits([]byte(c.tag), []byte(c.statement)); got != c.fits {
			t.Errorf("%q for %q: %v", c.tag, c.statement, got)
		}
	}
}
