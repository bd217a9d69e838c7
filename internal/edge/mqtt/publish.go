package mqtt

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// publish takes a message. It is acknowledged only once its readings have
// their answers, with PUBACK or PUBREC.
func (s *Server) publish(c *conn, pk *packets.Packet) {
	qos := pk.FixedHeader.Qos
	if code := pk.PublishValidate(0); code.Code >= 0x80 || pk.FixedHeader.Retain && c.version == version5 {
		reason := code.Code
		if reason < 0x80 {
			reason = packets.ErrRetainNotSupported.Code
		}
		s.violate(c, reason)
		return
	}
	sum := xxhash.Sum64(pk.Payload) ^ xxhash.Sum64String(pk.TopicName)
	if qos > 0 {
		if was, open := c.open[pk.PacketID]; open {
			if was != sum { // [MQTT 2.2.1]: the number of another message that waits for its answer
				s.violate(c, packets.ErrPacketIdentifierInUse.Code)
			}
			return // its answer is on its way
		}
		// A message that was recorded, and whose PUBREC was lost. A number with
		// another message behind it comes from a client that has lost its
		// session; taking it for the old one would lose the new.
		if was, got := c.session.got[pk.PacketID]; qos == 2 && got && was == sum {
			s.acknowledge(c, pk.PacketID, qos, 0, nil)
			return
		}
		if len(c.open)+len(c.session.got) >= s.lim.ReceiveMax { // [MQTT 3.3.4-7]
			s.violate(c, packets.ErrReceiveMaximum.Code)
			return
		}
		if c.open == nil {
			c.open = map[uint16]uint64{}
		}
		c.open[pk.PacketID] = sum
	}
	s.next++
	s.tokens[s.next] = pending{c, pk.PacketID, qos, sum}
	s.out.Deliver(s.next, c.id, strings.Clone(pk.TopicName), append([]byte(nil), pk.Payload...), c.greeted, pk.FixedHeader.Dup)
}

// release ends a QoS 2 message [MQTT 4.3.3].
func (s *Server) release(c *conn, pk *packets.Packet) {
	ack := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Pubcomp}, PacketID: pk.PacketID}
	if _, got := c.session.got[pk.PacketID]; !got && c.version == version5 {
		ack.ReasonCode = packets.ErrPacketIdentifierNotFound.Code
	}
	delete(c.session.got, pk.PacketID)
	s.send(c, ack)
}

// Answer ends a message that was delivered. valid is false for one that held
// no readings.
func (s *Server) Answer(_ float64, token uint64, results []batch.Result, valid bool) {
	p, found := s.tokens[token]
	if !found {
		return
	}
	delete(s.tokens, token)
	c := p.conn
	delete(c.open, p.packet)
	worst := worstOf(results, valid)
	if v := c.session; worst == 0 && p.qos == 2 && s.sessions[v.id] == v {
		// Remembered also where the connection has gone: the session lives on.
		if v.got == nil {
			v.got = map[uint16]uint64{}
		}
		v.got[p.packet] = p.digest
	}
	if s.conns[c.id] != c {
		return
	}
	if c.session.answers && len(results) > 0 {
		s.send(c, packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Publish},
			TopicName: AnswersTopic + c.session.id, Payload: s.codec.Encode(batch.Reply{Results: results})})
	}
	if p.qos > 0 {
		s.acknowledge(c, p.packet, p.qos, worst, results)
	}
	if s.stopping && len(c.open) == 0 {
		s.end(c, packets.ErrServerShuttingDown.Code)
	}
}

// worstOf gives the reason code for a message by its worst reading.
func worstOf(results []batch.Result, valid bool) (code byte) {
	if !valid {
		return packets.ErrPayloadFormatInvalid.Code
	}
	rank := 0
	for _, r := range results {
		n, c := 0, byte(0)
		switch intake.Status(r.Status) {
		case intake.Rejected, intake.Unknown:
			n, c = 1, packets.ErrQuotaExceeded.Code
		case intake.Conflict:
			n, c = 2, packets.ErrImplementationSpecificError.Code
		case intake.Invalid:
			n, c = 3, packets.ErrPayloadFormatInvalid.Code
		}
		if n > rank {
			rank, code = n, c
		}
	}
	return code
}

// acknowledge writes PUBACK or PUBREC. Version 5 has reasons, and a property
// for each reading of a message that did not go well as a whole. Version 3.1.1
// has none: whoever subscribed to its answers has them by now, and anyone else
// hears that its message was not taken by the end of the connection.
func (s *Server) acknowledge(c *conn, packet uint16, qos, code byte, results []batch.Result) {
	ack := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Puback}, PacketID: packet}
	if qos == 2 {
		ack.FixedHeader.Type = packets.Pubrec
	}
	if code != 0 {
		if c.version != version5 {
			if !c.session.answers {
				s.out.Close(c.id)
				return
			}
		} else {
			ack.ReasonCode = code
			for _, r := range results {
				ack.Properties.User = append(ack.Properties.User, packets.UserProperty{
					Key: "reading", Val: fmt.Sprintf("%d %s %d", r.Seq, intake.Status(r.Status), r.Wait)})
			}
		}
	}
	s.send(c, ack)
}
