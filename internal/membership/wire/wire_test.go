package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/membership"
)

// updateGenerator generates valid updates with short strings.
func updateGenerator() *rapid.Generator[membership.Update] {
	return rapid.Custom(func(t *rapid.T) membership.Update {
		text := rapid.StringMatching(`[a-z0-9.:]{0,24}`)
		return membership.Update{
			Name:        rapid.StringMatching(`[a-z0-9]{1,24}`).Draw(t, "name"),
			Addr:        text.Draw(t, "addr"),
			Zone:        text.Draw(t, "zone"),
			Start:       rapid.Int64().Draw(t, "start"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			State:       membership.State(rapid.IntRange(0, 3).Draw(t, "state")),
			Suspector:   text.Draw(t, "suspector"),
		}
	})
}

// TestRoundTrip checks that decoding an encoded message returns the message, and
// that the encoding does not exceed the size charged to the byte budget.
func TestRoundTrip(t *testing.T) {
	codec, err := New()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := membership.Message{
			Kind:    membership.Kind(rapid.IntRange(1, 6).Draw(t, "kind")),
			Seq:     rapid.Uint64().Draw(t, "seq"),
			From:    rapid.StringMatching(`[a-z0-9]{1,24}`).Draw(t, "from"),
			Updates: rapid.SliceOfN(updateGenerator(), 0, 12).Draw(t, "updates"),
		}
		encoded, err := codec.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > membership.PacketSize(m) {
			t.Fatalf("Encode returned %d bytes, PacketSize = %d", len(encoded), membership.PacketSize(m))
		}
		decoded, err := codec.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if len(m.Updates) == 0 {
			m.Updates = nil
		}
		if !reflect.DeepEqual(decoded, m) {
			t.Fatalf("Decode(Encode(m)) = %+v, want %+v", decoded, m)
		}
	})
}

// TestDecodeRejects checks that Decode returns an error for invalid packets.
func TestDecodeRejects(t *testing.T) {
	codec, _ := New()
	for name, encoded := range map[string][]byte{
		"too large": bytes.Repeat([]byte{0}, MaxPacketBytes+1),
		"empty":     {},
		"not a map": {0x01},
		"version 2": {0xa3, 0x00, 0x02, 0x01, 0x01, 0x03, 0x61, 'a'},
		"kind 9":    {0xa3, 0x00, 0x01, 0x01, 0x09, 0x03, 0x61, 'a'},
		"deep":      bytes.Repeat([]byte{0x81}, 64),
	} {
		if _, err := codec.Decode(encoded); err == nil {
			t.Errorf("%s: Decode returned no error", name)
		}
	}
}

// FuzzDecode checks that Decode does not panic, and that a decoded packet can be
// encoded again within MaxPacketBytes.
func FuzzDecode(f *testing.F) {
	codec, _ := New()
	updates := []membership.Update{{Name: "r2", Addr: "127.0.0.1:7000"}}
	valid, _ := codec.Encode(membership.Message{Kind: membership.Sync, From: "r1", Updates: updates})
	f.Add(valid)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m, err := codec.Decode(encoded)
		if err != nil {
			return
		}
		again, err := codec.Encode(m)
		if err != nil || len(again) > MaxPacketBytes {
			t.Fatalf("Encode of a decoded packet = %d bytes, %v, want at most %d bytes", len(again), err, MaxPacketBytes)
		}
	})
}

// TestErrorTypes checks the error types that callers can distinguish.
func TestErrorTypes(t *testing.T) {
	codec, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := codec.Decode(make([]byte, MaxPacketBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Decode of an oversized packet returned error %v, want ErrTooLarge", err)
	}
	if _, err := codec.Encode(membership.Message{Payload: make([]byte, MaxPacketBytes)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Encode of an oversized message returned error %v, want ErrTooLarge", err)
	}
	var format *FormatError
	version2 := []byte{0xa3, 0x00, 0x02, 0x01, 0x01, 0x03, 0x61, 'a'}
	if _, err := codec.Decode(version2); !errors.As(err, &format) {
		t.Errorf("Decode of a version 2 packet returned error %v, want a *FormatError", err)
	}
}
