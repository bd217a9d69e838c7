package mqtt

import (
	"testing"

	"lotusbend/internal/edge/intake"
)

// Draining disconnects idle clients at once and others after their answers, and
// rejects new clients.
func TestDrainDisconnectsAfterAnswers(t *testing.T) {
	clients := newTestClients(t, nil)
	clients.connect(1, version5, "idle", true, 10)
	clients.connect(2, version5, "busy", true, 10)
	clients.publish(2, 1, 1, "x", false)
	clients.server.Drain()
	clients.want(1, "connack disconnect!8b close")
	clients.want(2, "connack")
	clients.answer(0, intake.Recorded)
	clients.want(2, "puback1 disconnect!8b close")
	clients.connect(3, version5, "late", true, 10)
	clients.want(3, "connack!8b close")
}
