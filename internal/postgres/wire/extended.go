package wire

import (
	"bytes"
	"encoding/binary"
)

// Message types of the extended protocol (PostgreSQL 15 documentation, 55.7).
const (
	Parse                = 'P'
	Bind                 = 'B'
	Describe             = 'D'
	Execute              = 'E'
	Close                = 'C' // or of a portal
	ParseComplete        = '1'
	BindComplete         = '2'
	CloseComplete        = '3'
	ParameterDescription = 't'
	NoData               = 'n'
	PortalSuspended      = 's'
)

// The objects of Describe and Close.
const (
	ofStatement = 'S'
	ofPortal    = 'P'
)

// ExtendedMessage is a client's message of the extended protocol. Its slices are those
// of the message's body.
type ExtendedMessage struct {
	Kind           byte
	Statement      []byte   // of Parse, Bind, and of Describe and Close of a statement
	Portal         []byte   // of Bind, Execute, and of Describe and Close of a portal
	IsPortal       bool     // Describe and Close
	Query          []byte   // of Parse
	ParameterTypes []uint32 // of Parse: the parameters' object identifiers
	MaxRows        uint32   // of Execute, 0 for all
	rest           []byte   // of Bind: formats and values
}

// typeLen is the length of a parameter's type, formatLen of a format code.
const (
	typeLen   = 4
	formatLen = 2
)

// ParseExtended reads the body of a message and checks all of it: a message with
// a false count or length is forwarded to no endpoint.
func ParseExtended(kind byte, body []byte) (m ExtendedMessage, err error) {
	m.Kind = kind
	in := fields{unread: body}
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
	if in.missing || len(in.unread) > 0 {
		return m, malformed("a message %q of %d bytes", kind, len(body))
	}
	return m, nil
}

// parseParse reads the body of a Parse.
func (m *ExtendedMessage) parseParse(in *fields) error {
	m.Statement = in.text()
	m.Query = in.text()
	count := in.count()
	if count > len(in.unread)/typeLen {
		return malformed("%d parameter types in %d bytes", count, len(in.unread))
	}
	for range count {
		m.ParameterTypes = append(m.ParameterTypes, in.uint32())
	}
	return nil
}

// parseBind reads the body of a Bind: formats and values of the parameters, and
// formats of the results.
func (m *ExtendedMessage) parseBind(in *fields) {
	m.Portal = in.text()
	m.Statement = in.text()
	m.rest = in.unread
	in.next(formatLen * in.count())
	for range in.count() {
		length := int32(in.uint32())
		if length > 0 {
			in.next(int(length))
		} else if length < -1 { // -1 stands for NULL
			in.missing = true
		}
	}
	in.next(formatLen * in.count())
}

// parseObject reads the body of a Describe or a Close.
func (m *ExtendedMessage) parseObject(in *fields) error {
	switch object := in.byte(); object {
	case ofStatement:
		m.Statement = in.text()
	case ofPortal:
		m.IsPortal = true
		m.Portal = in.text()
	default:
		return malformed("neither a statement nor a portal: %q", object)
	}
	return nil
}

// AppendExtended appends m with another name for its prepared statement.
func AppendExtended(b []byte, m ExtendedMessage, statement string) []byte {
	b, lengthAt := begin(b, m.Kind)
	switch m.Kind {
	case Parse:
		b = appendText(appendText(b, statement), m.Query)
		b = binary.BigEndian.AppendUint16(b, uint16(len(m.ParameterTypes)))
		for _, oid := range m.ParameterTypes {
			b = binary.BigEndian.AppendUint32(b, oid)
		}
	case Bind:
		b = append(appendText(appendText(b, m.Portal), statement), m.rest...)
	case Describe, Close:
		if m.IsPortal {
			b = appendText(append(b, ofPortal), m.Portal)
		} else {
			b = appendText(append(b, ofStatement), statement)
		}
	case Execute:
		b = binary.BigEndian.AppendUint32(appendText(b, m.Portal), m.MaxRows)
	}
	return end(b, lengthAt)
}

// fields reads the fields of a body one after another.
type fields struct {
	unread  []byte
	missing bool // a field was malformed or exceeded the body
}

// next reads n bytes.
func (f *fields) next(n int) []byte {
	if n < 0 || n > len(f.unread) {
		f.fail()
		return nil
	}
	field := f.unread[:n]
	f.unread = f.unread[n:]
	return field
}

// fail ends the reading.
func (f *fields) fail() {
	f.missing = true
	f.unread = nil
}

func (f *fields) byte() byte {
	if b := f.next(1); b != nil {
		return b[0]
	}
	return 0
}

// count reads the number of the fields that follow, which is never negative.
func (f *fields) count() int {
	b := f.next(2)
	if b == nil {
		return 0
	}
	n := int(int16(binary.BigEndian.Uint16(b)))
	if n < 0 {
		f.missing = true
		return 0
	}
	return n
}

func (f *fields) uint32() uint32 {
	if b := f.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// text reads a string up to its end.
func (f *fields) text() []byte {
	end := bytes.IndexByte(f.unread, 0)
	if end < 0 {
		f.fail()
		return nil
	}
	text := f.unread[:end]
	f.unread = f.unread[end+1:]
	return text
}
