// Package batch is the encoding in which devices send readings over every
// protocol: CBOR (RFC 8949), small enough for a datagram. Names of its types and
// fields may be quoted in the errors that frames sends to gateways.
package batch

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/edge/intake"
)

// MaxReadings is the most readings in one message.
const MaxReadings = 256

// Bounds against hostile input.
const (
	maxNestedLevels = 8
	maxMapPairs     = 16
	maxElapsedMs    = 1e12
)

// Batch is one message of readings of one device.
type Batch struct {
	Device string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	// Elapsed is the time in milliseconds, by the device's own clock, since it
	// received CONNACK over MQTT, or the frame whose Mark it returns. It bounds
	// the age of a message that the link has delayed. Absent: not known.
	Elapsed  *float64  `cbor:"3,keyasint,omitempty"`
	Readings []Reading `cbor:"4,keyasint"`
}

// Reading is one reading of a Batch.
type Reading struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Sent   uint64 // how often it was sent before, to any router; 0 for never
	Urgent bool
	Value  []byte
}

// Result answers one reading.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Status uint8  // of intake.Status
	Wait   uint32 // milliseconds until a retry
}

// Reply answers each reading of a Batch, in the order of the Batch.
type Reply struct {
	Results []Result `cbor:"1,keyasint"`
}

// Codec decodes strictly and within bounds. It is safe for concurrent use.
type Codec struct {
	decoder cbor.DecMode
	encoder cbor.EncMode
}

// NewCodec returns a Codec.
func NewCodec() *Codec {
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  MaxReadings,
		MaxMapPairs:       maxMapPairs,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return &Codec{decoder: dec, encoder: enc}
}

var errInvalid = errors.New("no batch of readings")

// Decode decodes a value that is the whole of b.
func (c *Codec) Decode(b []byte, to any) error { return c.decoder.Unmarshal(b, to) }

// Encode encodes a value. It panics if that is of a type without an encoding.
func (c *Codec) Encode(v any) []byte {
	b, err := c.encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("batch: %T cannot be written: %v", v, err))
	}
	return b
}

// DecodeBatch decodes and validates a Batch. An invalid one is returned with its
// error.
func (c *Codec) DecodeBatch(b []byte) (*Batch, error) {
	var decoded Batch
	if err := c.Decode(b, &decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return &decoded, decoded.Validate()
}

// Validate returns what is wrong with a Batch, nil for nothing.
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
