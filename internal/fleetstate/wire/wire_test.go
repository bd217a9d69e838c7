package wire

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate"
)

// Whatever a router sends comes back as it was, within the bytes that the
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
			m.Counters = append(m.Counters, fleetstate.CounterEntry{
				Name:  name.Draw(t, "name"),
				Epoch: rapid.Int64().Draw(t, "epoch"),
				Stamp: rapid.Int64().Draw(t, "stamp"), Counters: rapid.SliceOfN(rapid.Uint64(), 1, 10).Draw(t, "cells"),
			})
		}
		for range n("reports") {
			m.HealthReports = append(m.HealthReports, fleetstate.HealthReport{
				Endpoint: name.Draw(t, "host"),
				Status:   fleetstate.HealthStatus(rapid.IntRange(1, 6).Draw(t, "kind")),
				AgeMs:    int64(rapid.Uint32().Draw(t, "age")),
			})
		}
		for range n("borrower") {
			m.LeaseRequests = append(m.LeaseRequests, fleetstate.LeaseRequest{
				Key:         name.Draw(t, "key"),
				ID:          rapid.Uint64().Draw(t, "id"),
				Wanted:      amount.Draw(t, "want"),
				RequestedAt: rapid.Int64().Draw(t, "at"),
			})
		}
		for range n("grants") {
			m.LeaseGrants = append(m.LeaseGrants, fleetstate.LeaseGrant{
				Key:         name.Draw(t, "key"),
				ID:          rapid.Uint64().Draw(t, "id"),
				Amount:      amount.Draw(t, "amount"),
				RequestedAt: rapid.Int64().Draw(t, "at"),
				DurationMs:  int64(rapid.Uint32().Draw(t, "for")),
			})
		}
		b, err := c.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > m.Size() {
			t.Fatalf("%d bytes, over the %d reckoned", len(b), m.Size())
		}
		if len(b) > maxMessageBytes {
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
	seed, err := c.Encode(fleetstate.Message{
		Counters:      []fleetstate.CounterEntry{{Name: "a", Epoch: 1, Stamp: 2, Counters: fleetstate.Counters{1, 2}}},
		HealthReports: []fleetstate.HealthReport{{Endpoint: "h", Status: fleetstate.Unresponsive, AgeMs: 5}},
		LeaseRequests: []fleetstate.LeaseRequest{{Key: "h", ID: 1, Wanted: 0.5, RequestedAt: 9}},
	})
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
		for _, a := range m.LeaseRequests {
			if !(a.Wanted > 0) || a.Key == "" {
				t.Fatalf("a request of %g for %q", a.Wanted, a.Key)
			}
		}
		for _, x := range m.HealthReports {
			if x.Status < fleetstate.Healthy || x.Status > fleetstate.Primary || x.Endpoint == "" {
				t.Fatalf("a report of status %d", x.Status)
			}
		}
		n := fleetstate.New(func() fleetstate.Config { c := fleetstate.Defaults(); c.Name = "me"; return c }(), 3, 0)
		n.SetView([]string{"p"}, 2, 0)
		n.Observe(fleetstate.Observation{Endpoints: []fleetstate.EndpointHealth{{Name: "h", Ready: true}}})
		n.Receive("p", m, 10)
		n.Tick(20)
	})
}

// Each kind of error has its type.
func TestDecodeErrorsAreTyped(t *testing.T) {
	codec, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := codec.Decode(make([]byte, maxMessageBytes+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("too many bytes: %v, want ErrTooLong", err)
	}
	if _, err := codec.Decode([]byte{0xff}); !errors.Is(err, ErrMalformed) {
		t.Errorf("no CBOR: %v, want ErrMalformed", err)
	}
	var version *VersionError
	if _, err := codec.Decode([]byte{0xa1, 0x00, 0x02}); !errors.As(err, &version) || version.Version != 2 {
		t.Errorf("version 2: %v, want a VersionError", err)
	}
	unnamed, err := codec.Encode(fleetstate.Message{LeaseGrants: []fleetstate.LeaseGrant{
		{Key: "a", Amount: 1}, {Amount: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	var part *PartError
	if _, err := codec.Decode(unnamed); !errors.As(err, &part) || part.Part != "lease grant" || part.Index != 1 {
		t.Errorf("a grant without a key: %v, want a PartError of lease grant 1", err)
	}
}
