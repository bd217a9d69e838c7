package pooling

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The same name with two texts by two clients on one connection.
func TestClientsSharePreparedStatementsByText(t *testing.T) {
	var cat Catalog
	var a, b ClientStatements
	h := ConnectionStatements{Max: 2}
	p1, err := a.Parse(&cat, "s", "select 1", nil)
	if err != nil {
		t.Fatal(err)
	}
	p2, _ := b.Parse(&cat, "s", "select 2", nil)
	p3, _ := b.Parse(&cat, "t", "select 1", nil)
	p4, _ := b.Parse(&cat, "u", "select 1", []uint32{23})
	sameNames := p1.ServerName == p2.ServerName || p1.ServerName == p4.ServerName
	if p1 != p3 || p1 == p2 || p1 == p4 || sameNames || len(p1.ServerName) > maxName {
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
	if s := h.Ensure(&cat,
		p4); !s.Parse || fmt.Sprint(s.Close) != fmt.Sprint([]string{p1.ServerName}) { // the one used longest ago
		t.Errorf("%+v", s)
	}
	cat.SchemaChanged() // DDL: what is there is old
	if s := h.Ensure(&cat, p2); !s.Parse || fmt.Sprint(s.Close) != fmt.Sprint([]string{p2.ServerName}) {
		t.Errorf("%+v", s)
	}
	h.Forget(p2) // its Parse failed there
	if s := h.Ensure(&cat, p2); !s.Parse {
		t.Errorf("%+v", s)
	}
	a.Close(&cat, "s")
	a.Close(&cat, "s")
	b.Clear(&cat)
	if _, err := a.Get("s"); !errors.Is(err, ErrUnknown) || cat.Len() != 0 {
		t.Errorf("%v, %d left", err, cat.Len())
	}
	for range 2 { // the unnamed one is replaced
		if _, err := a.Parse(&cat, "", fmt.Sprint("select ", cat.Len()), nil); err != nil || cat.Len() != 1 {
			t.Errorf("%v, %d", err, cat.Len())
		}
	}
	few := ClientStatements{Max: 1}
	_, _ = few.Parse(&cat, "x", "select 1", nil)
	if _, err := few.Parse(&cat, "y", "select 1", nil); !errors.Is(err, ErrTooMany) {
		t.Error(err)
	}
}

// What a connection holds stays within its bound, and Ensure always tells the
// truth about what the server has.
func TestConnectionStatementsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cat Catalog
		var n ClientStatements
		h := ConnectionStatements{Max: rapid.IntRange(1, 4).Draw(t, "most")}
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
				cat.SchemaChanged()
			case 1:
				h.Clear()
				clear(server)
			case 2:
				h.Forget(p)
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
			if h.Len() > h.Max || h.Len() != len(server) {
				t.Fatalf("%d held, %d there, %d allowed", h.Len(), len(server), h.Max)
			}
		}
	})
}
