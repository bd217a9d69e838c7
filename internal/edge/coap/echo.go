package coap

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
)

const (
	// echoLifetimeMs is how long an Echo value proves a client's address.
	echoLifetimeMs = 120000
	// maxAmplification is the largest ratio of the lengths of response and request
	// for an unverified address (RFC 9175, 2.4, item 3).
	maxAmplification = 3

	echoTimeBytes  = 8
	echoProofBytes = 8
)

// newEcho returns an Echo value for a client: the time, and a truncated HMAC of
// the time and the client's address.
func (s *Server) newEcho(now float64, to netip.AddrPort) []byte {
	b := make([]byte, 0, echoTimeBytes+echoProofBytes)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(now))
	return append(b, s.echoProof(b, to)...)
}

// echoProof returns the HMAC of an encoded time and a client's address, truncated
// to echoProofBytes.
func (s *Server) echoProof(timestamp []byte, to netip.AddrPort) []byte {
	mac := hmac.New(sha256.New, s.echoKey[:])
	address, _ := to.MarshalBinary() // never fails
	mac.Write(timestamp)
	mac.Write(address)
	return mac.Sum(nil)[:echoProofBytes]
}

// verifyEcho returns when the request's Echo value was created. ok is false if the
// request has none, or if it is forged, expired or was sent to another address.
func (s *Server) verifyEcho(
	now float64, from netip.AddrPort, received *message.Message,
) (sentAt float64, ok bool) {
	b, err := received.Options.GetBytes(message.Echo)
	if err != nil || len(b) != echoTimeBytes+echoProofBytes {
		return 0, false
	}
	timestamp := b[:echoTimeBytes]
	if !hmac.Equal(b[echoTimeBytes:], s.echoProof(timestamp, from)) {
		return 0, false
	}
	sentAt = math.Float64frombits(binary.BigEndian.Uint64(timestamp))
	return sentAt, sentAt <= now && now-sentAt <= echoLifetimeMs
}
