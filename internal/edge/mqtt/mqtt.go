// Package mqtt holds the rules of an MQTT endpoint for readings: versions
// 3.1.1 and 5, quality of service 0, 1 and 2, sessions that outlive their
// connection, keep-alive and the receive maximum. It is no broker: what is
// published goes to the edge, and the one thing that may be subscribed to is
// the answers to one's own readings. Packets and times in, packets and
// messages out; no socket and no clock. Times are Unix milliseconds.
//
// Sections named [MQTT] are of the OASIS standard, version 5.0.
package mqtt

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/timers"
)

// AnswersTopic is followed by the client's identifier.
const AnswersTopic = "answers/"

const (
	version311 = 4
	version5   = 5
	// graceOfKeepAlive is how many keep-alive times a client may be silent
	// [MQTT 3.1.2.10].
	graceOfKeepAlive = 1.5
	// maxClientID bounds what a session costs.
	maxClientID = 128
)

// Out is what a Server can do. Its methods must not call back into it.
type Out interface {
	Send(conn uint64, packet []byte)
	Close(conn uint64) // once what was sent is on its way
	// Deliver hands a published message on; again tells that its sender says
	// it sent it before. It ends in Answer with the token.
	Deliver(token, conn uint64, topic string, payload []byte, greeted float64, again bool)
}

// Limits bound what a Server remembers.
type Limits struct {
	Sessions     int     // of clients that are away, and there
	SessionMs    float64 // for which one is kept, at most
	KeepAliveMs  float64 // the longest that a client may choose
	ReceiveMax   int     // messages of one client without their answer
	MessageBytes int
}

// Stats counts what happened.
type Stats struct{ Connects, Resumed, TakenOver, Silent, Violations, Evicted uint64 }

// Server is the state of all connections and sessions.
type Server struct {
	lim      Limits
	out      Out
	codec    *batch.Codec
	conns    map[uint64]*conn
	sessions map[string]*session
	away     list.List // sessions without a connection, the longest first
	tokens   map[uint64]pending
	next     uint64
	timers   timers.Heap
	stats    Stats
	stopping bool
}

// session is what outlives a connection [MQTT 4.1].
type session struct {
	id      string
	conn    *conn
	answers bool              // subscribed to
	got     map[uint16]uint64 // QoS 2 messages that are recorded and not released, with their digests
	expiry  float64           // milliseconds that it is kept
	end     *timers.Timer
	away    *list.Element
}

type conn struct {
	id      uint64
	version byte
	session *session // nil before CONNECT
	greeted float64
	heard   float64
	silence float64 // that ends it, 0 for none
	timer   *timers.Timer
	terse   bool              // wants no reasons
	open    map[uint16]uint64 // messages that wait for their answer, with their digests
}

// pending is a message that was delivered.
type pending struct {
	conn   *conn
	packet uint16
	qos    byte
	digest uint64
}

// New returns a server without connections.
func New(lim Limits, codec *batch.Codec, out Out) *Server {
	return &Server{lim: lim, out: out, codec: codec, conns: map[uint64]*conn{}, sessions: map[string]*session{}, tokens: map[uint64]pending{}}
}

// Stats returns the counts.
func (s *Server) Stats() Stats { return s.stats }

// Next returns when Tick is due, if it is.
func (s *Server) Next() (float64, bool) { return s.timers.Next() }

// Tick does what is due.
func (s *Server) Tick(now float64) { s.timers.Tick(now) }

// MayBegin tells whether a connection may begin with b: only CONNECT does, and
// what speaks another protocol need not be heard out.
func MayBegin(b byte) bool { return b == packets.Connect<<4 }

// Frame returns the length of the packet at the beginning of b, 0 if more of
// it must come first.
func Frame(b []byte, most int) (int, error) {
	var n int
	for i := 1; i < len(b); i++ {
		if i > 4 {
			return 0, errors.New("mqtt: a length of more than four bytes")
		}
		n |= int(b[i]&0x7f) << (7 * (i - 1))
		if b[i]&0x80 == 0 {
			if n > most {
				return 0, fmt.Errorf("mqtt: a packet of %d bytes, at most %d are taken", n, most)
			}
			return 1 + i + n, nil
		}
	}
	return 0, nil
}

// Open takes a new connection.
func (s *Server) Open(now float64, id uint64) {
	s.conns[id] = &conn{id: id, heard: now}
}

// Gone learns that a connection has ended. Its session may live on; what it
// published is finished all the same.
func (s *Server) Gone(now float64, id uint64) {
	c := s.conns[id]
	if c == nil {
		return
	}
	delete(s.conns, id)
	s.timers.Cancel(c.timer)
	if c.session != nil && c.session.conn == c {
		s.leave(now, c.session)
	}
}

// leave keeps a session whose connection has ended, or ends it.
func (s *Server) leave(now float64, v *session) {
	v.conn = nil
	if v.expiry <= 0 {
		delete(s.sessions, v.id)
		return
	}
	v.away = s.away.PushBack(v)
	v.end = s.timers.At(now+v.expiry, func(float64) { s.drop(v) })
}

// drop forgets a session without a connection.
func (s *Server) drop(v *session) {
	s.timers.Cancel(v.end)
	if v.away != nil {
		s.away.Remove(v.away)
		v.away = nil
	}
	delete(s.sessions, v.id)
}

// Stop tells every client to come again elsewhere; those with something under
// way hear its answer first.
func (s *Server) Stop() {
	s.stopping = true
	for _, c := range s.conns {
		if len(c.open) == 0 {
			s.end(c, packets.ErrServerShuttingDown.Code)
		}
	}
}

// Packet takes one whole packet. It may be kept only until the call returns.
func (s *Server) Packet(now float64, id uint64, b []byte) {
	c := s.conns[id]
	if c == nil {
		return
	}
	c.heard = now
	pk, err := decode(b, c.version)
	if err != nil {
		s.violate(c, codeOf(err))
		return
	}
	if c.session == nil {
		if pk.FixedHeader.Type != packets.Connect { // [MQTT 3.1.0-1]
			s.violate(c, packets.ErrProtocolViolation.Code)
			return
		}
		s.connect(now, c, &pk)
		return
	}
	switch pk.FixedHeader.Type {
	case packets.Publish:
		s.publish(c, &pk)
	case packets.Pubrel:
		s.release(c, &pk)
	case packets.Pingreq:
		s.send(c, packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Pingresp}})
	case packets.Subscribe:
		s.subscribe(c, &pk)
	case packets.Unsubscribe:
		s.unsubscribe(c, &pk)
	case packets.Disconnect:
		if c.version == version5 && pk.Properties.SessionExpiryIntervalFlag {
			if c.session.expiry == 0 && pk.Properties.SessionExpiryInterval > 0 { // [MQTT 3.14.2.2.2]
				s.violate(c, packets.ErrProtocolViolation.Code)
				return
			}
			c.session.expiry = min(float64(pk.Properties.SessionExpiryInterval)*1000, s.lim.SessionMs)
		}
		s.out.Close(c.id)
	case packets.Puback, packets.Pubrec, packets.Pubcomp: // to nothing that was sent: answers go out with QoS 0
	default: // a second CONNECT, AUTH, or what only a server sends
		s.violate(c, packets.ErrProtocolViolation.Code)
	}
}

// decode reads a packet. The library's codec trusts some lengths; what it
// cannot take must not end the program.
func decode(b []byte, version byte) (pk packets.Packet, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = packets.ErrMalformedPacket
		}
	}()
	at := 1
	for at < len(b) && b[at]&0x80 != 0 {
		at++
	}
	if at+1 > len(b) {
		return pk, packets.ErrMalformedPacket
	}
	body := b[at+1:]
	pk.ProtocolVersion = version
	pk.FixedHeader.Remaining = len(body)
	if err = pk.FixedHeader.Decode(b[0]); err != nil {
		return pk, err
	}
	switch pk.FixedHeader.Type {
	case packets.Connect:
		err = pk.ConnectDecode(body)
	case packets.Publish:
		err = pk.PublishDecode(body)
	case packets.Puback:
		err = pk.PubackDecode(body)
	case packets.Pubrec:
		err = pk.PubrecDecode(body)
	case packets.Pubrel:
		err = pk.PubrelDecode(body)
	case packets.Pubcomp:
		err = pk.PubcompDecode(body)
	case packets.Subscribe:
		err = pk.SubscribeDecode(body)
	case packets.Unsubscribe:
		err = pk.UnsubscribeDecode(body)
	case packets.Pingreq:
	case packets.Disconnect:
		err = pk.DisconnectDecode(body)
	default:
		err = packets.ErrProtocolViolation
	}
	return pk, err
}

func codeOf(err error) byte {
	if c, ok := err.(packets.Code); ok && c.Code >= 0x80 {
		return c.Code
	}
	return packets.ErrMalformedPacket.Code
}

// connect greets a client and finds its session [MQTT 3.1].
func (s *Server) connect(now float64, c *conn, pk *packets.Packet) {
	p := &pk.Connect
	refuse := func(code5, code311 byte) {
		s.stats.Violations++
		code := code5
		if pk.ProtocolVersion != version5 {
			code = code311
		}
		c.version = pk.ProtocolVersion
		s.send(c, packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Connack}, ReasonCode: code})
		s.out.Close(c.id)
	}
	switch {
	case string(p.ProtocolName) != "MQTT" || pk.ProtocolVersion != version311 && pk.ProtocolVersion != version5:
		pk.ProtocolVersion = version311
		refuse(0, 1)
		return
	case pk.ConnectValidate().Code >= 0x80:
		s.violate(c, pk.ConnectValidate().Code)
		return
	case p.ClientIdentifier == "" || len(p.ClientIdentifier) > maxClientID:
		refuse(packets.ErrClientIdentifierNotValid.Code, 2)
		return
	case s.stopping:
		refuse(packets.ErrServerShuttingDown.Code, 3)
		return
	}
	id := strings.Clone(p.ClientIdentifier) // it lies in the read buffer
	v := s.sessions[id]
	if v != nil && v.conn != nil { // [MQTT 3.1.4-3]
		s.stats.TakenOver++
		old := v.conn
		s.end(old, packets.ErrSessionTakenOver.Code)
		s.leave(now, v)
		v = s.sessions[id]
	}
	if v != nil && p.Clean {
		s.drop(v)
		v = nil
	}
	present := v != nil
	if v == nil {
		for len(s.sessions) >= s.lim.Sessions {
			oldest := s.away.Front()
			if oldest == nil {
				refuse(packets.ErrQuotaExceeded.Code, 3)
				return
			}
			s.stats.Evicted++
			s.drop(oldest.Value.(*session))
		}
		v = &session{id: id}
		s.sessions[id] = v
	} else {
		s.stats.Resumed++
		s.timers.Cancel(v.end)
		s.away.Remove(v.away)
		v.away = nil
	}
	s.stats.Connects++
	v.conn, c.session, c.version, c.greeted = c, v, pk.ProtocolVersion, now
	v.expiry = 0
	switch {
	case c.version == version5:
		v.expiry = min(float64(pk.Properties.SessionExpiryInterval)*1000, s.lim.SessionMs)
		c.terse = pk.Properties.RequestProblemInfoFlag && pk.Properties.RequestProblemInfo == 0
	case !p.Clean:
		v.expiry = s.lim.SessionMs
	}
	ack := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Connack}, SessionPresent: present}
	keep := float64(p.Keepalive) * 1000
	if keep == 0 || keep > s.lim.KeepAliveMs {
		keep = s.lim.KeepAliveMs
		ack.Properties.ServerKeepAlive = uint16(min(keep/1000, math.MaxUint16))
		ack.Properties.ServerKeepAliveFlag = true
	}
	c.silence = graceOfKeepAlive * keep
	if c.version == version5 {
		ack.Properties.ReceiveMaximum = uint16(min(s.lim.ReceiveMax, math.MaxUint16))
		ack.Properties.MaximumPacketSize = uint32(s.lim.MessageBytes)
		ack.Properties.RetainAvailableFlag = true // and not available
		ack.Properties.WildcardSubAvailableFlag = true
		ack.Properties.SharedSubAvailableFlag = true
		ack.Properties.SubIDAvailableFlag = true
		ack.Properties.SessionExpiryInterval = uint32(v.expiry / 1000)
		ack.Properties.SessionExpiryIntervalFlag = true
	} else {
		ack.Properties = packets.Properties{}
	}
	s.send(c, ack)
	s.listen(now, c)
}

// listen ends a connection that is silent for too long. The timer looks when
// something was heard last, so that a packet costs none.
func (s *Server) listen(now float64, c *conn) {
	c.timer = s.timers.At(max(c.heard+c.silence, now), func(now float64) {
		if now < c.heard+c.silence {
			s.listen(now, c)
			return
		}
		s.stats.Silent++
		s.end(c, packets.ErrKeepAliveTimeout.Code)
	})
}

// end closes a connection, with the reason where the version has one.
func (s *Server) end(c *conn, code byte) {
	if c.version == version5 {
		s.send(c, packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Disconnect}, ReasonCode: code})
	}
	s.out.Close(c.id)
}

// violate ends a connection for what its client sent.
func (s *Server) violate(c *conn, code byte) {
	s.stats.Violations++
	s.end(c, code)
}

// send writes a packet in the connection's version.
func (s *Server) send(c *conn, pk packets.Packet) {
	pk.ProtocolVersion = c.version
	if pk.ProtocolVersion == 0 {
		pk.ProtocolVersion = version311
	}
	pk.Mods.DisallowProblemInfo = c.terse
	s.out.Send(c.id, Encode(&pk))
}

// Encode writes a packet that the edge or a device sends.
func Encode(pk *packets.Packet) []byte {
	var b bytes.Buffer
	var err error
	switch pk.FixedHeader.Type {
	case packets.Connect:
		err = pk.ConnectEncode(&b)
	case packets.Connack:
		err = pk.ConnackEncode(&b)
	case packets.Publish:
		err = pk.PublishEncode(&b)
	case packets.Puback:
		err = pk.PubackEncode(&b)
	case packets.Pubrec:
		err = pk.PubrecEncode(&b)
	case packets.Pubrel:
		err = pk.PubrelEncode(&b)
	case packets.Pubcomp:
		err = pk.PubcompEncode(&b)
	case packets.Subscribe:
		err = pk.SubscribeEncode(&b)
	case packets.Suback:
		err = pk.SubackEncode(&b)
	case packets.Unsuback:
		err = pk.UnsubackEncode(&b)
	case packets.Pingreq:
		err = pk.PingreqEncode(&b)
	case packets.Pingresp:
		err = pk.PingrespEncode(&b)
	case packets.Disconnect:
		err = pk.DisconnectEncode(&b)
	}
	if err != nil {
		panic(fmt.Sprintf("mqtt: packet %d cannot be written: %v", pk.FixedHeader.Type, err)) // its parts are this program's own
	}
	return b.Bytes()
}

// subscribe grants a client the answers to its own readings, and no more.
func (s *Server) subscribe(c *conn, pk *packets.Packet) {
	if code := pk.SubscribeValidate(); code.Code >= 0x80 {
		s.violate(c, code.Code)
		return
	}
	ack := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Suback}, PacketID: pk.PacketID}
	for _, f := range pk.Filters {
		code := packets.ErrTopicFilterInvalid.Code
		if c.version != version5 {
			code = 0x80
		}
		if f.Filter == AnswersTopic+c.session.id {
			c.session.answers = true
			code = 0
		}
		ack.ReasonCodes = append(ack.ReasonCodes, code)
	}
	s.send(c, ack)
}

func (s *Server) unsubscribe(c *conn, pk *packets.Packet) {
	if code := pk.UnsubscribeValidate(); code.Code >= 0x80 {
		s.violate(c, code.Code)
		return
	}
	ack := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Unsuback}, PacketID: pk.PacketID}
	for _, f := range pk.Filters {
		code := packets.CodeNoSubscriptionExisted.Code
		if f.Filter == AnswersTopic+c.session.id && c.session.answers {
			c.session.answers = false
			code = 0
		}
		ack.ReasonCodes = append(ack.ReasonCodes, code)
	}
	s.send(c, ack)
}
