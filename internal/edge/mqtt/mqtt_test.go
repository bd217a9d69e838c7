package mqtt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

type published struct {
	token, conn uint64
	topic, body string
	again       bool
}

// script is the clients' side and all that the server asks for.
type script struct {
	t    *testing.T
	s    *Server
	now  float64
	said map[uint64][]string // what each connection was told, in words
	got  []published
	ver  map[uint64]byte
}

func newScript(t *testing.T, change func(*Limits)) *script {
	lim := Limits{Sessions: 3, SessionMs: 60000, KeepAliveMs: 30000, ReceiveMax: 4, MessageBytes: 1000}
	if change != nil {
		change(&lim)
	}
	p := &script{t: t, now: 1e6, said: map[uint64][]string{}, ver: map[uint64]byte{}}
	p.s = New(lim, batch.NewCodec(), p)
	return p
}

func (p *script) Send(conn uint64, b []byte) {
	n, err := Frame(b, 1<<16)
	if err != nil || n != len(b) {
		p.t.Fatalf("%x: a frame of %d: %v", b, n, err)
	}
	version := p.ver[conn]
	if c := p.s.conns[conn]; c != nil {
		version = c.version
	}
	pk, err := decodeAny(b, version)
	if err != nil {
		p.t.Fatalf("%x: %v", b, err)
	}
	word := strings.ToLower(packets.PacketNames[pk.FixedHeader.Type])
	if pk.PacketID > 0 {
		word += fmt.Sprint(pk.PacketID)
	}
	if pk.ReasonCode > 0 {
		word += fmt.Sprintf("!%x", pk.ReasonCode)
	}
	if pk.SessionPresent {
		word += "+"
	}
	for _, u := range pk.Properties.User {
		word += "(" + u.Val + ")"
	}
	p.said[conn] = append(p.said[conn], word)
}

// decodeAny also reads what only a server sends.
func decodeAny(b []byte, version byte) (packets.Packet, error) {
	pk := packets.Packet{ProtocolVersion: version}
	if err := pk.FixedHeader.Decode(b[0]); err != nil {
		return pk, err
	}
	body := b[2:]
	pk.FixedHeader.Remaining = len(body)
	switch pk.FixedHeader.Type {
	case packets.Connack:
		return pk, pk.ConnackDecode(body)
	case packets.Suback:
		return pk, pk.SubackDecode(body)
	case packets.Unsuback:
		return pk, pk.UnsubackDecode(body)
	case packets.Pingresp:
		return pk, nil
	}
	return decode(b, version)
}

func (p *script) Close(conn uint64) { p.said[conn] = append(p.said[conn], "close") }
func (p *script) Deliver(token, conn uint64, topic string, payload []byte, _ float64, again bool) {
	p.got = append(p.got, published{token, conn, topic, string(payload), again})
}

func (p *script) want(conn uint64, words string) {
	p.t.Helper()
	if got := strings.Join(p.said[conn], " "); got != words {
		p.t.Fatalf("connection %d was told %q, want %q", conn, got, words)
	}
	p.said[conn] = nil
}

func (p *script) pass(ms float64) {
	end := p.now + ms
	for at, ok := p.s.Next(); ok && at <= end; at, ok = p.s.Next() {
		p.now = max(at, p.now)
		p.s.Tick(p.now)
	}
	p.now = end
}

func (p *script) connect(conn uint64, version byte, id string, clean bool, keep uint16) {
	p.ver[conn] = version
	p.s.Open(p.now, conn)
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Connect}, ProtocolVersion: version,
		Connect: packets.ConnectParams{ProtocolName: []byte("MQTT"), Clean: clean, ClientIdentifier: id, Keepalive: keep}}
	if !clean && version == version5 {
		pk.Properties.SessionExpiryInterval, pk.Properties.SessionExpiryIntervalFlag = 3600, true
	}
	p.s.Packet(p.now, conn, Encode(&pk))
}

func (p *script) publish(conn uint64, qos byte, id uint16, body string, dup bool) {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Publish, Qos: qos, Dup: dup}, ProtocolVersion: p.ver[conn],
		TopicName: "readings", PacketID: id, Payload: []byte(body)}
	p.s.Packet(p.now, conn, Encode(&pk))
}

func (p *script) packet(conn uint64, kind byte, id uint16) {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: kind}, ProtocolVersion: p.ver[conn], PacketID: id}
	if kind == packets.Pubrel {
		pk.FixedHeader.Qos = 1
	}
	p.s.Packet(p.now, conn, Encode(&pk))
}

func (p *script) answer(i int, statuses ...intake.Status) {
	var results []batch.Result
	for n, s := range statuses {
		results = append(results, batch.Result{Seq: uint64(n + 1), Status: uint8(s), Wait: 7})
	}
	p.s.Answer(p.now, p.got[i].token, results, len(statuses) > 0)
}

func TestNothingIsAcknowledgedBeforeItsAnswer(t *testing.T) {
	for _, version := range []byte{version311, version5} {
		p := newScript(t, nil)
		p.connect(1, version, "m", true, 10)
		p.want(1, "connack")
		p.publish(1, 0, 0, "none", false)
		p.publish(1, 1, 5, "once", false)
		p.publish(1, 1, 5, "once", true) // sent again while it waits
		p.publish(1, 2, 6, "twice", false)
		p.packet(1, packets.Pingreq, 0)
		p.want(1, "pingresp")
		if len(p.got) != 3 {
			t.Fatalf("%+v", p.got)
		}
		for i := range p.got {
			p.answer(i, intake.Recorded)
		}
		p.want(1, "puback5 pubrec6")
		p.packet(1, packets.Pubrel, 6)
		p.want(1, "pubcomp6")
	}
}

// QoS 2 with PUBREC lost: the message comes again, on another connection, and
// is not delivered again.
func TestALostPubrecDoesNotDeliverTwice(t *testing.T) {
	p := newScript(t, nil)
	p.connect(1, version311, "m", false, 10)
	p.publish(1, 2, 6, "body", false)
	p.answer(0, intake.Recorded)
	p.want(1, "connack pubrec6")
	p.s.Gone(p.now, 1)
	p.connect(2, version311, "m", false, 10)
	p.publish(2, 2, 6, "body", true)
	p.want(2, "connack+ pubrec6")
	if len(p.got) != 1 {
		t.Fatalf("delivered %d times", len(p.got))
	}
	// A client that lost its session gives the number to another message.
	p.publish(2, 2, 6, "another", false)
	if len(p.got) != 2 {
		t.Fatal("another message under the same number was taken for the first")
	}
	p.answer(1, intake.Recorded)
	p.packet(2, packets.Pubrel, 6)
	p.want(2, "pubrec6 pubcomp6")
	// Its answer came while nobody was there.
	p.publish(2, 2, 7, "late", false)
	p.s.Gone(p.now, 2)
	p.answer(2, intake.Recorded)
	p.connect(3, version311, "m", false, 10)
	p.publish(3, 2, 7, "late", true)
	p.want(3, "connack+ pubrec7")
	if len(p.got) != 3 {
		t.Errorf("delivered %d times", len(p.got))
	}
}

func TestWhatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	p := newScript(t, nil)
	p.connect(1, version5, "m", true, 10)
	p.publish(1, 1, 1, "a", false)
	p.publish(1, 2, 2, "b", false)
	p.publish(1, 1, 3, "no batch", false)
	p.answer(0, intake.Recorded, intake.Rejected)
	p.answer(1, intake.Conflict)
	p.answer(2)
	p.want(1, "connack puback1!97(1 recorded 7)(2 refused 7) pubrec2!83(1 conflict 7) puback3!99")
	// Version 3.1.1 has no reasons: the connection ends, or its answers tell.
	p.connect(2, version311, "n", true, 10)
	p.publish(2, 1, 1, "a", false)
	p.answer(3, intake.Rejected)
	p.want(2, "connack close")
	p.connect(3, version311, "o", true, 10)
	sub := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Subscribe, Qos: 1}, ProtocolVersion: version311, PacketID: 9,
		Filters: packets.Subscriptions{{Filter: AnswersTopic + "o"}, {Filter: "#"}}}
	p.s.Packet(p.now, 3, Encode(&sub))
	p.publish(3, 1, 1, "a", false)
	p.answer(4, intake.Conflict)
	p.want(3, "connack suback9 publish puback1")
}

func TestSessionsEndAndHaveABound(t *testing.T) {
	p := newScript(t, nil)
	p.connect(1, version5, "kept", false, 10)
	p.s.Gone(p.now, 1)
	p.pass(59000)
	p.connect(2, version5, "kept", false, 10)
	p.want(2, "connack+")
	p.s.Gone(p.now, 2)
	p.pass(61000)
	p.connect(3, version5, "kept", false, 10)
	p.want(3, "connack")
	p.connect(4, version5, "kept", true, 10) // takes over, and wants none kept
	p.want(3, "disconnect!8e close")
	p.want(4, "connack")
	p.s.Gone(p.now, 3)
	p.s.Gone(p.now, 4)
	if len(p.s.sessions) != 0 || p.s.away.Len() != 0 {
		t.Fatalf("%d sessions are left", len(p.s.sessions))
	}
	for n := uint64(10); n < 30; n++ {
		p.connect(n, version5, fmt.Sprint("d", n), false, 10)
		p.s.Gone(p.now, n)
	}
	if len(p.s.sessions) > 3 || p.s.timers.Len() > 3 {
		t.Errorf("%d sessions, %d timers", len(p.s.sessions), p.s.timers.Len())
	}
	for n := uint64(40); n < 44; n++ {
		p.connect(n, version5, fmt.Sprint("e", n), false, 10)
	}
	p.want(43, "connack!97 close")
}

func TestASilentClientIsLetGo(t *testing.T) {
	p := newScript(t, nil)
	p.connect(1, version5, "m", true, 10)
	p.connect(2, version311, "n", true, 0) // wants none, and gets the longest
	p.said = map[uint64][]string{}
	p.pass(14000)
	p.packet(1, packets.Pingreq, 0)
	p.pass(14000)
	p.want(1, "pingresp")
	p.pass(1500)
	p.want(1, "disconnect!8d close")
	p.pass(16000)
	p.want(2, "close")
}

func TestMoreThanTheReceiveMaximumEndsTheConnection(t *testing.T) {
	p := newScript(t, nil)
	p.connect(1, version5, "m", false, 10)
	for n := uint16(1); n <= 4; n++ {
		p.publish(1, 2, n, fmt.Sprint(n), false)
	}
	for i := range p.got {
		p.answer(i, intake.Recorded) // recorded and never released: they count
	}
	p.said[1] = nil
	p.publish(1, 1, 9, "five", false)
	p.want(1, "disconnect!93 close")
	p.connect(2, version5, "n", true, 10)
	p.publish(2, 1, 1, "one", false)
	p.publish(2, 1, 1, "another", false)
	p.want(2, "connack disconnect!91 close")
}

func TestWhatIsNoMQTTEndsInTime(t *testing.T) {
	for name, b := range map[string]string{
		"nothing first": "\xc0\x00", "version 3": "\x10\x0f\x00\x06MQIsdp\x03\x00\x00\x1e\x00\x01z", "no client": "\x10\x0c\x00\x04MQTT\x04\x00\x00\x3c\x00\x00",
		"short": "\x10\x02\x00\x04", "reserved": "\x00\x00", "publish first": "\x30\x03\x00\x01a",
	} {
		p := newScript(t, nil)
		p.s.Open(p.now, 1)
		p.s.Packet(p.now, 1, []byte(b))
		if said := p.said[1]; len(said) == 0 || said[len(said)-1] != "close" || len(p.got) > 0 {
			t.Errorf("%s: %q", name, said)
		}
	}
	p := newScript(t, nil)
	p.connect(1, version5, "m", true, 10)
	p.s.Packet(p.now, 1, []byte("\x10\x0d\x00\x04MQTT\x04\x02\x00\x3c\x00\x01z"))
	if said := p.said[1]; said[len(said)-1] != "close" {
		t.Errorf("a second CONNECT: %q", said)
	}
	for _, b := range []string{"\x30\xff\xff\xff\xff\x01", "\x30\xff\xff\x7f"} {
		if n, err := Frame([]byte(b), 1000); err == nil {
			t.Errorf("%q: a packet of %d", b, n)
		}
	}
}

func TestAStoppingServerLetsClientsGoAfterTheirAnswers(t *testing.T) {
	p := newScript(t, nil)
	p.connect(1, version5, "idle", true, 10)
	p.connect(2, version5, "busy", true, 10)
	p.publish(2, 1, 1, "x", false)
	p.s.Stop()
	p.want(1, "connack disconnect!8b close")
	p.want(2, "connack")
	p.answer(0, intake.Recorded)
	p.want(2, "puback1 disconnect!8b close")
	p.connect(3, version5, "late", true, 10)
	p.want(3, "connack!8b close")
}

func FuzzPackets(f *testing.F) {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Publish, Qos: 2}, ProtocolVersion: 5, TopicName: "readings", PacketID: 1, Payload: []byte("x")}
	f.Add(Encode(&pk), true)
	f.Add([]byte("\x10\x0c\x00\x04MQTT\x04\x00\x00\x3c\x00\x00"), false)
	f.Add([]byte("\x82\x08\x00\x01\x00\x00\x03a/b\x00"), true)
	f.Fuzz(func(t *testing.T, b []byte, greeted bool) {
		p := newScript(t, nil)
		if greeted {
			p.connect(1, version5, "m", true, 10)
		} else {
			p.s.Open(p.now, 1)
		}
		p.ver[1] = version5
		if n, err := Frame(b, 1000); err == nil && n > 0 && n <= len(b) {
			p.s.Packet(p.now, 1, append([]byte(nil), b[:n]...))
		}
		p.pass(100000)
	})
}
