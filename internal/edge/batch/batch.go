// Package batch encodes and decodes the messages in which devices send readings
// over every protocol, and the replies to them. The encoding is CBOR (RFC 8949),
// so that a message fits in a datagram.
//
// Decoding errors quote names of types and fields of this package, and the
// frames protocol sends such errors to gateways.
package batch

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/edge/intake"
)

// MaxReadings is the largest number of readings in one message.
const MaxReadings = 256

// Limits on untrusted input.
const (
	maxNestedLevels = 8
	maxMapPairs     = 16
	maxElapsedMs    = 1e12
)

// Batch is one message with readings of one device.
type Batch struct {
	Device string `cbor:"1,keyasint"` // name of the device, 1 to intake.MaxDeviceNameBytes bytes
	Epoch  uint64 `cbor:"2,keyasint"` // of the device's sequence counter; see intake.ID
	// Elapsed is the time in milliseconds, by the device's own clock, since the
	// device received CONNACK (MQTT) or the frame whose mark it returns (frames).
	// It bounds the age of a message that the link has delayed. Nil means that
	// the device does not know it.
	Elapsed  *float64  `cbor:"3,keyasint,omitempty"`
	Readings []Reading `cbor:"4,keyasint"`
}

// Reading is one reading of a Batch.
type Reading struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64   // sequence number within the device's epoch
	Sent   uint64   // number of times that the reading was sent before, to any router
	Urgent bool     // submitted before readings that are not urgent
	Value  []byte   // the recorded content
}

// Result is the answer to one reading.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64   // of the reading
	Status uint8    // an intake.Status
	Wait   uint32   // time after which to retry, in milliseconds
}

// Reply holds the answers to the readings of a Batch, in the order of the Batch.
type Reply struct {
	Results []Result `cbor:"1,keyasint"`
}

// Codec encodes and decodes messages. It rejects unknown and duplicate map keys,
// tags, items of indefinite length, and input past the limits on its structure.
// It is safe for concurrent use.
type Codec struct {
	decoder cbor.DecMode
	encoder cbor.EncMode
}

// NewCodec returns a Codec.
func NewCodec() *Codec {
	decMode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  MaxReadings,
		MaxMapPairs:       maxMapPairs,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // a programming error, because the options are constants
	}
	encMode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return &Codec{decoder: decMode, encoder: encMode}
}

var errInvalid = errors.New("no batch of readings")

// Decode decodes b into the value that to points to. It returns an error if b
// holds anything but one valid CBOR item of that value's type.
func (c *Codec) Decode(b []byte, to any) error { return c.decoder.Unmarshal(b, to) }

// Encode returns the encoding of v. It panics if the type of v has none.
func (c *Codec) Encode(v any) []byte {
	b, err := c.encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("batch: encoding %T: %v", v, err))
	}
	return b
}

// DecodeBatch decodes and validates a Batch. If only the validation fails, it
// returns the Batch together with the error; if the decoding fails, the Batch is
// nil.
func (c *Codec) DecodeBatch(b []byte) (*Batch, error) {
	var decoded Batch
	if err := c.Decode(b, &decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return &decoded, decoded.Validate()
}

// Validate returns an error if the length of the device's name, the number of
// readings or Elapsed is out of range.
func (b *Batch) Validate() error {
	switch {
	case len(b.Device) == 0 || len(b.Device) > intake.MaxDeviceNameBytes:
		return fmt.Errorf("%w: a device's name has 1 to %d bytes", errInvalid, intake.MaxDeviceNameBytes)
	case len(b.Readings) == 0 || len(b.Readings) > MaxReadings:
		return fmt.Errorf("%w: 1 to %d readings are taken", errInvalid, MaxReadings)
	case b.Elapsed != nil && !(*b.Elapsed >= 0 && *b.Elapsed < maxElapsedMs):
		return fmt.Errorf("%w: elapsed %v", errInvalid, *b.Elapsed)
	}
	return nil
}
