package pooling

import (
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxName is how long an identifier may be in statements (NAMEDATALEN - 1).
// Names in protocol messages have no such bound.
const maxName = 63

// Truncate shortens an identifier as PostgreSQL does, to whole characters.
func Truncate(name string) string {
	if len(name) <= maxName {
		return name
	}
	n := maxName
	for n > 0 && !utf8.RuneStart(name[n]) {
		n--
	}
	return name[:n]
}

// Session is what a client's session has become, wherever it is served.
type Session struct {
	Settings
	// Position is that of its last write, in Unix milliseconds: its next read
	// must see it, on whichever host.
	Position float64
	pins     Pin
	unpins   Pin               // once the transaction commits
	prepared map[string]string // by PREPARE: the statement's text
}

// Pins returns why the session must keep its connection, 0 if it need not.
// Inside a transaction it must in any case.
func (s *Session) Pins() Pin { return s.pins }

// Apply takes a statement that went through.
func (s *Session) Apply(e Effect) {
	failed, was := s.Failed(), s.InTransaction()
	s.Settings.Apply(e)
	if failed && !s.Failed() && e.Kind != RollbackTo {
		s.unpins = 0 // what was undone with it was never done
	}
	if failed {
		return
	}
	// What pins does so from now on, also if it is undone later: that it was
	// undone is not always seen.
	s.pins |= e.Pins
	s.unpins &^= e.Pins
	switch e.Kind {
	case DiscardAll:
		if !was {
			s.pins, s.unpins, s.prepared = 0, 0, nil
		}
		return
	case Prepare:
		if s.prepared == nil {
			s.prepared = map[string]string{}
		}
		s.prepared[e.Name] = e.Text
	case Deallocate:
		delete(s.prepared, e.Name)
	case DeallocateAll:
		s.prepared = nil
	case Rollback, RollbackTo:
		s.unpins = 0
	}
	s.unpins |= e.Unpins
	if !s.InTransaction() || e.Kind == Commit {
		s.pins &^= s.unpins
		s.unpins = 0
	}
}

// Wrote notes a commit's position.
func (s *Session) Wrote(position float64) { s.Position = max(s.Position, position) }

// Connection is what a server's session holds, as far as these rules have made
// it so. The zero Connection is new and has nothing.
type Connection struct {
	settings map[string]string
	prepared map[string]string
	Held     Held
}

// Return notes what a session leaves behind on its connection. It may be given
// to others only if the session is outside a transaction and pins nothing;
// otherwise it must be closed, or reset and Cleared.
func (c *Connection) Return(s *Session) (reusable bool) {
	if s.InTransaction() || s.pins != 0 {
		return false
	}
	c.settings, c.prepared = s.Session(), maps.Clone(s.prepared)
	return true
}

// Cleared notes that DISCARD ALL went through.
func (c *Connection) Cleared() {
	c.settings, c.prepared = nil, nil
	c.Held.Clear()
}

// Handover returns what gives a connection the state of a session, in one query
// string, so in one round trip; "" if it has it already.
func (c *Connection) Handover(s *Session) string {
	var parts []string
	if d := Difference(c.settings, s.base); d != "" {
		parts = append(parts, d)
	}
	for _, name := range slices.Sorted(maps.Keys(c.prepared)) {
		if s.prepared[name] != c.prepared[name] {
			parts = append(parts, `DEALLOCATE "`+strings.ReplaceAll(name, `"`, `""`)+`"`)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.prepared)) {
		if s.prepared[name] != c.prepared[name] {
			parts = append(parts, s.prepared[name])
		}
	}
	return strings.Join(parts, "; ")
}

// Taken notes that Handover's statements went through.
func (c *Connection) Taken(s *Session) {
	c.settings, c.prepared = s.Session(), maps.Clone(s.prepared)
}
