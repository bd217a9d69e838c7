package coap

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// Duplicates of a request are not delivered, and are answered with the response to
// the first copy. The exchange is forgotten after its lifetime.
func TestDuplicateIsDeliveredOnceAndAnsweredAgain(t *testing.T) {
	client := newTestClient(t)
	b := client.post(message.Confirmable, "batch", client.echoOption(home))
	echoCreatedAt := client.now
	client.advance(100)
	client.server.Receive(client.now, home, b)
	client.server.Receive(client.now, home, b)
	if len(client.delivered) != 1 || client.delivered[0].payload != "batch" || client.delivered[0].notBefore != echoCreatedAt {
		t.Fatalf("delivered = %+v, want the message once, not before the Echo value", client.delivered)
	}
	client.server.Answer(client.now, client.delivered[0].token, codes.Changed, []byte("ok"), 0)
	m := client.last()
	isAck := m.Type == message.Acknowledgement && m.MessageID == client.lastMessageID
	if !isAck || m.Code != codes.Changed || string(m.Payload) != "ok" {
		t.Errorf("response = %v, want a piggybacked 2.04", m)
	}
	client.server.Receive(client.now, home, b)
	if m := client.last(); m.Code != codes.Changed || len(client.delivered) != 1 {
		t.Errorf("duplicate: %v, %d delivered, want 2.04 and 1", m, len(client.delivered))
	}
	client.advance(exchangeLifetimeMs + 1)
	if len(client.server.exchanges)+len(client.server.exchangesByAge)+client.server.timers.Len() != 0 {
		t.Error("an exchange is left after its lifetime, want none")
	}
}

// The state of exchanges stays bounded while requests without answers arrive.
func TestExchangesAreLimited(t *testing.T) {
	client := newTestClient(t)
	for range 1000 {
		client.server.Receive(client.now, home, client.post(message.Confirmable, "x", client.echoOption(home)))
	}
	server := client.server
	if len(server.exchanges) > 8 || len(server.exchangesByAge) > 32 || len(server.pending) > 8 || server.timers.Len() > 40 {
		t.Errorf("%d exchanges, %d by age, %d tokens, %d timers, want at most 8, 32, 8, 40", len(client.server.exchanges),
			len(client.server.exchangesByAge), len(client.server.pending), client.server.timers.Len())
	}
}
