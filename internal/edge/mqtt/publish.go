package mqtt

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// QoS levels [MQTT 4.3].
const (
	qosAtMostOnce  = 0
	qosExactlyOnce = 2
)

// handlePublish handles PUBLISH. Messages of QoS 1 and 2 are acknowledged only
// after all their readings have answers.
func (s *Server) handlePublish(conn *connection, packet *packets.Packet) {
	if reasonCode := publishViolation(conn, packet); reasonCode >= firstErrorCode {
		s.closeOnViolation(conn, reasonCode)
		return
	}
	digest := xxhash.Sum64(packet.Payload) ^ xxhash.Sum64String(packet.TopicName)
	qos := packet.FixedHeader.Qos
	if qos > qosAtMostOnce && !s.acceptPublish(conn, packet, digest) {
		return
	}
	s.lastToken++
	s.pending[s.lastToken] = pendingMessage{
		connection: conn,
		packetID:   packet.PacketID,
		qos:        qos,
		digest:     digest,
	}
	topic := strings.Clone(packet.TopicName) // the original refers to the read buffer
	payload := append([]byte(nil), packet.Payload...)
	s.actions.Deliver(s.lastToken, conn.id, topic, payload, conn.connectedAt, packet.FixedHeader.Dup)
}

// publishViolation returns the reason code for a malformed or unsupported PUBLISH,
// or a code below firstErrorCode for a valid one.
func publishViolation(conn *connection, packet *packets.Packet) byte {
	reasonCode := packet.PublishValidate(0).Code
	if reasonCode < firstErrorCode && packet.FixedHeader.Retain && conn.version == version5 {
		return packets.ErrRetainNotSupported.Code
	}
	return reasonCode
}

// acceptPublish reports whether a message of QoS 1 or 2 is to be delivered. It
// acknowledges a duplicate that was recorded before, and closes the connection
// after a violation.
func (s *Server) acceptPublish(conn *connection, packet *packets.Packet, digest uint64) bool {
	id := packet.PacketID
	if pendingDigest, unanswered := conn.unanswered[id]; unanswered {
		if pendingDigest != digest { // another message's identifier [MQTT 2.2.1]
			s.closeOnViolation(conn, packets.ErrPacketIdentifierInUse.Code)
		}
		return false // a duplicate, whose answer is pending
	}
	// The message was recorded, but its PUBREC was lost. The digests are compared
	// because a client that has lost its session may reuse the identifier for
	// another message, which would be lost if it were taken for a duplicate.
	recordedDigest, unreleased := conn.session.unreleased[id]
	if packet.FixedHeader.Qos == qosExactlyOnce && unreleased && recordedDigest == digest {
		s.acknowledge(conn, id, qosExactlyOnce, 0, nil)
		return false
	}
	if len(conn.unanswered)+len(conn.session.unreleased) >= s.limits.ReceiveMax { // [MQTT 3.3.4-7]
		s.closeOnViolation(conn, packets.ErrReceiveMaximum.Code)
		return false
	}
	if conn.unanswered == nil {
		conn.unanswered = map[uint16]uint64{}
	}
	conn.unanswered[id] = digest
	return true
}

// handlePubrel handles PUBREL, which ends the exchange of a QoS 2 message
// [MQTT 4.3.3].
func (s *Server) handlePubrel(conn *connection, packet *packets.Packet) {
	ack := newPacket(packets.Pubcomp)
	ack.PacketID = packet.PacketID
	if _, unreleased := conn.session.unreleased[packet.PacketID]; !unreleased && conn.version == version5 {
		ack.ReasonCode = packets.ErrPacketIdentifierNotFound.Code
	}
	delete(conn.session.unreleased, packet.PacketID)
	s.send(conn, ack)
}

// Answer acknowledges the message that was passed to Deliver with the token, and
// publishes the results to a client that has subscribed to them. valid is false
// if the message could not be decoded or has no route. An unknown token is
// ignored.
func (s *Server) Answer(token uint64, results []batch.Result, valid bool) {
	message, found := s.pending[token]
	if !found {
		return
	}
	delete(s.pending, token)
	conn := message.connection
	delete(conn.unanswered, message.packetID)
	reasonCode := worstReasonCode(results, valid)
	if reasonCode == 0 && message.qos == qosExactlyOnce {
		s.keepUnreleased(message)
	}
	if s.connections[conn.id] != conn {
		return
	}
	if conn.session.subscribed && len(results) > 0 {
		answer := newPacket(packets.Publish)
		answer.TopicName = conn.session.answersTopic()
		answer.Payload = s.codec.Encode(batch.Reply{Results: results})
		s.send(conn, answer)
	}
	if message.qos > qosAtMostOnce {
		s.acknowledge(conn, message.packetID, message.qos, reasonCode, results)
	}
	if s.draining && len(conn.unanswered) == 0 {
		s.disconnect(conn, packets.ErrServerShuttingDown.Code)
	}
}

// keepUnreleased remembers a recorded QoS 2 message in its session until PUBREL,
// even if the connection has ended: the client may resume the session.
func (s *Server) keepUnreleased(message pendingMessage) {
	sess := message.connection.session
	if s.sessions[sess.clientID] != sess {
		return
	}
	if sess.unreleased == nil {
		sess.unreleased = map[uint16]uint64{}
	}
	sess.unreleased[message.packetID] = message.digest
}

// worstReasonCode returns the reason code for a message, which is that of its
// worst reading. The less likely a retry is to succeed, the worse the status.
func worstReasonCode(results []batch.Result, valid bool) (reasonCode byte) {
	if !valid {
		return packets.ErrPayloadFormatInvalid.Code
	}
	worst := 0
	for _, result := range results {
		severity := 0
		code := byte(0)
		switch intake.Status(result.Status) {
		case intake.Rejected, intake.Unknown:
			severity = 1
			code = packets.ErrQuotaExceeded.Code
		case intake.Conflict:
			severity = 2
			code = packets.ErrImplementationSpecificError.Code
		case intake.Invalid:
			severity = 3
			code = packets.ErrPayloadFormatInvalid.Code
		}
		if severity > worst {
			worst = severity
			reasonCode = code
		}
	}
	return reasonCode
}

// acknowledge sends PUBACK or PUBREC. In version 5, the acknowledgement of a
// failed message has the reason code and a user property for each reading.
// Version 3.1.1 has no reason codes: a client that has subscribed to its answers
// has received them before, and for any other client the connection is closed to
// report the failure.
func (s *Server) acknowledge(
	conn *connection, packetID uint16, qos, reasonCode byte, results []batch.Result,
) {
	failed := reasonCode != 0
	if failed && conn.version != version5 && !conn.session.subscribed {
		s.actions.Close(conn.id)
		return
	}
	ack := newPacket(packets.Puback)
	if qos == qosExactlyOnce {
		ack.FixedHeader.Type = packets.Pubrec
	}
	ack.PacketID = packetID
	if failed && conn.version == version5 {
		ack.ReasonCode = reasonCode
		ack.Properties.User = readingProperties(results)
	}
	s.send(conn, ack)
}

// readingProperties returns a user property for each reading with its sequence
// number, its status and the milliseconds until a retry.
func readingProperties(results []batch.Result) (properties []packets.UserProperty) {
	for _, result := range results {
		status := intake.Status(result.Status)
		properties = append(properties, packets.UserProperty{
			Key: "reading",
			Val: fmt.Sprintf("%d %s %d", result.Seq, status, result.Wait),
		})
	}
	return properties
}
