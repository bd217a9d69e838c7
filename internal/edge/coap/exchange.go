package coap

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"

	"lotusbend/internal/edge/timers"
)

// emptyAckDelayMs is how long a confirmable request waits for a piggybacked
// response before it is acknowledged by an empty message. It is shorter than
// ackTimeoutMs, after which the client would retransmit the request.
const emptyAckDelayMs = 1000

// noBlock is the block1 of an exchange whose request has no Block1 option.
const noBlock = -1

// exchangeID identifies the request of an exchange, or its separate response.
type exchangeID struct {
	peer      netip.AddrPort
	messageID uint16
}

// requestExchange is one request and its response.
type requestExchange struct {
	id           exchangeID
	token        uint64 // passed to Actions, 0 if nothing was delivered
	clientToken  []byte // the CoAP token, which the response repeats
	confirmable  bool
	acknowledged bool   // by an empty message
	response     []byte // nil until it is sent
	block1       int64  // the request's Block1, which the response repeats, or noBlock

	separateID      uint16        // message ID of the separate response, 0 if there is none
	retransmissions int           // of the separate response
	timer           *timers.Timer // for the empty acknowledgement, then for retransmissions
	expiryTimer     *timers.Timer
	removed         bool // but still in Server.exchangesByAge
}

// registerExchange remembers an exchange, so that duplicates of its request are
// recognized.
func (s *Server) registerExchange(now float64, exchange *requestExchange) {
	for len(s.exchanges) >= s.limits.Exchanges {
		s.evictOldestExchange()
	}
	s.exchanges[exchange.id] = exchange
	s.exchangesByAge = append(s.exchangesByAge, exchange)
	lifetimeMs := float64(nonLifetimeMs)
	if exchange.confirmable {
		lifetimeMs = exchangeLifetimeMs
	}
	exchange.expiryTimer = s.timers.At(now+lifetimeMs, func(float64) { s.removeExchange(exchange) })
}

// evictOldestExchange removes the oldest exchange. A later duplicate of its
// request is handled as a new request. That is safe, because intake recognizes
// duplicate readings by their IDs.
func (s *Server) evictOldestExchange() {
	s.stats.Evicted++
	for _, exchange := range s.exchangesByAge {
		if !exchange.removed {
			s.removeExchange(exchange)
			return
		}
	}
}

// removeExchange forgets an exchange and cancels its timers.
func (s *Server) removeExchange(exchange *requestExchange) {
	exchange.removed = true
	s.timers.Cancel(exchange.timer)
	s.timers.Cancel(exchange.expiryTimer)
	delete(s.exchanges, exchange.id)
	delete(s.pending, exchange.token)
	if exchange.separateID != 0 {
		delete(s.unacknowledged, exchangeID{peer: exchange.id.peer, messageID: exchange.separateID})
	}
	s.removed++
	s.compactExchangesByAge()
}

// compactExchangesByAge drops the removed exchanges at the head of
// exchangesByAge, and all removed ones once they are more than half of it.
func (s *Server) compactExchangesByAge() {
	for len(s.exchangesByAge) > 0 && s.exchangesByAge[0].removed {
		s.exchangesByAge[0] = nil // for the garbage collector
		s.exchangesByAge = s.exchangesByAge[1:]
		s.removed--
	}
	if s.removed <= len(s.exchangesByAge)/2 {
		return
	}
	kept := make([]*requestExchange, 0, len(s.exchanges))
	for _, exchange := range s.exchangesByAge {
		if !exchange.removed {
			kept = append(kept, exchange)
		}
	}
	s.exchangesByAge = kept
	s.removed = 0
}

// registerPending gives an exchange a token for its answer. A confirmable request
// is acknowledged by an empty message if its answer takes longer than
// emptyAckDelayMs.
func (s *Server) registerPending(now float64, exchange *requestExchange) {
	s.lastToken++
	exchange.token = s.lastToken
	s.pending[exchange.token] = exchange
	if !exchange.confirmable {
		return
	}
	exchange.timer = s.timers.At(now+emptyAckDelayMs, func(float64) {
		exchange.acknowledged = true
		s.stats.SeparateResponses++
		s.sendEmpty(exchange.id.peer, message.Acknowledgement, exchange.id.messageID)
	})
}
