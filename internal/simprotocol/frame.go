// Package simprotocol translates between the simulator's binary frames and the
// types of package decide. It holds no decision.
package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

// Event codes.
const (
	EvLapsed     = 0
	EvFirst      = 1
	EvAttemptEnd = 2
	EvElapsed    = 3
	EvConfigure  = 4
	EvRegister   = 5
	EvFleet      = 6
	EvDemand     = 7
	EvPeer       = 8
	EvHalt       = 9
	EvPingResult = 10
)

// Action codes.
const (
	acPlace        = 0
	acPushBack     = 1
	acError        = 2
	acCancel       = 3
	acSchedule     = 4
	acCheck        = 5
	acDropConns    = 6
	acException    = 9
	acKeepInformed = 10
)

const (
	headerLen = 20
	entryLen  = 25
	// maxFrame bounds one frame's body: batches run to megabytes, not to this.
	maxFrame = 1 << 30
	// readChunk bounds what is allocated ahead of the bytes that arrive.
	readChunk = 1 << 20
	// maxList is the number of shared lists that may be registered.
	maxList = 16
	maxMsg  = 1<<16 - 1
)

// ErrMalformed is wrapped by every error about the contents of a frame.
var ErrMalformed = errors.New("malformed frame")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Batch is one frame of events.
type Batch struct {
	Now   time.Duration
	Seq   uint32
	count uint32
	body  []byte
}

// Reader reads batches from a stream.
type Reader struct {
	r   io.Reader
	buf []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads one batch. It returns io.EOF at a clean end between frames. The
// batch is valid until the next call.
func (r *Reader) Next() (Batch, error) {
	var h [headerLen]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, malformed("truncated header: %v", err)
	}
	n := binary.LittleEndian.Uint32(h[0:])
	b := Batch{count: binary.LittleEndian.Uint32(h[4:]), Seq: binary.LittleEndian.Uint32(h[16:])}
	if n > maxFrame {
		return Batch{}, malformed("length %d is over %d", n, maxFrame)
	}
	if uint64(b.count)*5 > uint64(n) {
		return Batch{}, malformed("%d records cannot fit in %d bytes", b.count, n)
	}
	ms := math.Float64frombits(binary.LittleEndian.Uint64(h[8:]))
	if math.IsNaN(ms) || ms < 0 || ms > maxMs {
		return Batch{}, malformed("impossible clock %v", ms)
	}
	b.Now = millis(ms)
	r.buf = r.buf[:0]
	for len(r.buf) < int(n) {
		// Grow by what has arrived, so that a false length costs no memory.
		have, want := len(r.buf), min(int(n)-len(r.buf), readChunk)
		r.buf = append(r.buf, make([]byte, want)...)
		if _, err := io.ReadFull(r.r, r.buf[have:]); err != nil {
			return Batch{}, malformed("truncated body: %v", err)
		}
	}
	b.body = r.buf
	return b, nil
}

// Event is one decoded record. Which fields are set depends on Code.
type Event struct {
	Code     uint8
	Instance uint16
	Request  decide.Request
	Result   decide.AttemptResult
	Probe    ProbeReport
	Ticket   uint64 // Lapsed, First
	Attempt  int    // First
	Token    uint32
	Seed     uint64
	Settings []byte
	List     uint32
	Kind     decide.EndpointUpdateKind
	Members  []decide.Endpoint
}

// ProbeReport is a probe's result with the report's values as they came, in
// the order of the instance's settings.
type ProbeReport struct {
	Member  uint32
	Outcome decide.Outcome
	Values  []float32
}

// fields reads the fields of one record.
type fields struct {
	b   []byte
	err error
}

func (f *fields) take(n int) []byte {
	if f.err != nil || n > len(f.b) {
		if f.err == nil {
			f.err = malformed("field runs past its record")
		}
		return make([]byte, min(n, 8))
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

func (f *fields) u8() uint8   { return f.take(1)[0] }
func (f *fields) u16() uint16 { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32 { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64 { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f32() float32 {
	return math.Float32frombits(f.u32())
}
func (f *fields) f64() float64 { return math.Float64frombits(f.u64()) }

// bytes reads n bytes that follow a count.
func (f *fields) bytes(n int) []byte {
	if f.err == nil && (n < 0 || n > len(f.b)) {
		f.err = malformed("count %d runs past its record", n)
	}
	if f.err != nil {
		return nil
	}
	return f.take(n)
}

// Each calls do for every event of the batch, in order.
func (b Batch) Each(do func(*Event) error) error {
	rest := b.body
	var ev Event
	for i := uint32(0); i < b.count; i++ {
		if len(rest) < 5 {
			return malformed("record %d of %d is missing", i+1, b.count)
		}
		n := binary.LittleEndian.Uint32(rest[1:])
		if uint64(n) > uint64(len(rest)-5) {
			return malformed("record %d claims %d bytes, %d are left", i+1, n, len(rest)-5)
		}
		ev = Event{Code: rest[0]}
		f := fields{b: rest[5 : 5+n]}
		if err := ev.decode(&f); err != nil {
			return fmt.Errorf("record %d, code %d: %w", i+1, ev.Code, err)
		}
		if len(f.b) != 0 {
			return malformed("record %d, code %d: %d bytes too many", i+1, ev.Code, len(f.b))
		}
		if err := do(&ev); err != nil {
			return err
		}
		rest = rest[5+n:]
	}
	if len(rest) != 0 {
		return malformed("%d bytes after the last record", len(rest))
	}
	return nil
}

func (ev *Event) decode(f *fields) error {
	if ev.Code == EvRegister {
		ev.List = f.u32()
		ev.Members = entries(f)
		if f.err == nil && ev.List >= maxList {
			return malformed("list number %d is over %d", ev.List, maxList-1)
		}
		return f.err
	}
	ev.Instance = f.u16()
	switch ev.Code {
	case EvLapsed:
		ev.Ticket = f.u64()
	case EvFirst:
		ev.Ticket, ev.Attempt = f.u64(), int(f.u8())
		f.u32()
		f.f64()
	case EvAttemptEnd:
		r := &ev.Result
		r.Request, r.Attempt, r.Endpoint = f.u64(), int(f.u8()), f.u32()
		code := f.u16()
		r.Latency, r.ClientAnswered = millis(f.f64()), f.u8() != 0
		note := f.u32()
		r.Status = decide.ReplicationStatus{Role: role(note & 3), Position: time.Duration(note/4) * time.Millisecond}
		f.bytes(4 * int(f.u8()))
		return f.outcome(code, &r.Outcome)
	case EvElapsed:
		ev.Token = f.u32()
	case EvConfigure:
		ev.Seed = f.u64()
		ev.Settings = f.bytes(int(f.u32()))
	case EvFleet:
		ev.List = f.u32()
		kind := f.u8()
		f.u64()
		if f.err == nil && int(kind) >= len(listKinds) {
			return malformed("unknown list kind %d", kind)
		}
		ev.Kind = listKinds[int(kind)%len(listKinds)]
	case EvDemand:
		q := &ev.Request
		q.ID = f.u64()
		f.f64()
		q.SinceCommit = millis(float64(f.f32()))
		group := f.f32()
		q.Session = f.u64()
		f.u8()
		q.Class = int(f.u16())
		f.u16() // the tenant: nothing is decided by it
		q.TimeLeft = millis(f.f64())
		if f.err == nil && !(group >= 0 && group <= math.MaxUint16) {
			return malformed("impossible group %v", group)
		}
		q.Group = int(group)
	case EvPeer:
		f.u32()
		f.bytes(int(f.u16()))
	case EvHalt:
	case EvPingResult:
		p := &ev.Probe
		p.Member = f.u32()
		code := f.u16()
		f.f64() // how long it took
		raw := f.bytes(4 * int(f.u8()))
		for ; len(raw) >= 4; raw = raw[4:] {
			p.Values = append(p.Values, math.Float32frombits(binary.LittleEndian.Uint32(raw)))
		}
		return f.outcome(code, &p.Outcome)
	default:
		return malformed("unknown code")
	}
	return f.err
}

// outcome translates a result code, after every field has been read.
func (f *fields) outcome(code uint16, to *decide.Outcome) error {
	if f.err != nil {
		return f.err
	}
	o, ok := outcomes[code]
	if !ok {
		return malformed("unknown outcome %d", code)
	}
	*to = o
	return nil
}

func entries(f *fields) []decide.Endpoint {
	n := int(f.u32())
	if f.err != nil {
		return nil
	}
	if n*entryLen != len(f.b) {
		f.err = malformed("%d list entries in %d bytes", n, len(f.b))
		return nil
	}
	ms := make([]decide.Endpoint, 0, n)
	for range n {
		var m decide.Endpoint
		m.ID, m.Zone = f.u32(), int(f.u8())
		f.u8()
		m.Group = int(f.u16())
		switch state := f.u8(); state {
		case 0:
			m.State = decide.Removed
		case 1:
			m.State = decide.Ready
		case 2:
			m.State = decide.Draining
		default:
			f.err = malformed("unknown member state %d", state)
			return nil
		}
		m.Primary = f.f32() == 1
		f.f32() // the rating: nothing is decided by it
		m.StartedAt = millis(f.f64())
		ms = append(ms, m)
	}
	return ms
}

var listKinds = [...]decide.EndpointUpdateKind{decide.UpdateDelta, decide.UpdateSnapshot, decide.UpdateCachedSnapshot, decide.WatchFailed}

var outcomes = map[uint16]decide.Outcome{
	0: decide.OK, 5: decide.Error, 11: decide.Overloaded, 110: decide.TimedOut, 111: decide.ConnectFailed,
	104: decide.Reset, 125: decide.Cancelled, 114: decide.NotSent, 2: decide.Ineligible,
}

func role(v uint32) decide.Role {
	switch v {
	case 1:
		return decide.RolePrimary
	case 2:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// maxMs is the latest clock of the simulator, over thirty years.
const maxMs = 1e12

// millis reads a time in milliseconds; what is no time at all becomes zero.
func millis(ms float64) time.Duration { return clock.Duration(ms) }

// Reply collects the actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply for the batch numbered seq.
func (p *Reply) Reset(seq uint32) {
	p.buf = append(p.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	p.buf = binary.LittleEndian.AppendUint32(p.buf, seq)
	p.count = 0
}

// Bytes returns the whole frame.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buf[0:], uint32(len(p.buf)-12))
	binary.LittleEndian.PutUint32(p.buf[4:], p.count)
	return p.buf
}

// record starts a record whose fields take n bytes, the instance included.
func (p *Reply) record(code uint8, n int, inst uint16) {
	p.count++
	p.buf = append(p.buf, code)
	p.buf = binary.LittleEndian.AppendUint32(p.buf, uint32(n))
	p.buf = binary.LittleEndian.AppendUint16(p.buf, inst)
}

func (p *Reply) u64(v uint64) { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }
func (p *Reply) u32(v uint32) { p.buf = binary.LittleEndian.AppendUint32(p.buf, v) }
func (p *Reply) ms(d time.Duration) {
	p.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

func (p *Reply) text(code uint8, inst uint16, msg string) {
	if len(msg) > maxMsg {
		msg = msg[:maxMsg]
	}
	p.record(code, 4+len(msg), inst)
	p.buf = binary.LittleEndian.AppendUint16(p.buf, uint16(len(msg)))
	p.buf = append(p.buf, msg...)
}

// Exception reports that the decisions of an instance broke.
func (p *Reply) Exception(inst uint16, msg string) { p.text(acException, inst, msg) }
