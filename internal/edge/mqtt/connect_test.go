package mqtt

import (
	"testing"

	"github.com/mochi-mqtt/server/v2/packets"
)

// A connection without a packet for 1.5 times its keep-alive time is closed. A
// client that requests no keep-alive gets the longest allowed.
func TestKeepAliveTimeoutClosesConnection(t *testing.T) {
	clients := newTestClients(t, nil)
	clients.connect(1, version5, "m", true, 10)
	clients.connect(2, version311, "n", true, 0) // no keep-alive
	clients.events = map[uint64][]string{}
	clients.advance(14000)
	clients.sendControl(1, packets.Pingreq, 0)
	clients.advance(14000)
	clients.want(1, "pingresp")
	clients.advance(1500)
	clients.want(1, "disconnect!8d close")
	clients.advance(16000)
	clients.want(2, "close")
}
