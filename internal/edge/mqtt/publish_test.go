package mqtt

import (
	"fmt"
	"testing"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/intake"
)

// A message is acknowledged only after its answer. A retransmission in between is
// not delivered.
func TestAcknowledgementFollowsAnswer(t *testing.T) {
	for _, version := range []byte{version311, version5} {
		clients := newTestClients(t, nil)
		clients.connect(1, version, "m", true, 10)
		clients.want(1, "connack")
		clients.publish(1, 0, 0, "none", false)
		clients.publish(1, 1, 5, "once", false)
		clients.publish(1, 1, 5, "once", true) // retransmitted before its answer
		clients.publish(1, 2, 6, "twice", false)
		clients.sendControl(1, packets.Pingreq, 0)
		clients.want(1, "pingresp")
		if len(clients.published) != 3 {
			t.Fatalf("delivered %+v, want 3 messages", clients.published)
		}
		for i := range clients.published {
			clients.answer(i, intake.Recorded)
		}
		clients.want(1, "puback5 pubrec6")
		clients.sendControl(1, packets.Pubrel, 6)
		clients.want(1, "pubcomp6")
	}
}

// A QoS 2 message whose PUBREC was lost is retransmitted on another connection. It
// is acknowledged again, but not delivered again. Another message with the same
// packet identifier is delivered.
func TestLostPubrecDoesNotDuplicate(t *testing.T) {
	clients := newTestClients(t, nil)
	clients.connect(1, version311, "m", false, 10)
	clients.publish(1, 2, 6, "body", false)
	clients.answer(0, intake.Recorded)
	clients.want(1, "connack pubrec6")
	clients.server.RemoveConnection(clients.now, 1)
	clients.connect(2, version311, "m", false, 10)
	clients.publish(2, 2, 6, "body", true)
	clients.want(2, "connack+ pubrec6")
	if len(clients.published) != 1 {
		t.Fatalf("delivered %d times, want 1", len(clients.published))
	}
	// A client that has lost its session reuses the identifier for another message.
	clients.publish(2, 2, 6, "another", false)
	if len(clients.published) != 2 {
		t.Fatal("another message with the same identifier was not delivered")
	}
	clients.answer(1, intake.Recorded)
	clients.sendControl(2, packets.Pubrel, 6)
	clients.want(2, "pubrec6 pubcomp6")
	// The answer arrives while the client is disconnected.
	clients.publish(2, 2, 7, "late", false)
	clients.server.RemoveConnection(clients.now, 2)
	clients.answer(2, intake.Recorded)
	clients.connect(3, version311, "m", false, 10)
	clients.publish(3, 2, 7, "late", true)
	clients.want(3, "connack+ pubrec7")
	if len(clients.published) != 3 {
		t.Errorf("%d messages delivered, want 3", len(clients.published))
	}
}

// In version 5, the acknowledgement of a failed message has a reason code and the
// status of each reading. In version 3.1.1, the connection is closed unless the
// client has subscribed to its answers.
func TestFailedReadingsAreReportedToClient(t *testing.T) {
	clients := newTestClients(t, nil)
	clients.connect(1, version5, "m", true, 10)
	clients.publish(1, 1, 1, "a", false)
	clients.publish(1, 2, 2, "b", false)
	clients.publish(1, 1, 3, "no batch", false)
	clients.answer(0, intake.Recorded, intake.Rejected)
	clients.answer(1, intake.Conflict)
	clients.answer(2)
	clients.want(1, "connack puback1!97(1 recorded 7)(2 refused 7) pubrec2!83(1 conflict 7) puback3!99")
	clients.connect(2, version311, "n", true, 10)
	clients.publish(2, 1, 1, "a", false)
	clients.answer(3, intake.Rejected)
	clients.want(2, "connack close")
	clients.connect(3, version311, "o", true, 10)
	subscribe := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Subscribe, Qos: 1},
		ProtocolVersion: version311,
		PacketID:        9,
		Filters:         packets.Subscriptions{{Filter: AnswersTopicPrefix + "o"}, {Filter: "#"}},
	}
	clients.server.Receive(clients.now, 3, Encode(&subscribe))
	clients.publish(3, 1, 1, "a", false)
	clients.answer(4, intake.Conflict)
	clients.want(3, "connack suback9 publish puback1")
}

// A client that exceeds the receive maximum, or that uses the packet identifier
// of an unanswered message for another message, is disconnected.
func TestReceiveMaximumAndReusedPacketIDCloseConnection(t *testing.T) {
	clients := newTestClients(t, nil)
	clients.connect(1, version5, "m", false, 10)
	for n := uint16(1); n <= 4; n++ {
		clients.publish(1, 2, n, fmt.Sprint(n), false)
	}
	for i := range clients.published {
		clients.answer(i, intake.Recorded) // unreleased messages count
	}
	clients.events[1] = nil
	clients.publish(1, 1, 9, "five", false)
	clients.want(1, "disconnect!93 close")
	clients.connect(2, version5, "n", true, 10)
	clients.publish(2, 1, 1, "one", false)
	clients.publish(2, 1, 1, "another", false)
	clients.want(2, "connack disconnect!91 close")
}
