// Package wire reads and writes messages of version 3 of the PostgreSQL
// protocol. It handles bytes only; what it returns are slices of its input.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of what a peer may send.
const (
	HeaderLen        = 5       // of every message but the first
	StartupHeaderLen = 4       // of that
	MaxStartup       = 10000   // as PostgreSQL's own
	MaxMessage       = 1 << 18 // a value is 64 KiB, in hex digits twice that
	maxFields        = 64      // of an ErrorResponse, or a startup's parameters
)

// Codes that stand in place of a version in a first message.
const (
	Version3      = 196608
	CancelRequest = 80877102
	SSLRequest    = 80877103
	GSSRequest    = 80877104
)

// Message types that clients and database hosts send.
const (
	Query           = 'Q'
	Terminate       = 'X'
	Sync            = 'S'
	Flush           = 'H'
	Authentication  = 'R'
	ParameterStatus = 'S'
	BackendKeyData  = 'K'
	ReadyForQuery   = 'Z'
	RowDescription  = 'T'
	DataRow         = 'D'
	CommandComplete = 'C'
	EmptyQuery      = 'I'
	NoticeResponse  = 'N'
	ErrorResponse   = 'E'
)

// SQLSTATE codes.
const (
	CodeTooManyConnections = "53300"
	CodeCannotConnectNow   = "57P03"
	CodeReadOnly           = "25006"
	CodeTooFarBehind       = "72000"
	CodeProtocol           = "08P01"
	CodeSyntax             = "42601"
	CodeUnsupported        = "0A000"
	CodeCancelled          = "57014"
	CodeOutOfMemory        = "53200"
)

// ErrMalformed is wrapped by every error about a message's contents.
var ErrMalformed = errors.New("malformed message")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Header reads the header of a message and returns the length of its body.
func Header(h []byte) (kind byte, body int, err error) {
	n := binary.BigEndian.Uint32(h[1:HeaderLen])
	if n < 4 || n-4 > MaxMessage {
		return 0, 0, malformed("length %d of a message %q", n, h[0])
	}
	return h[0], int(n - 4), nil
}

// StartupLen reads the length of a first message's rest from its first four bytes.
func StartupLen(h []byte) (int, error) {
	n := binary.BigEndian.Uint32(h[:StartupHeaderLen])
	if n < 8 || n > MaxStartup {
		return 0, malformed("length %d of a startup message", n)
	}
	return int(n - 4), nil
}

// StartupCode reads the version or request code of a first message's rest.
func StartupCode(body []byte) uint32 { return binary.BigEndian.Uint32(body) }

// cancelLen is the length of a CancelRequest's body.
const cancelLen = 12

// CancelKey reads which connection a CancelRequest names, and the secret that
// proves its right to.
func CancelKey(body []byte) (process, secret uint32, ok bool) {
	if len(body) != cancelLen {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]), true
}

// Text reads the body of a Query: one string.
func Text(body []byte) ([]byte, error) {
	i := bytes.IndexByte(body, 0)
	if i < 0 || i != len(body)-1 { // an empty body has neither
		return nil, malformed("a string that does not end its message")
	}
	return body[:i], nil
}

// Parameter reads a ParameterStatus.
func Parameter(body []byte) (name, value []byte, err error) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return nil, nil, malformed("a parameter without a value")
	}
	value, err = Text(rest)
	return name, value, err
}

// Error is an ErrorResponse.
type Error struct{ Severity, Code, Message []byte }

// ParseError reads an ErrorResponse or a notice.
func ParseError(body []byte) (Error, error) {
	var e Error
	for range maxFields {
		if len(body) == 0 {
			break
		}
		field, rest := body[0], body[1:]
		if field == 0 {
			return e, nil
		}
		value, rest, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			break
		}
		switch field {
		case 'S':
			e.Severity = value
		case 'C':
			e.Code = value
		case 'M':
			e.Message = value
		}
		body = rest
	}
	return e, malformed("an error without an end")
}

// Column is the one column of an answer.
type Column struct {
	Name   []byte
	Type   uint32
	Size   int16
	Binary bool
}

// ParseRowDescription reads the description of a row of one column.
func ParseRowDescription(body []byte) (Column, error) {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return Column{}, malformed("a row that has not one column")
	}
	name, rest, ok := bytes.Cut(body[2:], []byte{0})
	if !ok || len(rest) != 18 {
		return Column{}, malformed("a column's description")
	}
	return Column{
		Name: name, Type: binary.BigEndian.Uint32(rest[6:]),
		Size: int16(binary.BigEndian.Uint16(rest[10:])), Binary: binary.BigEndian.Uint16(rest[16:]) == 1,
	}, nil
}

// RowHeaderLen is how much of a DataRow of one column comes before its value.
const RowHeaderLen = 6

// CheckDataRow reads the beginning of a row of n bytes, before the rest has
// come: a value that does not fill the message, or is none, makes it no row.
func CheckDataRow(head []byte, n int) error {
	if len(head) < RowHeaderLen || binary.BigEndian.Uint16(head) != 1 {
		return malformed("a row that has not one column")
	}
	if size := int32(binary.BigEndian.Uint32(head[2:])); size < 0 || int(size) != n-RowHeaderLen {
		return malformed("a value of %d bytes in %d", size, n)
	}
	return nil
}

// ParseDataRow reads a row of one column that holds a value.
func ParseDataRow(body []byte) (value []byte, err error) {
	if err := CheckDataRow(body, len(body)); err != nil {
		return nil, err
	}
	return body[RowHeaderLen:], nil
}

// CheckReady reads a ReadyForQuery.
func CheckReady(body []byte) error {
	if len(body) != 1 || !bytes.Contains([]byte("ITE"), body) {
		return malformed("ReadyForQuery %q", body)
	}
	return nil
}

// CheckAuthentication reads the answer to a startup, which asks for nothing.
func CheckAuthentication(body []byte) error {
	if !bytes.Equal(body, []byte{0, 0, 0, 0}) {
		return malformed("authentication %.8q", body)
	}
	return nil
}

// begin starts a message; end fills in its length.
func begin(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func appendText[T string | []byte](b []byte, s T) []byte { return append(append(b, s...), 0) }

// AppendStartup appends a startup message.
func AppendStartup(b []byte, user, database string) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), Version3)
	for _, s := range []string{"user", user, "database", database} {
		b = appendText(b, s)
	}
	return end(append(b, 0), at)
}

// AppendQuery appends a simple query made of parts.
func AppendQuery(b []byte, parts ...[]byte) []byte {
	b, at := begin(b, Query)
	for _, p := range parts {
		b = append(b, p...)
	}
	return end(append(b, 0), at)
}

// AppendAuthenticationOk appends the end of the authentication.
func AppendAuthenticationOk(b []byte) []byte {
	b, at := begin(b, Authentication)
	return end(append(b, 0, 0, 0, 0), at)
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(b []byte, name, value string) []byte {
	b, at := begin(b, ParameterStatus)
	return end(appendText(appendText(b, name), value), at)
}

// AppendKeyData appends a BackendKeyData.
func AppendKeyData(b []byte, process, secret uint32) []byte {
	b, at := begin(b, BackendKeyData)
	b = binary.BigEndian.AppendUint32(b, process)
	return end(binary.BigEndian.AppendUint32(b, secret), at)
}

// AppendReady appends a ReadyForQuery outside a transaction.
func AppendReady(b []byte) []byte {
	b, at := begin(b, ReadyForQuery)
	return end(append(b, 'I'), at)
}

// AppendEmptyQuery appends an EmptyQueryResponse.
func AppendEmptyQuery(b []byte) []byte {
	b, at := begin(b, EmptyQuery)
	return end(b, at)
}

// AppendError appends an ErrorResponse; detail, the field D, may be empty.
func AppendError(b []byte, severity, code, message, detail string) []byte {
	b, at := begin(b, ErrorResponse)
	for _, f := range [...]struct {
		kind  byte
		value string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}, {'D', detail}} {
		if f.value != "" {
			b = appendText(append(b, f.kind), f.value)
		}
	}
	return end(append(b, 0), at)
}

// AppendRowDescription appends the description of a row of one column.
func AppendRowDescription(b []byte, c Column) []byte {
	b, at := begin(b, RowDescription)
	b = appendText(append(b, 0, 1), c.Name)
	b = append(b, 0, 0, 0, 0, 0, 0) // of no table
	b = binary.BigEndian.AppendUint32(b, c.Type)
	b = binary.BigEndian.AppendUint16(b, uint16(c.Size))
	b = append(b, 0xff, 0xff, 0xff, 0xff, 0, 0) // no type modifier
	if c.Binary {
		b[len(b)-1] = 1
	}
	return end(b, at)
}

// AppendDataRow appends a row of one column.
func AppendDataRow(b, value []byte) []byte {
	b, at := begin(b, DataRow)
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	return end(append(b, value...), at)
}

// AppendComplete appends a CommandComplete.
func AppendComplete(b, tag []byte) []byte {
	b, at := begin(b, CommandComplete)
	return end(appendText(b, tag), at)
}
