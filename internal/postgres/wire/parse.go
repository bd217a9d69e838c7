package wire

import (
	"bytes"
	"encoding/binary"
)

// ParseString decodes a body that consists of one string, such as that of a Query.
func ParseString(body []byte) ([]byte, error) {
	end := bytes.IndexByte(body, 0)
	if end < 0 || end != len(body)-1 {
		return nil, malformed("a string that does not end its message")
	}
	return body[:end], nil
}

// ParseParameterStatus decodes the body of a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value []byte, err error) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return nil, nil, malformed("a parameter without a value")
	}
	value, err = ParseString(rest)
	return name, value, err
}

// ErrorFields holds fields of an ErrorResponse or a NoticeResponse; a missing field
// is nil.
type ErrorFields struct {
	Severity []byte
	Code     []byte // the SQLSTATE
	Message  []byte
}

// ParseErrorResponse decodes the body of an ErrorResponse or a NoticeResponse, which
// may have up to 63 fields. It ignores fields that ErrorFields lacks.
func ParseErrorResponse(body []byte) (ErrorFields, error) {
	var parsed ErrorFields
	for range maxErrorFields {
		if len(body) == 0 {
			break
		}
		field, rest := body[0], body[1:]
		if field == 0 {
			return parsed, nil
		}
		value, rest, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			break
		}
		switch field {
		case 'S':
			parsed.Severity = value
		case 'C':
			parsed.Code = value
		case 'M':
			parsed.Message = value
		}
		body = rest
	}
	return parsed, malformed("an error without an end")
}

// Column describes the only column of an answer.
type Column struct {
	Name   []byte
	Type   uint32 // object identifier of the data type
	Size   int16  // of the type, in bytes; negative if it varies
	Binary bool   // the value has the binary format
}

// columnDescriptionLen is the length in bytes of the fields that follow the name of
// a column in a RowDescription.
const columnDescriptionLen = 18

// ParseRowDescription decodes the body of a RowDescription, which must have exactly
// one column.
func ParseRowDescription(body []byte) (Column, error) {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return Column{}, malformed("a row that has not one column")
	}
	name, rest, ok := bytes.Cut(body[2:], []byte{0})
	if !ok || len(rest) != columnDescriptionLen {
		return Column{}, malformed("a column's description")
	}
	return Column{
		Name:   name,
		Type:   binary.BigEndian.Uint32(rest[6:]),
		Size:   int16(binary.BigEndian.Uint16(rest[10:])),
		Binary: binary.BigEndian.Uint16(rest[16:]) == 1,
	}, nil
}

// RowHeaderLen is the length in bytes of the column count and the value's length,
// which precede the value in the body of a DataRow with one column.
const RowHeaderLen = 6

// CheckDataRow checks the first RowHeaderLen bytes of the body of a DataRow; n is the
// length of the body. The row must have one value, which must not be NULL and must
// fill the message. The rest of the body may be missing.
func CheckDataRow(head []byte, n int) error {
	if len(head) < RowHeaderLen || binary.BigEndian.Uint16(head) != 1 {
		return malformed("a row that has not one column")
	}
	size := int32(binary.BigEndian.Uint32(head[2:]))
	if size < 0 || int(size) != n-RowHeaderLen {
		return malformed("a value of %d bytes in %d", size, n)
	}
	return nil
}

// ParseDataRow decodes the body of a DataRow with one value, which must not be NULL.
func ParseDataRow(body []byte) (value []byte, err error) {
	if err := CheckDataRow(body, len(body)); err != nil {
		return nil, err
	}
	return body[RowHeaderLen:], nil
}

// CheckReady returns an error unless body is that of a ReadyForQuery: one of the
// transaction statuses I, T and E.
func CheckReady(body []byte) error {
	if len(body) != 1 || !bytes.Contains([]byte("ITE"), body) {
		return malformed("ReadyForQuery %q", body)
	}
	return nil
}

// CheckAuthentication returns an error unless body is that of an AuthenticationOk.
// Requests for a password or another method are not supported.
func CheckAuthentication(body []byte) error {
	if !bytes.Equal(body, []byte{0, 0, 0, 0}) {
		return malformed("authentication %.8q", body)
	}
	return nil
}
