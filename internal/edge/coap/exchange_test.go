package coap

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

func TestDuplicateIsDeliveredOnceAndAnsweredAgain(t *testing.T) {
	client := newTestClient(t)
	b := client.post(message.Confirmable, "batch", client.echoOption(home))
	minted := client.now
	client.advance(100)
	client.server.Receive(client.now, home, b)
	client.server.Receive(client.now, home, b)
	if len(client.delivered) != 1 || client.delivered[0].payload != "batch" || client.delivered[0].notBefore != minted {
		t.Fatalf("%+v", client.delivered)
	}
	client.server.Answer(client.now, client.delivered[0].token, codes.Changed, []byte("ok"), 0)
	m := client.last()
	isAck := m.Type == message.Acknowledgement && m.MessageID == client.lastMessageID
	if !isAck || m.Code != codes.Changed || string(m.Payload) != "ok" {
		t.Errorf("%v", m)
	}
	client.server.Receive(client.now, home, b)
	if m := client.last(); m.Code != codes.Changed || len(client.delivered) != 1 {
		t.Errorf("%v, %d delivered", m, len(client.delivered))
	}
	client.advance(exchangeLifetimeMs + 1)
	if len(client.server.exchanges)+len(client.server.exchangesByAge)+client.server.timers.Len() != 0 {
		t.Error("exchanges outlive their lifetime")
	}
}

func TestLimitOfExchanges(t *testing.T) {
	client := newTestClient(t)
	for range 1000 {
		client.server.Receive(client.now, home, client.post(message.Confirmable, "x", client.echoOption(home)))
	}
	server := client.server
	if len(server.exchanges) > 8 || len(server.exchangesByAge) > 32 || len(server.pending) > 8 || server.timers.Len() > 40 {
		t.Errorf("%d exchanges, %d by age, %d tokens, %d timers", len(client.server.exchanges),
			len(client.server.exchangesByAge), len(client.server.pending), client.server.timers.Len())
	}
}
