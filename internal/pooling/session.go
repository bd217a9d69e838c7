package pooling

import (
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxIdentifierBytes is the length of the longest identifier in a statement, in
// bytes (NAMEDATALEN - 1). Names in protocol messages have no such limit.
const maxIdentifierBytes = 63

// TruncateIdentifier shortens an identifier to 63 bytes at most without splitting
// a character, as PostgreSQL does.
func TruncateIdentifier(name string) string {
	if len(name) <= maxIdentifierBytes {
		return name
	}
	n := maxIdentifierBytes
	for n > 0 && !utf8.RuneStart(name[n]) {
		n--
	}
	return name[:n]
}

// Session holds the state of a client's session, independent of the connection
// that serves it. The zero Session is that of a new client. It is not safe for
// concurrent use.
type Session struct {
	Settings
	// Position is the replication position of the session's last write, in Unix
	// milliseconds. The session's next read must see this write on any endpoint.
	Position      float64
	pins          Pin
	pendingUnpins Pin               // pins that end when the transaction commits
	prepared      map[string]string // texts of PREPARE statements by name
}

// Pins returns the reasons why the session must keep its connection outside a
// transaction, 0 if there are none. Inside a transaction it must always keep its
// connection.
func (s *Session) Pins() Pin { return s.pins }

// Apply applies the effect of a statement that has succeeded.
func (s *Session) Apply(effect Effect) {
	wasFailed := s.Failed()
	wasInTransaction := s.InTransaction()
	s.Settings.Apply(effect)
	if wasFailed {
		if !s.Failed() && effect.Kind != RollbackTo {
			s.pendingUnpins = 0 // the statements that removed pins were rolled back
		}
		return
	}
	// A pin takes effect at once and stays if the transaction is rolled back,
	// since a rollback is not always observed.
	s.pins |= effect.Pins
	s.pendingUnpins &^= effect.Pins
	switch effect.Kind {
	case DiscardAll:
		if !wasInTransaction { // PostgreSQL rejects it inside a transaction
			s.pins = 0
			s.pendingUnpins = 0
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
		s.pendingUnpins = 0
	}
	s.pendingUnpins |= effect.Unpins
	if !s.InTransaction() || effect.Kind == Commit {
		s.pins &^= s.pendingUnpins
		s.pendingUnpins = 0
	}
}

// RecordWrite records the replication position of a commit, in Unix
// milliseconds.
func (s *Session) RecordWrite(position float64) { s.Position = max(s.Position, position) }

// ConnectionState records the session state on a server connection. The zero
// ConnectionState is that of a new connection. It is not safe for concurrent use.
type ConnectionState struct {
	settings   map[string]string
	prepared   map[string]string // texts of PREPARE statements by name
	Statements ConnectionStatements
}

// Release records the state that a session leaves on its connection. The
// connection is reusable if the session is outside a transaction and not pinned.
// Otherwise nothing is recorded, and the connection must be closed, or reset by
// DISCARD ALL and Reset.
func (c *ConnectionState) Release(s *Session) (reusable bool) {
	if s.InTransaction() || s.pins != 0 {
		return false
	}
	c.RecordHandover(s)
	return true
}

// Reset records that DISCARD ALL has succeeded on the connection.
func (c *ConnectionState) Reset() {
	c.settings = nil
	c.prepared = nil
	c.Statements.Clear()
}

// HandoverSQL returns a query string that gives the connection the state of a
// session, "" if it has that state already. It is one string so that the
// handover takes one round trip.
func (c *ConnectionState) HandoverSQL(s *Session) string {
	var statements []string
	if sql := SettingsDifference(c.settings, s.committed); sql != "" {
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

// RecordHandover records that the statements of HandoverSQL have succeeded.
func (c *ConnectionState) RecordHandover(s *Session) {
	c.settings = s.CommittedSettings()
	c.prepared = maps.Clone(s.prepared)
}
