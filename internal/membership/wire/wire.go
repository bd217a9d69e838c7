// Package wire encodes and decodes the packets of package membership in CBOR
// (RFC 8949) by fxamacker/cbor, with integer keys to keep packets small.
//
// Decoding is bounded: a packet over MaxPacket bytes, nested deeper than a
// message is, or with more updates than fit in a packet is rejected with an
// error that names the fault. No input makes it panic.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/membership"
)

// MaxPacket is the most bytes of a packet: within an Ethernet frame, headers
// included.
const MaxPacket = 1400

const (
	// version is the first field of every packet; another one is rejected.
	version = 1

	maxNestedLevels = 4
	// leastElementBytes is less than an element of an array takes in a packet.
	leastElementBytes = 8
	// maxMapPairs is the CBOR library's least bound on the fields of a map, more
	// than a packet or an update has.
	maxMapPairs = 16
)

// ErrTooLarge is returned for a packet, encoded or decoded, over MaxPacket bytes.
var ErrTooLarge = errors.New("membership packet over 1400 bytes")

// FormatError is returned by Decode for a packet that is valid CBOR but that no
// member sends.
type FormatError struct {
	Problem string
}

// Error implements error.
func (e *FormatError) Error() string { return "membership packet: " + e.Problem }

// update is a membership.Update as encoded.
type update struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Start       int64  `cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	State       uint8  `cbor:"6,keyasint,omitempty"`
	Suspector   string `cbor:"7,keyasint,omitempty"`
}

// packet is a membership.Message as encoded.
type packet struct {
	Version    uint8    `cbor:"0,keyasint"`
	Kind       uint8    `cbor:"1,keyasint"`
	Seq        uint64   `cbor:"2,keyasint,omitempty"`
	From       string   `cbor:"3,keyasint"`
	Target     string   `cbor:"4,keyasint,omitempty"`
	TargetAddr string   `cbor:"5,keyasint,omitempty"`
	After      string   `cbor:"6,keyasint,omitempty"`
	Updates    []update `cbor:"7,keyasint,omitempty"`
	Payload    []byte   `cbor:"8,keyasint,omitempty"`
	Count      uint32   `cbor:"9,keyasint,omitempty"`
}

// Codec encodes and decodes packets. It is safe for concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New makes a codec with the decoding bounds above. Its errors are those of the
// CBOR library on its options.
func New() (*Codec, error) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("membership packet encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  MaxPacket / leastElementBytes,
		MaxMapPairs:       maxMapPairs,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("membership packet decoder: %w", err)
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode turns a message into a packet. It returns ErrTooLarge for a message
// that exceeds MaxPacket bytes.
func (c *Codec) Encode(m membership.Message) ([]byte, error) {
	p := packet{
		Version:    version,
		Kind:       uint8(m.Kind),
		Seq:        m.Seq,
		From:       m.From,
		Target:     m.Target,
		TargetAddr: m.TargetAddr,
		After:      m.After,
		Payload:    m.Payload,
		Count:      uint32(max(0, m.Count)),
	}
	for _, u := range m.Updates {
		p.Updates = append(p.Updates, encodeUpdate(u))
	}
	encoded, err := c.encoder.Marshal(p)
	if err != nil {
		return encoded, fmt.Errorf("membership packet: %w", err)
	}
	if len(encoded) > MaxPacket {
		return nil, ErrTooLarge
	}
	return encoded, nil
}

// Decode reads a packet. Its errors are ErrTooLarge, a wrapped error of the CBOR
// library, and *FormatError for another version, or a kind or state that no
// member sends.
func (c *Codec) Decode(encoded []byte) (membership.Message, error) {
	if len(encoded) > MaxPacket {
		return membership.Message{}, ErrTooLarge
	}
	var p packet
	if err := c.decoder.Unmarshal(encoded, &p); err != nil {
		return membership.Message{}, fmt.Errorf("membership packet: %w", err)
	}
	if err := p.check(); err != nil {
		return membership.Message{}, err
	}
	m := membership.Message{
		Kind:       membership.Kind(p.Kind),
		Seq:        p.Seq,
		From:       p.From,
		Target:     p.Target,
		TargetAddr: p.TargetAddr,
		After:      p.After,
		Payload:    p.Payload,
		Count:      int(p.Count),
	}
	for _, u := range p.Updates {
		m.Updates = append(m.Updates, u.decode())
	}
	return m, nil
}

// check returns a *FormatError for a packet that no member sends.
func (p *packet) check() error {
	if p.Version != version {
		return &FormatError{fmt.Sprintf("version %d, want %d", p.Version, version)}
	}
	if p.Kind < uint8(membership.Ping) || p.Kind > uint8(membership.UserData) {
		return &FormatError{fmt.Sprintf("kind %d, want 1 to %d", p.Kind, membership.UserData)}
	}
	for i, u := range p.Updates {
		if u.State > uint8(membership.Left) || u.Name == "" {
			return &FormatError{fmt.Sprintf("update %d: state %d or name %q", i, u.State, u.Name)}
		}
	}
	return nil
}

func encodeUpdate(u membership.Update) update {
	return update{
		Name:        u.Name,
		Addr:        u.Addr,
		Zone:        u.Zone,
		Start:       u.Start,
		Incarnation: u.Incarnation,
		State:       uint8(u.State),
		Suspector:   u.Suspector,
	}
}

func (u update) decode() membership.Update {
	return membership.Update{
		Name:        u.Name,
		Addr:        u.Addr,
		Zone:        u.Zone,
		Start:       u.Start,
		Incarnation: u.Incarnation,
		State:       membership.State(u.State),
		Suspector:   u.Suspector,
	}
}
