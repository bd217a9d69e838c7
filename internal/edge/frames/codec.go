package frames

import (
	"encoding/binary"
	"fmt"

	"lotusbend/internal/edge/batch"
)

// Version is the only supported version of the protocol.
const Version = 1

// MaxHelloBytes is the longest first frame of a connection, without its header.
const MaxHelloBytes = 256

// HeaderLen is the length of a frame's header, in bytes.
const HeaderLen = 4

// Kind identifies the type of a frame. It is the first element of the frame.
type Kind uint8

// The kinds of frames. Gateways send the odd ones, the router the even ones.
const (
	KindHello    Kind = 1
	KindWelcome  Kind = 2
	KindReadings Kind = 3
	KindAnswer   Kind = 4
	KindQuery    Kind = 5
	KindKnown    Kind = 6
	KindRead     Kind = 7
	KindValue    Kind = 8
	KindPing     Kind = 9
	KindPong     Kind = 10
	KindBye      Kind = 12
)

// Hello is the first frame of a connection. Name is the gateway's name, which the
// server does not use.
type Hello struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Version uint8
	Name    string
}

// Welcome answers Hello. Mark is the router's time in Unix milliseconds, and
// Window is the allowed number of unanswered frames.
type Welcome struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Mark   float64
	Window uint32
}

// Readings carries one batch. Mark is the latest mark that the gateway has
// received on this connection, 0 for none. Batch.Elapsed is the time since then by
// the gateway's clock.
type Readings struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint32
	Route string
	Mark  float64
	Batch batch.Batch
}

// Range is the common answer to the sequence numbers From to To, inclusive.
type Range struct {
	_      struct{} `cbor:",toarray"`
	From   uint64
	To     uint64
	Status uint8  // an intake.Status
	Wait   uint32 // milliseconds until a retry
}

// Answer answers all readings of the frame with the same ID. Mark is as in
// Welcome.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Mark   float64
	Ranges []Range
}

// Query requests the sequence numbers of a device's epoch that this router knows
// to be recorded.
type Query struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Device string
	Epoch  uint64
}

// Known answers Query. Sequence numbers outside of its ranges may be recorded,
// too.
type Known struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Ranges []Range
}

// Read requests the value that Arg names.
type Read struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint32
	Route string
	Arg   string
}

// Value answers Read. It has a value only if its Status, an intake.Status, is
// Recorded. Wait is the time in milliseconds after which to retry.
type Value struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Status uint8
	Wait   uint32
	Value  []byte
}

// Signal is a frame without content: a ping or a pong.
type Signal struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
}

// Bye is the last frame of a connection. It has the reason for which the router
// closes it.
type Bye struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Reason string
}

// FrameLength returns the length in bytes of the frame at the beginning of b with
// its header, or 0 if b is too short to tell. It returns an error if the frame is
// empty or, without its header, longer than limit bytes.
func FrameLength(b []byte, limit int) (int, error) {
	if len(b) < HeaderLen {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length == 0 || uint64(length) > uint64(limit) {
		return 0, fmt.Errorf("frames: a frame of %d bytes, 1 to %d are taken", length, limit)
	}
	return HeaderLen + int(length), nil
}

// Append encodes a frame, which is one of the message types, and appends it to b
// with its header.
func Append(b []byte, codec *batch.Codec, frame any) []byte {
	body := codec.Encode(frame)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}
