package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/edge/intake"
)

// The layout of an entry. Its key is the device's name, a terminator, the epoch
// and the sequence number. Its value is the urgency, the route, the reading's
// value and a checksum of these. Numbers are big-endian. Sizes are in bytes.
const (
	terminatorSize = 2 // 0x00 0x01
	numberSize     = 8 // an epoch or a sequence number
	keyTailSize    = terminatorSize + 2*numberSize
	urgencySize    = 1
	routeSize      = 2
	headerSize     = urgencySize + routeSize
	checksumSize   = 8

	// escapeByte follows each zero byte of the device's name, so that names may
	// contain any bytes and keys sort in the order of the names.
	escapeByte = 0xff
)

// encodeKey returns an entry's key. Keys sort by device, epoch and sequence
// number.
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
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)) // the pages of bbolt have no checksum
}

// decodeReading returns the reading in an entry, sharing no memory with it. Its
// errors wrap errDamaged.
func decodeReading(k, v []byte) (r intake.Reading, err error) {
	if len(k) < keyTailSize || len(v) < headerSize+checksumSize {
		return r, fmt.Errorf("%w: entry with a key of %d bytes and a value of %d bytes is too short",
			errDamaged, len(k), len(v))
	}
	content := v[:len(v)-checksumSize]
	checksum := binary.BigEndian.Uint64(v[len(content):])
	if xxhash.Sum64(content) != checksum {
		return r, fmt.Errorf("%w: the checksum of a reading does not match", errDamaged)
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

// unescapeDevice returns the device's name without its escape bytes.
func unescapeDevice(name []byte) string {
	var device []byte
	for i := 0; i < len(name); i++ {
		device = append(device, name[i])
		if name[i] == 0 {
			i++ // skips the escape byte
		}
	}
	return string(device)
}
