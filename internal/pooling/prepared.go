package pooling

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
)

// Errors of ClientStatements. The text begins with the SQLSTATE that the client
// receives.
var (
	ErrDuplicateStatement = errors.New("42P05: a prepared statement of this name exists")
	ErrUnknownStatement   = errors.New("26000: there is no prepared statement of this name")
	ErrTooManyStatements  = errors.New("53400: too many prepared statements")
)

// serverNamePrefix is the prefix of the names of prepared statements on servers.
const serverNamePrefix = "lb_"

// preparedKey is the SHA-256 digest of a statement's text and parameter types.
type preparedKey [sha256.Size]byte

// PreparedStatement is a statement's text and parameter types, shared by all
// clients that have prepared it.
type PreparedStatement struct {
	Text       string
	Types      []uint32 // OIDs as the client gave them; 0 for an unspecified type
	ServerName string   // name on every server
	references int      // number of client names that refer to it
	key        preparedKey
}

// StatementCatalog holds the prepared statements of all clients. A change of the
// schema makes the statements on servers stale: they are parsed again before
// their next use, since a cached plan may no longer return the same columns. The
// zero StatementCatalog is empty. It is not safe for concurrent use.
type StatementCatalog struct {
	statements map[preparedKey]*PreparedStatement
	generation uint64 // number of schema changes
}

// SchemaChanged records that a statement has changed the schema.
func (c *StatementCatalog) SchemaChanged() { c.generation++ }

// Len returns the number of statements.
func (c *StatementCatalog) Len() int { return len(c.statements) }

// acquire returns the statement with a text and types, with one more reference.
func (c *StatementCatalog) acquire(text string, types []uint32) *PreparedStatement {
	key := newPreparedKey(text, types)
	prepared := c.statements[key]
	if prepared == nil {
		prepared = &PreparedStatement{
			Text:       text,
			Types:      slices.Clone(types),
			ServerName: serverNamePrefix + hex.EncodeToString(key[:16]),
			key:        key,
		}
		if c.statements == nil {
			c.statements = map[preparedKey]*PreparedStatement{}
		}
		c.statements[key] = prepared
	}
	prepared.references++
	return prepared
}

func newPreparedKey(text string, types []uint32) preparedKey {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(types)))
	for _, oid := range types {
		data = binary.BigEndian.AppendUint32(data, oid)
	}
	return sha256.Sum256(append(data, text...))
}

// release drops one reference and deletes the statement with the last one.
func (c *StatementCatalog) release(prepared *PreparedStatement) {
	prepared.references--
	if prepared.references == 0 {
		delete(c.statements, prepared.key)
	}
}

// ClientStatements holds one client's prepared statements by the client's names,
// which may have any length. The unnamed statement has the name "". The zero
// value is empty and has no limit. It is not safe for concurrent use.
type ClientStatements struct {
	Max    int // largest number of statements, 0 for no limit
	byName map[string]*PreparedStatement
}

// Parse adds a statement under a name. It replaces the unnamed statement; for
// any other name in use the error is ErrDuplicateStatement. Beyond Max it is
// ErrTooManyStatements.
func (s *ClientStatements) Parse(
	catalog *StatementCatalog,
	name, text string,
	types []uint32,
) (*PreparedStatement, error) {
	old := s.byName[name]
	if old != nil && name != "" {
		return nil, ErrDuplicateStatement
	}
	if old == nil && s.Max > 0 && len(s.byName) >= s.Max {
		return nil, ErrTooManyStatements
	}
	prepared := catalog.acquire(text, types)
	if old != nil {
		catalog.release(old)
	}
	if s.byName == nil {
		s.byName = map[string]*PreparedStatement{}
	}
	s.byName[name] = prepared
	return prepared, nil
}

// Get returns the statement with a name, or ErrUnknownStatement.
func (s *ClientStatements) Get(name string) (*PreparedStatement, error) {
	if prepared := s.byName[name]; prepared != nil {
		return prepared, nil
	}
	return nil, ErrUnknownStatement
}

// Close deletes a name. As in PostgreSQL, an unknown name is not an error.
func (s *ClientStatements) Close(catalog *StatementCatalog, name string) {
	if prepared := s.byName[name]; prepared != nil {
		catalog.release(prepared)
		delete(s.byName, name)
	}
}

// Clear deletes all names. It is called after DEALLOCATE ALL, DISCARD ALL or the
// client's disconnection.
func (s *ClientStatements) Clear(catalog *StatementCatalog) {
	for _, prepared := range s.byName {
		catalog.release(prepared)
	}
	s.byName = nil
}
