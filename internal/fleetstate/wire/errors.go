package wire

import (
	"errors"
	"fmt"
)

// ErrTooLong is returned by Decode for more bytes than a message may have.
var ErrTooLong = errors.New("wire: message too long")

// ErrMalformed wraps the CBOR decoder's error, which names the field.
var ErrMalformed = errors.New("wire: malformed message")

// VersionError is returned by Decode for a message of another version of the
// protocol.
type VersionError struct{ Version uint8 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("wire: version %d, want %d", e.Version, protocolVersion)
}

// PartError is returned by Decode for a part of a message that no router sends.
type PartError struct {
	Part    string // "counters", "health report", "lease request" or "lease grant"
	Index   int    // among the parts of its kind
	Problem string
}

// Error implements error.
func (e *PartError) Error() string {
	return fmt.Sprintf("wire: %s %d: %s", e.Part, e.Index, e.Problem)
}
