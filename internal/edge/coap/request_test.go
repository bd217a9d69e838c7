package coap

import (
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// Malformed and unsupported confirmable messages are rejected with a Reset or a
// response code, and are not delivered. Malformed messages that are not
// confirmable are ignored.
func TestMalformedAndUnsupportedRequestsAreRejected(t *testing.T) {
	client := newTestClient(t)
	echo := client.echoOption(home)
	firstBlock := block(0, true)
	critical := message.Option{ID: 9, Value: []byte{1}}
	long := strings.Repeat("x", 201)
	for name, c := range map[string]struct {
		b    []byte
		kind message.Type
		code codes.Code
	}{
		"malformed":               {[]byte{1<<6 | 9, 2, 9, 1}, message.Reset, codes.Empty},
		"ping":                    {[]byte{1 << 6, 0, 9, 2}, message.Reset, codes.Empty},
		"unexpected response":     {[]byte{1 << 6, 69, 9, 3}, message.Reset, codes.Empty},
		"unsupported method":      {[]byte{1 << 6, 4, 9, 4}, message.Acknowledgement, codes.MethodNotAllowed},
		"no path":                 {[]byte{1 << 6, 2, 9, 5}, message.Acknowledgement, codes.NotFound},
		"unknown critical option": {client.post(message.Confirmable, "x", critical), message.Acknowledgement, codes.BadOption},
		"too long":                {client.post(message.Confirmable, long, echo), message.Acknowledgement, codes.RequestEntityTooLarge},
		"block of wrong size":     {client.post(message.Confirmable, "x", echo, firstBlock), message.Acknowledgement, codes.BadRequest},
	} {
		client.server.Receive(client.now, home, c.b)
		if m := client.last(); m.Type != c.kind || m.Code != c.code || len(client.delivered) > 0 {
			t.Errorf("%s: response = %v, want type %v, code %v", name, m, c.kind, c.code)
		}
	}
	client.server.Receive(client.now, home, []byte{1<<6 | 1<<4 | 9, 2, 0, 1}) // non-confirmable
	client.server.Receive(client.now, home, nil)
	if len(client.sent) != 0 {
		t.Errorf("responses to malformed non-confirmable messages = %v, want none", client.sent)
	}
}
