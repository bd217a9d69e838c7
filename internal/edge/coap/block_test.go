package coap

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// block returns the Block1 option of a block of 16 bytes.
func block(number uint32, more bool) message.Option {
	v := uint64(number) << 4
	if more {
		v |= 8
	}
	return uintOption(message.Block1, v)
}

// A transfer with a long Request-Tag continues from another address. Duplicate
// blocks are acknowledged, and a missing block is reported.
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
		t.Fatalf("first block = %v, want %v", c, codes.Continue)
	}
	if c := send(home, 2); c != codes.RequestEntityIncomplete { // block 1 is missing
		t.Fatalf("block 2 before block 1 = %v, want %v", c, codes.RequestEntityIncomplete)
	}
	if c := send(home, 0); c != codes.Continue { // a duplicate whose acknowledgement was lost
		t.Fatalf("duplicate of the first block = %v, want %v", c, codes.Continue)
	}
	client.advance(5000)
	if c := send(away, 1); c != codes.Continue {
		t.Fatalf("block 1 from another address = %v, want %v", c, codes.Continue)
	}
	if c := send(away, 1); c != codes.Continue {
		t.Fatalf("duplicate of block 1 = %v, want %v", c, codes.Continue)
	}
	if c := send(away, 2); c != 0 || len(client.delivered) != 1 || client.delivered[0].payload != strings.Join(parts, "") {
		t.Fatalf("last block: code %v, delivered %+v, want the whole message and no response yet", c, client.delivered)
	}
	if len(client.server.transfers)+len(client.server.transferByOwner)+client.server.unfinished.Len() != 0 {
		t.Error("state of the complete transfer is left, want none")
	}
}

// A transfer ends if it makes no progress in the progress window, if it exceeds
// the length limit, or if it is the slowest when all transfers exceed their limit.
func TestStalledTransferEnds(t *testing.T) {
	client := newTestClient(t)
	client.send(home, strings.Repeat("a", 16), block(0, true))
	client.advance(25000)
	client.send(home, strings.Repeat("a", 16), block(1, true))
	if m := client.last(); m.Code != codes.RequestEntityIncomplete || client.server.stats.Stalled != 1 {
		t.Errorf("block after a stall = %v, stats %+v, want 4.08 and one stalled transfer", m, client.server.stats)
	}
	for n := range uint32(20) {
		client.send(home, strings.Repeat("a", 16), block(n, true))
	}
	if m := client.last(); len(client.server.transfers) != 0 || m.Code != codes.RequestEntityIncomplete {
		t.Errorf("block past the length limit = %v with %d transfers, want 4.08 with none", m, len(client.server.transfers))
	}
	for n := range 100 {
		tag := message.Option{ID: message.RequestTag, Value: []byte{1, 2, 3, 4, 5, 6, 7, byte(n)}}
		client.send(home, strings.Repeat("a", 16), block(0, true), tag)
	}
	if client.server.unfinished.Bytes() > 2000 || len(client.server.transfers) > 8 {
		t.Errorf("%d bytes in %d transfers, want at most 2000 in 8",
			client.server.unfinished.Bytes(), len(client.server.transfers))
	}
}
