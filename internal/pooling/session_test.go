package pooling

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

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
			t.Errorf("%s: pinned by %v, want %v", sql, s.Pins(), want)
		}
	}
	s := &Session{}
	applySQL(s, "listen a; begin; unlisten *")
	s.Fail()
	applySQL(s, "commit") // of a failed transaction
	if s.Pins() != PinListen {
		t.Errorf("pinned by %v", s.Pins())
	}
}

func TestConnectionIsReusableOnlyWithoutOpenState(t *testing.T) {
	for sql, want := range map[string]bool{"set a to 1": true, "begin": false, "listen a": false,
		"begin; commit and chain": false, "begin; select 1; rollback": true} {
		var connection ConnectionState
		s := &Session{}
		if applySQL(s, sql); connection.Release(s) != want {
			t.Errorf("%s: reusable %t", sql, !want)
		}
	}
}

// server is a private session for the model: it applies what it is sent.
type server struct{ Session }

// Many sessions share one connection: each finds its own settings and prepared
// statements, and none of another session.
func TestHandoverNeverLeaksState(t *testing.T) {
	statements := []string{"set a to 1", "set a to 'two'", "set b.c to 3", "reset a", "reset all",
		"begin; set a to 4; commit", "begin; set a to 5; rollback",
		"set local a to 6", "prepare p as select 1", "prepare p as select 2", `prepare "Q q" as select 3`, "deallocate p",
		"deallocate all", "discard all", "select 1"}
	rapid.Check(t, func(t *rapid.T) {
		var connection ConnectionState
		real := &server{} // the session on the server
		clients := make([]*Session, rapid.IntRange(2, 4).Draw(t, "clients"))
		for i := range clients {
			clients[i] = &Session{}
		}
		trips := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(clients).Draw(t, "client")
			if q := connection.HandoverSQL(s); q != "" {
				trips++
				applySQL(&real.Session, q)
			}
			connection.RecordHandover(s)
			if again := connection.HandoverSQL(s); again != "" {
				t.Fatalf("states agree, and yet %q", again)
			}
			onServer := real.Session.Session()
			if !maps.Equal(onServer, s.Session()) && fmt.Sprint(onServer) != fmt.Sprint(s.Session()) {
				t.Fatalf("the server has %v, the client %v", real.Session.Session(), s.Session())
			}
			if fmt.Sprint(real.prepared) != fmt.Sprint(s.prepared) && len(real.prepared)+len(s.prepared) > 0 {
				t.Fatalf("the server has prepared %v, the client %v", real.prepared, s.prepared)
			}
			sql := rapid.SampledFrom(statements).Draw(t, "statement")
			if strings.HasPrefix(sql, "prepare") && s.prepared[(Analyzer{}).Analyze(sql)[0].Name] != "" {
				continue // refused by the host: the name is taken
			}
			applySQL(s, sql)
			applySQL(&real.Session, sql)
			if !connection.Release(s) {
				t.Fatalf("%s left something open", sql)
			}
		}
	})
}

func TestTruncateFollowsPostgreSQL(t *testing.T) {
	long := strings.Repeat("a", 62) + "åäö"
	if got := TruncateIdentifier(long); got != strings.Repeat("a", 62) {
		t.Errorf("%q", got)
	}
	s := &Session{}
	applySQL(s, "prepare "+strings.Repeat("x", 70)+" as select 1; deallocate "+strings.Repeat("x", 63))
	if len(s.prepared) != 0 {
		t.Errorf("%v", s.prepared)
	}
}
