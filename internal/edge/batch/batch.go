// Package batch is the form in which devices send readings, whatever protocol
// carries it: CBOR (RFC 8949), small enough for a datagram. It holds bytes
// only and makes no decisions.
package batch

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/edge/intake"
)

// MaxReadings is how many readings one message may hold.
const MaxReadings = 256

// Batch is one message of readings of one device.
type Batch struct {
	Device string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	// Elapsed is how many milliseconds ago, by the device's own clock, it
	// heard the greeting of this connection; it lets the edge tell how old a
	// message is that a link has held back. Absent: not known.
	Elapsed  *float64  `cbor:"3,keyasint,omitempty"`
	Readings []Reading `cbor:"4,keyasint"`
}

// Reading is one of a Batch.
type Reading struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Sent   uint64 // how often it was sent before, to whomever; 0 for never
	Urgent bool
	Value  []byte
}

// Result answers one reading.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Status uint8  // of intake.Status
	Wait   uint32 // milliseconds until it may be sent again
}

// Reply answers a Batch, each reading for itself, in the order of the Batch.
type Reply struct {
	Results []Result `cbor:"1,keyasint"`
}

// Codec decodes strictly and within bounds; one serves any number of callers.
type Codec struct {
	dec cbor.DecMode
	enc cbor.EncMode
}

// NewCodec returns a Codec.
func NewCodec() *Codec {
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: MaxReadings, MaxMapPairs: 16, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return &Codec{dec, enc}
}

var errBatch = errors.New("no batch of readings")

// Decode reads any of this protocol's values, without what follows it.
func (c *Codec) Decode(b []byte, to any) error { return c.dec.Unmarshal(b, to) }

// Encode writes any of this protocol's values.
func (c *Codec) Encode(v any) []byte {
	b, err := c.enc.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("batch: %T cannot be written: %v", v, err)) // its types are this program's own
	}
	return b
}

// DecodeBatch reads a Batch and checks what a reading cannot do without.
func (c *Codec) DecodeBatch(b []byte) (*Batch, error) {
	var m Batch
	if err := c.Decode(b, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", errBatch, err)
	}
	return &m, m.Check()
}

// Check tells what is wrong with a Batch.
func (m *Batch) Check() error {
	switch {
	case len(m.Device) == 0 || len(m.Device) > intake.MaxDevice:
		return fmt.Errorf("%w: a device's name has 1 to %d bytes", errBatch, intake.MaxDevice)
	case len(m.Readings) == 0 || len(m.Readings) > MaxReadings:
		return fmt.Errorf("%w: 1 to %d readings are taken", errBatch, MaxReadings)
	case m.Elapsed != nil && !(*m.Elapsed >= 0 && *m.Elapsed < 1e12):
		return fmt.Errorf("%w: elapsed %v", errBatch, *m.Elapsed)
	}
	return nil
}
