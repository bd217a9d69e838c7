package mqtt

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// The qualities of service [MQTT 4.3].
const (
	qosAtMostOnce  = 0
	qosExactlyOnce = 2
)

// publish handles PUBLISH. The message is acknowledged only once its readings
// have their answers, by PUBACK or PUBREC.
func (s *Server) publish(c *connection, packet *packets.Packet) {
	if reason := publishViolation(c, packet); reason >= firstErrorCode {
		s.violation(c, reason)
		return
	}
	digest := xxhash.Sum64(packet.Payload) ^ xxhash.Sum64String(packet.TopicName)
	qos := packet.FixedHeader.Qos
	if qos > qosAtMostOnce && !s.accept(c, packet, digest) {
		return
	}
	s.lastToken++
	s.pending[s.lastToken] = pendingMessage{
		connection: c,
		packetID:   packet.PacketID,
		qos:        qos,
		digest:     digest,
	}
	topic := strings.Clone(packet.TopicName) // it refers to the read buffer
	payload := append([]byte(nil), packet.Payload...)
	s.out.Deliver(s.lastToken, c.id, topic, payload, c.connectedAt, packet.FixedHeader.Dup)
}

// publishViolation returns the reason code of a malformed or unsupported
// PUBLISH, below firstErrorCode for none.
func publishViolation(c *connection, packet *packets.Packet) byte {
	reason := packet.PublishValidate(0).Code
	if reason < firstErrorCode && packet.FixedHeader.Retain && c.version == version5 {
		return packets.ErrRetainNotSupported.Code
	}
	return reason
}

// accept reports whether a message with a packet identifier is to be delivered.
// It answers a duplicate and closes the connection after a violation.
func (s *Server) accept(c *connection, packet *packets.Packet, digest uint64) bool {
	id := packet.PacketID
	if inUse, unanswered := c.unanswered[id]; unanswered {
		if inUse != digest { // another message's identifier [MQTT 2.2.1]
			s.violation(c, packets.ErrPacketIdentifierInUse.Code)
		}
		return false // a duplicate: its answer is pending
	}
	// A message that was recorded and whose PUBREC was lost. Another message
	// under its identifier comes from a client that has lost its session;
	// taking it for the old one would lose the new.
	recorded, unreleased := c.session.unreleased[id]
	if packet.FixedHeader.Qos == qosExactlyOnce && unreleased && recorded == digest {
		s.acknowledge(c, id, qosExactlyOnce, 0, nil)
		return false
	}
	if len(c.unanswered)+len(c.session.unreleased) >= s.limits.ReceiveMax { // [MQTT 3.3.4-7]
		s.violation(c, packets.ErrReceiveMaximum.Code)
		return false
	}
	if c.unanswered == nil {
		c.unanswered = map[uint16]uint64{}
	}
	c.unanswered[id] = digest
	return true
}

// release handles PUBREL, the end of a QoS 2 message [MQTT 4.3.3].
func (s *Server) release(c *connection, packet *packets.Packet) {
	ack := newPacket(packets.Pubcomp)
	ack.PacketID = packet.PacketID
	if _, unreleased := c.session.unreleased[packet.PacketID]; !unreleased && c.version == version5 {
		ack.ReasonCode = packets.ErrPacketIdentifierNotFound.Code
	}
	delete(c.session.unreleased, packet.PacketID)
	s.send(c, ack)
}

// Answer ends a message that was delivered. valid is false for one without
// readings.
func (s *Server) Answer(token uint64, results []batch.Result, valid bool) {
	message, found := s.pending[token]
	if !found {
		return
	}
	delete(s.pending, token)
	c := message.connection
	delete(c.unanswered, message.packetID)
	reason := worstReason(results, valid)
	if reason == 0 && message.qos == qosExactlyOnce {
		s.keepUnreleased(message)
	}
	if s.connections[c.id] != c {
		return
	}
	if c.session.subscribed && len(results) > 0 {
		answer := newPacket(packets.Publish)
		answer.TopicName = c.session.answersTopic()
		answer.Payload = s.codec.Encode(batch.Reply{Results: results})
		s.send(c, answer)
	}
	if message.qos > qosAtMostOnce {
		s.acknowledge(c, message.packetID, message.qos, reason, results)
	}
	if s.draining && len(c.unanswered) == 0 {
		s.disconnect(c, packets.ErrServerShuttingDown.Code)
	}
}

// keepUnreleased remembers a recorded QoS 2 message until PUBREL, also without
// its connection: the session may be resumed.
func (s *Server) keepUnreleased(message pendingMessage) {
	kept := message.connection.session
	if s.sessions[kept.clientID] != kept {
		return
	}
	if kept.unreleased == nil {
		kept.unreleased = map[uint16]uint64{}
	}
	kept.unreleased[message.packetID] = message.digest
}

// worstReason returns a message's reason code, that of its worst reading: the
// more useless a retry, the worse.
func worstReason(results []batch.Result, valid bool) (reason byte) {
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
			reason = code
		}
	}
	return reason
}

// acknowledge sends PUBACK or PUBREC. Version 5 has reasons, and a property for
// each reading of a message that did not succeed as a whole. Version 3.1.1 has
// none: a subscriber has its answers by now, and for any other client the end of
// the connection reports that its message was not accepted.
func (s *Server) acknowledge(c *connection, packetID uint16, qos, reason byte, results []batch.Result) {
	failed := reason != 0
	if failed && c.version != version5 && !c.session.subscribed {
		s.out.Close(c.id)
		return
	}
	ack := newPacket(packets.Puback)
	if qos == qosExactlyOnce {
		ack.FixedHeader.Type = packets.Pubrec
	}
	ack.PacketID = packetID
	if failed && c.version == version5 {
		ack.ReasonCode = reason
		ack.Properties.User = readingProperties(results)
	}
	s.send(c, ack)
}

// readingProperties gives each reading's sequence number, status and wait in
// milliseconds.
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
