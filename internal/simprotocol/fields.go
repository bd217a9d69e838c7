package simprotocol

import (
	"encoding/binary"
	"math"
	"time"

	"lotusbend/internal/clock"
)

// maxNumberBytes is the length of the longest number.
const maxNumberBytes = 8

// fields reads the little-endian fields of one record. A read past the end of the
// record sets err, and from then on every read returns zeros.
type fields struct {
	bytes []byte // the bytes not read yet
	err   error
}

// take returns the next n bytes. After an error it returns zeros, at most enough
// for a number.
func (f *fields) take(n int) []byte {
	if f.err == nil && n > len(f.bytes) {
		f.err = malformed("field runs past its record")
	}
	if f.err != nil {
		return make([]byte, min(n, maxNumberBytes))
	}
	value := f.bytes[:n]
	f.bytes = f.bytes[n:]
	return value
}

func (f *fields) u8() uint8    { return f.take(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f32() float32 { return math.Float32frombits(f.u32()) }
func (f *fields) f64() float64 { return math.Float64frombits(f.u64()) }

// duration reads a time in milliseconds. NaN gives 0, and values out of the range
// of clock.Duration are limited to it.
func (f *fields) duration() time.Duration { return clock.Duration(f.f64()) }

// counted returns the next n bytes, where n comes from a count in the record; nil
// after an error.
func (f *fields) counted(n int) []byte {
	if f.err == nil && (n < 0 || n > len(f.bytes)) {
		f.err = malformed("count %d runs past its record", n)
	}
	if f.err != nil {
		return nil
	}
	return f.take(n)
}
