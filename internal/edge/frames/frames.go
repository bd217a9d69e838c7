// Package frames holds the rules of the compact stream for gateways, which send
// the readings of many devices over one TCP connection: length-prefixed frames
// of CBOR, a window of unanswered batches, and ranges of recorded sequence
// numbers by which a gateway resumes after an interruption. Frames and times go
// in, frames and messages out; there is no socket and no clock. Times are Unix
// milliseconds. A Server is not safe for concurrent use.
//
// A frame is its length in four bytes, big-endian, and one CBOR array whose
// first element is its Kind. docs/edge.md has the whole protocol. Reasons in Bye
// may quote the names of this package's types and their fields.
package frames

import (
	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/timers"
)

// Actions carries out what a Server decides. Its methods must not call back into
// it.
type Actions interface {
	Send(conn uint64, frame []byte)
	// Close closes a connection once the frames sent to it are written.
	Close(conn uint64)
	// Deliver takes a batch that was sent after notBefore. It is answered by
	// Server.Answer with the token.
	Deliver(token, conn uint64, route string, b *batch.Batch, notBefore float64)
	// Read requests a value. It is answered by Server.Value with the token.
	Read(token, conn uint64, route, arg string)
	// Known returns the sequence numbers that are known to be recorded, in
	// ascending order.
	Known(device string, epoch uint64) []uint64
}

// Limits bound a connection.
type Limits struct {
	Window    int     // frames without their answer
	MaxIdleMs float64 // without a frame
}

// The reasons in Bye that follow no frame.
const (
	reasonDraining = "the router is stopping"
	reasonIdle     = "silent for too long"
)

// Server is the state of all connections.
type Server struct {
	limits      Limits
	actions     Actions
	codec       *batch.Codec
	timers      timers.Heap
	connections map[uint64]*connection
	pending     map[uint64]pendingFrame // by token
	lastToken   uint64
	draining    bool
}

type connection struct {
	id          uint64
	welcomedAt  float64 // 0 before Hello
	lastFrameAt float64
	unanswered  map[uint32]bool // IDs of frames
	idleTimer   *timers.Timer
}

// pendingFrame is a batch or a read that was delivered.
type pendingFrame struct {
	connection *connection
	id         uint32
}

// New returns a server without connections.
func New(limits Limits, codec *batch.Codec, actions Actions) *Server {
	return &Server{
		limits:      limits,
		actions:     actions,
		codec:       codec,
		connections: map[uint64]*connection{},
		pending:     map[uint64]pendingFrame{},
	}
}

// Next returns when Tick is due, in Unix milliseconds; false if no timer is set.
func (s *Server) Next() (float64, bool) { return s.timers.Next() }

// Tick runs the timers that are due.
func (s *Server) Tick(now float64) { s.timers.Tick(now) }

// AddConnection registers a new connection.
func (s *Server) AddConnection(now float64, id uint64) {
	s.connections[id] = &connection{id: id, lastFrameAt: now}
}

// RemoveConnection unregisters a connection that has ended.
func (s *Server) RemoveConnection(id uint64) {
	if conn := s.connections[id]; conn != nil {
		delete(s.connections, id)
		s.timers.Cancel(conn.idleTimer)
	}
}

// Drain disconnects every gateway, those with unanswered frames after their
// answers.
func (s *Server) Drain() {
	s.draining = true
	for _, conn := range s.connections {
		s.disconnectIfDrained(conn)
	}
}

// Receive handles one whole frame with its header, which may be reused after the
// call.
func (s *Server) Receive(now float64, id uint64, b []byte) {
	conn := s.connections[id]
	if conn == nil || len(b) <= HeaderLen {
		return
	}
	conn.lastFrameAt = now
	if err := s.dispatch(now, conn, b[HeaderLen:]); err != nil {
		s.disconnect(conn, err.Error())
	}
}

func (s *Server) disconnect(conn *connection, reason string) {
	s.send(conn, Bye{Kind: KindBye, Reason: reason})
	s.actions.Close(conn.id)
}

func (s *Server) disconnectIfDrained(conn *connection) {
	if s.draining && len(conn.unanswered) == 0 {
		s.disconnect(conn, reasonDraining)
	}
}

func (s *Server) send(conn *connection, frame any) {
	s.actions.Send(conn.id, Append(nil, s.codec, frame))
}

// armIdle disconnects a gateway after the idle time without a frame. The timer
// checks when the last frame came, so that a frame need not reset it.
func (s *Server) armIdleTimer(now float64, conn *connection) {
	conn.idleTimer = s.timers.At(max(conn.lastFrameAt+s.limits.MaxIdleMs, now), func(now float64) {
		if now < conn.lastFrameAt+s.limits.MaxIdleMs {
			s.armIdleTimer(now, conn)
			return
		}
		s.disconnect(conn, reasonIdle)
	})
}

// takePending ends a pending frame and returns where its answer goes, nil if
// that connection has ended.
func (s *Server) takePending(token uint64) (*connection, uint32) {
	frame, found := s.pending[token]
	if !found {
		return nil, 0
	}
	delete(s.pending, token)
	conn := frame.connection
	delete(conn.unanswered, frame.id)
	if s.connections[conn.id] != conn {
		return nil, 0
	}
	return conn, frame.id
}

// Answer ends a batch that was delivered.
func (s *Server) Answer(now float64, token uint64, results []batch.Result) {
	conn, id := s.takePending(token)
	if conn == nil {
		return
	}
	s.send(conn, Answer{Kind: KindAnswer, ID: id, Mark: now, Ranges: mergeResults(results)})
	s.disconnectIfDrained(conn)
}

// Value ends a read. wait is in milliseconds.
func (s *Server) Value(token uint64, status intake.Status, waitMs float64, value []byte) {
	conn, id := s.takePending(token)
	if conn == nil {
		return
	}
	s.send(conn, Value{Kind: KindValue, ID: id, Status: uint8(status), Wait: uint32(waitMs), Value: value})
	s.disconnectIfDrained(conn)
}

// ranges joins adjacent results with one answer.
func mergeResults(results []batch.Result) []Range {
	merged := make([]Range, 0, 4)
	for _, result := range results {
		if len(merged) > 0 && merged[len(merged)-1].canExtendTo(result) {
			merged[len(merged)-1].To = result.Seq
			continue
		}
		merged = append(merged, Range{
			From:   result.Seq,
			To:     result.Seq,
			Status: result.Status,
			Wait:   result.Wait,
		})
	}
	return merged
}

func (r *Range) canExtendTo(result batch.Result) bool {
	adjacent := r.To+1 == result.Seq && result.Seq != 0 // To may be the largest number
	return adjacent && r.Status == result.Status && r.Wait == result.Wait
}

// knownRanges returns the ranges of recorded sequence numbers.
func knownRanges(sequences []uint64) []Range {
	results := make([]batch.Result, len(sequences))
	for i, seq := range sequences {
		results[i] = batch.Result{Seq: seq, Status: uint8(intake.Recorded)}
	}
	return mergeResults(results)
}
