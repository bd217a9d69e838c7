// Package link carries the shared state between its rules and the two loops
// that it stands between: membership's, whose packets bring the peers'
// messages, and the router's, which observes endpoints and acts on advice. The
// rules' Node is owned by membership's loop; what crosses to the router's loop
// is copied, and neither waits for the other.
package link

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/wire"
	"lotusbend/internal/membership/udp"
)

const (
	// adviceIntervalMs is how often advice is renewed where nothing happened.
	adviceIntervalMs = 50
	// maxDelayedGrants bounds the grants that wait for the router; past it they
	// are dropped, as any datagram may be.
	maxDelayedGrants = 256
)

// Advice is the rules' advice with its number, to be returned by Applied.
type Advice struct {
	fleetstate.Advice
	Seq uint64
}

// delayedGrant waits until the router acts on what the lender has left. Sent
// sooner, both could spend the quota for as long as this process is paused
// between.
type delayedGrant struct {
	seq uint64 // of the advice
	udp.Payload
}

// Link implements udp.SharedState. Membership's loop calls UpdatePeers, Tick and
// Receive; the other methods and the counters are safe for concurrent use.
type Link struct {
	node      *fleetstate.Node
	codec     *wire.Codec
	log       *slog.Logger
	advice    chan Advice // the latest, not yet taken
	advisedAt int64       // ms
	first     fleetstate.Advice
	seq       uint64        // of the last advice
	applied   atomic.Uint64 // number of the advice that the router acts on
	grants    []delayedGrant

	mu       sync.Mutex
	observed *fleetstate.Observation // not yet taken by the node, nil for none
	page     fleetstate.StatusPage

	Malformed atomic.Uint64 // messages that were dropped
	Sent      atomic.Uint64 // messages
	Received  atomic.Uint64 // messages
	Bytes     atomic.Uint64 // sent
}

// New makes a link. routers is the configured size of the fleet, now the time in
// ms. It returns the ConfigError of a configuration that cannot work.
func New(cfg fleetstate.Config, routers int, now int64, log *slog.Logger) (*Link, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	codec, err := wire.New()
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{
		node:   fleetstate.New(cfg, routers, now),
		codec:  codec,
		log:    log.With("component", "fleetstate"),
		advice: make(chan Advice, 1),
	}
	l.first = l.node.Advice(now)
	l.page = l.node.StatusPage(now)
	return l, nil
}

// InitialAdvice is the advice that holds before any other: what an earlier incarnation
// of this router may have lent is not used from the first request on.
func (l *Link) InitialAdvice() fleetstate.Advice { return l.first }

// Offer takes what the router observed. The counters of an earlier observation
// that the node has not taken yet are added to it.
func (l *Link) Offer(observed fleetstate.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed != nil {
		observed.Counters = sum(observed.Counters, l.observed.Counters)
	}
	l.observed = &observed
}

// sum adds earlier counters to counters.
func sum(counters, earlier fleetstate.Counters) fleetstate.Counters {
	if missing := len(earlier) - len(counters); missing > 0 {
		counters = append(counters, make(fleetstate.Counters, missing)...)
	}
	for i, value := range earlier {
		counters[i] += value
	}
	return counters
}

// Advice delivers what the router may act on; only the latest waits.
func (l *Link) Advice() <-chan Advice { return l.advice }

// Applied reports that the router acts on the advice of this number. Grants of
// quotas that it gave up by it may be sent now.
func (l *Link) Applied(seq uint64) { l.applied.Store(seq) }

// StatusPage is a copy of the state for the admin page.
func (l *Link) StatusPage() fleetstate.StatusPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.page
}

// UpdatePeers implements udp.SharedState.
func (l *Link) UpdatePeers(peers []string, size int, now int64) { l.node.SetView(peers, size, now) }

// Tick implements udp.SharedState.
func (l *Link) Tick(now int64) []udp.Payload {
	if observed := l.takeObserved(); observed != nil {
		l.node.Observe(*observed)
	}
	ready := l.node.Tick(now)
	if len(ready.Events) > 0 || now-l.advisedAt >= adviceIntervalMs {
		l.advise(now)
	}
	l.logEvents(ready.Events)
	return append(l.encode(ready.Messages), l.dueGrants()...)
}

// takeObserved returns the observation not yet taken, nil if there is none.
func (l *Link) takeObserved() *fleetstate.Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	observed := l.observed
	l.observed = nil
	return observed
}

// dueGrants are the delayed grants whose advice the router acts on.
func (l *Link) dueGrants() (due []udp.Payload) {
	for len(l.grants) > 0 && l.grants[0].seq <= l.applied.Load() {
		due = append(due, l.grants[0].Payload)
		l.grants = l.grants[1:]
	}
	return due
}

// Receive implements udp.SharedState. Malformed messages are counted and
// dropped. It returns nothing: what answers a message is a grant, which waits
// for the router.
func (l *Link) Receive(from string, payload []byte, now int64) []udp.Payload {
	message, err := l.codec.Decode(payload)
	if err != nil {
		l.Malformed.Add(1)
		return nil
	}
	l.Received.Add(1)
	ready := l.node.Receive(from, message, now)
	if len(ready.Events) > 0 {
		l.advise(now)
	}
	l.logEvents(ready.Events)
	for _, grant := range l.encode(ready.Messages) {
		if len(l.grants) < maxDelayedGrants {
			l.grants = append(l.grants, delayedGrant{seq: l.seq, Payload: grant})
		}
	}
	return nil
}

// advise renews the advice and the status page.
func (l *Link) advise(now int64) {
	l.advisedAt = now
	advice := l.node.Advice(now)
	page := l.node.StatusPage(now)
	l.mu.Lock()
	l.page = page
	l.mu.Unlock()
	select { // advice not yet taken is stale
	case <-l.advice:
	default:
	}
	l.seq++
	l.advice <- Advice{Advice: advice, Seq: l.seq} // cannot block: this loop is the only sender
}

// encode returns the packets of messages. One that cannot be encoded is logged
// and dropped.
func (l *Link) encode(messages []fleetstate.Envelope) (payloads []udp.Payload) {
	for _, envelope := range messages {
		encoded, err := l.codec.Encode(envelope.Message)
		if err != nil {
			l.log.Error("message not encoded", "error", err)
			continue
		}
		l.Sent.Add(1)
		l.Bytes.Add(uint64(len(encoded)))
		payloads = append(payloads, udp.Payload{To: envelope.To, Bytes: encoded})
	}
	return payloads
}
