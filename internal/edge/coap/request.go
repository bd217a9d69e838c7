package coap

import (
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// noError is the code of a request that is accepted so far.
const noError codes.Code = 0

// handleRequest handles a request of size bytes, unless it is a duplicate.
func (s *Server) handleRequest(now float64, id exchangeID, m *message.Message, size int) {
	if x := s.exchanges[id]; x != nil {
		s.handleDuplicate(x)
		return
	}
	x := &exchange{
		id:          id,
		clientToken: append([]byte(nil), m.Token...),
		confirmable: m.Type == message.Confirmable,
		block1:      noBlock,
	}
	path, code := validate(m)
	if code != noError {
		s.register(now, x)
		s.respond(now, x, code, nil, 0)
		return
	}
	// Nothing is delivered, remembered or answered at length before the sender
	// has shown that it receives what is sent to its address (RFC 9175, 2.4).
	// The same value bounds the request's age. It takes no memory of the server.
	sentAfter, ok := s.verifyEcho(now, id.peer, m)
	if !ok {
		s.challenge(now, x, size)
		return
	}
	s.register(now, x)
	if m.Code == codes.GET {
		s.handleRead(now, x, path)
		return
	}
	payload, code := s.payload(now, x, path, m)
	if code != noError {
		s.respond(now, x, code, nil, 0)
		return
	}
	s.awaitAnswer(now, x)
	s.out.Deliver(x.token, id.peer, path, append([]byte(nil), payload...), sentAfter)
}

// handleDuplicate sends what the first copy got. The request is not processed
// again (RFC 7252, 4.5).
func (s *Server) handleDuplicate(x *exchange) {
	s.stats.Duplicates++
	switch {
	case x.acknowledged && (x.response == nil || x.separateID != 0):
		s.sendEmpty(x.id.peer, message.Acknowledgement, x.id.messageID)
	case x.response != nil:
		s.out.Send(x.id.peer, x.response)
	}
}

// challenge sends an Echo value for the request's repetition, unless that would
// amplify a forged request of size bytes.
func (s *Server) challenge(now float64, x *exchange, size int) {
	s.stats.Challenges++
	response := s.encodeResponse(now, x, codes.Unauthorized, nil, 0, x.responseType(), x.id.messageID)
	if len(response) <= maxAmplification*size {
		s.out.Send(x.id.peer, response)
	}
}

// handleRead requests the value that the path's last segment names.
func (s *Server) handleRead(now float64, x *exchange, path string) {
	slash := strings.LastIndexByte(path, '/')
	if slash <= 0 {
		s.respond(now, x, codes.NotFound, nil, 0)
		return
	}
	s.awaitAnswer(now, x)
	s.out.Read(x.token, x.id.peer, path[:slash], path[slash+1:])
}

// payload returns the request's whole payload, or the code to respond with.
func (s *Server) payload(
	now float64, x *exchange, path string, m *message.Message,
) (payload []byte, code codes.Code) {
	block1, err := m.Options.GetUint32(message.Block1)
	if err == nil {
		x.block1 = int64(block1)
		return s.handleBlock(now, x.id, path, m, block1)
	}
	if len(m.Payload) > s.limits.MessageBytes {
		return nil, codes.RequestEntityTooLarge
	}
	return m.Payload, noError
}

// validate checks what does not depend on the sender.
func validate(m *message.Message) (path string, code codes.Code) {
	if m.Code != codes.POST && m.Code != codes.PUT && m.Code != codes.GET {
		return "", codes.MethodNotAllowed
	}
	var segments []string
	for _, option := range m.Options {
		switch option.ID {
		case message.URIPath:
			if len(option.Value) == 0 || len(option.Value) > maxSegment {
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
