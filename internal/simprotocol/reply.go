package simprotocol

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// replyHeaderBytes is the length of a reply's header: body length, record
	// count, sequence number.
	replyHeaderBytes = 12
	// maxTextBytes bounds the text of an exception, whose length has 16 bits.
	maxTextBytes = 1<<16 - 1
)

// Lengths of the fields of a record, in bytes.
const (
	instanceBytes = 2
	requestBytes  = 8
	idBytes       = 4 // of an endpoint or a timer
	durationBytes = 8
	textLenBytes  = 2
)

// Reply collects the actions that answer one batch.
type Reply struct {
	buffer []byte
	count  uint32
}

// Reset empties the reply and starts the one to the batch with number seq.
func (p *Reply) Reset(seq uint32) {
	p.buffer = append(p.buffer[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	p.buffer = binary.LittleEndian.AppendUint32(p.buffer, seq)
	p.count = 0
}

// Bytes returns the complete frame.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buffer[0:], uint32(len(p.buffer)-replyHeaderBytes))
	binary.LittleEndian.PutUint32(p.buffer[4:], p.count)
	return p.buffer
}

// record starts a record and appends its instance. bytes is the length of the
// remaining fields, which the caller appends.
func (p *Reply) record(code uint8, bytes int, instance uint16) {
	p.count++
	p.buffer = append(p.buffer, code)
	p.buffer = binary.LittleEndian.AppendUint32(p.buffer, uint32(instanceBytes+bytes))
	p.buffer = binary.LittleEndian.AppendUint16(p.buffer, instance)
}

func (p *Reply) u8(v uint8)   { p.buffer = append(p.buffer, v) }
func (p *Reply) u32(v uint32) { p.buffer = binary.LittleEndian.AppendUint32(p.buffer, v) }
func (p *Reply) u64(v uint64) { p.buffer = binary.LittleEndian.AppendUint64(p.buffer, v) }

// duration appends a time in milliseconds, as a float64.
func (p *Reply) duration(d time.Duration) {
	p.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

// Exception appends a report that the decisions of an instance panicked. It
// truncates text to maxTextBytes.
func (p *Reply) Exception(instance uint16, text string) {
	text = text[:min(len(text), maxTextBytes)]
	p.record(actionException, textLenBytes+len(text), instance)
	p.buffer = binary.LittleEndian.AppendUint16(p.buffer, uint16(len(text)))
	p.buffer = append(p.buffer, text...)
}
