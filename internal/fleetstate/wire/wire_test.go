package wire

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate"
)

// Every valid message decodes to itself, and its encoding is not longer than
// Message.Size.
func TestRoundTripIsExactAndWithinSize(t *testing.T) {
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
				Stamp: rapid.Int64().Draw(t, "stamp"), Counters: rapid.SliceOfN(rapid.Uint64(), 1, 10).Draw(t, "counters"),
			})
		}
		for range n("reports") {
			m.HealthReports = append(m.HealthReports, fleetstate.HealthReport{
				Endpoint: name.Draw(t, "endpoint"),
				Status:   fleetstate.HealthStatus(rapid.IntRange(1, 6).Draw(t, "status")),
				AgeMs:    int64(rapid.Uint32().Draw(t, "age")),
			})
		}
		for range n("requests") {
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
			t.Fatalf("Encode returned %d bytes, want at most Size() = %d", len(b), m.Size())
		}
		if len(b) > maxMessageBytes {
			return
		}
		got, err := c.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("Decode(Encode(m)) = %+v, want %+v", got, m)
		}
	})
}

// FuzzDecode checks that no input makes Decode or a node panic, that decoded lease
// requests have a key and a positive amount, and that decoded health reports have an
// endpoint and a valid status.
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
		for _, request := range m.LeaseRequests {
			if !(request.Wanted > 0) || request.Key == "" {
				t.Fatalf("decoded a lease request of %g for %q, want a positive amount and a key", request.Wanted, request.Key)
			}
		}
		for _, report := range m.HealthReports {
			if report.Status < fleetstate.Healthy || report.Status > fleetstate.Primary || report.Endpoint == "" {
				t.Fatalf("decoded a report of status %d, want a valid status and an endpoint name", report.Status)
			}
		}
		n := fleetstate.New(func() fleetstate.Config { c := fleetstate.Defaults(); c.Name = "me"; return c }(), 3, 0)
		n.SetView([]string{"p"}, 2, 0)
		n.Observe(fleetstate.Observation{Endpoints: []fleetstate.EndpointHealth{{Name: "h", Ready: true}}})
		n.Receive("p", m, 10)
		n.Tick(20)
	})
}

// Decode returns the documented error for each kind of invalid input.
func TestDecodeErrorsAreTyped(t *testing.T) {
	codec, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := codec.Decode(make([]byte, maxMessageBytes+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("Decode(too many bytes) = %v, want ErrTooLong", err)
	}
	if _, err := codec.Decode([]byte{0xff}); !errors.Is(err, ErrMalformed) {
		t.Errorf("Decode(invalid CBOR) = %v, want ErrMalformed", err)
	}
	var version *VersionError
	if _, err := codec.Decode([]byte{0xa1, 0x00, 0x02}); !errors.As(err, &version) || version.Version != 2 {
		t.Errorf("Decode(version 2) = %v, want a VersionError with version 2", err)
	}
	unnamed, err := codec.Encode(fleetstate.Message{LeaseGrants: []fleetstate.LeaseGrant{
		{Key: "a", Amount: 1}, {Amount: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	var part *PartError
	if _, err := codec.Decode(unnamed); !errors.As(err, &part) || part.Part != "lease grant" || part.Index != 1 {
		t.Errorf("Decode(grant without a key) = %v, want a PartError of lease grant 1", err)
	}
}
