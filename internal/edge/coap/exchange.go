package coap

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"

	"lotusbend/internal/edge/timers"
)

// emptyAckDelay is how long a confirmable request waits for a piggybacked
// response, in milliseconds: well before its client's first retransmission.
const emptyAckDelayMs = 1000

// noBlock is the block1 of an exchange without blocks.
const noBlock = -1

type exchangeID struct {
	peer      netip.AddrPort
	messageID uint16
}

// exchange is one request and its response.
type requestExchange struct {
	id           exchangeID
	token        uint64 // of Actions, 0 if nothing was delivered
	clientToken  []byte
	confirmable  bool
	acknowledged bool // by an empty message
	response     []byte
	block1       int64 // the request's Block1, which the response repeats, or noBlock

	separateID      uint16        // message ID of a separate response, 0 for none
	retransmissions int           // of it
	timer           *timers.Timer // of the empty acknowledgement, then of retransmissions
	expiryTimer     *timers.Timer
	removed         bool
}

// register remembers an exchange, so that duplicates of it are recognized.
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

// evict removes the oldest exchange. That is safe: a duplicate is then a new
// request, and the readings in it are recognized by their IDs.
func (s *Server) evictOldestExchange() {
	s.stats.Evicted++
	for _, exchange := range s.exchangesByAge {
		if !exchange.removed {
			s.removeExchange(exchange)
			return
		}
	}
}

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

// compact takes removed exchanges out of byAge: those at its head, and all once
// they are more than half of it.
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

// awaitAnswer gives an exchange a token for its answer. A confirmable request that waits
// for long is acknowledged meanwhile.
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
