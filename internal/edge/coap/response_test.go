package coap

import (
	"bytes"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// A request that waits for its answer gets an empty acknowledgement and later a
// separate response, which is retransmitted until it is acknowledged, at most
// maxRetransmit times.
func TestSeparateResponseIsRetransmittedUntilAcknowledged(t *testing.T) {
	client := newTestClient(t)
	b := client.post(message.Confirmable, "batch", client.echoOption(home))
	client.server.Receive(client.now, home, b)
	client.advance(emptyAckDelayMs)
	if m := client.last(); m.Type != message.Acknowledgement || m.Code != codes.Empty {
		t.Fatalf("after emptyAckDelayMs: %v, want an empty acknowledgement", m)
	}
	client.server.Receive(client.now, home, b)
	if m := client.last(); m.Type != message.Acknowledgement || m.Code != codes.Empty {
		t.Fatalf("duplicate before the answer: %v, want an empty acknowledgement", m)
	}
	client.server.Answer(client.now, client.delivered[0].token, codes.Changed, []byte("ok"), 0)
	first := client.last()
	if first.Type != message.Confirmable || first.MessageID == client.lastMessageID || !bytes.Equal(first.Token, []byte{7, 7}) {
		t.Fatalf("separate response = %v, want confirmable, with its own message ID and the client's token", first)
	}
	client.advance(3100)
	if m := client.last(); m.MessageID != first.MessageID {
		t.Errorf("retransmission = %v, want %v", m, first)
	}
	ack := []byte{1<<6 | byte(message.Acknowledgement)<<4, 0, byte(first.MessageID >> 8), byte(first.MessageID)}
	client.server.Receive(client.now, home, ack)
	client.advance(60000)
	if len(client.sent) != 0 || len(client.server.unacknowledged) != 0 {
		t.Errorf("%d messages after the acknowledgement, want none", len(client.sent))
	}
	// This response is never acknowledged.
	client.server.Receive(client.now, home, client.post(message.Confirmable, "batch", client.echoOption(home)))
	client.advance(emptyAckDelayMs)
	client.server.Answer(client.now, client.delivered[1].token, codes.Changed, nil, 0)
	client.sent = nil
	client.advance(100000)
	if n := len(client.sent); n != maxRetransmit || len(client.server.unacknowledged) != 0 {
		t.Errorf("%d retransmissions and %d unacknowledged responses, want %d and 0",
			n, len(client.server.unacknowledged), maxRetransmit)
	}
}
