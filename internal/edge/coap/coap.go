// Package coap implements the rules of a CoAP server (RFC 7252) for readings:
// detection of duplicates, empty acknowledgements and separate responses,
// block-wise transfers of requests (RFC 7959), and the verification of client
// addresses by the Echo option (RFC 9175). The package has no I/O and no clock:
// the caller passes in datagrams and the time, and implements Actions. Times are
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

// The transmission parameters of RFC 7252, 4.8.
const (
	exchangeLifetimeMs = 247000
	nonLifetimeMs      = 145000 // lifetime of an exchange with a non-confirmable request
	ackTimeoutMs       = 2000
	ackRandomFactor    = 1.5
	maxRetransmit      = 4
)

const (
	// maxOptions is how many options a request may have.
	maxOptions = 32
	// maxDatagramBytes is the longest datagram that is accepted: 1500 bytes, as an
	// Ethernet frame carries, less the IPv4 and UDP headers. Clients send longer
	// messages in blocks.
	maxDatagramBytes = 1472
	// maxSegmentBytes is the longest segment of a path.
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
// the Server.
type Actions interface {
	// Send sends a datagram.
	Send(to netip.AddrPort, datagram []byte)
	// Deliver processes a complete message that was sent after notBefore. The
	// result goes to Server.Answer with the token.
	Deliver(token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64)
	// Read reads the value of a row; row is the last segment of the request's
	// path, and path is the rest. The result goes to Server.Answer with the token.
	Read(token uint64, from netip.AddrPort, path, row string)
}

// Limits bound a Server's state.
type Limits struct {
	Exchanges    int             // remembered to detect duplicates
	MessageBytes int             // of one message
	Progress     progress.Limits // of block-wise transfers
}

// Server is the state of a CoAP server. New creates one.
type Server struct {
	limits  Limits
	actions Actions
	rand    *rand.Rand
	echoKey [32]byte
	timers  timers.Heap
	stats   Stats

	exchanges      map[exchangeID]*requestExchange
	exchangesByAge []*requestExchange              // oldest first, including removed ones
	removed        int                             // number of removed exchanges in exchangesByAge
	pending        map[uint64]*requestExchange     // without an answer, by token
	unacknowledged map[exchangeID]*requestExchange // by the message ID of the separate response
	lastToken      uint64
	lastMessageID  uint16 // of the server's own messages

	transfers       map[string]*blockTransfer // by transferKey
	transferByOwner map[uint64]*blockTransfer
	unfinished      *progress.Tracker // progress of the transfers
}

// Stats counts events since the start.
type Stats struct {
	Datagrams         uint64
	Malformed         uint64
	Duplicates        uint64
	Challenges        uint64 // requests without a valid Echo value
	Evicted           uint64 // exchanges removed before their lifetime ended
	Stalled           uint64 // transfers removed for lack of progress
	SeparateResponses uint64 // requests acknowledged by an empty message before their response
}

// New returns a server. echoKey authenticates its Echo values and must be a fresh
// random key at every start. seed seeds message IDs and retransmission timeouts.
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

// Receive handles one datagram. The caller may reuse b after the call.
func (s *Server) Receive(now float64, from netip.AddrPort, b []byte) {
	s.stats.Datagrams++
	received, err := decode(b)
	if err != nil {
		s.stats.Malformed++
		// A malformed confirmable message is rejected with a Reset; any other is
		// ignored (RFC 7252, 4.2).
		if isConfirmable(b) {
			s.sendEmpty(from, message.Reset, binary.BigEndian.Uint16(b[messageIDOffset:]))
		}
		return
	}
	id := exchangeID{peer: from, messageID: uint16(received.MessageID)}
	isRequest := received.Code != codes.Empty && received.Code>>codeClassShift == requestClass
	switch {
	case received.Type == message.Acknowledgement || received.Type == message.Reset:
		// The client has received the separate response or rejects it.
		if exchange := s.unacknowledged[id]; exchange != nil {
			s.stopRetransmission(exchange)
		}
	case isRequest:
		s.handleRequest(now, id, received, len(b))
	case received.Type == message.Confirmable: // a ping or an unexpected response
		s.sendEmpty(from, message.Reset, id.messageID)
	}
}

// isConfirmable reports whether a datagram begins with the header of a
// confirmable message. The rest may be malformed.
func isConfirmable(b []byte) bool {
	if len(b) < headerBytes || b[0]>>versionShift != version {
		return false
	}
	return message.Type(b[0]>>typeShift&typeMask) == message.Confirmable
}

var errNotEmpty = errors.New("coap: empty message has a token, options or a payload")

func decode(b []byte) (*message.Message, error) {
	if len(b) > maxDatagramBytes {
		return nil, fmt.Errorf("coap: datagram of %d bytes is too long", len(b))
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

// sendEmpty sends an empty acknowledgement or a Reset.
func (s *Server) sendEmpty(to netip.AddrPort, messageType message.Type, messageID uint16) {
	b := make([]byte, headerBytes)
	b[0] = version<<versionShift | byte(messageType)<<typeShift
	binary.BigEndian.PutUint16(b[messageIDOffset:], messageID)
	s.actions.Send(to, b)
}
