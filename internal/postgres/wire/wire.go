// Package wire reads and writes messages of version 3 of the PostgreSQL
// protocol. It handles bytes only: there is no I/O, and all functions may be
// called concurrently. The byte slices that it returns are slices of its input.
//
// wire.go has the messages' kinds and headers, parse.go and append.go read and
// write their bodies, extended.go those of the extended protocol. statement.go
// reads the comment of a client's statement.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Lengths and limits in bytes.
const (
	HeaderLen        = 5       // of every message but those of the startup
	StartupHeaderLen = 4       // of these
	MaxStartupLen    = 10000   // as PostgreSQL's own
	MaxBodyLen       = 1 << 18 // a value is 64 KiB, in hexadecimal digits twice that
	lengthLen        = 4       // of a message's length, which counts itself
	minStartup       = 8       // a length and a code
	cancelLen        = 12      // of a CancelRequest's body
)

// maxFields bounds the fields of an ErrorResponse.
const maxFields = 64

// The version, and the codes that replace it in a message of the startup.
const (
	ProtocolVersion3 = 196608
	CancelRequest    = 80877102
	SSLRequest       = 80877103
	GSSENCRequest    = 80877104
)

// Message types that clients and endpoints send.
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

// SQLSTATE codes of errors.
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

// ErrMalformed is wrapped by every error about a message's contents.
var ErrMalformed = errors.New("malformed message")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ParseHeader reads the header of a message, which must be HeaderLen bytes long, and
// returns the length of its body.
func ParseHeader(header []byte) (kind byte, body int, err error) {
	length := binary.BigEndian.Uint32(header[1:HeaderLen])
	if length < lengthLen || length-lengthLen > MaxBodyLen {
		return 0, 0, malformed("length %d of a message %q", length, header[0])
	}
	return header[0], int(length - lengthLen), nil
}

// ParseStartupHeader reads the header of a message of the startup, which must be
// StartupHeaderLen bytes long, and returns the length of its body.
func ParseStartupHeader(header []byte) (body int, err error) {
	length := binary.BigEndian.Uint32(header[:StartupHeaderLen])
	if length < minStartup || length > MaxStartupLen {
		return 0, malformed("length %d of a startup message", length)
	}
	return int(length - lengthLen), nil
}

// StartupCode reads the version or request code from the body of a message of
// the startup.
func StartupCode(body []byte) uint32 { return binary.BigEndian.Uint32(body) }

// ParseCancelRequest reads the body of a CancelRequest: the connection that it names and
// the secret that authorizes it.
func ParseCancelRequest(body []byte) (process, secret uint32, ok bool) {
	if len(body) != cancelLen {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]), true
}
