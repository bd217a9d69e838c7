package mqtt

import (
	"math"
	"strings"

	"github.com/mochi-mqtt/server/v2/packets"
)

const (
	// keepAliveFactor times the keep-alive time is how long a connection may stay
	// without a packet [MQTT 3.1.2.10].
	keepAliveFactor = 1.5
	// maxClientIDBytes is the longest client identifier that is accepted.
	maxClientIDBytes = 128
)

// Return codes of CONNACK in version 3.1.1.
const (
	returnUnacceptableVersion = 1
	returnIdentifierRejected  = 2
	returnServerUnavailable   = 3
)

// IsConnectHeader reports whether b is the first byte of a CONNECT packet. Every
// MQTT connection begins with one, so any other byte shows another protocol.
func IsConnectHeader(b byte) bool { return b == packets.Connect<<4 }

// handleConnect handles CONNECT [MQTT 3.1].
func (s *Server) handleConnect(now float64, conn *connection, packet *packets.Packet) {
	params := &packet.Connect
	knownVersion := packet.ProtocolVersion == version311 || packet.ProtocolVersion == version5
	switch {
	case string(params.ProtocolName) != "MQTT" || !knownVersion:
		packet.ProtocolVersion = version311
		s.rejectConnect(conn, packet, 0, returnUnacceptableVersion)
		return
	case packet.ConnectValidate().Code >= firstErrorCode:
		s.closeOnViolation(conn, packet.ConnectValidate().Code)
		return
	case params.ClientIdentifier == "" || len(params.ClientIdentifier) > maxClientIDBytes:
		s.rejectConnect(conn, packet, packets.ErrClientIdentifierNotValid.Code, returnIdentifierRejected)
		return
	case s.draining:
		s.rejectConnect(conn, packet, packets.ErrServerShuttingDown.Code, returnServerUnavailable)
		return
	}
	clientID := strings.Clone(params.ClientIdentifier) // the original refers to the read buffer
	sess, resumed := s.openSession(now, clientID, params.Clean)
	if sess == nil {
		s.rejectConnect(conn, packet, packets.ErrQuotaExceeded.Code, returnServerUnavailable)
		return
	}
	s.stats.Connects++
	sess.connection = conn
	conn.session = sess
	conn.version = packet.ProtocolVersion
	conn.connectedAt = now
	s.negotiate(conn, packet)
	s.send(conn, s.connack(conn, params.Keepalive, resumed))
	s.armKeepAlive(now, conn)
}

// rejectConnect answers CONNECT with the code for the client's version and closes
// the connection.
func (s *Server) rejectConnect(conn *connection, packet *packets.Packet, reasonCode5, returnCode311 byte) {
	s.stats.Violations++
	conn.version = packet.ProtocolVersion
	ack := newPacket(packets.Connack)
	ack.ReasonCode = returnCode311
	if conn.version == version5 {
		ack.ReasonCode = reasonCode5
	}
	s.send(conn, ack)
	s.actions.Close(conn.id)
}

// negotiate applies the client's options in CONNECT to its connection and session.
func (s *Server) negotiate(conn *connection, packet *packets.Packet) {
	conn.session.expiryMs = 0
	switch {
	case conn.version == version5:
		properties := &packet.Properties
		conn.session.expiryMs = s.sessionExpiry(properties.SessionExpiryInterval)
		conn.omitProblemInfo = properties.RequestProblemInfoFlag && properties.RequestProblemInfo == 0
	case !packet.Connect.Clean:
		conn.session.expiryMs = s.limits.MaxSessionExpiryMs
	}
}

// connack returns the CONNACK and sets the connection's timeout. keepAlive is the
// client's keep-alive in seconds; 0, for none, is replaced by the longest allowed.
func (s *Server) connack(conn *connection, keepAlive uint16, sessionPresent bool) packets.Packet {
	ack := newPacket(packets.Connack)
	ack.SessionPresent = sessionPresent
	keepAliveMs := float64(keepAlive) * 1000
	if conn.version == version5 {
		s.setConnackProperties(&ack.Properties, conn.session)
	}
	if keepAliveMs == 0 || keepAliveMs > s.limits.MaxKeepAliveMs {
		keepAliveMs = s.limits.MaxKeepAliveMs
		if conn.version == version5 {
			ack.Properties.ServerKeepAlive = uint16(min(keepAliveMs/1000, math.MaxUint16))
			ack.Properties.ServerKeepAliveFlag = true
		}
	}
	conn.timeoutMs = keepAliveFactor * keepAliveMs
	return ack
}

// setConnackProperties states the server's limits and features in a CONNACK of
// version 5.
func (s *Server) setConnackProperties(properties *packets.Properties, sess *session) {
	properties.ReceiveMaximum = uint16(min(s.limits.ReceiveMax, math.MaxUint16))
	properties.MaximumPacketSize = uint32(s.limits.MessageBytes)
	// A set flag without a value declares the feature unavailable.
	properties.RetainAvailableFlag = true
	properties.WildcardSubAvailableFlag = true
	properties.SharedSubAvailableFlag = true
	properties.SubIDAvailableFlag = true
	properties.SessionExpiryInterval = uint32(sess.expiryMs / 1000)
	properties.SessionExpiryIntervalFlag = true
}

// armKeepAlive closes a connection after its timeout without a packet. The timer
// checks when the last packet arrived, so packets do not need to reset it.
func (s *Server) armKeepAlive(now float64, conn *connection) {
	conn.keepAliveTimer = s.timers.At(max(conn.lastPacketAt+conn.timeoutMs, now), func(now float64) {
		if now < conn.lastPacketAt+conn.timeoutMs {
			s.armKeepAlive(now, conn)
			return
		}
		s.stats.TimedOut++
		s.disconnect(conn, packets.ErrKeepAliveTimeout.Code)
	})
}
