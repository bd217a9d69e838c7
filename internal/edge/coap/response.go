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
const maxHeaderAndOptionsBytes = 64

// Answer ends a request that was delivered or read. maxAgeMs, in milliseconds, is
// when to retry after a temporary error, 0 for none.
func (s *Server) Answer(now float64, token uint64, code codes.Code, payload []byte, maxAgeMs float64) {
	if exchange := s.pending[token]; exchange != nil {
		s.respond(now, exchange, code, payload, maxAgeMs)
	}
}

// respond sends a response: piggybacked on the acknowledgement unless that was
// sent, else as a message of its own, confirmable if the request was.
func (s *Server) respond(
	now float64, exchange *requestExchange, code codes.Code, payload []byte, maxAgeMs float64,
) {
	delete(s.pending, exchange.token)
	s.timers.Cancel(exchange.timer)
	messageID := exchange.id.messageID
	if exchange.acknowledged || !exchange.confirmable {
		messageID = s.newMessageID()
	}
	messageType := exchange.responseType()
	exchange.response = s.encodeResponse(now, exchange, code, payload, maxAgeMs, messageType, messageID)
	if exchange.confirmable && exchange.acknowledged {
		exchange.separateID = messageID
		s.unacknowledged[exchangeID{peer: exchange.id.peer, messageID: messageID}] = exchange
		timeoutMs := ackTimeoutMs * (1 + (ackRandomFactor-1)*s.rand.Float64())
		s.scheduleRetransmission(now, exchange, timeoutMs)
	}
	s.actions.Send(exchange.id.peer, exchange.response)
}

// newMessageID returns the next message ID, never 0.
func (s *Server) newMessageID() uint16 {
	s.lastMessageID++
	if s.lastMessageID == 0 {
		s.lastMessageID++
	}
	return s.lastMessageID
}

func (exchange *requestExchange) responseType() message.Type {
	switch {
	case !exchange.confirmable:
		return message.NonConfirmable
	case exchange.acknowledged:
		return message.Confirmable
	}
	return message.Acknowledgement
}

// scheduleRetransmission sends a separate response again after a timeout in
// milliseconds, which doubles, until it is acknowledged or maxRetransmit is
// reached (RFC 7252, 4.2).
func (s *Server) scheduleRetransmission(now float64, exchange *requestExchange, timeoutMs float64) {
	exchange.timer = s.timers.At(now+timeoutMs, func(now float64) {
		exchange.retransmissions++
		if exchange.retransmissions > maxRetransmit {
			s.stopRetransmission(exchange)
			return
		}
		s.actions.Send(exchange.id.peer, exchange.response)
		s.scheduleRetransmission(now, exchange, 2*timeoutMs)
	})
}

func (s *Server) stopRetransmission(exchange *requestExchange) {
	s.timers.Cancel(exchange.timer)
	delete(s.unacknowledged, exchangeID{peer: exchange.id.peer, messageID: exchange.separateID})
}

// encodeResponse encodes a response. Each has a new Echo value for the client's
// next request.
func (s *Server) encodeResponse(
	now float64, exchange *requestExchange, code codes.Code, payload []byte, maxAgeMs float64,
	messageType message.Type, messageID uint16,
) []byte {
	response := message.Message{
		Token:     exchange.clientToken,
		Code:      code,
		Type:      messageType,
		MessageID: int32(messageID),
		Payload:   payload,
		Options:   s.responseOptions(exchange, code, len(payload) > 0, maxAgeMs),
	}
	echo := message.Option{ID: message.Echo, Value: s.newEcho(now, exchange.id.peer)}
	response.Options = append(response.Options, echo)
	b := make([]byte, maxHeaderAndOptionsBytes+len(payload)+len(exchange.clientToken))
	n, err := coder.DefaultCoder.Encode(response, b)
	if err != nil {
		panic(fmt.Sprintf("coap: a response cannot be written: %v", err)) // its parts are this program's own
	}
	return b[:n]
}

// responseOptions returns the options that precede Echo, in the order of their
// numbers.
func (s *Server) responseOptions(
	exchange *requestExchange, code codes.Code, hasPayload bool, maxAgeMs float64,
) (options message.Options) {
	isReply := code>>codeClassShift == successClass && code != codes.Content
	if hasPayload && isReply {
		options = append(options, uintOption(message.ContentFormat, uint64(message.AppCBOR)))
	}
	if maxAgeMs > 0 {
		options = append(options, uintOption(message.MaxAge, uint64(math.Ceil(maxAgeMs/1000))))
	}
	if exchange.block1 != noBlock {
		options = append(options, uintOption(message.Block1, uint64(exchange.block1)))
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
