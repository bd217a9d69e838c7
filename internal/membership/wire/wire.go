// Package wire encodes and decodes the packets of package membership in CBOR (RFC
// 8949), with integer keys to keep packets small.
//
// The decoder is safe for untrusted input: it rejects packets larger than
// MaxPacketBytes, nested deeper than a message, or with arrays of more than
// MaxPacketBytes/8 elements. No input makes it panic.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/membership"
)

// MaxPacketBytes is the maximum size of an encoded packet. With the IP and UDP
// headers it fits into an Ethernet frame.
const MaxPacketBytes = 1400

const (
	// version is the format version in the first field of every packet. Packets of
	// other versions are rejected.
	version = 1

	maxNestedLevels = 4
	// minElementBytes is a lower bound on the encoded size of an update with a name,
	// an IP address and a port. Packets contain no other arrays.
	minElementBytes = 8
	// maxMapPairs is the smallest limit on the fields of a map that the CBOR library
	// accepts. Packets and updates have fewer fields.
	maxMapPairs = 16
)

// ErrTooLarge is the error for a packet that exceeds MaxPacketBytes, when encoding
// or decoding.
var ErrTooLarge = errors.New("membership packet exceeds 1400 bytes")

// FormatError is the error of Decode for a packet that is valid CBOR but not a
// valid message.
type FormatError struct {
	Problem string // the invalid value and what is allowed
}

// Error implements error.
func (e *FormatError) Error() string { return "invalid membership packet: " + e.Problem }

// update is the encoded form of a membership.Update.
type update struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Start       int64  `cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	State       uint8  `cbor:"6,keyasint,omitempty"`
	Suspector   string `cbor:"7,keyasint,omitempty"`
}

// packet is the encoded form of a membership.Message.
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

// New returns a Codec. Its errors are those of the CBOR library for invalid
// options.
func New() (*Codec, error) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("creating the encoder of membership packets: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  MaxPacketBytes / minElementBytes,
		MaxMapPairs:       maxMapPairs,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("creating the decoder of membership packets: %w", err)
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode encodes a message. A negative Count is encoded as 0. Encode returns
// ErrTooLarge if the packet would exceed MaxPacketBytes.
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
		return encoded, fmt.Errorf("encoding membership packet: %w", err)
	}
	if len(encoded) > MaxPacketBytes {
		return nil, ErrTooLarge
	}
	return encoded, nil
}

// Decode decodes a packet. It returns ErrTooLarge, a wrapped error of the CBOR
// library, or a *FormatError for another format version, an unknown kind or state,
// or an update without a name.
func (c *Codec) Decode(encoded []byte) (membership.Message, error) {
	if len(encoded) > MaxPacketBytes {
		return membership.Message{}, ErrTooLarge
	}
	var p packet
	if err := c.decoder.Unmarshal(encoded, &p); err != nil {
		return membership.Message{}, fmt.Errorf("decoding membership packet: %w", err)
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

// check returns a *FormatError if the packet is not a valid message.
func (p *packet) check() error {
	if p.Version != version {
		return &FormatError{fmt.Sprintf("version is %d, want %d", p.Version, version)}
	}
	if p.Kind < uint8(membership.Ping) || p.Kind > uint8(membership.UserData) {
		return &FormatError{fmt.Sprintf("kind is %d, want 1 to %d", p.Kind, membership.UserData)}
	}
	for i, u := range p.Updates {
		if u.State > uint8(membership.Left) || u.Name == "" {
			return &FormatError{fmt.Sprintf(
				"update %d has state %d and name %q, want a known state and a name", i, u.State, u.Name)}
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
