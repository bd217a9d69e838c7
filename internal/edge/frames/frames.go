// Package frames implements the rules of a compact protocol for gateways, which
// send the readings of many devices over one TCP connection. It has
// length-prefixed CBOR frames, a window of unanswered frames, and queries for the
// recorded sequence numbers, with which a gateway resumes after an interruption.
// The package has no I/O and no clock: the caller passes in frames and the time,
// and implements Actions. Times are Unix milliseconds. A Server is not safe for
// concurrent use.
//
// A frame is its length in four bytes, big-endian, followed by a CBOR array whose
// first element is its Kind. docs/edge.md describes the whole protocol. The names
// of the message types and their fields are part of the protocol: the reason in a
// Bye may quote them.
package frames

import (
	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/timers"
)

// Actions carries out what a Server decides. Its methods must not call back into
// the Server. conn is the ID given to Server.AddConnection.
type Actions interface {
	// Send sends a frame on a connection.
	Send(conn uint64, frame []byte)
	// Close closes a connection once the frames sent to it are written.
	Close(conn uint64)
	// Deliver processes a batch that was sent after notBefore, which is 0 if
	// unknown. The results go to Server.Answer with the token.
	Deliver(token, conn uint64, route string, b *batch.Batch, notBefore float64)
	// Read reads the value that arg names. The result goes to Server.Value with
	// the token.
	Read(token, conn uint64, route, arg string)
	// RecordedSequences returns the sequence numbers of the device's epoch that
	// are known to be recorded, in ascending order.
	RecordedSequences(device string, epoch uint64) []uint64
}

// Limits bound a connection.
type Limits struct {
	Window    int     // unanswered frames
	MaxIdleMs float64 // time without a frame
}

// Reasons in Bye that are not caused by a frame.
const (
	reasonDraining = "the router is stopping"
	reasonIdle     = "silent for too long"
)

// Server is the state of all connections. New creates one.
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

// connection is one connection of a gateway.
type connection struct {
	id          uint64
	welcomedAt  float64 // when Welcome was sent, 0 before Hello
	lastFrameAt float64
	unanswered  map[uint32]bool // by frame ID
	idleTimer   *timers.Timer
}

// pendingFrame is a delivered batch or read that waits for its answer.
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

// Drain disconnects every gateway. A gateway with unanswered frames is
// disconnected after its answers.
func (s *Server) Drain() {
	s.draining = true
	for _, conn := range s.connections {
		s.disconnectIfDrained(conn)
	}
}

// Receive handles one complete frame with its header. The caller may reuse b
// after the call.
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

// disconnect sends the reason in a Bye and closes the connection.
func (s *Server) disconnect(conn *connection, reason string) {
	s.send(conn, Bye{Kind: KindBye, Reason: reason})
	s.actions.Close(conn.id)
}

// disconnectIfDrained disconnects a gateway without unanswered frames if the
// server is draining.
func (s *Server) disconnectIfDrained(conn *connection) {
	if s.draining && len(conn.unanswered) == 0 {
		s.disconnect(conn, reasonDraining)
	}
}

func (s *Server) send(conn *connection, frame any) {
	s.actions.Send(conn.id, Append(nil, s.codec, frame))
}

// armIdleTimer disconnects a gateway after MaxIdleMs without a frame. The timer
// checks when the last frame arrived, so frames do not need to reset it.
func (s *Server) armIdleTimer(now float64, conn *connection) {
	conn.idleTimer = s.timers.At(max(conn.lastFrameAt+s.limits.MaxIdleMs, now), func(now float64) {
		if now < conn.lastFrameAt+s.limits.MaxIdleMs {
			s.armIdleTimer(now, conn)
			return
		}
		s.disconnect(conn, reasonIdle)
	})
}

// takePending removes a pending frame and returns the connection and the frame ID
// for its answer. The connection is nil if it has ended or the token is unknown.
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

// Answer answers the batch that was passed to Deliver with the token. An unknown
// token is ignored.
func (s *Server) Answer(now float64, token uint64, results []batch.Result) {
	conn, id := s.takePending(token)
	if conn == nil {
		return
	}
	s.send(conn, Answer{Kind: KindAnswer, ID: id, Mark: now, Ranges: mergeResults(results)})
	s.disconnectIfDrained(conn)
}

// Value answers the request that was passed to Read with the token. waitMs is the
// time until a retry. An unknown token is ignored.
func (s *Server) Value(token uint64, status intake.Status, waitMs float64, value []byte) {
	conn, id := s.takePending(token)
	if conn == nil {
		return
	}
	s.send(conn, Value{Kind: KindValue, ID: id, Status: uint8(status), Wait: uint32(waitMs), Value: value})
	s.disconnectIfDrained(conn)
}

// mergeResults merges consecutive sequence numbers with the same status and wait
// into ranges.
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

// canExtendTo reports whether a range can be extended by the given result.
func (r *Range) canExtendTo(result batch.Result) bool {
	adjacent := r.To+1 == result.Seq && result.Seq != 0 // To+1 overflows to 0
	return adjacent && r.Status == result.Status && r.Wait == result.Wait
}

// knownRanges returns recorded sequence numbers as ranges.
func knownRanges(sequences []uint64) []Range {
	results := make([]batch.Result, len(sequences))
	for i, seq := range sequences {
		results[i] = batch.Result{Seq: seq, Status: uint8(intake.Recorded)}
	}
	return mergeResults(results)
}
