package fleetstate

import (
	"fmt"
	"testing"
)

func newTestNode(name string, fleet int, now int64) *Node {
	cfg := Defaults()
	cfg.Name, cfg.Start = name, now
	return New(cfg, fleet, now)
}

// The size of the fleet grows at once with the view but shrinks only after
// CounterRetentionMs, because a router that cannot be reached may be partitioned
// and still sending requests.
func TestFleetSizeShrinksLate(t *testing.T) {
	n := newTestNode("a", 4, 0)
	for _, step := range []struct {
		at         int64
		size, want int
	}{
		{0, 2, 4},
		{1000, 9, 9},
		{2000, 5, 9},
		{1000 + n.cfg.CounterRetentionMs - 1, 5, 9},
		{1000 + n.cfg.CounterRetentionMs, 5, 5},
		{2000 + 3*n.cfg.CounterRetentionMs, 1, 4},
	} {
		n.SetView([]string{"b"}, step.size, step.at)
		if got := n.Advice(step.at).Routers; got != step.want {
			t.Errorf("Routers at %d ms with a view of %d = %d, want %d", step.at, step.size, got, step.want)
		}
	}
}

// Once its leases and the peers' reports have expired, a partitioned router has
// exactly its own stake and ejects no endpoint.
func TestPartitionedRouterKeepsOnlyItsStake(t *testing.T) {
	n := newTestNode("a", 4, 0)
	now := n.cfg.LeaseMs + n.cfg.SkewMs
	n.SetView([]string{"b", "c"}, 4, now)
	n.Observe(Observation{
		Endpoints: []EndpointHealth{
			{Name: "h", Ready: true, WarmingUp: true, RequestsQueued: true},
			{Name: "i", Group: 1, Ready: true},
			{Name: "j", Group: 1, Ready: true},
		},
	})
	var requested *LeaseRequest
	for _, m := range n.Tick(now).Messages {
		if m.To == "b" && len(m.Message.LeaseRequests) > 0 {
			requested = &m.Message.LeaseRequests[0]
		}
	}
	if requested == nil {
		t.Fatal("no lease requested for a warming endpoint with queued requests, want a request to b")
	}
	n.Receive("b", Message{
		LeaseGrants: []LeaseGrant{
			{Key: "h", ID: requested.ID, Amount: 0.125, RequestedAt: requested.RequestedAt, DurationMs: n.cfg.LeaseMs},
		},
	}, now+1)
	if early := newTestNode("a", 4, 0).Advice(1); early.RemainingStake != 0.5 {
		t.Errorf("RemainingStake right after the start = %g, want 0.5", early.RemainingStake)
	}
	for _, p := range []string{"b", "c"} {
		n.Receive(p, Message{HealthReports: []HealthReport{{"i", Unresponsive, 0}}}, now+1)
	}
	if a := n.Advice(now + 1); a.SlowStart["h"].At(now+1) != 0.375 || len(a.Ejections) != 1 {
		t.Fatalf("Advice() = %+v, want a quota of 0.375 and one ejection", a)
	}
	n.SetView(nil, 4, now+2) // the router is partitioned
	later := now + n.cfg.ReportTTLMs + n.cfg.LeaseMs
	n.Tick(later)
	if a := n.Advice(later); a.SlowStart["h"].At(later) != 0.25 || len(a.Ejections) > 0 {
		t.Errorf("Advice() after the leases expired = %+v, want the stake 0.25 and no ejection", a)
	}
}

// Messages of unknown senders are dropped, and a peer that floods a node with
// entries and requests cannot make it exceed its limits.
func TestMemoryIsBoundedUnderAFloodOfMessages(t *testing.T) {
	n := newTestNode("a", 4, 0)
	n.SetView([]string{"b"}, 2, 0)
	n.Observe(Observation{Endpoints: []EndpointHealth{{Name: "h", Ready: true, WarmingUp: true}}})
	now := n.cfg.LeaseMs + n.cfg.SkewMs
	if n.Receive("x", Message{
		HealthReports: []HealthReport{{"h", Unresponsive, 0}},
	}, now); n.unknownSenders != 1 || len(n.outliers.suspicions) > 0 {
		t.Error("the report of an unknown sender was kept, want it counted and dropped")
	}
	for i := range 3 * n.cfg.MaxCounterEntries {
		n.Receive("b", Message{Counters: []CounterEntry{{Name: fmt.Sprint("x", i), Epoch: 1, Stamp: now, Counters: Counters{1}}},
			LeaseRequests: []LeaseRequest{
				{Key: "h", ID: uint64(i), Wanted: 1e-9, RequestedAt: now},
				{Key: fmt.Sprint("k", i), ID: 1, Wanted: 1, RequestedAt: now},
			}}, now)
	}
	entries, leases := len(n.counters.entries), len(n.leases.lent["h"])
	if entries > n.cfg.MaxCounterEntries || leases > maxLeases || len(n.leases.lent) > 1 {
		t.Errorf("%d entries, %d leases of h and %d budgets kept, want at most the limits and one budget",
			entries, leases, len(n.leases.lent))
	}
}

// No message exceeds MaxMessageBytes, however much there is to send.
func TestMessagesStayWithinTheirSize(t *testing.T) {
	n := newTestNode("a", 300, 0)
	var peers []string
	var endpoints []EndpointHealth
	for i := range 300 {
		peers = append(peers, fmt.Sprint("router-of-a-long-name-", i))
		endpoints = append(endpoints, EndpointHealth{
			Name:           fmt.Sprint("host-of-a-long-name-", i),
			Group:          i / 3,
			Ready:          true,
			Fault:          Unresponsive,
			FaultAt:        1,
			WarmingUp:      true,
			RequestsQueued: true,
		})
	}
	n.SetView(peers, 301, 0)
	n.Observe(Observation{Endpoints: endpoints})
	for i := range 300 {
		n.counters.merge(CounterEntry{Name: peers[i], Epoch: 5, Counters: make(Counters, 20)}, 0)
	}
	count := 0
	for now := int64(0); now < 5000; now += n.cfg.TickMs {
		for _, m := range n.Tick(now).Messages {
			count++
			if s := m.Message.Size(); s > n.cfg.MaxMessageBytes {
				t.Fatalf("Size() of a message = %d bytes, want at most MaxMessageBytes", s)
			}
		}
	}
	if count == 0 {
		t.Fatal("no message was sent")
	}
}

// A router with surplus retries lends them to one with a depleted retry budget,
// and the borrowed amount equals the lent amount.
func TestSurplusRetriesAreLent(t *testing.T) {
	rich, poor := newTestNode("rich", 2, 0), newTestNode("poor", 2, 0)
	now := rich.cfg.LeaseMs + rich.cfg.SkewMs
	for _, n := range []*Node{rich, poor} {
		n.SetView([]string{map[*Node]string{rich: "poor", poor: "rich"}[n]}, 2, now)
	}
	rich.Observe(Observation{RetryBudget: RetryBudget{EarnedPerSecond: 2, Surplus: true}})
	poor.Observe(Observation{RetryBudget: RetryBudget{EarnedPerSecond: 1, Depleted: true}})
	for _, m := range poor.Tick(now).Messages {
		for _, g := range rich.Receive("poor", m.Message, now).Messages {
			poor.Receive("rich", g.Message, now)
		}
	}
	a, b := rich.Advice(now).RetryQuota.At(now), poor.Advice(now).RetryQuota.At(now)
	if a != -1 || b != 1 {
		t.Errorf("RetryQuota of lender and borrower = %g and %g, want -1 and 1", a, b)
	}
	if got := poor.Advice(now + rich.cfg.LeaseMs).RetryQuota.At(now + rich.cfg.LeaseMs); got != 0 {
		t.Errorf("RetryQuota of the borrower after the lease = %g, want 0", got)
	}
}
