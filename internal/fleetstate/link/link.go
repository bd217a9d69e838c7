// Package link carries the shared state between its rules and the two loops
// that it stands between: membership's, whose packets bring peers' messages,
// and the router's, which sees hosts and acts on advice. The rules' Node is
// owned by membership's loop; what crosses to the router's is copied and never
// waited for.
package link

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/wire"
	"lotusbend/internal/membership/udp"
)

const (
	// adviseMs is how often advice is given anew where nothing happened.
	adviceIntervalMs = 50
	// heldMost bounds the grants that wait for the router; past it they are
	// lost, as any datagram may be.
	maxDelayedGrants = 256
)

// Advice is the rules' advice with its number, to be told back by Applied.
type Advice struct {
	fleetstate.Advice
	Seq uint64
}

// grant waits until the router acts on what the lender has left: sent sooner,
// both could spend the share, for as long as this process is paused between.
type grant struct {
	seq uint64
	udp.Payload
}

// Link implements udp.SharedState.
type Link struct {
	node    *fleetstate.Node
	codec   *wire.Codec
	log     *slog.Logger
	advice  chan Advice
	advised int64
	first   fleetstate.Advice
	seq     uint64 // of the last advice
	applied atomic.Uint64
	grants  []grant

	mu      sync.Mutex
	pending fleetstate.Observation
	fresh   bool
	page    fleetstate.StatusPage

	Malformed, Sent, Received, Bytes atomic.Uint64
}

// New makes a link from checked settings; fleet is the configured number of
// routers, now the time in milliseconds.
func New(cfg fleetstate.Config, fleet int, now int64, log *slog.Logger) (*Link, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	codec, err := wire.New()
	if err != nil {
		return nil, err
	}
	l := &Link{node: fleetstate.New(cfg, fleet, now), codec: codec, log: log, advice: make(chan Advice, 1)}
	l.first = l.node.Advice(now)
	l.page = l.node.StatusPage(now)
	return l, nil
}

// First is the advice that holds before any other: what an earlier life of
// this router may have lent is left alone from the first request on.
func (l *Link) First() fleetstate.Advice { return l.first }

// Offer takes what the router saw; what was not yet taken of an earlier one is
// added up.
func (l *Link) Offer(s fleetstate.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, v := range l.pending.Counters {
		if len(s.Counters) <= i {
			s.Counters = append(s.Counters, make(fleetstate.Counters, i+1-len(s.Counters))...)
		}
		s.Counters[i] += v
	}
	l.pending, l.fresh = s, true
}

// Advice tells what the router may act on; only the latest waits.
func (l *Link) Advice() <-chan Advice { return l.advice }

// Applied tells that the router acts on the advice of this number. Grants of
// shares that it gave up by it may leave now.
func (l *Link) Applied(seq uint64) { l.applied.Store(seq) }

// Page is the state for people, a copy.
func (l *Link) StatusPage() fleetstate.StatusPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.page
}

// Fleet implements udp.SharedState.
func (l *Link) Fleet(peers []string, size int, now int64) { l.node.SetView(peers, size, now) }

// Tick implements udp.SharedState.
func (l *Link) Tick(now int64) []udp.Payload {
	l.mu.Lock()
	s, fresh := l.pending, l.fresh
	l.pending, l.fresh = fleetstate.Observation{}, false
	l.mu.Unlock()
	if fresh {
		l.node.Observe(s)
	}
	r := l.node.Tick(now)
	if len(r.Events) > 0 || now-l.advised >= adviceIntervalMs {
		l.advise(now)
	}
	out := l.carry(r)
	for len(l.grants) > 0 && l.grants[0].seq <= l.applied.Load() {
		out = append(out, l.grants[0].Payload)
		l.grants = l.grants[1:]
	}
	return out
}

// Receive implements udp.SharedState: bytes that no router sends are counted.
func (l *Link) Receive(from string, payload []byte, now int64) []udp.Payload {
	m, err := l.codec.Decode(payload)
	if err != nil {
		l.Malformed.Add(1)
		return nil
	}
	l.Received.Add(1)
	r := l.node.Receive(from, m, now)
	if len(r.Events) > 0 {
		l.advise(now)
	}
	for _, p := range l.carry(r) { // all that answers a message is a grant
		if len(l.grants) < maxDelayedGrants {
			l.grants = append(l.grants, grant{l.seq, p})
		}
	}
	return nil
}

func (l *Link) advise(now int64) {
	l.advised = now
	a, p := l.node.Advice(now), l.node.StatusPage(now)
	l.mu.Lock()
	l.page = p
	l.mu.Unlock()
	select { // an older one not yet taken is stale
	case <-l.advice:
	default:
	}
	l.seq++
	l.advice <- Advice{a, l.seq} // cannot block: this loop is the only sender
}

func (l *Link) carry(r fleetstate.Ready) (out []udp.Payload) {
	for _, e := range r.Events {
		key := e.Key
		if key == fleetstate.RetryBudgetKey {
			key = "repeats"
		}
		attrs := []any{"of", key, "amount", e.Amount}
		if e.Peer != "" {
			attrs = append(attrs, "peer", e.Peer)
		}
		if e.Status != 0 {
			attrs = append(attrs, "claim", e.Status.String())
		}
		if e.Reason != "" {
			attrs = append(attrs, "why", e.Reason)
		}
		l.log.Info("shared state: "+e.Kind.String(), attrs...)
	}
	for _, m := range r.Messages {
		b, err := l.codec.Encode(m.Message)
		if err != nil {
			l.log.Error("shared state: a message that cannot be encoded", "error", err)
			continue
		}
		l.Sent.Add(1)
		l.Bytes.Add(uint64(len(b)))
		out = append(out, udp.Payload{To: m.To, Bytes: b})
	}
	return out
}

// Metrics are the link's counters and the fleet's totals, by name.
func (l *Link) Metrics(classes []string) map[string]uint64 {
	p := l.StatusPage()
	m := map[string]uint64{
		"shared_messages_sent": l.Sent.Load(), "shared_messages_received": l.Received.Load(), "shared_bytes_sent": l.Bytes.Load(),
		"shared_messages_malformed": l.Malformed.Load(), "shared_strangers": p.UnknownSenders, "shared_counters_refused": p.RejectedCounters,
		"shared_routers_counted": uint64(len(p.Counters)), "shared_judgements": uint64(len(p.Ejections)), "shared_size": uint64(p.Routers),
		"shared_leases_lent": uint64(len(p.Lent)), "shared_leases_held": uint64(len(p.Borrowed)),
	}
	for i, c := range classes {
		for k, name := range fleetstate.CounterKindNames() {
			m["fleet_"+name+"_"+c] = p.Totals.Get(i, fleetstate.CounterKind(k))
		}
	}
	return m
}
