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
	// headerBytes is the length of a batch's header: body length, record count,
	// clock, sequence number.
	headerBytes = 20
	// recordHeaderBytes is the length of a record's header: code, field length.
	recordHeaderBytes = 5
	// maxFrameBytes bounds the body of a frame. Real batches have a few megabytes;
	// a greater length is rejected as corrupt.
	maxFrameBytes = 1 << 30
	// readChunkBytes bounds the memory allocated ahead of the bytes that arrive.
	readChunkBytes = 1 << 20
	// maxClockMs is the latest accepted clock, over thirty years.
	maxClockMs = 1e12
)

// Batch is one frame of events.
type Batch struct {
	Now   time.Duration // the simulator's clock, the same for all events of the batch
	Seq   uint32        // the sequence number, repeated in the reply
	count uint32        // the number of records
	body  []byte        // the records
}

// Reader reads batches from a stream.
type Reader struct {
	r      io.Reader
	buffer []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads the next batch, which is valid until the next call. It returns io.EOF
// if the stream ends between two frames, and an error that wraps ErrMalformed if
// the frame cannot be read completely or its header is invalid.
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
		return Batch{}, malformed("body of %d bytes, at most %d are allowed", length, maxFrameBytes)
	}
	if uint64(batch.count)*recordHeaderBytes > uint64(length) {
		return Batch{}, malformed("%d records cannot fit in %d bytes", batch.count, length)
	}
	ms := math.Float64frombits(binary.LittleEndian.Uint64(header[8:]))
	if math.IsNaN(ms) || ms < 0 || ms > maxClockMs {
		return Batch{}, malformed("clock of %v ms out of range", ms)
	}
	batch.Now = clock.Duration(ms)
	if err := r.readBody(int(length)); err != nil {
		return Batch{}, err
	}
	batch.body = r.buffer
	return batch, nil
}

// readBody reads the body into the buffer. The buffer grows as bytes arrive, so
// that a false length allocates no memory for bytes that never arrive.
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

// Each decodes the events of the batch in order and calls do for each, until an
// error. The event is valid only during the call. Malformed records give an error
// that wraps ErrMalformed; errors of do are returned unchanged.
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
			return malformed("record %d, code %d: %d bytes after the last field",
				number, event.Code, len(record.bytes))
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
