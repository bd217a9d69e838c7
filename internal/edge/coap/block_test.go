package coap

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

func block(number uint32, more bool) message.Option {
	v := uint64(number) << 4
	if more {
		v |= 8
	}
	return uintOption(message.Block1, v) // 16 bytes each
}

func TestBlockTransferResumesFromAnotherAddress(t *testing.T) {
	tag := message.Option{ID: message.RequestTag, Value: []byte("12345678")}
	client := newTestClient(t)
	parts := []string{strings.Repeat("a", 16), strings.Repeat("b", 16), "c"}
	send := func(from netip.AddrPort, n uint32) codes.Code {
		client.send(from, parts[n], block(n, n < 2), tag)
		if len(client.sent) == 0 {
			return 0
		}
		return client.last().Code
	}
	if c := send(home, 0); c != codes.Continue {
		t.Fatal(c)
	}
	if c := send(home, 2); c != codes.RequestEntityIncomplete { // one is missing
		t.Fatal(c)
	}
	if c := send(home, 0); c != codes.Continue { // its acknowledgement was lost
		t.Fatal(c)
	}
	client.advance(5000)
	if c := send(away, 1); c != codes.Continue {
		t.Fatal(c)
	}
	if c := send(away, 1); c != codes.Continue {
		t.Fatal(c)
	}
	if c := send(away, 2); c != 0 || len(client.delivered) != 1 || client.delivered[0].payload != strings.Join(parts, "") {
		t.Fatalf("%v, %+v", c, client.delivered)
	}
	if len(client.server.transfers)+len(client.server.transferByOwner)+client.server.unfinished.Len() != 0 {
		t.Error("a transfer is left")
	}
}

func TestStalledTransferEnds(t *testing.T) {
	client := newTestClient(t)
	client.send(home, strings.Repeat("a", 16), block(0, true))
	client.advance(25000)
	client.send(home, strings.Repeat("a", 16), block(1, true))
	if m := client.last(); m.Code != codes.RequestEntityIncomplete || client.server.stats.Stalled != 1 {
		t.Errorf("%v, %+v", m, client.server.stats)
	}
	for n := range uint32(20) {
		client.send(home, strings.Repeat("a", 16), block(n, true))
	}
	if m := client.last(); len(client.server.transfers) != 0 || m.Code != codes.RequestEntityIncomplete {
		t.Errorf("a message without end: %v, %d transfers", m, len(client.server.transfers))
	}
	// Many transfers together have a limit, too.
	for n := range 100 {
		tag := message.Option{ID: message.RequestTag, Value: []byte{1, 2, 3, 4, 5, 6, 7, byte(n)}}
		client.send(home, strings.Repeat("a", 16), block(0, true), tag)
	}
	if client.server.unfinished.Bytes() > 2000 || len(client.server.transfers) > 8 {
		t.Errorf("%d bytes in %d transfers", client.server.unfinished.Bytes(), len(client.server.transfers))
	}
}
