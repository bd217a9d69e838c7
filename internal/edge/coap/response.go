package coap

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// maxHeaderAndOptionsBytes bounds the encoded header and options of a response.
const maxHeaderAndOptionsBytes = 64

// Answer responds to the request that was passed to Deliver or Read with the
// token. maxAgeMs is the Max-Age option of the response, after which a client may
// retry; 0 omits it. An unknown token is ignored.
func (s *Server) Answer(now float64, token uint64, code codes.Code, payload []byte, maxAgeMs float64) {
	if exchange := s.pending[token]; exchange != nil {
		s.respond(now, exchange, code, payload, maxAgeMs)
	}
}

// respond sends a response: piggybacked on the acknowledgement if that was not
// sent yet, else as a separate message, which is confirmable if the request was.
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

// newMessageID returns the next message ID. It skips 0, which stands for no ID.
func (s *Server) newMessageID() uint16 {
	s.lastMessageID++
	if s.lastMessageID == 0 {
		s.lastMessageID++
	}
	return s.lastMessageID
}

// responseType returns the type of the message that carries the response.
func (exchange *requestExchange) responseType() message.Type {
	switch {
	case !exchange.confirmable:
		return message.NonConfirmable
	case exchange.acknowledged:
		return message.Confirmable
	}
	return message.Acknowledgement
}

// scheduleRetransmission retransmits a separate response after a timeout, which
// doubles each time, until the response is acknowledged or was retransmitted
// maxRetransmit times (RFC 7252, 4.2).
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

// stopRetransmission cancels the retransmission of a separate response.
func (s *Server) stopRetransmission(exchange *requestExchange) {
	s.timers.Cancel(exchange.timer)
	delete(s.unacknowledged, exchangeID{peer: exchange.id.peer, messageID: exchange.separateID})
}

// encodeResponse encodes a response. Each response has a new Echo value for the
// client's next request.
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
		panic(fmt.Sprintf("coap: encoding response: %v", err)) // a programming error: all its parts are valid
	}
	return b[:n]
}

// responseOptions returns the options of a response in the order of their
// numbers, without Echo, which has the highest. Of the payloads, only that of a
// successful message of readings is declared as CBOR.
func (s *Server) responseOptions(
	exchange *requestExchange, code codes.Code, hasPayload bool, maxAgeMs float64,
) (options message.Options) {
	isBatchReply := code>>codeClassShift == successClass && code != codes.Content
	if hasPayload && isBatchReply {
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

// uintOption returns an option whose value is an unsigned integer in the fewest
// bytes (RFC 7252, 3.2).
func uintOption(id message.OptionID, value uint64) message.Option {
	b := binary.BigEndian.AppendUint64(nil, value)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return message.Option{ID: id, Value: b}
}
