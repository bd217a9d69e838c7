package mqtt

import (
	"testing"

	"github.com/mochi-mqtt/server/v2/packets"
)

// A malformed or unexpected packet closes the connection, and nothing is
// delivered. PacketLength rejects malformed and excessive lengths.
func TestMalformedPacketsCloseConnection(t *testing.T) {
	for name, b := range map[string]string{
		"PINGREQ before CONNECT":  "\xc0\x00",
		"protocol MQIsdp":         "\x10\x0f\x00\x06MQIsdp\x03\x00\x00\x1e\x00\x01z",
		"empty client identifier": "\x10\x0c\x00\x04MQTT\x04\x00\x00\x3c\x00\x00",
		"truncated CONNECT":       "\x10\x02\x00\x04",
		"reserved packet type":    "\x00\x00",
		"PUBLISH before CONNECT":  "\x30\x03\x00\x01a",
	} {
		clients := newTestClients(t, nil)
		clients.server.AddConnection(clients.now, 1)
		clients.server.Receive(clients.now, 1, []byte(b))
		if got := clients.events[1]; len(got) == 0 || got[len(got)-1] != "close" || len(clients.published) > 0 {
			t.Errorf("%s: actions %q, want close at the end and nothing delivered", name, got)
		}
	}
	clients := newTestClients(t, nil)
	clients.connect(1, version5, "m", true, 10)
	clients.server.Receive(clients.now, 1, []byte("\x10\x0d\x00\x04MQTT\x04\x02\x00\x3c\x00\x01z"))
	if got := clients.events[1]; got[len(got)-1] != "close" {
		t.Errorf("second CONNECT: actions %q, want close at the end", got)
	}
	for _, b := range []string{"\x30\xff\xff\xff\xff\x01", "\x30\xff\xff\x7f"} {
		if n, err := PacketLength([]byte(b), 1000); err == nil {
			t.Errorf("PacketLength(%q) = %d, want an error", b, n)
		}
	}
}

// FuzzPackets passes a packet to a server before or after CONNECT. Nothing may
// panic.
func FuzzPackets(f *testing.F) {
	pk := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Publish, Qos: 2},
		ProtocolVersion: 5,
		TopicName:       "readings",
		PacketID:        1,
		Payload:         []byte("x"),
	}
	f.Add(Encode(&pk), true)
	f.Add([]byte("\x10\x0c\x00\x04MQTT\x04\x00\x00\x3c\x00\x00"), false)
	f.Add([]byte("\x82\x08\x00\x01\x00\x00\x03a/b\x00"), true)
	f.Fuzz(func(t *testing.T, b []byte, connected bool) {
		clients := newTestClients(t, nil)
		if connected {
			clients.connect(1, version5, "m", true, 10)
		} else {
			clients.server.AddConnection(clients.now, 1)
		}
		clients.versions[1] = version5
		if n, err := PacketLength(b, 1000); err == nil && n > 0 && n <= len(b) {
			clients.server.Receive(clients.now, 1, append([]byte(nil), b[:n]...))
		}
		clients.advance(100000)
	})
}
