// Package coap holds the rules of a CoAP server (RFC 7252) for readings: which
// datagram duplicates which, when a confirmable request gets its empty
// acknowledgement and a separate response, how blocks become a message (RFC
// 7959), and which addresses get long responses (RFC 9175). Datagrams and times
// go in, datagrams and messages out; there is no socket and no clock. Times are
// Unix milliseconds. A Server is not safe for concurrent use.
package coap

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/progress"
	"lotusbend/internal/edge/timers"
)

// Times of RFC 7252, section 4.8, in milliseconds, and numbers.
const (
	exchangeLifetimeMs = 247000
	nonLifetimeMs      = 145000 // of an exchange whose request is not confirmable
	ackTimeoutMs       = 2000
	ackRandomFactor    = 1.5
	maxRetransmit      = 4
)

const (
	// maxOptions is how many options a request may have.
	maxOptions = 32
	// maxDatagram is the longest that is accepted, in bytes. Longer messages
	// come in blocks.
	maxDatagramBytes = 1472
	// maxSegment is the longest segment of a path, in bytes.
	maxSegmentBytes = 64
	// seedStream is the second half of the random generator's seed.
	seedStream = 0xc0a9
)

// The header of a message (RFC 7252, 3).
const (
	headerBytes     = 4
	version         = 1
	versionShift    = 6
	typeShift       = 4
	typeMask        = 3
	messageIDOffset = 2
	codeClassShift  = 5
	requestClass    = 0
	successClass    = 2
)

// Actions carries out what a Server decides. Its methods must not call back into
// it.
type Actions interface {
	Send(to netip.AddrPort, datagram []byte)
	// Deliver takes a whole message that was sent after notBefore. It is
	// answered by Server.Answer with the token.
	Deliver(token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64)
	// Read requests the value named by a path and its last segment. It is
	// answered by Server.Answer with the token.
	Read(token uint64, from netip.AddrPort, path, row string)
}

// Limits bound a Server's state.
type Limits struct {
	Exchanges    int             // remembered to detect duplicates
	MessageBytes int             // of one message
	Progress     progress.Limits // of messages in blocks
}

// Server is a CoAP server's state.
type Server struct {
	limits  Limits
	actions Actions
	rand    *rand.Rand
	echoKey [32]byte
	timers  timers.Heap
	stats   Stats

	exchanges      map[exchangeID]*requestExchange
	exchangesByAge []*requestExchange              // the oldest first, with removed ones
	removed        int                             // in byAge
	pending        map[uint64]*requestExchange     // without their answer, by token
	unacknowledged map[exchangeID]*requestExchange // with a separate response
	lastToken      uint64
	lastMessageID  uint16 // of a message that the server began

	transfers       map[string]*blockTransfer
	transferByOwner map[uint64]*blockTransfer
	unfinished      *progress.Ledger // of the transfers
}

// Stats counts events since the start.
type Stats struct {
	Datagrams         uint64
	Malformed         uint64
	Duplicates        uint64
	Challenges        uint64 // requests without a valid Echo value
	Evicted           uint64 // exchanges removed before their time
	Stalled           uint64 // transfers
	SeparateResponses uint64 // empty acknowledgements, each followed by a separate response
}

// New returns a server. echoKey authenticates its Echo values and must be random
// and new at every start.
func New(limits Limits, echoKey [32]byte, seed uint64, actions Actions) *Server {
	random := rand.New(rand.NewPCG(seed, seedStream))
	return &Server{
		limits:          limits,
		actions:         actions,
		echoKey:         echoKey,
		rand:            random,
		exchanges:       map[exchangeID]*requestExchange{},
		pending:         map[uint64]*requestExchange{},
		unacknowledged:  map[exchangeID]*requestExchange{},
		transfers:       map[string]*blockTransfer{},
		transferByOwner: map[uint64]*blockTransfer{},
		unfinished:      progress.New(limits.Progress),
		lastMessageID:   uint16(random.Uint32()),
	}
}

// Stats returns the counters.
func (s *Server) Stats() Stats { return s.stats }

// Next returns when Tick is due, in Unix milliseconds; false if no timer is set.
func (s *Server) Next() (float64, bool) {
	timer, timerSet := s.timers.Next()
	window, windowSet := s.unfinished.Next()
	if windowSet && (!timerSet || window < timer) {
		return window, true
	}
	return timer, timerSet
}

// Tick runs the timers that are due.
func (s *Server) Tick(now float64) {
	s.timers.Tick(now)
	for _, owner := range s.unfinished.Tick(now) {
		s.stats.Stalled++
		s.endTransfer(s.transferByOwner[owner])
	}
}

// Receive handles one datagram, which may be reused after the call.
func (s *Server) Receive(now float64, from netip.AddrPort, b []byte) {
	s.stats.Datagrams++
	received, err := decode(b)
	if err != nil {
		s.stats.Malformed++
		// RFC 7252, 4.2: a malformed confirmable message is rejected by a
		// Reset, any other is ignored.
		if isConfirmable(b) {
			s.sendEmpty(from, message.Reset, binary.BigEndian.Uint16(b[messageIDOffset:]))
		}
		return
	}
	id := exchangeID{peer: from, messageID: uint16(received.MessageID)}
	isRequest := received.Code != codes.Empty && received.Code>>codeClassShift == requestClass
	switch {
	case received.Type == message.Acknowledgement || received.Type == message.Reset:
		// The client has the separate response, or wants none.
		if exchange := s.unacknowledged[id]; exchange != nil {
			s.stopRetransmission(exchange)
		}
	case isRequest:
		s.handleRequest(now, id, received, len(b))
	case received.Type == message.Confirmable: // a ping, or a response to nothing
		s.sendEmpty(from, message.Reset, id.messageID)
	}
}

// isConfirmable reports whether a datagram's header is that of a confirmable
// message, whatever follows it.
func isConfirmable(b []byte) bool {
	if len(b) < headerBytes || b[0]>>versionShift != version {
		return false
	}
	return message.Type(b[0]>>typeShift&typeMask) == message.Confirmable
}

var errNotEmpty = errors.New("coap: an empty message that is not empty")

func decode(b []byte) (*message.Message, error) {
	if len(b) > maxDatagramBytes {
		return nil, fmt.Errorf("coap: %d bytes", len(b))
	}
	received := &message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, received); err != nil {
		return nil, err
	}
	hasContent := len(received.Token) > 0 || len(received.Options) > 0 || len(received.Payload) > 0
	if received.Code == codes.Empty && hasContent {
		return nil, errNotEmpty
	}
	return received, nil
}

// sendEmpty sends an acknowledgement or a Reset.
func (s *Server) sendEmpty(to netip.AddrPort, messageType message.Type, messageID uint16) {
	b := make([]byte, headerBytes)
	b[0] = version<<versionShift | byte(messageType)<<typeShift
	binary.BigEndian.PutUint16(b[messageIDOffset:], messageID)
	s.actions.Send(to, b)
}
