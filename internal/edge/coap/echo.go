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
	// echoLifetime is how long an Echo value proves an address, in milliseconds.
	echoLifetimeMs = 120000
	// maxAmplification is how many times longer than the request the response
	// to an unproven address may be (RFC 9175, 2.4, item 3).
	maxAmplification = 3

	echoTimeBytes  = 8 // bytes
	echoProofBytes = 8
)

// newEcho returns an Echo value: the time, and a proof that this server sent it
// to this address.
func (s *Server) newEcho(now float64, to netip.AddrPort) []byte {
	b := make([]byte, 0, echoTimeBytes+echoProofBytes)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(now))
	return append(b, s.echoProof(b, to)...)
}

func (s *Server) echoProof(timestamp []byte, to netip.AddrPort) []byte {
	mac := hmac.New(sha256.New, s.echoKey[:])
	address, _ := to.MarshalBinary() // never fails
	mac.Write(timestamp)
	mac.Write(address)
	return mac.Sum(nil)[:echoProofBytes]
}

// verifyEcho returns when the request's Echo value was sent; false if there is
// none, or if it is forged or expired.
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
