// Package wire turns the shared state's messages into bytes and back, in CBOR
// (RFC 8949) by fxamacker/cbor, with integer keys and arrays to keep them
// small. Decoding is bounded by the packet that carried the bytes; no input
// makes it panic or hold more than a few times its own size.
package wire

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/fleetstate"
)

const (
	version  = 1
	maxBytes = 1400
	maxName  = 128
)

type entry struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch int64
	Stamp int64
	Cells []uint64
}

type claim struct {
	_     struct{} `cbor:",toarray"`
	Host  string
	Kind  uint8
	AgeMs uint32
}

type ask struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	ID   uint64
	Want float64
	At   int64
}

type grant struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	ID     uint64
	Amount float64
	At     int64
	ForMs  uint32
}

type message struct {
	V      uint8   `cbor:"0,keyasint"`
	Counts []entry `cbor:"1,keyasint,omitempty"`
	Claims []claim `cbor:"2,keyasint,omitempty"`
	Asks   []ask   `cbor:"3,keyasint,omitempty"`
	Grants []grant `cbor:"4,keyasint,omitempty"`
}

// Codec encodes and decodes messages; one is safe for concurrent use.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New makes a codec.
func New() (*Codec, error) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels: 5, MaxArrayElements: maxBytes, MaxMapPairs: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Encode turns m into bytes.
func (c *Codec) Encode(m fleetstate.Message) ([]byte, error) {
	w := message{V: version}
	for _, e := range m.Counters {
		w.Counts = append(w.Counts, entry{Name: e.Name, Epoch: e.Epoch, Stamp: e.Stamp, Cells: e.Counters})
	}
	for _, x := range m.HealthReports {
		w.Claims = append(w.Claims, claim{Host: x.Endpoint, Kind: uint8(x.Status), AgeMs: uint32(min(max(x.AgeMs, 0), math.MaxUint32))})
	}
	for _, a := range m.LeaseRequests {
		w.Asks = append(w.Asks, ask{Key: a.Key, ID: a.ID, Want: a.Wanted, At: a.RequestedAt})
	}
	for _, g := range m.LeaseGrants {
		w.Grants = append(w.Grants, grant{Key: g.Key, ID: g.ID, Amount: g.Amount, At: g.RequestedAt, ForMs: uint32(min(max(g.DurationMs, 0), math.MaxUint32))})
	}
	return c.enc.Marshal(w)
}

// Decode reads a message. Errors: CBOR's own (naming the field), another
// version, a name, kind or amount that no router sends.
func (c *Codec) Decode(b []byte) (m fleetstate.Message, err error) {
	if len(b) > maxBytes {
		return m, fmt.Errorf("shared state: %d bytes, want at most %d", len(b), maxBytes)
	}
	var w message
	if err := c.dec.Unmarshal(b, &w); err != nil {
		return m, fmt.Errorf("shared state: %w", err)
	}
	if w.V != version {
		return m, fmt.Errorf("shared state: version %d, want %d", w.V, version)
	}
	name := func(part string, i int, s string) {
		if err == nil && (s == "" || len(s) > maxName) {
			err = fmt.Errorf("shared state: %s %d: a name of %d bytes, want 1 to %d", part, i, len(s), maxName)
		}
	}
	amount := func(part string, i int, v float64) {
		if err == nil && !(v > 0 && v <= 1e9) {
			err = fmt.Errorf("shared state: %s %d: amount %g, want above 0", part, i, v)
		}
	}
	for i, e := range w.Counts {
		name("counters", i, e.Name)
		m.Counters = append(m.Counters, fleetstate.CounterEntry{Name: e.Name, Epoch: e.Epoch, Stamp: e.Stamp, Counters: e.Cells})
	}
	for i, x := range w.Claims {
		name("claim", i, x.Host)
		if err == nil && (x.Kind < uint8(fleetstate.Healthy) || x.Kind > uint8(fleetstate.Primary)) {
			err = fmt.Errorf("shared state: claim %d: kind %d, want %d to %d", i, x.Kind, fleetstate.Healthy, fleetstate.Primary)
		}
		m.HealthReports = append(m.HealthReports, fleetstate.HealthReport{Endpoint: x.Host, Status: fleetstate.HealthStatus(x.Kind), AgeMs: int64(x.AgeMs)})
	}
	for i, a := range w.Asks {
		name("ask", i, a.Key)
		amount("ask", i, a.Want)
		m.LeaseRequests = append(m.LeaseRequests, fleetstate.LeaseRequest{Key: a.Key, ID: a.ID, Wanted: a.Want, RequestedAt: a.At})
	}
	for i, g := range w.Grants {
		name("grant", i, g.Key)
		amount("grant", i, g.Amount)
		m.LeaseGrants = append(m.LeaseGrants, fleetstate.LeaseGrant{Key: g.Key, ID: g.ID, Amount: g.Amount, RequestedAt: g.At, DurationMs: int64(g.ForMs)})
	}
	if err != nil {
		return fleetstate.Message{}, err
	}
	return m, nil
}
