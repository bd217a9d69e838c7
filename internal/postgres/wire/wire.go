// Package wire encodes and decodes messages of version 3 of the PostgreSQL
// protocol. It performs no I/O, and its functions are safe for concurrent use.
// Byte slices that it returns refer to the input.
//
// wire.go has the message types and headers, parse.go and append.go decode and
// encode message bodies, and extended.go handles the messages of the extended
// query protocol. statement.go parses the comment in a client's statement.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Lengths and limits in bytes.
const (
	HeaderLen        = 5     // type and length, at the head of every message after the startup phase
	StartupHeaderLen = 4     // length, at the head of a message of the startup phase
	MaxStartupLen    = 10000 // of a message of the startup phase; PostgreSQL's own limit
	// MaxBodyLen is the maximum length of any other message's body. It leaves room
	// for a value of 64 KiB, which takes up 128 KiB in hexadecimal digits.
	MaxBodyLen    = 1 << 18
	lengthLen     = 4  // the length field, which counts itself
	minStartupLen = 8  // length and request code
	cancelBodyLen = 12 // body of a CancelRequest: request code, process and secret
)

// maxErrorFields is the maximum number of fields in an ErrorResponse, including the
// terminator.
const maxErrorFields = 64

// Protocol version in a StartupMessage, and the codes that identify other requests
// of the startup phase in its place.
const (
	ProtocolVersion3 = 196608
	CancelRequest    = 80877102
	SSLRequest       = 80877103
	GSSENCRequest    = 80877104
)

// Message types, by their PostgreSQL names, except those in extended.go. The meaning
// of a byte depends on the direction: S is Sync from a client, but ParameterStatus to
// a client.
const (
	Query              = 'Q'
	Terminate          = 'X'
	Sync               = 'S'
	Flush              = 'H'
	Authentication     = 'R'
	ParameterStatus    = 'S'
	BackendKeyData     = 'K'
	ReadyForQuery      = 'Z'
	RowDescription     = 'T'
	DataRow            = 'D'
	CommandComplete    = 'C'
	EmptyQueryResponse = 'I'
	NoticeResponse     = 'N'
	ErrorResponse      = 'E'
)

// SQLSTATE codes of errors. CodeTooFarBehind is sent by a replica that has not
// reached the position that a read needs.
const (
	CodeTooManyConnections  = "53300"
	CodeCannotConnectNow    = "57P03"
	CodeReadOnlyTransaction = "25006"
	CodeTooFarBehind        = "72000"
	CodeProtocolViolation   = "08P01"
	CodeSyntaxError         = "42601"
	CodeFeatureNotSupported = "0A000"
	CodeQueryCanceled       = "57014"
	CodeOutOfMemory         = "53200"
)

// ErrMalformed is wrapped by all errors about the contents of a message.
var ErrMalformed = errors.New("malformed message")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ParseHeader returns the type of a message and the length of its body. header must
// have HeaderLen bytes. The error wraps ErrMalformed if the length field is invalid
// or the body longer than MaxBodyLen.
func ParseHeader(header []byte) (kind byte, body int, err error) {
	length := binary.BigEndian.Uint32(header[1:HeaderLen])
	if length < lengthLen || length-lengthLen > MaxBodyLen {
		return 0, 0, malformed("length %d of a message %q", length, header[0])
	}
	return header[0], int(length - lengthLen), nil
}

// ParseStartupHeader returns the length of the body of a startup message. header
// must have StartupHeaderLen bytes. The error wraps ErrMalformed if the message is
// too short for a request code or longer than MaxStartupLen.
func ParseStartupHeader(header []byte) (body int, err error) {
	length := binary.BigEndian.Uint32(header[:StartupHeaderLen])
	if length < minStartupLen || length > MaxStartupLen {
		return 0, malformed("length %d of a startup message", length)
	}
	return int(length - lengthLen), nil
}

// StartupCode returns the protocol version or request code in the body of a startup
// message, which must have at least 4 bytes.
func StartupCode(body []byte) uint32 { return binary.BigEndian.Uint32(body) }

// ParseCancelRequest decodes the body of a CancelRequest: the process number of the
// connection to cancel, and the secret that authorizes the request. ok is false if
// the body has the wrong length.
func ParseCancelRequest(body []byte) (process, secret uint32, ok bool) {
	if len(body) != cancelBodyLen {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]), true
}
