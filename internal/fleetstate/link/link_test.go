package link

import (
	"io"
	"log/slog"
	"testing"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/wire"
)

// A grant is sent only after the lender's router applies its reduced quota, so that
// lender and borrower never use the same quota. Malformed messages are counted and
// dropped.
func TestGrantIsSentOnlyAfterAdviceIsApplied(t *testing.T) {
	cfg := fleetstate.Defaults()
	cfg.Name = "lender"
	l, err := New(cfg, 2, 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	now := cfg.LeaseMs + cfg.SkewMs
	l.UpdatePeers([]string{"peer"}, 2, now)
	l.Offer(fleetstate.Observation{Endpoints: []fleetstate.EndpointHealth{{Name: "h", Ready: true, WarmingUp: true}}})
	l.Tick(now)
	before := (<-l.Advice()).SlowStart["h"].At(now)
	codec, err := wire.New()
	if err != nil {
		t.Fatal(err)
	}
	request, err := codec.Encode(fleetstate.Message{
		LeaseRequests: []fleetstate.LeaseRequest{{Key: "h", ID: 1, Wanted: 1, RequestedAt: 5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if out := l.Receive("peer", request, now); len(out) > 0 {
		t.Fatal("Receive returned the grant before the router could apply its reduced quota")
	}
	grants := func() (n int) {
		for _, p := range l.Tick(now) {
			if m, err := codec.Decode(p.Bytes); err == nil {
				n += len(m.LeaseGrants)
			}
		}
		return n
	}
	if n := grants(); n > 0 {
		t.Fatal("Tick returned the grant before Applied was called")
	}
	a := <-l.Advice()
	if got := a.SlowStart["h"].At(now); got >= before {
		t.Fatalf("advised quota of the lender after lending = %.2f, want less than the previous %.2f", got, before)
	}
	l.Applied(a.Seq)
	if n := grants(); n != 1 {
		t.Fatalf("Tick returned %d grants after Applied, want 1", n)
	}
	for _, b := range [][]byte{nil, {0xff}, make([]byte, 2000)} {
		l.Receive("peer", b, now)
	}
	if l.Malformed.Load() != 3 {
		t.Errorf("Malformed = %d, want 3", l.Malformed.Load())
	}
}

// Counters of several observations offered between two ticks are all added to the
// totals, each once.
func TestObservedCountersAreTakenOnce(t *testing.T) {
	cfg := fleetstate.Defaults()
	cfg.Name = "me"
	l, err := New(cfg, 1, 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		var c fleetstate.Counters
		c.Add(1, fleetstate.Requests, 2)
		l.Offer(fleetstate.Observation{Counters: c})
	}
	l.Tick(1000)
	l.Tick(2000)
	if got := l.StatusPage().Totals.Get(1, fleetstate.Requests); got != 6 {
		t.Errorf("total of requests = %d, want 6", got)
	}
}
