package pooling

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Two clients use the same statement name with different texts, and different
// names with the same text: the statements on the connection must not be mixed
// up and must be shared.
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
		t.Errorf("prepared %v, %v, %v, %v; want the first and the third to be the same and the others distinct",
			p1, p2, p3, p4)
	}
	if _, err := a.Parse(&catalog, "s", "select 3", nil); !errors.Is(err, ErrDuplicateStatement) {
		t.Errorf("Parse of a name in use: error %v, want ErrDuplicateStatement", err)
	}
	if steps := onServer.Ensure(&catalog, p1); !steps.Parse || len(steps.Close) > 0 {
		t.Errorf("Ensure on an empty connection = %+v, want only a Parse", steps)
	}
	if steps := onServer.Ensure(&catalog, p3); steps.Parse {
		t.Errorf("Ensure of a prepared statement = %+v, want no Parse", steps)
	}
	onServer.Ensure(&catalog, p2)
	leastRecentlyUsed := []string{p1.ServerName}
	if steps := onServer.Ensure(&catalog, p4); !steps.Parse || fmt.Sprint(steps.Close) != fmt.Sprint(leastRecentlyUsed) {
		t.Errorf("Ensure beyond Max = %+v, want a Parse and a Close of %v", steps, leastRecentlyUsed)
	}
	catalog.SchemaChanged() // the statements on the server are stale
	if steps := onServer.Ensure(&catalog, p2); !steps.Parse || fmt.Sprint(steps.Close) != fmt.Sprint([]string{p2.ServerName}) {
		t.Errorf("Ensure after a schema change = %+v, want a Parse and a Close of %q", steps, p2.ServerName)
	}
	onServer.Forget(p2) // its Parse failed
	if steps := onServer.Ensure(&catalog, p2); !steps.Parse {
		t.Errorf("Ensure after Forget = %+v, want a Parse", steps)
	}
	a.Close(&catalog, "s")
	a.Close(&catalog, "s")
	b.Clear(&catalog)
	if _, err := a.Get("s"); !errors.Is(err, ErrUnknownStatement) || catalog.Len() != 0 {
		t.Errorf("after all names were closed: error %v, %d statements, want ErrUnknownStatement and 0", err, catalog.Len())
	}
	for range 2 { // the unnamed statement is replaced
		if _, err := a.Parse(&catalog, "", fmt.Sprint("select ", catalog.Len()), nil); err != nil || catalog.Len() != 1 {
			t.Errorf("Parse of the unnamed statement: error %v, %d statements, want none and 1", err, catalog.Len())
		}
	}
	limited := ClientStatements{Max: 1}
	_, _ = limited.Parse(&catalog, "x", "select 1", nil)
	if _, err := limited.Parse(&catalog, "y", "select 1", nil); !errors.Is(err, ErrTooManyStatements) {
		t.Errorf("Parse beyond Max: error %v, want ErrTooManyStatements", err)
	}
}

// Under random operations the statements on a connection stay within Max, and
// Ensure agrees with the statements that the server has.
func TestConnectionStatementsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var catalog StatementCatalog
		var names ClientStatements
		onServer := ConnectionStatements{Max: rapid.IntRange(1, 4).Draw(t, "max statements")}
		var all []*PreparedStatement
		for i := range 6 {
			p, _ := names.Parse(&catalog, fmt.Sprint(i), fmt.Sprint("select ", i), nil)
			all = append(all, p)
		}
		server := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.SampledFrom(all).Draw(t, "statement")
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				catalog.SchemaChanged()
			case 1:
				onServer.Clear()
				clear(server)
			case 2:
				onServer.Forget(p)
				delete(server, p.ServerName)
			default:
				steps := onServer.Ensure(&catalog, p)
				for _, name := range steps.Close {
					if _, ok := server[name]; !ok {
						t.Fatalf("Ensure closes %q, which the server does not have", name)
					}
					delete(server, name)
				}
				if _, ok := server[p.ServerName]; ok == steps.Parse {
					t.Fatalf("Ensure(%v).Parse = %t, want %t", p, steps.Parse, !ok)
				}
				if steps.Parse {
					server[p.ServerName] = catalog.generation
				}
				if server[p.ServerName] != catalog.generation {
					t.Fatalf("Ensure(%v) leaves schema generation %d, want %d", p, server[p.ServerName], catalog.generation)
				}
			}
			if onServer.Len() > onServer.Max || onServer.Len() != len(server) {
				t.Fatalf("Len() = %d, want %d as on the server and at most %d", onServer.Len(), len(server), onServer.Max)
			}
		}
	})
}
