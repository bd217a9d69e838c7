// Package coap holds the rules of a CoAP server (RFC 7252) for readings: which
// datagram is a repeat of which, when a confirmable request gets its empty
// acknowledgement and a separate response, how blocks become a message (RFC
// 7959), and who may be answered at length (RFC 9175). Datagrams and times in,
// datagrams and messages out; no socket and no clock. Times are Unix
// milliseconds.
package coap

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/progress"
	"lotusbend/internal/edge/timers"
)

// Times of RFC 7252, section 4.8, in milliseconds.
const (
	exchangeLifetime = 247000
	nonLifetime      = 145000
	ackTimeout       = 2000
	ackRandomFactor  = 1.5
	maxRetransmit    = 4
)

const (
	// ackAfter is how long a confirmable request waits for a piggybacked
	// response: well before its sender's first retransmission.
	ackAfter = 1000
	// echoFor is how long an Echo value proves an address, in milliseconds.
	echoFor = 120000
	// amplification is how many times longer than the request the answer to an
	// address that proved nothing may be (RFC 9175, 2.4, item 3).
	amplification = 3
	// maxOptions is how many options a request may carry.
	maxOptions = 32
	// maxDatagram is the longest that is taken. Longer messages come in blocks.
	maxDatagram = 1472
	// maxSegment is how long a segment of a path may be.
	maxSegment = 64
	// freeTag is how long a Request-Tag must be to name a transfer under any
	// address: nobody guesses eight random bytes.
	freeTag = 8
)

// Out is what a Server can do. Its methods must not call back into it.
type Out interface {
	Send(to netip.AddrPort, datagram []byte)
	// Deliver hands a whole message on that was sent after notBefore. It ends
	// in Answer with the token.
	Deliver(token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64)
	// Read asks for what a path and its last segment name. It ends in Answer.
	Read(token uint64, from netip.AddrPort, path, arg string)
}

// Limits bound what a Server remembers.
type Limits struct {
	Exchanges    int
	MessageBytes int
	Progress     progress.Limits // of messages in blocks
}

// Server is a CoAP server's state.
type Server struct {
	lim       Limits
	out       Out
	rand      *rand.Rand
	key       [32]byte
	exchanges map[exchangeID]*exchange
	tokens    map[uint64]*exchange // that wait for their answer
	separate  map[exchangeID]*exchange
	order     []*exchange // by age
	dead      int         // in order, and removed
	timers    timers.Heap
	transfers map[string]*transfer
	byOwner   map[uint64]*transfer
	ledger    *progress.Ledger
	next      uint64
	mid       uint16
	stats     Stats
}

// Stats counts what happened.
type Stats struct{ Datagrams, Malformed, Repeats, Challenges, Evicted, Stalled, Separate uint64 }

type exchangeID struct {
	peer netip.AddrPort
	mid  uint16
}

// exchange is one request and its response.
type exchange struct {
	id       exchangeID
	token    uint64 // Out's
	name     []byte // the client's token
	con      bool
	acked    bool // by an empty message
	response []byte
	block    int64 // of Block1, which the response repeats; -1 for none
	retries  int
	mid      uint16 // of a separate response
	timer    *timers.Timer
	expiry   *timers.Timer
	gone     bool
}

// New returns a server whose Echo values nobody else can make: key must be new
// with every start.
func New(lim Limits, key [32]byte, seed uint64, out Out) *Server {
	r := rand.New(rand.NewPCG(seed, 0xc0a9))
	return &Server{
		lim: lim, out: out, key: key, rand: r, exchanges: map[exchangeID]*exchange{}, tokens: map[uint64]*exchange{},
		separate: map[exchangeID]*exchange{}, transfers: map[string]*transfer{}, byOwner: map[uint64]*transfer{},
		ledger: progress.New(lim.Progress), mid: uint16(r.Uint32()),
	}
}

// Stats returns the counts.
func (s *Server) Stats() Stats { return s.stats }

// Next returns when Tick is due, if it is.
func (s *Server) Next() (float64, bool) {
	a, ok := s.timers.Next()
	b, also := s.ledger.Next()
	if also && (!ok || b < a) {
		return b, true
	}
	return a, ok
}

// Tick does what is due.
func (s *Server) Tick(now float64) {
	s.timers.Tick(now)
	for _, owner := range s.ledger.Tick(now) {
		s.stats.Stalled++
		s.endTransfer(s.byOwner[owner])
	}
}

// Datagram takes one datagram. It may be kept only until the call returns.
func (s *Server) Datagram(now float64, from netip.AddrPort, b []byte) {
	s.stats.Datagrams++
	m, err := decode(b)
	if err != nil {
		s.stats.Malformed++
		// RFC 7252, 4.2: a confirmable message that cannot be read is rejected
		// by a Reset, any other is passed over.
		if len(b) >= 4 && b[0]>>6 == 1 && message.Type(b[0]>>4&3) == message.Confirmable {
			s.reset(from, binary.BigEndian.Uint16(b[2:]))
		}
		return
	}
	id := exchangeID{from, uint16(m.MessageID)}
	switch {
	case m.Type == message.Acknowledgement || m.Type == message.Reset:
		if x := s.separate[id]; x != nil { // the client has the response, or wants none
			s.endSeparate(x)
		}
	case m.Code == codes.Empty: // a ping
		if m.Type == message.Confirmable {
			s.reset(from, id.mid)
		}
	case m.Code>>5 != 0: // a response to nothing that was asked
		if m.Type == message.Confirmable {
			s.reset(from, id.mid)
		}
	default:
		s.request(now, id, m, len(b))
	}
}

func decode(b []byte) (*message.Message, error) {
	if len(b) > maxDatagram {
		return nil, fmt.Errorf("coap: %d bytes", len(b))
	}
	m := &message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, m); err != nil {
		return nil, err
	}
	if m.Code == codes.Empty && (len(m.Token) > 0 || len(m.Options) > 0 || len(m.Payload) > 0) {
		return nil, fmt.Errorf("coap: an empty message that is not empty")
	}
	return m, nil
}

// request takes a request: a repeat gets what the first got, and is not looked
// at again (RFC 7252, 4.5).
func (s *Server) request(now float64, id exchangeID, m *message.Message, size int) {
	if x := s.exchanges[id]; x != nil {
		s.stats.Repeats++
		switch {
		case x.mid != 0 && x.acked || x.response == nil && x.acked:
			s.sendEmpty(x.id.peer, message.Acknowledgement, id.mid)
		case x.response != nil:
			s.out.Send(id.peer, x.response)
		}
		return
	}
	x := &exchange{id: id, name: append([]byte(nil), m.Token...), con: m.Type == message.Confirmable, block: -1}
	path, code := s.screen(m)
	if code != 0 {
		s.respond(now, s.open(now, x), code, nil, 0)
		return
	}
	// Nothing is worked for, kept or answered at length before the sender has
	// shown that it hears what is sent to its address (RFC 9175, 2.4). The same
	// value tells how old the request can be. It costs the server no memory.
	minted, ok := s.verify(now, id.peer, m)
	if !ok {
		s.stats.Challenges++
		if b := s.build(now, x, codes.Unauthorized, nil, 0, x.piggyback(), id.mid); len(b) <= amplification*size {
			s.out.Send(id.peer, b)
		}
		return
	}
	s.open(now, x)
	if m.Code == codes.GET {
		i := strings.LastIndexByte(path, '/')
		if i <= 0 {
			s.respond(now, x, codes.NotFound, nil, 0)
			return
		}
		s.await(now, x)
		s.out.Read(x.token, id.peer, path[:i], path[i+1:])
		return
	}
	payload, code := m.Payload, codes.Code(0)
	if v, err := m.Options.GetUint32(message.Block1); err == nil {
		x.block = int64(v)
		if payload, code = s.blockwise(now, id, path, m, v); code != 0 {
			s.respond(now, x, code, nil, 0)
			return
		}
	} else if len(payload) > s.lim.MessageBytes {
		s.respond(now, x, codes.RequestEntityTooLarge, nil, 0)
		return
	}
	s.await(now, x)
	s.out.Deliver(x.token, id.peer, path, append([]byte(nil), payload...), minted)
}

// screen checks what does not depend on the sender.
func (s *Server) screen(m *message.Message) (path string, code codes.Code) {
	if m.Code != codes.POST && m.Code != codes.PUT && m.Code != codes.GET {
		return "", codes.MethodNotAllowed
	}
	var segments []string
	for _, o := range m.Options {
		switch o.ID {
		case message.URIPath:
			if len(o.Value) == 0 || len(o.Value) > maxSegment {
				return "", codes.BadRequest
			}
			segments = append(segments, string(o.Value))
		case message.URIHost, message.URIPort, message.URIQuery, message.Accept, message.ContentFormat, message.Block1:
		default:
			if o.ID%2 == 1 { // critical, and unknown here (RFC 7252, 5.4.1)
				return "", codes.BadOption
			}
		}
	}
	if len(segments) == 0 {
		return "", codes.NotFound
	}
	return strings.Join(segments, "/"), 0
}

// open books an exchange, so that its repeats are known.
func (s *Server) open(now float64, x *exchange) *exchange {
	for len(s.exchanges) >= s.lim.Exchanges {
		s.evict()
	}
	s.exchanges[x.id] = x
	s.order = append(s.order, x)
	life := float64(nonLifetime)
	if x.con {
		life = exchangeLifetime
	}
	x.expiry = s.timers.At(now+life, func(float64) { s.forget(x) })
	return x
}

// evict forgets the oldest exchange. What it was for stays right: a repeat is
// then a new request, and the readings in it are known by their own names.
func (s *Server) evict() {
	s.stats.Evicted++
	for _, x := range s.order {
		if !x.gone {
			s.forget(x)
			return
		}
	}
}

func (s *Server) forget(x *exchange) {
	x.gone = true
	s.timers.Cancel(x.timer)
	s.timers.Cancel(x.expiry)
	delete(s.exchanges, x.id)
	delete(s.tokens, x.token)
	if x.mid != 0 {
		delete(s.separate, exchangeID{x.id.peer, x.mid})
	}
	s.dead++
	for len(s.order) > 0 && s.order[0].gone {
		s.order[0] = nil
		s.order = s.order[1:]
		s.dead--
	}
	if s.dead > len(s.order)/2 {
		live := make([]*exchange, 0, len(s.exchanges))
		for _, x := range s.order {
			if !x.gone {
				live = append(live, x)
			}
		}
		s.order, s.dead = live, 0
	}
}

// await lets x wait for its answer. A confirmable request hears at least that
// it came.
func (s *Server) await(now float64, x *exchange) {
	s.next++
	x.token = s.next
	s.tokens[x.token] = x
	if x.con {
		x.timer = s.timers.At(now+ackAfter, func(float64) {
			x.acked = true
			s.stats.Separate++
			s.sendEmpty(x.id.peer, message.Acknowledgement, x.id.mid)
		})
	}
}

// Answer ends a request that was delivered or read. maxAge, in milliseconds,
// tells when to come again with an error that passes.
func (s *Server) Answer(now float64, token uint64, code codes.Code, payload []byte, maxAge float64) {
	if x := s.tokens[token]; x != nil {
		s.respond(now, x, code, payload, maxAge)
	}
}

// respond sends a response: in the acknowledgement, if that has not gone, or
// as a message of its own, confirmable if the request was.
func (s *Server) respond(now float64, x *exchange, code codes.Code, payload []byte, maxAge float64) {
	delete(s.tokens, x.token)
	s.timers.Cancel(x.timer)
	kind, mid := x.piggyback(), x.id.mid
	if x.acked || !x.con {
		s.mid++
		if s.mid == 0 {
			s.mid++
		}
		mid = s.mid
	}
	x.response = s.build(now, x, code, payload, maxAge, kind, mid)
	if x.con && x.acked {
		x.mid = mid
		s.separate[exchangeID{x.id.peer, mid}] = x
		s.retransmit(now, x, ackTimeout*(1+(ackRandomFactor-1)*s.rand.Float64()))
	}
	s.out.Send(x.id.peer, x.response)
}

func (x *exchange) piggyback() message.Type {
	switch {
	case !x.con:
		return message.NonConfirmable
	case x.acked:
		return message.Confirmable
	}
	return message.Acknowledgement
}

// retransmit repeats a separate response until it is acknowledged (RFC 7252, 4.2).
func (s *Server) retransmit(now float64, x *exchange, timeout float64) {
	x.timer = s.timers.At(now+timeout, func(now float64) {
		if x.retries++; x.retries > maxRetransmit {
			s.endSeparate(x)
			return
		}
		s.out.Send(x.id.peer, x.response)
		s.retransmit(now, x, 2*timeout)
	})
}

func (s *Server) endSeparate(x *exchange) {
	s.timers.Cancel(x.timer)
	delete(s.separate, exchangeID{x.id.peer, x.mid})
}

// build writes a response. Options stand in the order of their numbers.
func (s *Server) build(now float64, x *exchange, code codes.Code, payload []byte, maxAge float64, kind message.Type, mid uint16) []byte {
	m := message.Message{Token: x.name, Code: code, Type: kind, MessageID: int32(mid), Payload: payload}
	if len(payload) > 0 && code>>5 == 2 && code != codes.Content {
		m.Options = append(m.Options, option(message.ContentFormat, uint64(message.AppCBOR)))
	}
	if maxAge > 0 {
		m.Options = append(m.Options, option(message.MaxAge, uint64(math.Ceil(maxAge/1000))))
	}
	if x.block >= 0 {
		m.Options = append(m.Options, option(message.Block1, uint64(x.block)))
	}
	if code == codes.RequestEntityTooLarge {
		m.Options = append(m.Options, option(message.Size1, uint64(s.lim.MessageBytes)))
	}
	// Each response brings a new value for the next request.
	m.Options = append(m.Options, message.Option{ID: message.Echo, Value: s.mint(now, x.id.peer)})
	b := make([]byte, 64+len(payload)+len(x.name))
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		panic(fmt.Sprintf("coap: a response cannot be written: %v", err)) // its parts are this program's own
	}
	return b[:n]
}

// option writes a number in the fewest bytes (RFC 7252, 3.2).
func option(id message.OptionID, v uint64) message.Option {
	b := binary.BigEndian.AppendUint64(nil, v)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return message.Option{ID: id, Value: b}
}

func (s *Server) reset(to netip.AddrPort, mid uint16) { s.sendEmpty(to, message.Reset, mid) }

func (s *Server) sendEmpty(to netip.AddrPort, kind message.Type, mid uint16) {
	b := []byte{1<<6 | byte(kind)<<4, 0, 0, 0}
	binary.BigEndian.PutUint16(b[2:], mid)
	s.out.Send(to, b)
}

// mint makes an Echo value: the time, and a proof that this server wrote it to
// this address.
func (s *Server) mint(now float64, to netip.AddrPort) []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 16), math.Float64bits(now))
	return append(b, s.proof(b, to)...)
}

func (s *Server) proof(stamp []byte, to netip.AddrPort) []byte {
	h := hmac.New(sha256.New, s.key[:])
	address, _ := to.MarshalBinary() // fails for no AddrPort
	h.Write(stamp)
	h.Write(address)
	return h.Sum(nil)[:8]
}

// verify reads a request's Echo value and returns when it was made.
func (s *Server) verify(now float64, from netip.AddrPort, m *message.Message) (minted float64, ok bool) {
	b, err := m.Options.GetBytes(message.Echo)
	if err != nil || len(b) != 16 || !hmac.Equal(b[8:], s.proof(b[:8], from)) {
		return 0, false
	}
	minted = math.Float64frombits(binary.BigEndian.Uint64(b))
	return minted, minted <= now && now-minted <= echoFor
}
