package mqtt

import "github.com/mochi-mqtt/server/v2/packets"

// subackFailure is the return code for a rejected subscription in version 3.1.1.
const subackFailure = 0x80

// handleSubscribe handles SUBSCRIBE. A client may subscribe only to the answers to
// its own readings.
func (s *Server) handleSubscribe(conn *connection, packet *packets.Packet) {
	if code := packet.SubscribeValidate().Code; code >= firstErrorCode {
		s.closeOnViolation(conn, code)
		return
	}
	ack := newPacket(packets.Suback)
	ack.PacketID = packet.PacketID
	for _, subscription := range packet.Filters {
		code := byte(0)
		switch {
		case subscription.Filter == conn.session.answersTopic():
			conn.session.subscribed = true
		case conn.version == version5:
			code = packets.ErrTopicFilterInvalid.Code
		default:
			code = subackFailure
		}
		ack.ReasonCodes = append(ack.ReasonCodes, code)
	}
	s.send(conn, ack)
}

// handleUnsubscribe handles UNSUBSCRIBE.
func (s *Server) handleUnsubscribe(conn *connection, packet *packets.Packet) {
	if code := packet.UnsubscribeValidate().Code; code >= firstErrorCode {
		s.closeOnViolation(conn, code)
		return
	}
	ack := newPacket(packets.Unsuback)
	ack.PacketID = packet.PacketID
	for _, subscription := range packet.Filters {
		code := packets.CodeNoSubscriptionExisted.Code
		if subscription.Filter == conn.session.answersTopic() && conn.session.subscribed {
			conn.session.subscribed = false
			code = 0
		}
		ack.ReasonCodes = append(ack.ReasonCodes, code)
	}
	s.send(conn, ack)
}

// answersTopic returns the topic of the answers to the client's readings.
func (sess *session) answersTopic() string { return AnswersTopicPrefix + sess.clientID }
