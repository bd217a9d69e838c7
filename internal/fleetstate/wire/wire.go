// Package wire encodes the shared state's messages in CBOR (RFC 8949), with
// integer keys and arrays to keep them small, and decodes them. Decoding is
// bounded by the size of the packet: no input makes it panic or take more than
// a few times its own size.
package wire

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/fleetstate"
)

const (
	protocolVersion = 1
	maxMessageBytes = 1400
	maxNameBytes    = 128
	maxAmount       = 1e9
)

// The encoded parts of a message. The order of their fields, and the keys of
// message, are the protocol.

type counterEntry struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Epoch    int64
	Stamp    int64
	Counters []uint64
}

type healthReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Status   uint8
	AgeMs    uint32
}

type leaseRequest struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	ID          uint64
	Wanted      float64
	RequestedAt int64
}

type leaseGrant struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	ID          uint64
	Amount      float64
	RequestedAt int64
	DurationMs  uint32
}

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

// New makes a codec. It fails only if its own options are invalid.
func New() (*Codec, error) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("wire: encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:   5,
		MaxArrayElements:  maxMessageBytes,
		MaxMapPairs:       16,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("wire: decoder: %w", err)
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns the bytes of a message. Durations beyond the protocol's range
// are sent as its least or largest.
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

// milliseconds is a duration in the protocol's range.
func milliseconds(duration int64) uint32 {
	return uint32(min(max(duration, 0), math.MaxUint32))
}
