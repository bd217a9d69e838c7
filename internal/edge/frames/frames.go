// Package frames holds the rules of the compact stream for gateways, which
// speak for many devices over one TCP connection: frames of CBOR behind their
// length, a window of unanswered batches, and ranges of acknowledged sequences
// by which a gateway resumes after a break. Frames and times in, frames and
// messages out; no socket and no clock. Times are Unix milliseconds.
//
// A frame is its length in four bytes, big-endian, and one CBOR array whose
// first element is its Kind. docs/edge.md has the whole protocol.
package frames

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/timers"
)

// Version is the one that is spoken.
const Version = 1

// MaxHello is how long the first frame of a connection may be.
const MaxHello = 256

// HeaderLen is how many bytes give a frame's length.
const HeaderLen = 4

// Kind is the first element of a frame.
type Kind uint8

// The kinds; odd ones come from gateways.
const (
	KindHello    Kind = 1
	KindWelcome  Kind = 2
	KindReadings Kind = 3
	KindAnswer   Kind = 4
	KindQuery    Kind = 5
	KindKnown    Kind = 6
	KindRead     Kind = 7
	KindValue    Kind = 8
	KindPing     Kind = 9
	KindPong     Kind = 10
	KindBye      Kind = 12
)

// Hello opens a connection.
type Hello struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Version uint8
	Name    string
}

// Welcome answers Hello. Window is how many frames may wait for their answer.
type Welcome struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Mark   float64
	Window uint32
}

// Readings is one batch. Mark is the latest that the gateway has heard, and
// Batch.Elapsed how long ago, by its own clock.
type Readings struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint32
	Route string
	Mark  float64
	Batch batch.Batch
}

// Range answers the sequences From to To alike.
type Range struct {
	_      struct{} `cbor:",toarray"`
	From   uint64
	To     uint64
	Status uint8  // of intake.Status
	Wait   uint32 // milliseconds
}

// Answer answers Readings, all of them.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Mark   float64
	Ranges []Range
}

// Query asks which readings of an epoch this router knows to be recorded.
type Query struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Device string
	Epoch  uint64
}

// Known answers Query. What it does not name may be recorded all the same.
type Known struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Ranges []Range
}

// Read asks for one value.
type Read struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint32
	Route string
	Arg   string
}

// Value answers Read: of a Status that is not Recorded it has none.
type Value struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint32
	Status uint8
	Wait   uint32
	Value  []byte
}

// Signal is a frame without contents: Ping and Pong.
type Signal struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
}

// Bye is the last frame of a connection, with the reason.
type Bye struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Reason string
}

// Out is what a Server can do. Its methods must not call back into it.
type Out interface {
	Send(conn uint64, frame []byte)
	Close(conn uint64) // once what was sent is on its way
	// Deliver hands a batch on that was sent after notBefore. It ends in Answer.
	Deliver(token, conn uint64, route string, b *batch.Batch, notBefore float64)
	// Read asks for a value. It ends in Value.
	Read(token, conn uint64, route, arg string)
	Known(device string, epoch uint64) []uint64
}

// Limits bound a connection.
type Limits struct {
	Window int // frames without their answer
	IdleMs float64
}

// Server is the state of all connections.
type Server struct {
	limits      Limits
	out      Out
	codec    *batch.Codec
	connections    map[uint64]*connection
	pending   map[uint64]pending
	lastToken     uint64
	timers   timers.Heap
	draining bool
}

type connection struct {
	id      uint64
	greeted float64 // 0 before Hello
	heard   float64
	open    map[uint32]bool // frames that wait for their answer
	timer   *timers.Timer
}

type pending struct {
	conn *connection
	id   uint32
}

// New returns a server without connections.
func New(lim Limits, codec *batch.Codec, out Out) *Server {
	return &Server{limits: lim, out: out, codec: codec, connections: map[uint64]*connection{}, pending: map[uint64]pending{}}
}

// Next returns when Tick is due, if it is.
func (s *Server) Next() (float64, bool) { return s.timers.Next() }

// Tick does what is due.
func (s *Server) Tick(now float64) { s.timers.Tick(now) }

// FrameLength returns the length of the frame at the beginning of b with its header,
// 0 if more of it must come first.
func FrameLength(b []byte, most int) (int, error) {
	if len(b) < HeaderLen {
		return 0, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n == 0 || uint64(n) > uint64(most) {
		return 0, fmt.Errorf("frames: a frame of %d bytes, 1 to %d are taken", n, most)
	}
	return HeaderLen + int(n), nil
}

// Append writes a frame behind b.
func Append(b []byte, c *batch.Codec, frame any) []byte {
	body := c.Encode(frame)
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...)
}

// Open takes a new connection.
func (s *Server) Open(now float64, id uint64) { s.connections[id] = &connection{id: id, heard: now} }

// Closed unregisters a connection that has ended.
func (s *Server) Closed(id uint64) {
	if c := s.connections[id]; c != nil {
		delete(s.connections, id)
		s.timers.Cancel(c.timer)
	}
}

// Drain disconnects every gateway, after the answers that it waits for.
func (s *Server) Drain() {
	s.draining = true
	for _, c := range s.connections {
		if len(c.open) == 0 {
			s.end(c, "the router is stopping")
		}
	}
}

// Packet takes one whole frame with its header. It may be kept only until the
// call returns.
func (s *Server) Packet(now float64, id uint64, b []byte) {
	c := s.connections[id]
	if c == nil || len(b) <= HeaderLen {
		return
	}
	c.heard = now
	if err := s.frame(now, c, b[HeaderLen:]); err != nil {
		s.end(c, err.Error())
	}
}

func (s *Server) end(c *connection, reason string) {
	s.send(c, Bye{Kind: KindBye, Reason: reason})
	s.out.Close(c.id)
}

func (s *Server) send(c *connection, frame any) { s.out.Send(c.id, Append(nil, s.codec, frame)) }

// frame takes one frame's body. An error ends the connection.
func (s *Server) frame(now float64, c *connection, body []byte) error {
	var parts []cbor.RawMessage
	if err := s.codec.Decode(body, &parts); err != nil || len(parts) == 0 {
		return fmt.Errorf("no frame: an array is expected")
	}
	var kind Kind
	if err := s.codec.Decode(parts[0], &kind); err != nil {
		return fmt.Errorf("no frame: its kind is no small number")
	}
	if (c.greeted == 0) != (kind == KindHello) {
		return fmt.Errorf("a frame of kind %d out of order", kind)
	}
	take := func(to any) error {
		if err := s.codec.Decode(body, to); err != nil {
			return fmt.Errorf("a frame of kind %d: %w", kind, err)
		}
		return nil
	}
	switch kind {
	case KindHello:
		var f Hello
		if err := take(&f); err != nil {
			return err
		}
		if f.Version != Version {
			return fmt.Errorf("version %d is not spoken, %d is", f.Version, Version)
		}
		c.greeted = now
		s.send(c, Welcome{Kind: KindWelcome, Mark: now, Window: uint32(s.limits.Window)})
		s.listen(now, c)
	case KindPing:
		s.send(c, Signal{Kind: KindPong})
	case KindReadings:
		var f Readings
		if err := take(&f); err != nil {
			return err
		}
		if err := f.Batch.Check(); err != nil {
			return err
		}
		if math.IsNaN(f.Mark) || f.Mark != 0 && f.Mark < c.greeted || f.Mark > now {
			return fmt.Errorf("mark %v was not given on this connection", f.Mark)
		}
		token, err := s.await(c, f.ID)
		if err != nil {
			return err
		}
		var notBefore float64
		if f.Mark > 0 {
			notBefore = f.Mark
			if f.Batch.Elapsed != nil {
				notBefore = intake.SentAfter(f.Mark, *f.Batch.Elapsed)
			}
		}
		s.out.Deliver(token, c.id, f.Route, &f.Batch, notBefore)
	case KindQuery:
		var f Query
		if err := take(&f); err != nil {
			return err
		}
		s.send(c, Known{Kind: KindKnown, ID: f.ID, Ranges: known(s.out.Known(f.Device, f.Epoch))})
	case KindRead:
		var f Read
		if err := take(&f); err != nil {
			return err
		}
		token, err := s.await(c, f.ID)
		if err != nil {
			return err
		}
		s.out.Read(token, c.id, f.Route, f.Arg)
	default:
		return fmt.Errorf("a frame of unknown kind %d", kind)
	}
	return nil
}

// await books a frame that waits for its answer.
func (s *Server) await(c *connection, id uint32) (token uint64, err error) {
	switch {
	case c.open[id]:
		return 0, fmt.Errorf("frame %d waits for its answer already", id)
	case len(c.open) >= s.limits.Window:
		return 0, fmt.Errorf("more than %d frames without their answer", s.limits.Window)
	}
	if c.open == nil {
		c.open = map[uint32]bool{}
	}
	c.open[id] = true
	s.lastToken++
	s.pending[s.lastToken] = pending{c, id}
	return s.lastToken, nil
}

// ended takes a frame off the books and returns where its answer goes, nil if
// that has gone.
func (s *Server) ended(token uint64) (*connection, uint32) {
	p, ok := s.pending[token]
	if !ok {
		return nil, 0
	}
	delete(s.pending, token)
	delete(p.conn.open, p.id)
	if s.connections[p.conn.id] != p.conn {
		return nil, 0
	}
	return p.conn, p.id
}

// Answer ends a batch that was delivered.
func (s *Server) Answer(now float64, token uint64, results []batch.Result) {
	if c, id := s.ended(token); c != nil {
		s.send(c, Answer{Kind: KindAnswer, ID: id, Mark: now, Ranges: ranges(results)})
		s.last(c)
	}
}

// Value ends a read.
func (s *Server) Value(token uint64, status intake.Status, wait float64, value []byte) {
	if c, id := s.ended(token); c != nil {
		s.send(c, Value{Kind: KindValue, ID: id, Status: uint8(status), Wait: uint32(wait), Value: value})
		s.last(c)
	}
}

// last lets a connection go whose last answer this was.
func (s *Server) last(c *connection) {
	if s.draining && len(c.open) == 0 {
		s.end(c, "the router is stopping")
	}
}

// listen ends a connection that is silent for too long. The timer looks when
// something was heard last, so that a frame costs none.
func (s *Server) listen(now float64, c *connection) {
	c.timer = s.timers.At(max(c.heard+s.limits.IdleMs, now), func(now float64) {
		if now < c.heard+s.limits.IdleMs {
			s.listen(now, c)
			return
		}
		s.end(c, "silent for too long")
	})
}

// ranges joins neighbours with one answer.
func ranges(results []batch.Result) []Range {
	out := make([]Range, 0, 4)
	for _, r := range results {
		if n := len(out) - 1; n >= 0 && out[n].To+1 == r.Seq && r.Seq != 0 && out[n].Status == r.Status && out[n].Wait == r.Wait {
			out[n].To = r.Seq
			continue
		}
		out = append(out, Range{From: r.Seq, To: r.Seq, Status: r.Status, Wait: r.Wait})
	}
	return out
}

func known(seqs []uint64) []Range {
	results := make([]batch.Result, len(seqs))
	for i, seq := range seqs {
		results[i] = batch.Result{Seq: seq, Status: uint8(intake.Recorded)}
	}
	return ranges(results)
}
