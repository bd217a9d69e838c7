package coap

import (
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// noError is the code of a request that is accepted so far.
const noError codes.Code = 0

// handleRequest handles a request of size bytes, unless it is a duplicate.
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
	// Nothing is delivered, remembered or answered at length before the sender
	// has shown that it receives what is sent to its address (RFC 9175, 2.4).
	// The same value bounds the request's age. It takes no memory of the server.
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
	payload, code := s.payload(now, exchange, path, received)
	if code != noError {
		s.respond(now, exchange, code, nil, 0)
		return
	}
	s.registerPending(now, exchange)
	s.actions.Deliver(exchange.token, id.peer, path, append([]byte(nil), payload...), sentAfter)
}

// handleDuplicate sends what the first copy got. The request is not processed
// again (RFC 7252, 4.5).
func (s *Server) handleDuplicate(exchange *requestExchange) {
	s.stats.Duplicates++
	switch {
	case exchange.acknowledged && (exchange.response == nil || exchange.separateID != 0):
		s.sendEmpty(exchange.id.peer, message.Acknowledgement, exchange.id.messageID)
	case exchange.response != nil:
		s.actions.Send(exchange.id.peer, exchange.response)
	}
}

// challenge sends an Echo value for the request's repetition, unless that would
// amplify a forged request of size bytes.
func (s *Server) sendChallenge(now float64, exchange *requestExchange, size int) {
	s.stats.Challenges++
	messageType := exchange.responseType()
	response := s.encodeResponse(now, exchange, codes.Unauthorized, nil, 0, messageType, exchange.id.messageID)
	if len(response) <= maxAmplification*size {
		s.actions.Send(exchange.id.peer, response)
	}
}

// handleRead requests the value that the path's last segment names.
func (s *Server) handleRead(now float64, exchange *requestExchange, path string) {
	slash := strings.LastIndexByte(path, '/')
	if slash <= 0 {
		s.respond(now, exchange, codes.NotFound, nil, 0)
		return
	}
	s.registerPending(now, exchange)
	s.actions.Read(exchange.token, exchange.id.peer, path[:slash], path[slash+1:])
}

// payload returns the request's whole payload, or the code to respond with.
func (s *Server) payload(
	now float64, exchange *requestExchange, path string, received *message.Message,
) (payload []byte, code codes.Code) {
	block1, err := received.Options.GetUint32(message.Block1)
	if err == nil {
		exchange.block1 = int64(block1)
		return s.handleBlock(now, exchange.id, path, received, block1)
	}
	if len(received.Payload) > s.limits.MessageBytes {
		return nil, codes.RequestEntityTooLarge
	}
	return received.Payload, noError
}

// validate checks what does not depend on the sender.
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
