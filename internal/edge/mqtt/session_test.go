package mqtt

import (
	"fmt"
	"testing"
)

// A session is kept until it expires, is taken over by another connection of its
// client, and is evicted if there are too many. A client is rejected if all
// sessions have connections.
func TestSessionExpiryTakeoverAndLimit(t *testing.T) {
	clients := newTestClients(t, nil)
	clients.connect(1, version5, "kept", false, 10)
	clients.server.RemoveConnection(clients.now, 1)
	clients.advance(59000)
	clients.connect(2, version5, "kept", false, 10)
	clients.want(2, "connack+")
	clients.server.RemoveConnection(clients.now, 2)
	clients.advance(61000)
	clients.connect(3, version5, "kept", false, 10)
	clients.want(3, "connack")
	clients.connect(4, version5, "kept", true, 10) // takes over, with a clean start
	clients.want(3, "disconnect!8e close")
	clients.want(4, "connack")
	clients.server.RemoveConnection(clients.now, 3)
	clients.server.RemoveConnection(clients.now, 4)
	if len(clients.server.sessions) != 0 || clients.server.disconnected.Len() != 0 {
		t.Fatalf("%d sessions after the clean session ended, want none", len(clients.server.sessions))
	}
	for n := uint64(10); n < 30; n++ {
		clients.connect(n, version5, fmt.Sprint("d", n), false, 10)
		clients.server.RemoveConnection(clients.now, n)
	}
	if len(clients.server.sessions) > 3 || clients.server.timers.Len() > 3 {
		t.Errorf("%d sessions and %d timers, want at most 3 of each", len(clients.server.sessions), clients.server.timers.Len())
	}
	for n := uint64(40); n < 44; n++ {
		clients.connect(n, version5, fmt.Sprint("e", n), false, 10)
	}
	clients.want(43, "connack!97 close")
}
