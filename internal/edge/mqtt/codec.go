package mqtt

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/mochi-mqtt/server/v2/packets"
)

// The Remaining Length of a fixed header is a variable byte integer
// [MQTT 1.5.5]: up to four bytes of seven bits each, least significant first.
const (
	maxLengthBytes    = 4
	lengthBitsPerByte = 7
	lengthMask        = 0x7f
	continuationBit   = 0x80
)

var errLengthTooLong = errors.New("mqtt: remaining length has more than four bytes")

// PacketLength returns the length in bytes of the packet at the beginning of b,
// or 0 if b is too short to tell. It returns an error if the remaining length is
// malformed or exceeds limit bytes.
func PacketLength(b []byte, limit int) (int, error) {
	var remaining int
	for i := 1; i < len(b); i++ {
		if i > maxLengthBytes {
			return 0, errLengthTooLong
		}
		remaining |= int(b[i]&lengthMask) << (lengthBitsPerByte * (i - 1))
		if b[i]&continuationBit != 0 {
			continue
		}
		if remaining > limit {
			return 0, fmt.Errorf("mqtt: remaining length of %d bytes, at most %d allowed", remaining, limit)
		}
		return 1 + i + remaining, nil
	}
	return 0, nil
}

// decode decodes a packet. The library does not check some lengths in a packet, so
// a panic in it is reported as a malformed packet.
func decode(b []byte, version byte) (packet packets.Packet, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = packets.ErrMalformedPacket
		}
	}()
	lengthEnd := 1
	for lengthEnd < len(b) && b[lengthEnd]&continuationBit != 0 {
		lengthEnd++
	}
	if lengthEnd+1 > len(b) {
		return packet, packets.ErrMalformedPacket
	}
	body := b[lengthEnd+1:]
	packet.ProtocolVersion = version
	packet.FixedHeader.Remaining = len(body)
	if err = packet.FixedHeader.Decode(b[0]); err != nil {
		return packet, err
	}
	err = decodeBody(&packet, body)
	return packet, err
}

// decodeBody decodes what follows the fixed header. Packets that only servers
// send are protocol errors.
func decodeBody(packet *packets.Packet, body []byte) error {
	switch packet.FixedHeader.Type {
	case packets.Connect:
		return packet.ConnectDecode(body)
	case packets.Publish:
		return packet.PublishDecode(body)
	case packets.Puback:
		return packet.PubackDecode(body)
	case packets.Pubrec:
		return packet.PubrecDecode(body)
	case packets.Pubrel:
		return packet.PubrelDecode(body)
	case packets.Pubcomp:
		return packet.PubcompDecode(body)
	case packets.Subscribe:
		return packet.SubscribeDecode(body)
	case packets.Unsubscribe:
		return packet.UnsubscribeDecode(body)
	case packets.Pingreq:
		return nil
	case packets.Disconnect:
		return packet.DisconnectDecode(body)
	}
	return packets.ErrProtocolViolation
}

// reasonCodeOf returns the reason code for an error of decode. An error in which
// the library has wrapped a code counts as a malformed packet.
func reasonCodeOf(err error) byte {
	if code, ok := err.(packets.Code); ok && code.Code >= firstErrorCode {
		return code.Code
	}
	return packets.ErrMalformedPacket.Code
}

// Encode encodes a packet that a server or a client sends. It panics if the
// packet cannot be encoded.
func Encode(packet *packets.Packet) []byte {
	var b bytes.Buffer
	if err := encode(&b, packet); err != nil {
		// A programming error: the caller built the packet.
		panic(fmt.Sprintf("mqtt: encoding packet of type %d: %v", packet.FixedHeader.Type, err))
	}
	return b.Bytes()
}

func encode(b *bytes.Buffer, packet *packets.Packet) error {
	switch packet.FixedHeader.Type {
	case packets.Connect:
		return packet.ConnectEncode(b)
	case packets.Connack:
		return packet.ConnackEncode(b)
	case packets.Publish:
		return packet.PublishEncode(b)
	case packets.Puback:
		return packet.PubackEncode(b)
	case packets.Pubrec:
		return packet.PubrecEncode(b)
	case packets.Pubrel:
		return packet.PubrelEncode(b)
	case packets.Pubcomp:
		return packet.PubcompEncode(b)
	case packets.Subscribe:
		return packet.SubscribeEncode(b)
	case packets.Suback:
		return packet.SubackEncode(b)
	case packets.Unsuback:
		return packet.UnsubackEncode(b)
	case packets.Pingreq:
		return packet.PingreqEncode(b)
	case packets.Pingresp:
		return packet.PingrespEncode(b)
	case packets.Disconnect:
		return packet.DisconnectEncode(b)
	}
	return nil
}
