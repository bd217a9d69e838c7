package wire

import (
	"bytes"
	"encoding/binary"
)

// Message types of the extended protocol (PostgreSQL 15, section 55.7).
const (
	Parse                = 'P'
	Bind                 = 'B'
	Describe             = 'D'
	Execute              = 'E'
	CloseStatement       = 'C' // or of a portal
	ParseComplete        = '1'
	BindComplete         = '2'
	CloseComplete        = '3'
	ParameterDescription = 't'
	NoData               = 'n'
	PortalSuspended      = 's'
)

// What Describe and Close are about.
const (
	ofStatement = 'S'
	ofPortal    = 'P'
)

// Extended is a client's message of the extended protocol. Its slices are
// those of the message.
type Extended struct {
	Kind      byte
	Statement []byte // of Parse, Bind, and of Describe and Close of a statement
	Portal    []byte // of Bind, Execute, and of Describe and Close of a portal
	OfPortal  bool   // Describe and Close
	Text      []byte // of Parse
	Types     []uint32
	MaxRows   uint32 // of Execute, 0 for all
	rest      []byte // of Bind: formats and values
}

// ParseExtended reads the body of a message and checks all of it: what lies
// about a count or a length goes to no host.
func ParseExtended(kind byte, body []byte) (m Extended, err error) {
	m.Kind = kind
	r := fields{b: body}
	switch kind {
	case Parse:
		m.Statement, m.Text = r.text(), r.text()
		n := r.count()
		if n > len(r.b)/4 {
			return m, malformed("%d parameter types in %d bytes", n, len(r.b))
		}
		for range n {
			m.Types = append(m.Types, r.uint32())
		}
	case Bind:
		m.Portal, m.Statement = r.text(), r.text()
		m.rest = r.b
		r.skip(2 * r.count()) // formats of the parameters
		for range r.count() {
			if n := int32(r.uint32()); n > 0 {
				r.skip(int(n))
			} else if n < -1 {
				r.bad = true
			}
		}
		r.skip(2 * r.count()) // formats of the results
	case Describe, CloseStatement:
		switch of := r.byte(); of {
		case ofStatement:
			m.Statement = r.text()
		case ofPortal:
			m.OfPortal, m.Portal = true, r.text()
		default:
			return m, malformed("neither a statement nor a portal: %q", of)
		}
	case Execute:
		m.Portal, m.MaxRows = r.text(), r.uint32()
	case Sync, Flush:
	default:
		return m, malformed("a message %q of the extended protocol", kind)
	}
	if r.bad || len(r.b) > 0 {
		return m, malformed("a message %q of %d bytes", kind, len(body))
	}
	return m, nil
}

// AppendExtended appends a message with another name for its prepared
// statement.
func AppendExtended(b []byte, m Extended, statement string) []byte {
	b, at := begin(b, m.Kind)
	switch m.Kind {
	case Parse:
		b = appendText(appendText(b, statement), m.Text)
		b = binary.BigEndian.AppendUint16(b, uint16(len(m.Types)))
		for _, t := range m.Types {
			b = binary.BigEndian.AppendUint32(b, t)
		}
	case Bind:
		b = append(appendText(appendText(b, m.Portal), statement), m.rest...)
	case Describe, CloseStatement:
		if m.OfPortal {
			b = appendText(append(b, ofPortal), m.Portal)
		} else {
			b = appendText(append(b, ofStatement), statement)
		}
	case Execute:
		b = binary.BigEndian.AppendUint32(appendText(b, m.Portal), m.MaxRows)
	}
	return end(b, at)
}

// fields reads a body's fields one after another; bad tells that one of them
// was not there.
type fields struct {
	b   []byte
	bad bool
}

func (r *fields) skip(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.bad, r.b = true, nil
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *fields) byte() byte {
	if b := r.skip(1); b != nil {
		return b[0]
	}
	return 0
}

// count reads a number of things, which is never negative.
func (r *fields) count() int {
	b := r.skip(2)
	if b == nil {
		return 0
	}
	n := int(int16(binary.BigEndian.Uint16(b)))
	if n < 0 {
		r.bad = true
		return 0
	}
	return n
}

func (r *fields) uint32() uint32 {
	if b := r.skip(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *fields) text() []byte {
	i := bytes.IndexByte(r.b, 0)
	if i < 0 {
		r.bad, r.b = true, nil
		return nil
	}
	out := r.b[:i]
	r.b = r.b[i+1:]
	return out
}
