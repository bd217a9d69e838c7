package coap

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/progress"
)

var home, away = netip.MustParseAddrPort("10.0.0.1:5683"), netip.MustParseAddrPort("10.9.0.1:1024")

type delivery struct {
	token     uint64
	path, arg string
	payload   string
	notBefore float64
}

// peer is a client and all that the server asks for.
type peer struct {
	t         *testing.T
	s         *Server
	now       float64
	sent      []*message.Message
	raw       [][]byte
	to        []netip.AddrPort
	delivered []delivery
	echo      map[netip.AddrPort][]byte
	mid       int32
}

func (p *peer) Send(to netip.AddrPort, b []byte) {
	m := &message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, m); err != nil {
		p.t.Fatalf("the server sent %x: %v", b, err)
	}
	p.sent, p.raw, p.to = append(p.sent, m), append(p.raw, b), append(p.to, to)
	if e, err := m.Options.GetBytes(message.Echo); err == nil {
		p.echo[to] = e
	}
}
func (p *peer) Deliver(token uint64, _ netip.AddrPort, path string, payload []byte, notBefore float64) {
	p.delivered = append(p.delivered, delivery{token, path, "", string(payload), notBefore})
}
func (p *peer) Read(token uint64, _ netip.AddrPort, path, arg string) {
	p.delivered = append(p.delivered, delivery{token: token, path: path, arg: arg})
}

func newPeer(t *testing.T) *peer {
	p := &peer{t: t, now: 1e6, echo: map[netip.AddrPort][]byte{}}
	p.s = New(Limits{Exchanges: 8, MessageBytes: 200, Progress: progress.Limits{Window: 10000, Least: 16, Bytes: 2000}}, [32]byte{1}, 1, p)
	return p
}

func (p *peer) pass(ms float64) {
	end := p.now + ms
	for at, ok := p.s.Next(); ok && at <= end; at, ok = p.s.Next() {
		p.now = max(at, p.now)
		p.s.Tick(p.now)
	}
	p.now = end
}

// last returns the last message from the server, once.
func (p *peer) last() *message.Message {
	p.t.Helper()
	if len(p.sent) == 0 {
		p.t.Fatal("the server said nothing")
	}
	m := p.sent[len(p.sent)-1]
	p.sent = nil
	return m
}

func (p *peer) post(kind message.Type, payload string, more ...message.Option) []byte {
	p.mid++
	m := message.Message{Type: kind, Code: codes.POST, MessageID: p.mid, Token: []byte{7, 7}, Payload: []byte(payload)}
	m.Options = append(m.Options, message.Option{ID: message.URIPath, Value: []byte("readings")})
	for _, o := range more {
		m.Options = m.Options.Add(o)
	}
	b := make([]byte, 2000)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		p.t.Fatal(err)
	}
	return b[:n]
}

func (p *peer) withEcho(from netip.AddrPort) message.Option {
	if p.echo[from] == nil {
		p.s.Datagram(p.now, from, p.post(message.Confirmable, strings.Repeat("x", 20)))
		if m := p.last(); m.Code != codes.Unauthorized {
			p.t.Fatalf("%v without an Echo", m)
		}
	}
	return message.Option{ID: message.Echo, Value: p.echo[from]}
}

func TestARepeatIsDeliveredOnceAndAnsweredAgain(t *testing.T) {
	p := newPeer(t)
	b := p.post(message.Confirmable, "batch", p.withEcho(home))
	minted := p.now
	p.pass(100)
	p.s.Datagram(p.now, home, b)
	p.s.Datagram(p.now, home, b)
	if len(p.delivered) != 1 || p.delivered[0].payload != "batch" || p.delivered[0].notBefore != minted {
		t.Fatalf("%+v", p.delivered)
	}
	p.s.Answer(p.now, p.delivered[0].token, codes.Changed, []byte("ok"), 0)
	if m := p.last(); m.Type != message.Acknowledgement || m.Code != codes.Changed || m.MessageID != p.mid || string(m.Payload) != "ok" {
		t.Errorf("%v", m)
	}
	p.s.Datagram(p.now, home, b)
	if m := p.last(); m.Code != codes.Changed || len(p.delivered) != 1 {
		t.Errorf("%v, %d delivered", m, len(p.delivered))
	}
	p.pass(exchangeLifetime + 1)
	if len(p.s.exchanges)+len(p.s.order)+p.s.timers.Len() != 0 {
		t.Error("exchanges outlive their lifetime")
	}
}

func TestALateAnswerIsASeparateResponseUntilItIsAcknowledged(t *testing.T) {
	p := newPeer(t)
	b := p.post(message.Confirmable, "batch", p.withEcho(home))
	p.s.Datagram(p.now, home, b)
	p.pass(ackAfter)
	if m := p.last(); m.Type != message.Acknowledgement || m.Code != codes.Empty {
		t.Fatalf("%v", m)
	}
	p.s.Datagram(p.now, home, b) // a repeat meanwhile
	if m := p.last(); m.Type != message.Acknowledgement || m.Code != codes.Empty {
		t.Fatalf("%v", m)
	}
	p.s.Answer(p.now, p.delivered[0].token, codes.Changed, []byte("ok"), 0)
	first := p.last()
	if first.Type != message.Confirmable || first.MessageID == p.mid || !bytes.Equal(first.Token, []byte{7, 7}) {
		t.Fatalf("%v", first)
	}
	p.pass(3100)
	if m := p.last(); m.MessageID != first.MessageID {
		t.Errorf("%v is no repeat of %v", m, first)
	}
	ack := []byte{1<<6 | byte(message.Acknowledgement)<<4, 0, byte(first.MessageID >> 8), byte(first.MessageID)}
	p.s.Datagram(p.now, home, ack)
	p.pass(60000)
	if len(p.sent) != 0 || len(p.s.separate) != 0 {
		t.Errorf("%d messages after the acknowledgement", len(p.sent))
	}
	// One that nobody acknowledges ends by itself.
	p.s.Datagram(p.now, home, p.post(message.Confirmable, "batch", p.withEcho(home)))
	p.pass(ackAfter)
	p.s.Answer(p.now, p.delivered[1].token, codes.Changed, nil, 0)
	p.sent = nil
	p.pass(100000)
	if n := len(p.sent); n != maxRetransmit || len(p.s.separate) != 0 {
		t.Errorf("%d repeats, %d separate responses kept", n, len(p.s.separate))
	}
}

// Nothing is delivered, and little said, to an address that proved nothing;
// what another address was given, and what is old, proves nothing.
func TestAnAddressMustBeProven(t *testing.T) {
	p := newPeer(t)
	stolen := p.withEcho(home)
	for _, o := range [][]message.Option{nil, {stolen}, {{ID: message.Echo, Value: []byte("0123456789abcdef")}}} {
		b := p.post(message.NonConfirmable, "batch", o...)
		p.s.Datagram(p.now, away, b)
		if m := p.last(); m.Code != codes.Unauthorized || len(p.raw[len(p.raw)-1]) > 3*len(b) {
			t.Errorf("%v", m)
		}
	}
	p.pass(echoFor + 1)
	p.s.Datagram(p.now, home, p.post(message.Confirmable, "batch", stolen))
	if m := p.last(); m.Code != codes.Unauthorized || len(p.delivered) != 0 || len(p.s.exchanges) != 0 {
		t.Errorf("%v, %d delivered, %d exchanges", m, len(p.delivered), len(p.s.exchanges))
	}
	p.s.Datagram(p.now, away, []byte{1<<6 | 1, 1, 0, 9, 7, 0xb1, 'r'}) // seven bytes
	if len(p.sent) != 0 {
		t.Errorf("%d bytes in answer to seven", len(p.raw[len(p.raw)-1]))
	}
}

func block(number uint32, more bool) message.Option {
	v := uint64(number) << 4
	if more {
		v |= 8
	}
	return option(message.Block1, v) // 16 bytes each
}

func TestBlocksAreResumedAfterAnInterruptionAndFromAnotherAddress(t *testing.T) {
	tag := message.Option{ID: message.RequestTag, Value: []byte("12345678")}
	p := newPeer(t)
	parts := []string{strings.Repeat("a", 16), strings.Repeat("b", 16), "c"}
	send := func(from netip.AddrPort, n uint32) codes.Code {
		p.s.Datagram(p.now, from, p.post(message.Confirmable, parts[n], block(n, n < 2), p.withEcho(from), tag))
		if len(p.sent) == 0 {
			return 0
		}
		return p.last().Code
	}
	if c := send(home, 0); c != codes.Continue {
		t.Fatal(c)
	}
	if c := send(home, 2); c != codes.RequestEntityIncomplete { // one is missing
		t.Fatal(c)
	}
	if c := send(home, 0); c != codes.Continue { // its acknowledgement was lost
		t.Fatal(c)
	}
	p.pass(5000)
	if c := send(away, 1); c != codes.Continue {
		t.Fatal(c)
	}
	if c := send(away, 1); c != codes.Continue {
		t.Fatal(c)
	}
	if c := send(away, 2); c != 0 || len(p.delivered) != 1 || p.delivered[0].payload != strings.Join(parts, "") {
		t.Fatalf("%v, %+v", c, p.delivered)
	}
	if len(p.s.transfers)+len(p.s.byOwner)+p.s.ledger.Len() != 0 {
		t.Error("a transfer is left")
	}
}

func TestATransferThatStallsIsLetGo(t *testing.T) {
	p := newPeer(t)
	p.s.Datagram(p.now, home, p.post(message.Confirmable, strings.Repeat("a", 16), block(0, true), p.withEcho(home)))
	p.pass(25000)
	p.s.Datagram(p.now, home, p.post(message.Confirmable, strings.Repeat("a", 16), block(1, true), p.withEcho(home)))
	if m := p.last(); m.Code != codes.RequestEntityIncomplete || p.s.stats.Stalled != 1 {
		t.Errorf("%v, %+v", m, p.s.stats)
	}
	for n := range uint32(20) {
		p.s.Datagram(p.now, home, p.post(message.Confirmable, strings.Repeat("a", 16), block(n, true), p.withEcho(home)))
	}
	if m := p.last(); len(p.s.transfers) != 0 || m.Code != codes.RequestEntityIncomplete {
		t.Errorf("a message without end: %v, %d transfers", m, len(p.s.transfers))
	}
	// Many transfers together have a bound, too.
	for n := range 100 {
		p.s.Datagram(p.now, home, p.post(message.Confirmable, strings.Repeat("a", 16), block(0, true), p.withEcho(home),
			message.Option{ID: message.RequestTag, Value: []byte{1, 2, 3, 4, 5, 6, 7, byte(n)}}))
	}
	if p.s.ledger.Bytes() > 2000 || len(p.s.transfers) > 8 {
		t.Errorf("%d bytes in %d transfers", p.s.ledger.Bytes(), len(p.s.transfers))
	}
}

func TestRequestsThatAreNotUnderstood(t *testing.T) {
	p := newPeer(t)
	echo := p.withEcho(home)
	for name, c := range map[string]struct {
		b    []byte
		kind message.Type
		code codes.Code
	}{
		"malformed":       {[]byte{1<<6 | 9, 2, 9, 1}, message.Reset, codes.Empty},
		"a ping":          {[]byte{1 << 6, 0, 9, 2}, message.Reset, codes.Empty},
		"a response":      {[]byte{1 << 6, 69, 9, 3}, message.Reset, codes.Empty},
		"a method":        {[]byte{1 << 6, 4, 9, 4}, message.Acknowledgement, codes.MethodNotAllowed},
		"no path":         {[]byte{1 << 6, 2, 9, 5}, message.Acknowledgement, codes.NotFound},
		"critical option": {p.post(message.Confirmable, "x", message.Option{ID: 9, Value: []byte{1}}), message.Acknowledgement, codes.BadOption},
		"too long":        {p.post(message.Confirmable, strings.Repeat("x", 201), echo), message.Acknowledgement, codes.RequestEntityTooLarge},
		"a bad block":     {p.post(message.Confirmable, "x", echo, block(0, true)), message.Acknowledgement, codes.BadRequest},
	} {
		p.s.Datagram(p.now, home, c.b)
		if m := p.last(); m.Type != c.kind || m.Code != c.code || len(p.delivered) > 0 {
			t.Errorf("%s: %v", name, m)
		}
	}
	p.s.Datagram(p.now, home, []byte{1<<6 | 1<<4 | 9, 2, 0, 1}) // not confirmable: passed over
	p.s.Datagram(p.now, home, nil)
	if len(p.sent) != 0 {
		t.Errorf("%v", p.sent)
	}
}

func TestExchangesHaveABound(t *testing.T) {
	p := newPeer(t)
	for range 1000 {
		p.s.Datagram(p.now, home, p.post(message.Confirmable, "x", p.withEcho(home)))
	}
	if len(p.s.exchanges) > 8 || len(p.s.order) > 32 || len(p.s.tokens) > 8 || p.s.timers.Len() > 40 {
		t.Errorf("%d exchanges, %d in order, %d tokens, %d timers", len(p.s.exchanges), len(p.s.order), len(p.s.tokens), p.s.timers.Len())
	}
}

func FuzzDatagram(f *testing.F) {
	p := newPeer(&testing.T{})
	f.Add(p.post(message.Confirmable, "batch", block(0, true), message.Option{ID: message.Echo, Value: make([]byte, 16)}))
	f.Add([]byte{1 << 6, 0, 0, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		p := newPeer(t)
		echo := p.withEcho(home)
		p.s.Datagram(p.now, home, b)
		m := &message.Message{Options: make(message.Options, 0, maxOptions)}
		if _, err := coder.DefaultCoder.Decode(b, m); err == nil && len(m.Options) < maxOptions-1 && message.ValidateType(m.Type) {
			m.Options = m.Options.Remove(message.Echo).Add(echo)
			out := make([]byte, len(b)+64)
			if n, err := coder.DefaultCoder.Encode(*m, out); err == nil {
				p.s.Datagram(p.now, home, out[:n])
			}
		}
		p.pass(300000)
		if len(p.s.transfers)+p.s.ledger.Len() != 0 {
			t.Error("a transfer is left")
		}
	})
}
