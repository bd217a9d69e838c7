// Package wire encodes and decodes the messages of package fleetstate in CBOR
// (RFC 8949). Integer keys and arrays keep the encoding small. Decoding any input
// is safe: it does not panic, and it allocates at most a few times the input's
// size.
package wire

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/fleetstate"
)

const (
	protocolVersion = 1
	maxMessageBytes = 1400 // of an encoded message
	maxNameBytes    = 128
	maxAmount       = 1e9 // of a lease, in the unit of its budget
)

// The encoded parts of a message. The order of their fields and the keys of
// message are part of the protocol.

// counterEntry is the encoding of a fleetstate.CounterEntry.
type counterEntry struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Epoch    int64
	Stamp    int64
	Counters []uint64
}

// healthReport is the encoding of a fleetstate.HealthReport.
type healthReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Status   uint8
	AgeMs    uint32
}

// leaseRequest is the encoding of a fleetstate.LeaseRequest.
type leaseRequest struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	ID          uint64
	Wanted      float64
	RequestedAt int64
}

// leaseGrant is the encoding of a fleetstate.LeaseGrant.
type leaseGrant struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	ID          uint64
	Amount      float64
	RequestedAt int64
	DurationMs  uint32
}

// message is the encoding of a fleetstate.Message.
type message struct {
	Version  uint8          `cbor:"0,keyasint"`
	Counters []counterEntry `cbor:"1,keyasint,omitempty"`
	Reports  []healthReport `cbor:"2,keyasint,omitempty"`
	Requests []leaseRequest `cbor:"3,keyasint,omitempty"`
	Grants   []leaseGrant   `cbor:"4,keyasint,omitempty"`
}

// Codec encodes and decodes messages. It is safe for concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New returns a codec. It fails only if the codec's own CBOR options are invalid.
func New() (*Codec, error) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("wire: creating CBOR encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:   5,
		MaxArrayElements:  maxMessageBytes, // an element takes at least one byte
		MaxMapPairs:       16,              // the library's minimum; a message has 5 fields
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("wire: creating CBOR decoder: %w", err)
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns the encoded message. Durations outside the protocol's range, 0 to
// math.MaxUint32 ms, are encoded as its nearest limit.
func (c *Codec) Encode(m fleetstate.Message) ([]byte, error) {
	encoded := message{Version: protocolVersion}
	for _, entry := range m.Counters {
		encoded.Counters = append(encoded.Counters, counterEntry{
			Name:     entry.Name,
			Epoch:    entry.Epoch,
			Stamp:    entry.Stamp,
			Counters: entry.Counters,
		})
	}
	for _, report := range m.HealthReports {
		encoded.Reports = append(encoded.Reports, healthReport{
			Endpoint: report.Endpoint,
			Status:   uint8(report.Status),
			AgeMs:    milliseconds(report.AgeMs),
		})
	}
	for _, request := range m.LeaseRequests {
		encoded.Requests = append(encoded.Requests, leaseRequest{
			Key:         request.Key,
			ID:          request.ID,
			Wanted:      request.Wanted,
			RequestedAt: request.RequestedAt,
		})
	}
	for _, grant := range m.LeaseGrants {
		encoded.Grants = append(encoded.Grants, leaseGrant{
			Key:         grant.Key,
			ID:          grant.ID,
			Amount:      grant.Amount,
			RequestedAt: grant.RequestedAt,
			DurationMs:  milliseconds(grant.DurationMs),
		})
	}
	return c.encoder.Marshal(encoded)
}

// milliseconds returns a duration in ms, limited to the protocol's range.
func milliseconds(duration int64) uint32 {
	return uint32(min(max(duration, 0), math.MaxUint32))
}
