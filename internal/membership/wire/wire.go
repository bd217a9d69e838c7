// Package wire turns membership's messages into packets and back, in CBOR
// (RFC 8949) by fxamacker/cbor, with integer keys to keep packets small.
// Decoding is bounded: a packet over MaxPacket bytes, nested deeper than a
// message is, or with more rumors than fit in a packet is refused with an
// error that names what was wrong; no input makes it panic.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/membership"
)

// MaxPacket is the most bytes a packet may have: under a loopback or
// Ethernet datagram with room for headers.
const MaxPacket = 1400

// version is the first field of every packet; another is refused.
const version = 1

type rumor struct {
	Name  string `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint,omitempty"`
	Zone  string `cbor:"3,keyasint,omitempty"`
	Start int64  `cbor:"4,keyasint,omitempty"`
	Inc   uint64 `cbor:"5,keyasint,omitempty"`
	State uint8  `cbor:"6,keyasint,omitempty"`
	By    string `cbor:"7,keyasint,omitempty"`
}

type packet struct {
	V          uint8   `cbor:"0,keyasint"`
	Kind       uint8   `cbor:"1,keyasint"`
	Seq        uint64  `cbor:"2,keyasint,omitempty"`
	From       string  `cbor:"3,keyasint"`
	Target     string  `cbor:"4,keyasint,omitempty"`
	TargetAddr string  `cbor:"5,keyasint,omitempty"`
	After      string  `cbor:"6,keyasint,omitempty"`
	Rumors     []rumor `cbor:"7,keyasint,omitempty"`
	Payload    []byte  `cbor:"8,keyasint,omitempty"`
	Count      uint32  `cbor:"9,keyasint,omitempty"`
}

// Codec encodes and decodes packets; one is safe for concurrent use.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New makes a codec with the decoding bounds above.
func New() (*Codec, error) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:   4,
		MaxArrayElements:  MaxPacket / 8,
		MaxMapPairs:       16,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// ErrTooLarge is returned for a packet, in or out, over MaxPacket bytes.
var ErrTooLarge = errors.New("membership packet over 1400 bytes")

// Encode turns m into a packet.
func (c *Codec) Encode(m membership.Message) ([]byte, error) {
	p := packet{V: version, Kind: uint8(m.Kind), Seq: m.Seq, From: m.From, Target: m.Target, TargetAddr: m.TargetAddr, After: m.After, Payload: m.Payload, Count: uint32(max(0, m.Count))}
	for _, r := range m.Updates {
		p.Rumors = append(p.Rumors, rumor{r.Name, r.Addr, r.Zone, r.Start, r.Incarnation, uint8(r.State), r.Suspector})
	}
	b, err := c.enc.Marshal(p)
	if err == nil && len(b) > MaxPacket {
		return nil, ErrTooLarge
	}
	return b, err
}

// Decode reads a packet. Errors: ErrTooLarge, CBOR's own (naming the
// field), a version other than 1, a kind or state no member sends.
func (c *Codec) Decode(b []byte) (membership.Message, error) {
	if len(b) > MaxPacket {
		return membership.Message{}, ErrTooLarge
	}
	var p packet
	if err := c.dec.Unmarshal(b, &p); err != nil {
		return membership.Message{}, fmt.Errorf("membership packet: %w", err)
	}
	if p.V != version {
		return membership.Message{}, fmt.Errorf("membership packet: version %d, want %d", p.V, version)
	}
	if p.Kind < uint8(membership.Ping) || p.Kind > uint8(membership.UserData) {
		return membership.Message{}, fmt.Errorf("membership packet: kind %d, want 1 to %d", p.Kind, membership.UserData)
	}
	m := membership.Message{Kind: membership.Kind(p.Kind), Seq: p.Seq, From: p.From, Target: p.Target, TargetAddr: p.TargetAddr, After: p.After, Payload: p.Payload, Count: int(p.Count)}
	for i, r := range p.Rumors {
		if r.State > uint8(membership.Left) || r.Name == "" {
			return membership.Message{}, fmt.Errorf("membership packet: rumor %d: state %d or name %q", i, r.State, r.Name)
		}
		m.Updates = append(m.Updates, membership.Update{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Start: r.Start, Incarnation: r.Inc, State: membership.State(r.State), Suspector: r.By})
	}
	return m, nil
}
