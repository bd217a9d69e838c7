package coap

import (
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// noError stands for the response code of a request that is valid so far.
const noError codes.Code = 0

// handleRequest handles a request whose datagram has size bytes.
func (s *Server) handleRequest(now float64, id exchangeID, received *message.Message, size int) {
	if exchange := s.exchanges[id]; exchange != nil {
		s.handleDuplicate(exchange)
		return
	}
	exchange := &requestExchange{
		id:          id,
		clientToken: append([]byte(nil), received.Token...),
		confirmable: received.Type == message.Confirmable,
		block1:      noBlock,
	}
	path, code := validate(received)
	if code != noError {
		s.registerExchange(now, exchange)
		s.respond(now, exchange, code, nil, 0)
		return
	}
	// Until a valid Echo value proves that the client receives what is sent to its
	// address, the server neither remembers nor delivers its valid requests and
	// sends only short responses (RFC 9175, 2.4). The value also bounds the
	// request's age. The server keeps no state for it.
	sentAfter, ok := s.verifyEcho(now, id.peer, received)
	if !ok {
		s.sendChallenge(now, exchange, size)
		return
	}
	s.registerExchange(now, exchange)
	if received.Code == codes.GET {
		s.handleRead(now, exchange, path)
		return
	}
	body, code := s.messageBody(now, exchange, path, received, sentAfter)
	if code != noError {
		s.respond(now, exchange, code, nil, 0)
		return
	}
	s.registerPending(now, exchange)
	s.actions.Deliver(exchange.token, id.peer, path, append([]byte(nil), body.payload...), body.sentAfter)
}

// handleDuplicate repeats the acknowledgement or response to the first copy of a
// request, without processing the request again (RFC 7252, 4.5).
func (s *Server) handleDuplicate(exchange *requestExchange) {
	s.stats.Duplicates++
	switch {
	case exchange.acknowledged && (exchange.response == nil || exchange.separateID != 0):
		s.sendEmpty(exchange.id.peer, message.Acknowledgement, exchange.id.messageID)
	case exchange.response != nil:
		s.actions.Send(exchange.id.peer, exchange.response)
	}
}

// sendChallenge responds with an Echo value with which the client can repeat its
// request. It sends nothing if the response would be longer than
// maxAmplification times the request's size in bytes: the address may be forged.
func (s *Server) sendChallenge(now float64, exchange *requestExchange, size int) {
	s.stats.Challenges++
	messageType := exchange.responseType()
	response := s.encodeResponse(
		now, exchange, codes.Unauthorized, nil, 0, messageType, exchange.id.messageID)
	if len(response) <= maxAmplification*size {
		s.actions.Send(exchange.id.peer, response)
	}
}

// handleRead reads the row that the last segment of the path names.
func (s *Server) handleRead(now float64, exchange *requestExchange, path string) {
	slash := strings.LastIndexByte(path, '/')
	if slash <= 0 {
		s.respond(now, exchange, codes.NotFound, nil, 0)
		return
	}
	s.registerPending(now, exchange)
	s.actions.Read(exchange.token, exchange.id.peer, path[:slash], path[slash+1:])
}

// messageBody returns the complete payload of the request, or the code to respond
// with if the request is too long or a block of an incomplete message. sentAfter is
// when the request's Echo value was created.
func (s *Server) messageBody(
	now float64, exchange *requestExchange, path string, received *message.Message, sentAfter float64,
) (body messageBody, code codes.Code) {
	option, err := received.Options.GetUint32(message.Block1)
	if err == nil {
		exchange.block1 = int64(option)
		b, code := newRequestBlock(option, received.Payload, sentAfter)
		if code != noError {
			return messageBody{}, code
		}
		return s.handleBlock(now, transferKey(exchange.id, path, received), b)
	}
	if len(received.Payload) > s.limits.MessageBytes {
		return messageBody{}, codes.RequestEntityTooLarge
	}
	return messageBody{received.Payload, sentAfter}, noError
}

// validate checks the method and the options, and returns the path. The code is
// noError if the request is valid.
func validate(received *message.Message) (path string, code codes.Code) {
	if received.Code != codes.POST && received.Code != codes.PUT && received.Code != codes.GET {
		return "", codes.MethodNotAllowed
	}
	var segments []string
	for _, option := range received.Options {
		switch option.ID {
		case message.URIPath:
			if len(option.Value) == 0 || len(option.Value) > maxSegmentBytes {
				return "", codes.BadRequest
			}
			segments = append(segments, string(option.Value))
		case message.URIHost, message.URIPort, message.URIQuery,
			message.Accept, message.ContentFormat, message.Block1:
		default:
			critical := option.ID%2 == 1 // RFC 7252, 5.4.1
			if critical {
				return "", codes.BadOption
			}
		}
	}
	if len(segments) == 0 {
		return "", codes.NotFound
	}
	return strings.Join(segments, "/"), noError
}
