package wire

import (
	"bytes"
	"encoding/binary"
)

// ParseString reads a body that is one string, such as that of a Query.
func ParseString(body []byte) ([]byte, error) {
	end := bytes.IndexByte(body, 0)
	if end < 0 || end != len(body)-1 {
		return nil, malformed("a string that does not end its message")
	}
	return body[:end], nil
}

// ParseParameterStatus reads the body of a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value []byte, err error) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return nil, nil, malformed("a parameter without a value")
	}
	value, err = ParseString(rest)
	return name, value, err
}

// ErrorFields holds the fields of an ErrorResponse or a NoticeResponse.
type ErrorFields struct {
	Severity []byte
	Code     []byte // the SQLSTATE
	Message  []byte
}

// ParseErrorResponse reads the body of an ErrorResponse or a NoticeResponse.
func ParseErrorResponse(body []byte) (ErrorFields, error) {
	var parsed ErrorFields
	for range maxFields {
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

// Column describes the one column of an answer.
type Column struct {
	Name   []byte
	Type   uint32 // object identifier
	Size   int16  // of the type, in bytes; negative if it varies
	Binary bool   // the format of its values
}

// columnLen is the length of a column's description behind its name, in bytes.
const columnLen = 18

// ParseRowDescription reads the body of a RowDescription of one column.
func ParseRowDescription(body []byte) (Column, error) {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return Column{}, malformed("a row that has not one column")
	}
	name, rest, ok := bytes.Cut(body[2:], []byte{0})
	if !ok || len(rest) != columnLen {
		return Column{}, malformed("a column's description")
	}
	return Column{
		Name:   name,
		Type:   binary.BigEndian.Uint32(rest[6:]),
		Size:   int16(binary.BigEndian.Uint16(rest[10:])),
		Binary: binary.BigEndian.Uint16(rest[16:]) == 1,
	}, nil
}

// RowHeaderLen is the length of what precedes the value in the body of a DataRow
// of one column, in bytes.
const RowHeaderLen = 6

// CheckDataRow checks the first bytes of the body of a DataRow of n bytes, before
// the rest has arrived. Its one value must not be NULL and must fill the message.
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

// ParseDataRow reads the body of a DataRow of one column.
func ParseDataRow(body []byte) (value []byte, err error) {
	if err := CheckDataRow(body, len(body)); err != nil {
		return nil, err
	}
	return body[RowHeaderLen:], nil
}

// CheckReady checks the body of a ReadyForQuery: a transaction status.
func CheckReady(body []byte) error {
	if len(body) != 1 || !bytes.Contains([]byte("ITE"), body) {
		return malformed("ReadyForQuery %q", body)
	}
	return nil
}

// CheckAuthentication checks the body of an Authentication message, which must
// request nothing.
func CheckAuthentication(body []byte) error {
	if !bytes.Equal(body, []byte{0, 0, 0, 0}) {
		return malformed("authentication %.8q", body)
	}
	return nil
}
