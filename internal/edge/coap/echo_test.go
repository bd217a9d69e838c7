package coap

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// Nothing is delivered for an unproven address, and its responses are short;
// an Echo value of another address, or an expired one, proves nothing.
func TestEchoValueProvesAddress(t *testing.T) {
	client := newTestClient(t)
	stolen := client.echoOption(home)
	for _, o := range [][]message.Option{nil, {stolen}, {{ID: message.Echo, Value: []byte("0123456789abcdef")}}} {
		b := client.post(message.NonConfirmable, "batch", o...)
		client.server.Receive(client.now, away, b)
		if m := client.last(); m.Code != codes.Unauthorized || len(client.datagrams[len(client.datagrams)-1]) > 3*len(b) {
			t.Errorf("%v", m)
		}
	}
	client.advance(echoLifetimeMs + 1)
	client.server.Receive(client.now, home, client.post(message.Confirmable, "batch", stolen))
	if m := client.last(); m.Code != codes.Unauthorized || len(client.delivered) != 0 || len(client.server.exchanges) != 0 {
		t.Errorf("%v, %d delivered, %d exchanges", m, len(client.delivered), len(client.server.exchanges))
	}
	client.server.Receive(client.now, away, []byte{1<<6 | 1, 1, 0, 9, 7, 0xb1, 'r'}) // seven bytes
	if len(client.sent) != 0 {
		t.Errorf("%d bytes in answer to seven", len(client.datagrams[len(client.datagrams)-1]))
	}
}
