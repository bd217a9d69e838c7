package pooling

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The same name with two texts by two clients on one connection.
func TestClientsSharePreparedStatementsByText(t *testing.T) {
	var catalog StatementCatalog
	var a, b ClientStatements
	onServer := ConnectionStatements{Max: 2}
	p1, err := a.Parse(&catalog, "s", "select 1", nil)
	if err != nil {
		t.Fatal(err)
	}
	p2, _ := b.Parse(&catalog, "s", "select 2", nil)
	p3, _ := b.Parse(&catalog, "t", "select 1", nil)
	p4, _ := b.Parse(&catalog, "u", "select 1", []uint32{23})
	sameNames := p1.ServerName == p2.ServerName || p1.ServerName == p4.ServerName
	if p1 != p3 || p1 == p2 || p1 == p4 || sameNames || len(p1.ServerName) > maxIdentifierBytes {
		t.Errorf("%v %v %v %v", p1, p2, p3, p4)
	}
	if _, err := a.Parse(&catalog, "s", "select 3", nil); !errors.Is(err, ErrDuplicateStatement) {
		t.Error(err)
	}
	if s := onServer.Ensure(&catalog, p1); !s.Parse || len(s.Close) > 0 {
		t.Errorf("%+v", s)
	}
	if s := onServer.Ensure(&catalog, p3); s.Parse {
		t.Errorf("prepared twice: %+v", s)
	}
	onServer.Ensure(&catalog, p2)
	leastRecentlyUsed := []string{p1.ServerName}
	if s := onServer.Ensure(&catalog, p4); !s.Parse || fmt.Sprint(s.Close) != fmt.Sprint(leastRecentlyUsed) {
		t.Errorf("%+v", s)
	}
	catalog.SchemaChanged() // DDL: the statements on the server are stale
	if s := onServer.Ensure(&catalog, p2); !s.Parse || fmt.Sprint(s.Close) != fmt.Sprint([]string{p2.ServerName}) {
		t.Errorf("%+v", s)
	}
	onServer.Forget(p2) // its Parse failed there
	if s := onServer.Ensure(&catalog, p2); !s.Parse {
		t.Errorf("%+v", s)
	}
	a.Close(&catalog, "s")
	a.Close(&catalog, "s")
	b.Clear(&catalog)
	if _, err := a.Get("s"); !errors.Is(err, ErrUnknownStatement) || catalog.Len() != 0 {
		t.Errorf("%v, %d left", err, catalog.Len())
	}
	for range 2 { // the unnamed one is replaced
		if _, err := a.Parse(&catalog, "", fmt.Sprint("select ", catalog.Len()), nil); err != nil || catalog.Len() != 1 {
			t.Errorf("%v, %d", err, catalog.Len())
		}
	}
	few := ClientStatements{Max: 1}
	_, _ = few.Parse(&catalog, "x", "select 1", nil)
	if _, err := few.Parse(&catalog, "y", "select 1", nil); !errors.Is(err, ErrTooManyStatements) {
		t.Error(err)
	}
}

// The statements on a connection stay within their bound, and Ensure always
// agrees with what the server has.
func TestConnectionStatementsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var catalog StatementCatalog
		var names ClientStatements
		onServer := ConnectionStatements{Max: rapid.IntRange(1, 4).Draw(t, "most")}
		var all []*PreparedStatement
		for i := range 6 {
			p, _ := names.Parse(&catalog, fmt.Sprint(i), fmt.Sprint("select ", i), nil)
			all = append(all, p)
		}
		server := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.SampledFrom(all).Draw(t, "statement")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				catalog.SchemaChanged()
			case 1:
				onServer.Clear()
				clear(server)
			case 2:
				onServer.Forget(p)
				delete(server, p.ServerName)
			default:
				s := onServer.Ensure(&catalog, p)
				for _, name := range s.Close {
					if _, ok := server[name]; !ok {
						t.Fatalf("closed a statement that the server does not have")
					}
					delete(server, name)
				}
				if _, ok := server[p.ServerName]; ok == s.Parse {
					t.Fatalf("parse %t, there %t", s.Parse, ok)
				}
				if s.Parse {
					server[p.ServerName] = catalog.generation
				}
				if server[p.ServerName] != catalog.generation {
					t.Fatal("bound a stale plan")
				}
			}
			if onServer.Len() > onServer.Max || onServer.Len() != len(server) {
				t.Fatalf("%d recorded, %d on the server, %d allowed", onServer.Len(), len(server), onServer.Max)
			}
		}
	})
}
