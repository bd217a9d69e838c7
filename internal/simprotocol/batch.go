package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"lotusbend/internal/clock"
)

const (
	// headerBytes is the length of a batch's header: length, count, clock, number.
	headerBytes = 20
	// recordHeaderBytes is the length of a record's header: code, length.
	recordHeaderBytes = 5
	// maxFrameBytes bounds one frame's body: batches run to megabytes, not to this.
	maxFrameBytes = 1 << 30
	// readChunkBytes bounds what is allocated ahead of the bytes that arrive.
	readChunkBytes = 1 << 20
	// maxClockMs is the latest clock of the simulator, over thirty years.
	maxClockMs = 1e12
)

// Batch is one frame of events.
type Batch struct {
	Now   time.Duration // the simulator's clock
	Seq   uint32        // the batch's number, repeated in its reply
	count uint32
	body  []byte
}

// Reader reads batches from a stream.
type Reader struct {
	r      io.Reader
	buffer []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads one batch. It returns io.EOF at a clean end between frames, and an
// error that wraps ErrMalformed for anything else that is no batch. The batch is
// valid until the next call.
func (r *Reader) Next() (Batch, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, malformed("truncated header: %v", err)
	}
	length := binary.LittleEndian.Uint32(header[0:])
	batch := Batch{
		count: binary.LittleEndian.Uint32(header[4:]),
		Seq:   binary.LittleEndian.Uint32(header[16:]),
	}
	if length > maxFrameBytes {
		return Batch{}, malformed("length %d is over %d", length, maxFrameBytes)
	}
	if uint64(batch.count)*recordHeaderBytes > uint64(length) {
		return Batch{}, malformed("%d records cannot fit in %d bytes", batch.count, length)
	}
	ms := math.Float64frombits(binary.LittleEndian.Uint64(header[8:]))
	if math.IsNaN(ms) || ms < 0 || ms > maxClockMs {
		return Batch{}, malformed("impossible clock %v", ms)
	}
	batch.Now = clock.Duration(ms)
	if err := r.readBody(int(length)); err != nil {
		return Batch{}, err
	}
	batch.body = r.buffer
	return batch, nil
}

// readBody fills the buffer. It grows by what has arrived, so that a false
// length costs no memory.
func (r *Reader) readBody(length int) error {
	r.buffer = r.buffer[:0]
	for len(r.buffer) < length {
		have := len(r.buffer)
		chunk := min(length-have, readChunkBytes)
		r.buffer = append(r.buffer, make([]byte, chunk)...)
		if _, err := io.ReadFull(r.r, r.buffer[have:]); err != nil {
			return malformed("truncated body: %v", err)
		}
	}
	return nil
}

// Each calls do for every event of the batch, in order, and ends at the first
// error. The event is valid during the call.
func (b Batch) Each(do func(*Event) error) error {
	rest := b.body
	var event Event
	for number := uint32(1); number <= b.count; number++ {
		if len(rest) < recordHeaderBytes {
			return malformed("record %d of %d is missing", number, b.count)
		}
		length := binary.LittleEndian.Uint32(rest[1:])
		if left := len(rest) - recordHeaderBytes; uint64(length) > uint64(left) {
			return malformed("record %d claims %d bytes, %d are left", number, length, left)
		}
		event = Event{Code: rest[0]}
		record := fields{bytes: rest[recordHeaderBytes : recordHeaderBytes+length]}
		if err := event.decode(&record); err != nil {
			return fmt.Errorf("record %d, code %d: %w", number, event.Code, err)
		}
		if len(record.bytes) != 0 {
			return malformed("record %d, code %d: %d bytes too many", number, event.Code, len(record.bytes))
		}
		if err := do(&event); err != nil {
			return err
		}
		rest = rest[recordHeaderBytes+length:]
	}
	if len(rest) != 0 {
		return malformed("%d bytes after the last record", len(rest))
	}
	return nil
}
