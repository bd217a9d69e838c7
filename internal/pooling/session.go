package pooling

import (
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxName bounds identifiers in statements, in bytes (NAMEDATALEN - 1). Names in
// protocol messages have no such bound.
const maxName = 63

// TruncateIdentifier shortens an identifier as PostgreSQL does, to whole characters.
func TruncateIdentifier(name string) string {
	if len(name) <= maxName {
		return name
	}
	n := maxName
	for n > 0 && !utf8.RuneStart(name[n]) {
		n--
	}
	return name[:n]
}

// Session is the state of a client's session, independent of the connection
// that serves it. The zero Session is new. It is not safe for concurrent use.
type Session struct {
	Settings
	// Position is the replication position of its last write, in Unix
	// milliseconds. Its next read must see it, on whichever endpoint.
	Position float64
	pins     Pin
	unpins   Pin               // of pins, those that end when the transaction commits
	prepared map[string]string // texts of PREPARE statements by name
}

// Pins returns why the session must keep its connection, 0 if it need not. It
// must keep it in any case inside a transaction.
func (s *Session) Pins() Pin { return s.pins }

// Apply takes the effect of a statement that succeeded.
func (s *Session) Apply(effect Effect) {
	wasFailed := s.Failed()
	wasInTransaction := s.InTransaction()
	s.Settings.Apply(effect)
	if wasFailed {
		if !s.Failed() && effect.Kind != RollbackTo {
			s.unpins = 0 // the statements that would have ended pins were rolled back
		}
		return
	}
	// A pin holds from now on, even if the transaction is rolled back: a
	// rollback is not always seen.
	s.pins |= effect.Pins
	s.unpins &^= effect.Pins
	switch effect.Kind {
	case DiscardAll:
		if !wasInTransaction { // PostgreSQL rejects it inside a transaction
			s.pins = 0
			s.unpins = 0
			s.prepared = nil
		}
		return
	case Prepare:
		if s.prepared == nil {
			s.prepared = map[string]string{}
		}
		s.prepared[effect.Name] = effect.Text
	case Deallocate:
		delete(s.prepared, effect.Name)
	case DeallocateAll:
		s.prepared = nil
	case Rollback, RollbackTo:
		s.unpins = 0
	}
	s.unpins |= effect.Unpins
	if !s.InTransaction() || effect.Kind == Commit {
		s.pins &^= s.unpins
		s.unpins = 0
	}
}

// RecordWrite records the replication position of a commit, in Unix
// milliseconds.
func (s *Session) RecordWrite(position float64) { s.Position = max(s.Position, position) }

// ConnectionState is the session state on a server's connection. The zero ConnectionState
// is new and has none. It is not safe for concurrent use.
type ConnectionState struct {
	settings   map[string]string
	prepared   map[string]string // texts of PREPARE statements by name
	Statements ConnectionStatements
}

// Release records what a session leaves behind on its connection. The
// connection is reusable if the session is outside a transaction and pins
// nothing; otherwise it must be closed, or reset by DISCARD ALL and Reset.
func (c *ConnectionState) Release(s *Session) (reusable bool) {
	if s.InTransaction() || s.pins != 0 {
		return false
	}
	c.RecordHandover(s)
	return true
}

// Reset records that DISCARD ALL succeeded on the connection.
func (c *ConnectionState) Reset() {
	c.settings = nil
	c.prepared = nil
	c.Statements.Clear()
}

// HandoverSQL returns one query string, hence one round trip, that gives the
// connection the state of a session; "" if it has it already.
func (c *ConnectionState) HandoverSQL(s *Session) string {
	var statements []string
	if sql := SettingsDifference(c.settings, s.base); sql != "" {
		statements = append(statements, sql)
	}
	for _, name := range slices.Sorted(maps.Keys(c.prepared)) {
		if s.prepared[name] != c.prepared[name] {
			statements = append(statements, "DEALLOCATE "+quoteIdentifier(name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.prepared)) {
		if s.prepared[name] != c.prepared[name] {
			statements = append(statements, s.prepared[name])
		}
	}
	return strings.Join(statements, "; ")
}

// RecordHandover records that the statements of HandoverSQL succeeded.
func (c *ConnectionState) RecordHandover(s *Session) {
	c.settings = s.Session()
	c.prepared = maps.Clone(s.prepared)
}
