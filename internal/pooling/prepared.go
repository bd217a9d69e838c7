package pooling

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
)

// Errors of prepared statements. The text begins with the SQLSTATE for the
// client.
var (
	ErrDuplicateStatement = errors.New("42P05: a prepared statement of this name exists")
	ErrUnknownStatement   = errors.New("26000: there is no prepared statement of this name")
	ErrTooManyStatements  = errors.New("53400: too many prepared statements")
)

// serverPrefix begins the names of prepared statements on servers.
const serverPrefix = "lb_"

// preparedKey is the digest of a statement's text and parameter types.
type preparedKey [sha256.Size]byte

// PreparedStatement is a statement's text with its parameter types, shared by all
// clients that prepared it.
type PreparedStatement struct {
	Text       string
	Types      []uint32 // OIDs as the client gave them; 0 for an unspecified type
	ServerName string   // its name on every server
	uses       int      // names of clients that stand for it
	key        preparedKey
}

// StatementCatalog holds the prepared statements of all clients. A change of the schema
// makes those on servers stale: they are parsed again before their next use,
// since a cached plan may no longer return the same columns. The zero StatementCatalog
// is empty. It is not safe for concurrent use.
type StatementCatalog struct {
	statements map[preparedKey]*PreparedStatement
	generation uint64 // of the schema
}

// SchemaChanged reports that a statement changed the schema.
func (c *StatementCatalog) SchemaChanged() { c.generation++ }

// Len returns the number of statements.
func (c *StatementCatalog) Len() int { return len(c.statements) }

// use returns the statement of a text and types for one more name.
func (c *StatementCatalog) use(text string, types []uint32) *PreparedStatement {
	key := newPreparedKey(text, types)
	prepared := c.statements[key]
	if prepared == nil {
		prepared = &PreparedStatement{
			Text:       text,
			Types:      slices.Clone(types),
			ServerName: serverPrefix + hex.EncodeToString(key[:16]),
			key:        key,
		}
		if c.statements == nil {
			c.statements = map[preparedKey]*PreparedStatement{}
		}
		c.statements[key] = prepared
	}
	prepared.uses++
	return prepared
}

func newPreparedKey(text string, types []uint32) preparedKey {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(types)))
	for _, oid := range types {
		data = binary.BigEndian.AppendUint32(data, oid)
	}
	return sha256.Sum256(append(data, text...))
}

// release takes back one use.
func (c *StatementCatalog) release(prepared *PreparedStatement) {
	prepared.uses--
	if prepared.uses == 0 {
		delete(c.statements, prepared.key)
	}
}

// ClientStatements are one client's prepared statements by its own names, which
// may have any length. The unnamed statement is "". The zero value has none and
// no bound. It is not safe for concurrent use.
type ClientStatements struct {
	Max    int // statements, 0 for no bound
	byName map[string]*PreparedStatement
}

// Parse names a statement. The error is ErrDuplicateStatement if the name is in use,
// except that the unnamed statement is replaced, or ErrTooManyStatements.
func (s *ClientStatements) Parse(catalog *StatementCatalog, name, text string, types []uint32) (*PreparedStatement, error) {
	old := s.byName[name]
	if old != nil && name != "" {
		return nil, ErrDuplicateStatement
	}
	if old == nil && s.Max > 0 && len(s.byName) >= s.Max {
		return nil, ErrTooManyStatements
	}
	prepared := catalog.use(text, types)
	if old != nil {
		catalog.release(old)
	}
	if s.byName == nil {
		s.byName = map[string]*PreparedStatement{}
	}
	s.byName[name] = prepared
	return prepared, nil
}

// Get returns the statement of a name, or ErrUnknownStatement.
func (s *ClientStatements) Get(name string) (*PreparedStatement, error) {
	if prepared := s.byName[name]; prepared != nil {
		return prepared, nil
	}
	return nil, ErrUnknownStatement
}

// Close frees a name. As in PostgreSQL, an unknown name is no error.
func (s *ClientStatements) Close(catalog *StatementCatalog, name string) {
	if prepared := s.byName[name]; prepared != nil {
		catalog.release(prepared)
		delete(s.byName, name)
	}
}

// Clear frees every name: after DEALLOCATE ALL, DISCARD ALL or the client's
// disconnection.
func (s *ClientStatements) Clear(catalog *StatementCatalog) {
	for _, prepared := range s.byName {
		catalog.release(prepared)
	}
	s.byName = nil
}
