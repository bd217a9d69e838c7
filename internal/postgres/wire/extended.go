package wire

import (
	"bytes"
	"encoding/binary"
)

// Message types of the extended query protocol (PostgreSQL 15 documentation, 55.7).
const (
	Parse                = 'P'
	Bind                 = 'B'
	Describe             = 'D'
	Execute              = 'E'
	Close                = 'C' // of a prepared statement or portal
	ParseComplete        = '1'
	BindComplete         = '2'
	CloseComplete        = '3'
	ParameterDescription = 't'
	NoData               = 'n'
	PortalSuspended      = 's'
)

// Kinds of objects in Describe and Close.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

// ExtendedMessage is a message that a client sends in the extended query protocol.
// Its byte slices refer to the message body.
type ExtendedMessage struct {
	Kind           byte
	Statement      []byte   // name, in Parse, Bind, and Describe and Close of a statement
	Portal         []byte   // name, in Bind, Execute, and Describe and Close of a portal
	IsPortal       bool     // Describe or Close of a portal rather than a statement
	Query          []byte   // in Parse
	ParameterTypes []uint32 // in Parse: object identifiers
	MaxRows        uint32   // in Execute; 0 means no limit
	rest           []byte   // in Bind: encoded formats and values
}

// Lengths in bytes of an object identifier and of a format code.
const (
	oidLen    = 4
	formatLen = 2
)

// ParseExtended decodes the body of a message of the given type. It validates the
// whole body, so that a message with a wrong count or length is not forwarded to an
// endpoint. Errors wrap ErrMalformed.
func ParseExtended(kind byte, body []byte) (m ExtendedMessage, err error) {
	m.Kind = kind
	in := fieldReader{unread: body}
	switch kind {
	case Parse:
		err = m.parseParse(&in)
	case Bind:
		m.parseBind(&in)
	case Describe, Close:
		err = m.parseObject(&in)
	case Execute:
		m.Portal = in.text()
		m.MaxRows = in.uint32()
	case Sync, Flush:
	default:
		err = malformed("a message %q of the extended protocol", kind)
	}
	if err != nil {
		return m, err
	}
	if in.invalid || len(in.unread) > 0 {
		return m, malformed("a message %q of %d bytes", kind, len(body))
	}
	return m, nil
}

// parseParse decodes the body of a Parse.
func (m *ExtendedMessage) parseParse(in *fieldReader) error {
	m.Statement = in.text()
	m.Query = in.text()
	count := in.count()
	if count > len(in.unread)/oidLen {
		return malformed("%d parameter types in %d bytes", count, len(in.unread))
	}
	for range count {
		m.ParameterTypes = append(m.ParameterTypes, in.uint32())
	}
	return nil
}

// parseBind decodes the body of a Bind: the formats and values of the parameters
// and the formats of the results.
func (m *ExtendedMessage) parseBind(in *fieldReader) {
	m.Portal = in.text()
	m.Statement = in.text()
	m.rest = in.unread
	in.next(formatLen * in.count())
	for range in.count() {
		length := int32(in.uint32())
		if length > 0 {
			in.next(int(length))
		} else if length < -1 { // -1 is the length of NULL
			in.invalid = true
		}
	}
	in.next(formatLen * in.count())
}

// parseObject decodes the body of a Describe or a Close.
func (m *ExtendedMessage) parseObject(in *fieldReader) error {
	switch object := in.byte(); object {
	case objectStatement:
		m.Statement = in.text()
	case objectPortal:
		m.IsPortal = true
		m.Portal = in.text()
	default:
		return malformed("neither a statement nor a portal: %q", object)
	}
	return nil
}

// AppendExtended appends m with its prepared statement renamed to statement.
func AppendExtended(b []byte, m ExtendedMessage, statement string) []byte {
	b, lengthAt := beginMessage(b, m.Kind)
	switch m.Kind {
	case Parse:
		b = appendString(appendString(b, statement), m.Query)
		b = binary.BigEndian.AppendUint16(b, uint16(len(m.ParameterTypes)))
		for _, oid := range m.ParameterTypes {
			b = binary.BigEndian.AppendUint32(b, oid)
		}
	case Bind:
		b = append(appendString(appendString(b, m.Portal), statement), m.rest...)
	case Describe, Close:
		if m.IsPortal {
			b = appendString(append(b, objectPortal), m.Portal)
		} else {
			b = appendString(append(b, objectStatement), statement)
		}
	case Execute:
		b = binary.BigEndian.AppendUint32(appendString(b, m.Portal), m.MaxRows)
	}
	return endMessage(b, lengthAt)
}

// fieldReader reads the fields of a message body in order. A field that exceeds the
// body, and every field after it, is returned as a zero value.
type fieldReader struct {
	unread  []byte
	invalid bool // a field was malformed or exceeded the body
}

// next reads n bytes. If the body has fewer, it marks the body as invalid and returns
// nil.
func (f *fieldReader) next(n int) []byte {
	if n < 0 || n > len(f.unread) {
		f.fail()
		return nil
	}
	field := f.unread[:n]
	f.unread = f.unread[n:]
	return field
}

// fail marks the body as invalid and discards the rest of it.
func (f *fieldReader) fail() {
	f.invalid = true
	f.unread = nil
}

// byte reads one byte.
func (f *fieldReader) byte() byte {
	if b := f.next(1); b != nil {
		return b[0]
	}
	return 0
}

// count reads a 16-bit count of fields. A negative count makes the body invalid.
func (f *fieldReader) count() int {
	b := f.next(2)
	if b == nil {
		return 0
	}
	n := int(int16(binary.BigEndian.Uint16(b)))
	if n < 0 {
		f.invalid = true
		return 0
	}
	return n
}

// uint32 reads a 32-bit integer.
func (f *fieldReader) uint32() uint32 {
	if b := f.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// text reads a string up to its terminating zero byte.
func (f *fieldReader) text() []byte {
	end := bytes.IndexByte(f.unread, 0)
	if end < 0 {
		f.fail()
		return nil
	}
	text := f.unread[:end]
	f.unread = f.unread[end+1:]
	return text
}
