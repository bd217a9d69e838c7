package mqtt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// publishedMessage is one call of Deliver.
type publishedMessage struct {
	token, conn   uint64
	topic, body   string
	retransmitted bool
}

// testClients acts as the clients of a server and records the server's actions.
type testClients struct {
	t         *testing.T
	server    *Server
	now       float64
	events    map[uint64][]string // by connection, one word for each packet
	published []publishedMessage
	versions  map[uint64]byte
}

func newTestClients(t *testing.T, change func(*Limits)) *testClients {
	limits := Limits{Sessions: 3, MaxSessionExpiryMs: 60000, MaxKeepAliveMs: 30000, ReceiveMax: 4, MessageBytes: 1000}
	if change != nil {
		change(&limits)
	}
	clients := &testClients{t: t, now: 1e6, events: map[uint64][]string{}, versions: map[uint64]byte{}}
	clients.server = New(limits, batch.NewCodec(), clients)
	return clients
}

// Send records a packet as one word: its type, packet identifier, "!" and reason
// code, "+" if the session is present, and user properties.
func (clients *testClients) Send(conn uint64, b []byte) {
	n, err := PacketLength(b, 1<<16)
	if err != nil || n != len(b) {
		clients.t.Fatalf("PacketLength(%x) = %d, %v, want the whole packet", b, n, err)
	}
	version := clients.versions[conn]
	if conn := clients.server.connections[conn]; conn != nil {
		version = conn.version
	}
	pk, err := decodeAny(b, version)
	if err != nil {
		clients.t.Fatalf("decoding sent packet %x: %v", b, err)
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
	clients.events[conn] = append(clients.events[conn], word)
}

// decodeAny decodes a packet, including those that only servers send.
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

func (clients *testClients) Close(conn uint64) {
	clients.events[conn] = append(clients.events[conn], "close")
}

func (clients *testClients) Deliver(token, conn uint64, topic string, payload []byte, _ float64, retransmitted bool) {
	clients.published = append(clients.published, publishedMessage{token, conn, topic, string(payload), retransmitted})
}

// want compares the recorded actions on a connection, separated by spaces, and
// clears them.
func (clients *testClients) want(conn uint64, words string) {
	clients.t.Helper()
	if got := strings.Join(clients.events[conn], " "); got != words {
		clients.t.Fatalf("actions on connection %d = %q, want %q", conn, got, words)
	}
	clients.events[conn] = nil
}

// advance sets the time forward and runs each timer at its time.
func (clients *testClients) advance(ms float64) {
	end := clients.now + ms
	for at, ok := clients.server.Next(); ok && at <= end; at, ok = clients.server.Next() {
		clients.now = max(at, clients.now)
		clients.server.Tick(clients.now)
	}
	clients.now = end
}

// connect opens a connection and sends CONNECT. keepAlive is in seconds.
func (clients *testClients) connect(conn uint64, version byte, id string, clean bool, keepAlive uint16) {
	clients.versions[conn] = version
	clients.server.AddConnection(clients.now, conn)
	pk := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Connect},
		ProtocolVersion: version,
		Connect: packets.ConnectParams{
			ProtocolName:     []byte("MQTT"),
			Clean:            clean,
			ClientIdentifier: id,
			Keepalive:        keepAlive,
		},
	}
	if !clean && version == version5 {
		pk.Properties.SessionExpiryInterval, pk.Properties.SessionExpiryIntervalFlag = 3600, true
	}
	clients.server.Receive(clients.now, conn, Encode(&pk))
}

func (clients *testClients) publish(conn uint64, qos byte, id uint16, body string, dup bool) {
	pk := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Publish, Qos: qos, Dup: dup},
		ProtocolVersion: clients.versions[conn],
		TopicName:       "readings",
		PacketID:        id,
		Payload:         []byte(body),
	}
	clients.server.Receive(clients.now, conn, Encode(&pk))
}

// sendControl sends a packet that has at most a packet identifier.
func (clients *testClients) sendControl(conn uint64, kind byte, id uint16) {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: kind}, ProtocolVersion: clients.versions[conn], PacketID: id}
	if kind == packets.Pubrel {
		pk.FixedHeader.Qos = 1
	}
	clients.server.Receive(clients.now, conn, Encode(&pk))
}

// answer answers the i-th delivered message with one reading for each status. A
// message without statuses is answered as invalid.
func (clients *testClients) answer(i int, statuses ...intake.Status) {
	var results []batch.Result
	for n, s := range statuses {
		results = append(results, batch.Result{Seq: uint64(n + 1), Status: uint8(s), Wait: 7})
	}
	clients.server.Answer(clients.published[i].token, results, len(statuses) > 0)
}
