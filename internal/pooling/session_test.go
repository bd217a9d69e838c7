package pooling

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// applySQL applies the effects of the statements of a query string to a session.
func applySQL(s *Session, sql string) {
	for _, e := range (Analyzer{StandardConformingStrings: true}).Analyze(sql) {
		s.Apply(e)
	}
}

func TestPinsLastUntilReleased(t *testing.T) {
	for sql, want := range map[string]Pin{
		"select 1; begin; insert into t values (1); commit": 0,
		"listen a":                                                PinListen,
		"listen a; unlisten *":                                    0,
		"listen a; begin; unlisten *":                             PinListen,
		"listen a; begin; unlisten *; rollback":                   PinListen,
		"listen a; begin; unlisten *; commit":                     0,
		"listen a; begin; unlisten *; listen b; commit":           PinListen,
		"create temp table t (a int); select pg_advisory_lock(1)": PinTemp | PinLock,
		"create temp table t (a int); discard temp":               0,
		"select f(1); discard all":                                0,
		"select f(1); begin; discard all":                         PinUnknown, // rejected inside a transaction
		"create temp table t (a int); rollback":                   PinTemp,
	} {
		s := &Session{}
		applySQL(s, sql)
		if s.Pins() != want {
			t.Errorf("Pins() after %q = %v, want %v", sql, s.Pins(), want)
		}
	}
	s := &Session{}
	applySQL(s, "listen a; begin; unlisten *")
	s.Fail()
	applySQL(s, "commit") // rolls the failed transaction back
	if s.Pins() != PinListen {
		t.Errorf("Pins() after COMMIT of a failed transaction = %v, want %v", s.Pins(), PinListen)
	}
}

func TestConnectionIsReusableOnlyWithoutOpenState(t *testing.T) {
	for sql, want := range map[string]bool{"set a to 1": true, "begin": false, "listen a": false,
		"begin; commit and chain": false, "begin; select 1; rollback": true} {
		var connection ConnectionState
		s := &Session{}
		if applySQL(s, sql); connection.Release(s) != want {
			t.Errorf("Release after %q = %t, want %t", sql, !want, want)
		}
	}
}

// server models the session on the server, which applies the statements that it
// receives.
type server struct{ Session }

// Several sessions share one connection: each must find its own settings and
// prepared statements there, and none of another session.
func TestHandoverNeverLeaksState(t *testing.T) {
	statements := []string{"set a to 1", "set a to 'two'", "set b.c to 3", "reset a", "reset all",
		"begin; set a to 4; commit", "begin; set a to 5; rollback",
		"set local a to 6", "prepare p as select 1", "prepare p as select 2", `prepare "Q q" as select 3`, "deallocate p",
		"deallocate all", "discard all", "select 1"}
	rapid.Check(t, func(t *rapid.T) {
		var connection ConnectionState
		real := &server{}
		clients := make([]*Session, rapid.IntRange(2, 4).Draw(t, "clients"))
		for i := range clients {
			clients[i] = &Session{}
		}
		roundTrips := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(clients).Draw(t, "client")
			if query := connection.HandoverSQL(s); query != "" {
				roundTrips++
				applySQL(&real.Session, query)
			}
			connection.RecordHandover(s)
			if again := connection.HandoverSQL(s); again != "" {
				t.Fatalf("HandoverSQL after RecordHandover = %q, want none", again)
			}
			onServer := real.Session.CommittedSettings()
			if !maps.Equal(onServer, s.CommittedSettings()) && fmt.Sprint(onServer) != fmt.Sprint(s.CommittedSettings()) {
				t.Fatalf("settings on the server %v, want %v", real.Session.CommittedSettings(), s.CommittedSettings())
			}
			if fmt.Sprint(real.prepared) != fmt.Sprint(s.prepared) && len(real.prepared)+len(s.prepared) > 0 {
				t.Fatalf("prepared statements on the server %v, want %v", real.prepared, s.prepared)
			}
			sql := rapid.SampledFrom(statements).Draw(t, "statement")
			if strings.HasPrefix(sql, "prepare") && s.prepared[(Analyzer{}).Analyze(sql)[0].Name] != "" {
				continue // the server would reject the name, which is in use
			}
			applySQL(s, sql)
			applySQL(&real.Session, sql)
			if !connection.Release(s) {
				t.Fatalf("Release after %q = false, want true", sql)
			}
		}
	})
}

func TestTruncateIdentifierFollowsPostgreSQL(t *testing.T) {
	long := strings.Repeat("a", 62) + "åäö"
	if got := TruncateIdentifier(long); got != strings.Repeat("a", 62) {
		t.Errorf("TruncateIdentifier(%q) = %q, want 62 letters a", long, got)
	}
	s := &Session{}
	applySQL(s, "prepare "+strings.Repeat("x", 70)+" as select 1; deallocate "+strings.Repeat("x", 63))
	if len(s.prepared) != 0 {
		t.Errorf("prepared statements after DEALLOCATE of the truncated name: %v, want none", s.prepared)
	}
}
