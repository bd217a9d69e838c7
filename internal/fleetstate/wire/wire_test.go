package wire

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate"
)

// Whatever a router says comes back as it was, within the bytes that the
// rules reckon with.
func TestRoundTripWithinItsSize(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(1, 40, 128)
		amount := rapid.Float64Range(1e-9, 100)
		n := func(what string) int { return rapid.IntRange(0, 3).Draw(t, what) }
		var m fleetstate.Message
		for range n("entries") {
			m.Counts = append(m.Counts, fleetstate.Entry{Name: name.Draw(t, "name"), Epoch: rapid.Int64().Draw(t, "epoch"),
				Stamp: rapid.Int64().Draw(t, "stamp"), Cells: rapid.SliceOfN(rapid.Uint64(), 1, 10).Draw(t, "cells")})
		}
		for range n("claims") {
			m.Claims = append(m.Claims, fleetstate.Claim{Host: name.Draw(t, "host"), Kind: fleetstate.ClaimKind(rapid.IntRange(1, 6).Draw(t, "kind")), AgeMs: int64(rapid.Uint32().Draw(t, "age"))})
		}
		for range n("asks") {
			m.Asks = append(m.Asks, fleetstate.Ask{Key: name.Draw(t, "key"), ID: rapid.Uint64().Draw(t, "id"), Want: amount.Draw(t, "want"), At: rapid.Int64().Draw(t, "at")})
		}
		for range n("grants") {
			m.Grants = append(m.Grants, fleetstate.Grant{Key: name.Draw(t, "key"), ID: rapid.Uint64().Draw(t, "id"), Amount: amount.Draw(t, "amount"), At: rapid.Int64().Draw(t, "at"), ForMs: int64(rapid.Uint32().Draw(t, "for"))})
		}
		b, err := c.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > m.Size() {
			t.Fatalf("%d bytes, over the %d reckoned", len(b), m.Size())
		}
		if len(b) > maxBytes {
			return
		}
		got, err := c.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, sent %+v", got, m)
		}
	})
}

// FuzzDecode holds that no bytes panic, and that what decodes is within bounds.
func FuzzDecode(f *testing.F) {
	c, err := New()
	if err != nil {
		f.Fatal(err)
	}
	seed, err := c.Encode(fleetstate.Message{Counts: []fleetstate.Entry{{Name: "a", Epoch: 1, Stamp: 2, Cells: fleetstate.Cells{1, 2}}},
		Claims: []fleetstate.Claim{{Host: "h", Kind: fleetstate.Hangs, AgeMs: 5}}, Asks: []fleetstate.Ask{{Key: "h", ID: 1, Want: 0.5, At: 9}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa1, 0x00, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := c.Decode(b)
		if err != nil {
			return
		}
		for _, a := range m.Asks {
			if !(a.Want > 0) || a.Key == "" {
				t.Fatalf("an ask of %g for %q", a.Want, a.Key)
			}
		}
		for _, x := range m.Claims {
			if x.Kind < fleetstate.Well || x.Kind > fleetstate.Leads || x.Host == "" {
				t.Fatalf("a claim of kind %d", x.Kind)
			}
		}
		n := fleetstate.New(func() fleetstate.Config { c := fleetstate.Defaults(); c.Name = "me"; return c }(), 3, 0)
		n.Fleet([]string{"p"}, 2, 0)
		n.Observe(fleetstate.Seen{Hosts: []fleetstate.Host{{Name: "h", Ready: true}}})
		n.Receive("p", m, 10)
		n.Tick(20)
	})
}
