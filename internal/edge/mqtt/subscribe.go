package mqtt

import "github.com/mochi-mqtt/server/v2/packets"

// subackFailure is version 3.1.1's return code of a rejected subscription.
const subackFailure = 0x80

// subscribe grants a client the answers to its own readings, and no other
// topic.
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

func (sess *session) answersTopic() string { return AnswersTopicPrefix + sess.clientID }
