package pooling

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func run(s *Session, sql string) {
	for _, e := range (Reader{Standard: true}).Read(sql) {
		s.Apply(e)
	}
}

func TestWhatPinsStaysUntilItsEnd(t *testing.T) {
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
		"select f(1); begin; discard all":                         PinUnknown, // refused inside a transaction
		"create temp table t (a int); rollback":                   PinTemp,
	} {
		s := &Session{}
		run(s, sql)
		if s.Pins() != want {
			t.Errorf("%s: pinned by %v, want %v", sql, s.Pins(), want)
		}
	}
	s := &Session{}
	run(s, "listen a; begin; unlisten *")
	s.Error()
	run(s, "commit") // of a failed transaction
	if s.Pins() != PinListen {
		t.Errorf("pinned by %v", s.Pins())
	}
}

func TestAConnectionIsReusableOnlyWhenNothingIsLeftOpen(t *testing.T) {
	for sql, want := range map[string]bool{"set a to 1": true, "begin": false, "listen a": false, "begin; commit and chain": false, "begin; select 1; rollback": true} {
		var c Connection
		s := &Session{}
		if run(s, sql); c.Return(s) != want {
			t.Errorf("%s: reusable %t", sql, !want)
		}
	}
}

// server is a private session for the model: it applies what it is sent.
type server struct{ Session }

// Many sessions over one connection: each finds what it has set and prepared,
// and nothing of any other.
func TestStateNeverLeaksBetweenSessions(t *testing.T) {
	statements := []string{"set a to 1", "set a to 'two'", "set b.c to 3", "reset a", "reset all", "begin; set a to 4; commit", "begin; set a to 5; rollback",
		"set local a to 6", "prepare p as select 1", "prepare p as select 2", `prepare "Q q" as select 3`, "deallocate p", "deallocate all", "discard all", "select 1"}
	rapid.Check(t, func(t *rapid.T) {
		var c Connection
		real := &server{} // what the host's session holds
		clients := make([]*Session, rapid.IntRange(2, 4).Draw(t, "clients"))
		for i := range clients {
			clients[i] = &Session{}
		}
		trips := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(clients).Draw(t, "client")
			if q := c.Handover(s); q != "" {
				trips++
				run(&real.Session, q)
			}
			c.Taken(s)
			if again := c.Handover(s); again != "" {
				t.Fatalf("states agree, and yet %q", again)
			}
			if !maps.Equal(real.Session.Session(), s.Session()) && fmt.Sprint(real.Session.Session()) != fmt.Sprint(s.Session()) {
				t.Fatalf("the host has %v, the client %v", real.Session.Session(), s.Session())
			}
			if fmt.Sprint(real.prepared) != fmt.Sprint(s.prepared) && len(real.prepared)+len(s.prepared) > 0 {
				t.Fatalf("the host has prepared %v, the client %v", real.prepared, s.prepared)
			}
			sql := rapid.SampledFrom(statements).Draw(t, "statement")
			if strings.HasPrefix(sql, "prepare") && s.prepared[(Reader{}).Read(sql)[0].Name] != "" {
				continue // refused by the host: the name is taken
			}
			run(s, sql)
			run(&real.Session, sql)
			if !c.Return(s) {
				t.Fatalf("%s left something open", sql)
			}
		}
	})
}

// The same name with two texts by two clients on one connection.
func TestPreparedStatementsAreSharedByText(t *testing.T) {
	var cat Catalog
	var a, b Names
	h := Held{Most: 2}
	p1, err := a.Parse(&cat, "s", "select 1", nil)
	if err != nil {
		t.Fatal(err)
	}
	p2, _ := b.Parse(&cat, "s", "select 2", nil)
	p3, _ := b.Parse(&cat, "t", "select 1", nil)
	p4, _ := b.Parse(&cat, "u", "select 1", []uint32{23})
	if p1 != p3 || p1 == p2 || p1 == p4 || p1.ServerName == p2.ServerName || p1.ServerName == p4.ServerName || len(p1.ServerName) > maxName {
		t.Errorf("%v %v %v %v", p1, p2, p3, p4)
	}
	if _, err := a.Parse(&cat, "s", "select 3", nil); !errors.Is(err, ErrDuplicate) {
		t.Error(err)
	}
	if s := h.Ensure(&cat, p1); !s.Parse || len(s.Close) > 0 {
		t.Errorf("%+v", s)
	}
	if s := h.Ensure(&cat, p3); s.Parse {
		t.Errorf("prepared twice: %+v", s)
	}
	h.Ensure(&cat, p2)
	if s := h.Ensure(&cat, p4); !s.Parse || fmt.Sprint(s.Close) != fmt.Sprint([]string{p1.ServerName}) { // the one used longest ago
		t.Errorf("%+v", s)
	}
	cat.Changed() // DDL: what is there is old
	if s := h.Ensure(&cat, p2); !s.Parse || fmt.Sprint(s.Close) != fmt.Sprint([]string{p2.ServerName}) {
		t.Errorf("%+v", s)
	}
	h.Lost(p2) // its Parse failed there
	if s := h.Ensure(&cat, p2); !s.Parse {
		t.Errorf("%+v", s)
	}
	a.Close(&cat, "s")
	a.Close(&cat, "s")
	b.Clear(&cat)
	if _, err := a.Get("s"); !errors.Is(err, ErrNoSuch) || cat.Len() != 0 {
		t.Errorf("%v, %d left", err, cat.Len())
	}
	for range 2 { // the unnamed one is replaced
		if _, err := a.Parse(&cat, "", fmt.Sprint("select ", cat.Len()), nil); err != nil || cat.Len() != 1 {
			t.Errorf("%v, %d", err, cat.Len())
		}
	}
	few := Names{Most: 1}
	_, _ = few.Parse(&cat, "x", "select 1", nil)
	if _, err := few.Parse(&cat, "y", "select 1", nil); !errors.Is(err, ErrTooMany) {
		t.Error(err)
	}
}

// What a connection holds stays within its bound, and Ensure always tells the
// truth about what the server has.
func TestHeldStatementsHaveABound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cat Catalog
		var n Names
		h := Held{Most: rapid.IntRange(1, 4).Draw(t, "most")}
		var all []*Prepared
		for i := range 6 {
			p, _ := n.Parse(&cat, fmt.Sprint(i), fmt.Sprint("select ", i), nil)
			all = append(all, p)
		}
		server := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.SampledFrom(all).Draw(t, "statement")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				cat.Changed()
			case 1:
				h.Clear()
				clear(server)
			case 2:
				h.Lost(p)
				delete(server, p.ServerName)
			default:
				s := h.Ensure(&cat, p)
				for _, name := range s.Close {
					if _, ok := server[name]; !ok {
						t.Fatalf("closed what is not there")
					}
					delete(server, name)
				}
				if _, ok := server[p.ServerName]; ok == s.Parse {
					t.Fatalf("parse %t, there %t", s.Parse, ok)
				}
				if s.Parse {
					server[p.ServerName] = cat.generation
				}
				if server[p.ServerName] != cat.generation {
					t.Fatal("bound an old plan")
				}
			}
			if h.Len() > h.Most || h.Len() != len(server) {
				t.Fatalf("%d held, %d there, %d allowed", h.Len(), len(server), h.Most)
			}
		}
	})
}

func TestNamesAreCutAsPostgreSQLDoes(t *testing.T) {
	long := strings.Repeat("a", 62) + "åäö"
	if got := Truncate(long); got != strings.Repeat("a", 62) {
		t.Errorf("%q", got)
	}
	s := &Session{}
	run(s, "prepare "+strings.Repeat("x", 70)+" as select 1; deallocate "+strings.Repeat("x", 63))
	if len(s.prepared) != 0 {
		t.Errorf("%v", s.prepared)
	}
}
