package back

import (
	"testing"

	"lotusbend/decide"
	"lotusbend/internal/postgres/wire"
)

// TestErrorCodesMapToOutcomes checks the outcome for each SQLSTATE code, which
// decides whether a retry is safe, and that a row without its CommandComplete is
// not a complete answer.
func TestErrorCodesMapToOutcomes(t *testing.T) {
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
		if err := received.addMessage(wire.ErrorResponse, message[wire.HeaderLen:]); err != nil {
			t.Fatal(err)
		}
		if report, complete := received.report(&job{}); !complete || report.Outcome != want {
			t.Errorf("%s: got outcome %v, complete = %v, want %v, true", code, report.Outcome, complete, want)
		}
	}
	if _, complete := (&answer{stage: rowRead}).report(&job{}); complete {
		t.Error("report() of a row without CommandComplete: complete = true, want false")
	}
}

// TestTagMatchesStatement checks that only the tag of the statement itself is
// accepted, as a leftover answer to another statement may be complete as well.
func TestTagMatchesStatement(t *testing.T) {
	for _, c := range []struct {
		tag       string
		statement string
		want      bool
	}{
		{"SELECT 1", "SELECT doc", true},
		{"INSERT 0 1", " insert into", true},
		{"SELECT 1", "INSERT INTO", false},
		{"SELECT 2", "SELECT doc", false},
		{"SELECT", "SELECT doc", false},
		{"", "", false},
		{"SELECT 1x", "SELECT 1", false},
	} {
		if got := tagMatches([]byte(c.tag), []byte(c.statement)); got != c.want {
			t.Errorf("tagMatches(%q, %q) = %v, want %v", c.tag, c.statement, got, c.want)
		}
	}
}
