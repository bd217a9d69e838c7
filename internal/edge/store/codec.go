package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/edge/intake"
)

// An entry's key is the device's name, its end, the epoch and the sequence
// number. Its value is the urgency, the route, the reading's value and a
// checksum of these. Numbers are big-endian. Sizes are in bytes.
const (
	deviceEndSize = 2 // 0x00 0x01
	numberSize    = 8 // an epoch, a sequence number
	keyTailSize   = deviceEndSize + 2*numberSize
	urgencySize   = 1
	routeSize     = 2
	headerSize    = urgencySize + routeSize
	checksumSize  = 8

	// escapeByte follows a zero byte in the device's name, so that names may hold
	// any bytes and keys keep the order of names.
	escapeByte = 0xff
)

// encodeKey orders readings by device, epoch and sequence number.
func encodeKey(id intake.ID) []byte {
	b := make([]byte, 0, len(id.Device)+keyTailSize)
	for i := range len(id.Device) {
		b = append(b, id.Device[i])
		if id.Device[i] == 0 {
			b = append(b, escapeByte)
		}
	}
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint64(b, id.Epoch)
	return binary.BigEndian.AppendUint64(b, id.Seq)
}

// encodeReading returns an entry's value.
func encodeReading(r *intake.Reading) []byte {
	b := make([]byte, 0, headerSize+len(r.Value)+checksumSize)
	var urgent byte
	if r.Urgent {
		urgent = 1
	}
	b = append(b, urgent)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Route))
	b = append(b, r.Value...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)) // bbolt's pages have no checksum
}

// decodeReading returns a copy of the reading in an entry.
func decodeReading(k, v []byte) (r intake.Reading, err error) {
	if len(k) < keyTailSize || len(v) < headerSize+checksumSize {
		return r, fmt.Errorf("%w: an entry of %d and %d bytes is no reading", errDamaged, len(k), len(v))
	}
	content := v[:len(v)-checksumSize]
	checksum := binary.BigEndian.Uint64(v[len(content):])
	if xxhash.Sum64(content) != checksum {
		return r, fmt.Errorf("%w: a reading that is not as it was written", errDamaged)
	}
	name := k[:len(k)-keyTailSize]
	numbers := k[len(k)-2*numberSize:]
	r.ID = intake.ID{
		Device: unescapeDevice(name),
		Epoch:  binary.BigEndian.Uint64(numbers),
		Seq:    binary.BigEndian.Uint64(numbers[numberSize:]),
	}
	r.Urgent = content[0] == 1
	r.Route = int(binary.BigEndian.Uint16(content[urgencySize:]))
	r.Value = append([]byte(nil), content[headerSize:]...)
	return r, nil
}

func unescapeDevice(name []byte) string {
	var device []byte
	for i := 0; i < len(name); i++ {
		device = append(device, name[i])
		if name[i] == 0 {
			i++ // skips the escape
		}
	}
	return string(device)
}
