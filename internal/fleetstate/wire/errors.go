package wire

import (
	"errors"
	"fmt"
)

// ErrTooLong is returned by Codec.Decode for an input longer than maxMessageBytes.
var ErrTooLong = errors.New("wire: message too long")

// ErrMalformed is returned by Codec.Decode together with the CBOR decoder's error,
// which names the field.
var ErrMalformed = errors.New("wire: malformed message")

// VersionError reports a message of an unsupported protocol version. Codec.Decode
// returns it.
type VersionError struct{ Version uint8 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("wire: unsupported protocol version %d, want %d", e.Version, protocolVersion)
}

// PartError reports a part of a message with an invalid name, status or amount.
// Codec.Decode returns it.
type PartError struct {
	Part    string // "counters", "health report", "lease request" or "lease grant"
	Index   int    // of the part among those of its kind, from 0
	Problem string // the invalid value and what is allowed
}

// Error implements error.
func (e *PartError) Error() string {
	return fmt.Sprintf("wire: %s %d: %s", e.Part, e.Index, e.Problem)
}
