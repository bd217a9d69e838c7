package coap

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// FuzzDatagram passes a datagram to a server as it is and, if it can be decoded,
// with a valid Echo value. Every transfer must have ended after 300 s, since it
// makes no progress.
func FuzzDatagram(f *testing.F) {
	client := newTestClient(&testing.T{})
	f.Add(client.post(message.Confirmable, "batch", block(0, true), message.Option{ID: message.Echo, Value: make([]byte, 16)}))
	f.Add([]byte{1 << 6, 0, 0, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		client := newTestClient(t)
		echo := client.echoOption(home)
		client.server.Receive(client.now, home, b)
		m := &message.Message{Options: make(message.Options, 0, maxOptions)}
		_, err := coder.DefaultCoder.Decode(b, m)
		if err == nil && len(m.Options) < maxOptions-1 && message.ValidateType(m.Type) {
			m.Options = m.Options.Remove(message.Echo).Add(echo)
			out := make([]byte, len(b)+64)
			if n, err := coder.DefaultCoder.Encode(*m, out); err == nil {
				client.server.Receive(client.now, home, out[:n])
			}
		}
		client.advance(300000)
		if len(client.server.transfers)+client.server.unfinished.Len() != 0 {
			t.Error("a transfer is left after 300 s, want none")
		}
	})
}
