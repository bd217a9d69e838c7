// Package mqtt implements the rules of an MQTT endpoint for readings: versions
// 3.1.1 and 5, QoS 0, 1 and 2, sessions that outlive their connection, keep-alive
// and the receive maximum. It is not a broker: published messages go to the edge,
// and a client may subscribe only to the answers to its own readings. The package
// has no I/O and no clock: the caller passes in packets and the time, and
// implements Actions. Times are Unix milliseconds. A Server is not safe for
// concurrent use.
//
// References in the form [MQTT 3.1] are to sections and normative statements of
// the OASIS standard, version 5.0.
package mqtt

import (
	"container/list"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/timers"
)

// AnswersTopicPrefix and a client identifier form the topic of the answers to the
// client's readings.
const AnswersTopicPrefix = "answers/"

// The protocol levels of CONNECT.
const (
	version311 = 4
	version5   = 5
)

// firstErrorCode is the lowest reason code that means failure [MQTT 2.4].
const firstErrorCode = 0x80

// Actions carries out what a Server decides. Its methods must not call back into
// the Server. conn is the ID given to Server.AddConnection.
type Actions interface {
	// Send sends a packet on a connection.
	Send(conn uint64, packet []byte)
	// Close closes a connection once the packets sent to it are written.
	Close(conn uint64)
	// Deliver processes a published message. connectedAt is when CONNACK was
	// sent on its connection; retransmitted is its DUP flag. The results go to
	// Server.Answer with the token.
	Deliver(token, conn uint64, topic string, payload []byte, connectedAt float64, retransmitted bool)
}

// Limits bound a Server's state.
type Limits struct {
	Sessions           int     // with and without a connection
	MaxSessionExpiryMs float64 // longest time that a session is kept without a connection
	MaxKeepAliveMs     float64 // longest keep-alive that a client may choose
	ReceiveMax         int     // unanswered and unreleased messages of one client
	MessageBytes       int     // largest size of one packet, stated to clients
}

// Stats counts events since the start.
type Stats struct {
	Connects   uint64
	Resumed    uint64 // sessions that a client resumed
	TakenOver  uint64 // connections closed by another connection of their client
	TimedOut   uint64 // connections closed after their keep-alive time
	Violations uint64 // protocol errors and rejected CONNECTs
	Evicted    uint64 // sessions removed before they expired
}

// Server is the state of all connections and sessions. New creates one.
type Server struct {
	limits       Limits
	actions      Actions
	codec        *batch.Codec
	timers       timers.Heap
	stats        Stats
	connections  map[uint64]*connection
	sessions     map[string]*session       // by client identifier
	disconnected list.List                 // sessions without a connection, longest first
	pending      map[uint64]pendingMessage // by token
	lastToken    uint64
	draining     bool
}

// connection is one connection of a client.
type connection struct {
	id          uint64
	version     byte
	session     *session // nil before CONNECT
	connectedAt float64  // when CONNACK was sent

	lastPacketAt   float64
	timeoutMs      float64 // time without a packet after which the connection is closed
	keepAliveTimer *timers.Timer

	omitProblemInfo bool              // the client set Request Problem Information to 0
	unanswered      map[uint16]uint64 // digests of delivered messages, by packet identifier
}

// pendingMessage is a delivered message that waits for its answer.
type pendingMessage struct {
	connection *connection
	packetID   uint16
	qos        byte
	digest     uint64
}

// New returns a server without connections.
func New(limits Limits, codec *batch.Codec, actions Actions) *Server {
	return &Server{
		limits:      limits,
		actions:     actions,
		codec:       codec,
		connections: map[uint64]*connection{},
		sessions:    map[string]*session{},
		pending:     map[uint64]pendingMessage{},
	}
}

// Stats returns the counters.
func (s *Server) Stats() Stats { return s.stats }

// Next returns when Tick is due, in Unix milliseconds; false if no timer is set.
func (s *Server) Next() (float64, bool) { return s.timers.Next() }

// Tick runs the timers that are due.
func (s *Server) Tick(now float64) { s.timers.Tick(now) }

// AddConnection registers a new connection.
func (s *Server) AddConnection(now float64, id uint64) {
	s.connections[id] = &connection{id: id, lastPacketAt: now}
}

// RemoveConnection unregisters a connection that has ended. Its session is kept
// until it expires, and its delivered messages are processed nevertheless.
func (s *Server) RemoveConnection(now float64, id uint64) {
	conn := s.connections[id]
	if conn == nil {
		return
	}
	delete(s.connections, id)
	s.timers.Cancel(conn.keepAliveTimer)
	if conn.session != nil && conn.session.connection == conn {
		s.detachSession(now, conn.session)
	}
}

// Drain disconnects every client and rejects new ones. A client with unanswered
// messages is disconnected after its answers.
func (s *Server) Drain() {
	s.draining = true
	for _, conn := range s.connections {
		if len(conn.unanswered) == 0 {
			s.disconnect(conn, packets.ErrServerShuttingDown.Code)
		}
	}
}

// Receive handles one complete packet. The caller may reuse b after the call.
func (s *Server) Receive(now float64, id uint64, b []byte) {
	conn := s.connections[id]
	if conn == nil {
		return
	}
	conn.lastPacketAt = now
	packet, err := decode(b, conn.version)
	if err != nil {
		s.closeOnViolation(conn, reasonCodeOf(err))
		return
	}
	if conn.session != nil {
		s.dispatch(conn, &packet)
		return
	}
	if packet.FixedHeader.Type != packets.Connect { // [MQTT 3.1.0-1]
		s.closeOnViolation(conn, packets.ErrProtocolViolation.Code)
		return
	}
	s.handleConnect(now, conn, &packet)
}

// dispatch handles a packet that follows CONNECT.
func (s *Server) dispatch(conn *connection, packet *packets.Packet) {
	switch packet.FixedHeader.Type {
	case packets.Publish:
		s.handlePublish(conn, packet)
	case packets.Pubrel:
		s.handlePubrel(conn, packet)
	case packets.Pingreq:
		s.send(conn, newPacket(packets.Pingresp))
	case packets.Subscribe:
		s.handleSubscribe(conn, packet)
	case packets.Unsubscribe:
		s.handleUnsubscribe(conn, packet)
	case packets.Disconnect:
		s.handleDisconnect(conn, packet)
	case packets.Puback, packets.Pubrec, packets.Pubcomp:
		// Ignored: answers are published with QoS 0, so none of these is expected.
	default: // a second CONNECT, AUTH, or a packet that only servers send
		s.closeOnViolation(conn, packets.ErrProtocolViolation.Code)
	}
}

func (s *Server) handleDisconnect(conn *connection, packet *packets.Packet) {
	if conn.version == version5 && packet.Properties.SessionExpiryIntervalFlag {
		seconds := packet.Properties.SessionExpiryInterval
		if conn.session.expiryMs == 0 && seconds > 0 { // [MQTT 3.14.2.2.2]
			s.closeOnViolation(conn, packets.ErrProtocolViolation.Code)
			return
		}
		conn.session.expiryMs = s.sessionExpiry(seconds)
	}
	s.actions.Close(conn.id)
}

// disconnect closes a connection. In version 5 it sends DISCONNECT with the
// reason code before.
func (s *Server) disconnect(conn *connection, reasonCode byte) {
	if conn.version == version5 {
		packet := newPacket(packets.Disconnect)
		packet.ReasonCode = reasonCode
		s.send(conn, packet)
	}
	s.actions.Close(conn.id)
}

// closeOnViolation closes a connection after a protocol error of its client.
func (s *Server) closeOnViolation(conn *connection, reasonCode byte) {
	s.stats.Violations++
	s.disconnect(conn, reasonCode)
}

// send encodes a packet in the connection's version.
func (s *Server) send(conn *connection, packet packets.Packet) {
	packet.ProtocolVersion = conn.version
	if packet.ProtocolVersion == 0 {
		packet.ProtocolVersion = version311
	}
	packet.Mods.DisallowProblemInfo = conn.omitProblemInfo
	s.actions.Send(conn.id, Encode(&packet))
}

func newPacket(kind byte) packets.Packet {
	return packets.Packet{FixedHeader: packets.FixedHeader{Type: kind}}
}
