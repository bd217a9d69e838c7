package coap

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// responseOverhead is room for a response's header and options, in bytes.
const responseOverhead = 64

// Answer ends a request that was delivered or read. maxAge, in milliseconds, is
// when to retry after a temporary error, 0 for none.
func (s *Server) Answer(now float64, token uint64, code codes.Code, payload []byte, maxAge float64) {
	if x := s.pending[token]; x != nil {
		s.respond(now, x, code, payload, maxAge)
	}
}

// respond sends a response: piggybacked on the acknowledgement unless that was
// sent, else as a message of its own, confirmable if the request was.
func (s *Server) respond(now float64, x *exchange, code codes.Code, payload []byte, maxAge float64) {
	delete(s.pending, x.token)
	s.timers.Cancel(x.timer)
	messageID := x.id.messageID
	if x.acknowledged || !x.confirmable {
		messageID = s.newMessageID()
	}
	x.response = s.encodeResponse(now, x, code, payload, maxAge, x.responseType(), messageID)
	if x.confirmable && x.acknowledged {
		x.separateID = messageID
		s.unacknowledged[exchangeID{peer: x.id.peer, messageID: messageID}] = x
		timeout := ackTimeout * (1 + (ackRandomFactor-1)*s.rand.Float64())
		s.scheduleRetransmission(now, x, timeout)
	}
	s.out.Send(x.id.peer, x.response)
}

// newMessageID returns the next message ID, never 0.
func (s *Server) newMessageID() uint16 {
	s.lastMessageID++
	if s.lastMessageID == 0 {
		s.lastMessageID++
	}
	return s.lastMessageID
}

func (x *exchange) responseType() message.Type {
	switch {
	case !x.confirmable:
		return message.NonConfirmable
	case x.acknowledged:
		return message.Confirmable
	}
	return message.Acknowledgement
}

// scheduleRetransmission sends a separate response again after a timeout in
// milliseconds, which doubles, until it is acknowledged or maxRetransmit is
// reached (RFC 7252, 4.2).
func (s *Server) scheduleRetransmission(now float64, x *exchange, timeout float64) {
	x.timer = s.timers.At(now+timeout, func(now float64) {
		x.retransmissions++
		if x.retransmissions > maxRetransmit {
			s.endRetransmission(x)
			return
		}
		s.out.Send(x.id.peer, x.response)
		s.scheduleRetransmission(now, x, 2*timeout)
	})
}

func (s *Server) endRetransmission(x *exchange) {
	s.timers.Cancel(x.timer)
	delete(s.unacknowledged, exchangeID{peer: x.id.peer, messageID: x.separateID})
}

// encodeResponse encodes a response. Each has a new Echo value for the client's
// next request.
func (s *Server) encodeResponse(
	now float64, x *exchange, code codes.Code, payload []byte, maxAge float64,
	kind message.Type, messageID uint16,
) []byte {
	m := message.Message{
		Token:     x.clientToken,
		Code:      code,
		Type:      kind,
		MessageID: int32(messageID),
		Payload:   payload,
		Options:   s.responseOptions(x, code, len(payload) > 0, maxAge),
	}
	m.Options = append(m.Options, message.Option{ID: message.Echo, Value: s.newEcho(now, x.id.peer)})
	b := make([]byte, responseOverhead+len(payload)+len(x.clientToken))
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		panic(fmt.Sprintf("coap: a response cannot be written: %v", err)) // its parts are this program's own
	}
	return b[:n]
}

// responseOptions returns the options that precede Echo, in the order of their
// numbers.
func (s *Server) responseOptions(
	x *exchange, code codes.Code, hasPayload bool, maxAge float64,
) (options message.Options) {
	isReply := code>>codeClassShift == successClass && code != codes.Content
	if hasPayload && isReply {
		options = append(options, uintOption(message.ContentFormat, uint64(message.AppCBOR)))
	}
	if maxAge > 0 {
		options = append(options, uintOption(message.MaxAge, uint64(math.Ceil(maxAge/1000))))
	}
	if x.block1 != noBlock {
		options = append(options, uintOption(message.Block1, uint64(x.block1)))
	}
	if code == codes.RequestEntityTooLarge {
		options = append(options, uintOption(message.Size1, uint64(s.limits.MessageBytes)))
	}
	return options
}

// uintOption encodes a number in the fewest bytes (RFC 7252, 3.2).
func uintOption(id message.OptionID, value uint64) message.Option {
	b := binary.BigEndian.AppendUint64(nil, value)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return message.Option{ID: id, Value: b}
}
