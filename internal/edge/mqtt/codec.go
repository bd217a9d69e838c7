package mqtt

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/mochi-mqtt/server/v2/packets"
)

// The remaining length in a fixed header [MQTT 1.5.5]: up to four bytes of
// seven bits each, the lowest first.
const (
	maxLengthBytes    = 4
	lengthBitsPerByte = 7
	lengthMask        = 0x7f
	continuationBit   = 0x80
)

var errLengthTooLong = errors.New("mqtt: a length of more than four bytes")

// PacketLength returns the length of the packet at the beginning of b, 0 if
// more of it must come first. limit is that of the remaining length, in bytes.
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
			return 0, fmt.Errorf("mqtt: a packet of %d bytes, at most %d are taken", remaining, limit)
		}
		return 1 + i + remaining, nil
	}
	return 0, nil
}

// decode decodes a packet. The library trusts some lengths in it: a panic there
// is the error of a malformed packet.
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

// reasonOf returns the reason code of an error of decode. A code that the
// library has wrapped is not looked for: such a packet is malformed.
func reasonCodeOf(err error) byte {
	if code, ok := err.(packets.Code); ok && code.Code >= firstErrorCode {
		return code.Code
	}
	return packets.ErrMalformedPacket.Code
}

// Encode encodes a packet that the edge or a device sends.
func Encode(packet *packets.Packet) []byte {
	var b bytes.Buffer
	if err := encode(&b, packet); err != nil {
		// Its parts are this program's own.
		panic(fmt.Sprintf("mqtt: packet %d cannot be written: %v", packet.FixedHeader.Type, err))
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
