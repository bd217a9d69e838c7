package coap

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// A request without a valid Echo value is not delivered, and its response is not
// much longer than the request. An Echo value is invalid if it was sent to another
// address or has expired.
func TestEchoValueProvesAddress(t *testing.T) {
	client := newTestClient(t)
	stolen := client.echoOption(home)
	for _, o := range [][]message.Option{nil, {stolen}, {{ID: message.Echo, Value: []byte("0123456789abcdef")}}} {
		b := client.post(message.NonConfirmable, "batch", o...)
		client.server.Receive(client.now, away, b)
		if m := client.last(); m.Code != codes.Unauthorized || len(client.datagrams[len(client.datagrams)-1]) > 3*len(b) {
			t.Errorf("response to an unverified address = %v, want 4.01 of at most three times the request", m)
		}
	}
	client.advance(echoLifetimeMs + 1)
	client.server.Receive(client.now, home, client.post(message.Confirmable, "batch", stolen))
	if m := client.last(); m.Code != codes.Unauthorized || len(client.delivered) != 0 || len(client.server.exchanges) != 0 {
		t.Errorf("expired Echo: %v, %d delivered, %d exchanges, want 4.01 and none of either",
			m, len(client.delivered), len(client.server.exchanges))
	}
	client.server.Receive(client.now, away, []byte{1<<6 | 1, 1, 0, 9, 7, 0xb1, 'r'}) // 7 bytes
	if len(client.sent) != 0 {
		t.Errorf("response of %d bytes to a request of 7 bytes, want none", len(client.datagrams[len(client.datagrams)-1]))
	}
}
