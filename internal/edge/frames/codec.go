package frames

import (
	"encoding/binary"
	"fmt"

	"lotusbend/internal/edge/batch"
)

// Version is the supported version of the protocol.
const Version = 1

// MaxHelloBytes is the longest first frame of a connection, in bytes.
const MaxHelloBytes = 256

// HeaderLen is the length of a frame's header, in bytes.
const HeaderLen = 4

// Kind is the first element of a frame.
type Kind uint8

// The kinds; gateways send the odd ones.
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

// Hello opens a connection.
type Hello struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Version uint8
	Name    string
}

// Welcome answers Hello. Mark is the router's time in Unix milliseconds, Window
// how many frames may wait for their answer.
type Welcome struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Mark   float64
	Window uint32
}

// Readings is one batch. Mark is the latest that the gateway has received, and
// Batch.Elapsed how long ago that was, by its own clock.
type Readings struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint32
	Route string
	Mark  float64
	Batch batch.Batch
}

// Range gives one answer to the sequence numbers From to To.
type Range struct {
	_      struct{} `cbor:",toarray"`
	From   uint64
	To     uint64
	Status uint8  // of intake.Status
	Wait   uint32 // milliseconds until a retry
}

// Answer answers all of Readings. Mark is as in Welcome.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Mark   float64
	Ranges []Range
}

// Query requests the readings of an epoch that this router knows to be recorded.
type Query struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Device string
	Epoch  uint64
}

// Known answers Query. Readings that it does not name may be recorded, too.
type Known struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Ranges []Range
}

// Read requests one value.
type Read struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint32
	Route string
	Arg   string
}

// Value answers Read. It has a value only if its Status is Recorded.
type Value struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Status uint8
	Wait   uint32
	Value  []byte
}

// Signal is a frame without content: Ping and Pong.
type Signal struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
}

// Bye is the last frame of a connection, with the reason.
type Bye struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Reason string
}

// FrameLength returns the length of the frame at the beginning of b with its
// header, 0 if more of it must come first. limit is that of the frame without
// its header, in bytes.
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

// Append appends an encoded frame to b.
func Append(b []byte, codec *batch.Codec, frame any) []byte {
	body := codec.Encode(frame)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}
