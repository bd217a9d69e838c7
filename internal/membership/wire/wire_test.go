package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/membership"
)

func genUpdate() *rapid.Generator[membership.Update] {
	return rapid.Custom(func(t *rapid.T) membership.Update {
		s := rapid.StringMatching(`[a-z0-9.:]{0,24}`)
		return membership.Update{
			Name:        rapid.StringMatching(`[a-z0-9]{1,24}`).Draw(t, "name"),
			Addr:        s.Draw(t, "addr"),
			Zone:        s.Draw(t, "zone"),
			Start:       rapid.Int64().Draw(t, "start"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			State:       membership.State(rapid.IntRange(0, 3).Draw(t, "state")),
			Suspector:   s.Draw(t, "suspector"),
		}
	})
}

// TestRoundTrip checks that messages are decoded as they were encoded, within the
// size that is charged to the byte budget.
func TestRoundTrip(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := membership.Message{
			Kind:    membership.Kind(rapid.IntRange(1, 6).Draw(t, "kind")),
			Seq:     rapid.Uint64().Draw(t, "seq"),
			From:    rapid.StringMatching(`[a-z0-9]{1,24}`).Draw(t, "from"),
			Updates: rapid.SliceOfN(genUpdate(), 0, 12).Draw(t, "updates"),
		}
		b, err := c.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > membership.PacketSize(m) {
			t.Fatalf("%d bytes, %d charged", len(b), membership.PacketSize(m))
		}
		back, err := c.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if len(m.Updates) == 0 {
			m.Updates = nil
		}
		if !reflect.DeepEqual(back, m) {
			t.Fatalf("decoded %+v, sent %+v", back, m)
		}
	})
}

// TestDecodeRejects checks that packets which no member sends are not decoded.
func TestDecodeRejects(t *testing.T) {
	c, _ := New()
	for name, b := range map[string][]byte{
		"too large": bytes.Repeat([]byte{0}, MaxPacket+1),
		"empty":     {},
		"not a map": {0x01},
		"version 2": {0xa3, 0x00, 0x02, 0x01, 0x01, 0x03, 0x61, 'a'},
		"kind 9":    {0xa3, 0x00, 0x01, 0x01, 0x09, 0x03, 0x61, 'a'},
		"deep":      bytes.Repeat([]byte{0x81}, 64),
	} {
		if _, err := c.Decode(b); err == nil {
			t.Errorf("%s: decoded", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	c, _ := New()
	updates := []membership.Update{{Name: "r2", Addr: "127.0.0.1:7000"}}
	good, _ := c.Encode(membership.Message{Kind: membership.Sync, From: "r1", Updates: updates})
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := c.Decode(b)
		if err != nil {
			return
		}
		again, err := c.Encode(m)
		if err != nil || len(again) > MaxPacket {
			t.Fatalf("a decoded packet does not encode again: %v", err)
		}
	})
}

// TestErrorTypes checks the errors that callers may tell apart.
func TestErrorTypes(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Decode(make([]byte, MaxPacket+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a packet over the largest: %v", err)
	}
	if _, err := c.Encode(membership.Message{Payload: make([]byte, MaxPacket)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a message over the largest packet: %v", err)
	}
	var format *FormatError
	version2 := []byte{0xa3, 0x00, 0x02, 0x01, 0x01, 0x03, 0x61, 'a'}
	if _, err := c.Decode(version2); !errors.As(err, &format) {
		t.Errorf("another version: %v", err)
	}
}
