package coap

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/progress"
)

var home, away = netip.MustParseAddrPort("10.0.0.1:5683"), netip.MustParseAddrPort("10.9.0.1:1024")

// delivery is one call of Deliver or Read.
type delivery struct {
	token     uint64
	path      string
	row       string
	payload   string
	notBefore float64
}

// testClient acts as the clients of a server and records the server's actions.
type testClient struct {
	t             *testing.T
	server        *Server
	now           float64
	sent          []*message.Message
	datagrams     [][]byte
	destinations  []netip.AddrPort
	delivered     []delivery
	echo          map[netip.AddrPort][]byte
	lastMessageID int32
}

func (client *testClient) Send(to netip.AddrPort, b []byte) {
	m := client.decode(b)
	client.sent = append(client.sent, m)
	client.datagrams = append(client.datagrams, b)
	client.destinations = append(client.destinations, to)
	if e, err := m.Options.GetBytes(message.Echo); err == nil {
		client.echo[to] = e
	}
}

func (client *testClient) Deliver(token uint64, _ netip.AddrPort, path string, payload []byte, notBefore float64) {
	client.delivered = append(client.delivered, delivery{token, path, "", string(payload), notBefore})
}

func (client *testClient) Read(token uint64, _ netip.AddrPort, path, row string) {
	client.delivered = append(client.delivered, delivery{token: token, path: path, row: row})
}

func newTestClient(t *testing.T) *testClient {
	client := &testClient{t: t, now: 1e6, echo: map[netip.AddrPort][]byte{}}
	client.server = New(Limits{
		Exchanges:    8,
		MessageBytes: 200,
		Progress:     progress.Limits{WindowMs: 10000, MinBytes: 16, TotalBytes: 2000},
	}, [32]byte{1}, 1, client)
	return client
}

// advance sets the time forward and runs each timer at its time.
func (client *testClient) advance(ms float64) {
	end := client.now + ms
	for at, ok := client.server.Next(); ok && at <= end; at, ok = client.server.Next() {
		client.now = max(at, client.now)
		client.server.Tick(client.now)
	}
	client.now = end
}

// last returns the last message from the server and forgets all others. It fails
// the test if there is none.
func (client *testClient) last() *message.Message {
	client.t.Helper()
	if len(client.sent) == 0 {
		client.t.Fatal("the server sent nothing")
	}
	m := client.sent[len(client.sent)-1]
	client.sent = nil
	return m
}

// decode decodes a datagram of the server.
func (client *testClient) decode(b []byte) *message.Message {
	m := &message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, m); err != nil {
		client.t.Fatalf("the server sent %x: %v", b, err)
	}
	return m
}

// post encodes a POST with the next message ID. It adds no Echo value.
func (client *testClient) post(kind message.Type, payload string, more ...message.Option) []byte {
	return client.encode(kind, []byte{7, 7}, payload, more...)
}

// postWithToken encodes a confirmable POST with the next message ID and a token.
func (client *testClient) postWithToken(token []byte, payload string, more ...message.Option) []byte {
	return client.encode(message.Confirmable, token, payload, more...)
}

// encode encodes a POST with the next message ID.
func (client *testClient) encode(kind message.Type, token []byte, payload string, more ...message.Option) []byte {
	client.lastMessageID++
	m := message.Message{
		Type:      kind,
		Code:      codes.POST,
		MessageID: client.lastMessageID,
		Token:     token,
		Payload:   []byte(payload),
	}
	m.Options = append(m.Options, message.Option{ID: message.URIPath, Value: []byte("readings")})
	for _, o := range more {
		m.Options = m.Options.Add(o)
	}
	b := make([]byte, 2000)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		client.t.Fatal(err)
	}
	return b[:n]
}

// send sends a confirmable POST with a valid Echo value.
func (client *testClient) send(from netip.AddrPort, payload string, more ...message.Option) {
	more = append(more, client.echoOption(from))
	client.server.Receive(client.now, from, client.post(message.Confirmable, payload, more...))
}

// echoOption returns a valid Echo option for an address. It requests an Echo value
// if the address has none yet.
func (client *testClient) echoOption(from netip.AddrPort) message.Option {
	if client.echo[from] == nil {
		client.server.Receive(client.now, from, client.post(message.Confirmable, strings.Repeat("x", 20)))
		if m := client.last(); m.Code != codes.Unauthorized {
			client.t.Fatalf("response without Echo = %v, want 4.01", m)
		}
	}
	return message.Option{ID: message.Echo, Value: client.echo[from]}
}
