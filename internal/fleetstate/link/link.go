// Package link connects a fleetstate.Node to two event loops: the membership loop,
// whose packets carry the peers' messages, and the router's loop, which observes
// endpoints and applies advice. The membership loop owns the Node. Data passed to
// the router's loop is copied, and neither loop waits for the other.
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
	// adviceIntervalMs is the interval at which advice is renewed without an
	// event.
	adviceIntervalMs = 50
	// maxDelayedGrants is the maximum number of grants that wait for the router.
	// Further grants are dropped, like any lost datagram.
	maxDelayedGrants = 256
)

// Advice is a fleetstate.Advice with its sequence number, which the router passes
// to Link.Applied.
type Advice struct {
	fleetstate.Advice
	Seq uint64
}

// delayedGrant is a grant that waits until the router applies its reduced quota.
// If it were sent sooner and this process were paused before applying the advice,
// lender and borrower could both use the quota.
type delayedGrant struct {
	seq uint64 // of the advice with the reduced quota
	udp.Payload
}

// Link implements udp.SharedState. Only the membership loop may call UpdatePeers, Tick
// and Receive; the other methods and the counters are safe for concurrent use.
type Link struct {
	node      *fleetstate.Node
	codec     *wire.Codec
	log       *slog.Logger
	advice    chan Advice // holds the latest advice until the router receives it
	advisedAt int64       // when the advice was last renewed, ms
	initial   fleetstate.Advice
	seq       uint64        // of the latest advice
	applied   atomic.Uint64 // sequence number of the advice that the router applies
	grants    []delayedGrant

	mu       sync.Mutex
	observed *fleetstate.Observation // not yet passed to the node, nil for none
	page     fleetstate.StatusPage

	Malformed atomic.Uint64 // received messages that could not be decoded
	Sent      atomic.Uint64 // messages encoded, including grants dropped beyond maxDelayedGrants
	Received  atomic.Uint64 // messages decoded
	Bytes     atomic.Uint64 // total length of the messages counted by Sent
}

// New returns a link. routers is the configured size of the fleet, now the time in
// ms. It returns a *fleetstate.ConfigError for an invalid configuration.
func New(cfg fleetstate.Config, routers int, now int64, log *slog.Logger) (*Link, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	codec, err := wire.New()
	if err != nil {
		return nil, fmt.Errorf("link: creating codec: %w", err)
	}
	l := &Link{
		node:   fleetstate.New(cfg, routers, now),
		codec:  codec,
		log:    log.With("component", "fleetstate"),
		advice: make(chan Advice, 1),
	}
	l.initial = l.node.Advice(now)
	l.page = l.node.StatusPage(now)
	return l, nil
}

// InitialAdvice returns the advice to apply before the first request. It excludes
// the quotas that an earlier incarnation of this router may have lent.
func (l *Link) InitialAdvice() fleetstate.Advice { return l.initial }

// Offer passes the router's observation to the node at the next tick. It replaces
// an earlier observation that was not passed on yet, except that its counters are
// added.
func (l *Link) Offer(observed fleetstate.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed != nil {
		observed.Counters = sum(observed.Counters, l.observed.Counters)
	}
	l.observed = &observed
}

// sum returns counters plus earlier. It may modify counters.
func sum(counters, earlier fleetstate.Counters) fleetstate.Counters {
	if missing := len(earlier) - len(counters); missing > 0 {
		counters = append(counters, make(fleetstate.Counters, missing)...)
	}
	for i, value := range earlier {
		counters[i] += value
	}
	return counters
}

// Advice returns the channel that delivers advice to the router. Advice that was
// not received in time is replaced by newer advice.
func (l *Link) Advice() <-chan Advice { return l.advice }

// Applied tells the link that the router applies the advice with this sequence
// number, so that the grants that waited for it may be sent.
func (l *Link) Applied(seq uint64) { l.applied.Store(seq) }

// StatusPage returns a copy of the state for the admin page.
func (l *Link) StatusPage() fleetstate.StatusPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.page
}

// UpdatePeers implements udp.SharedState. It sets the node's membership view.
func (l *Link) UpdatePeers(peers []string, size int, now int64) { l.node.SetView(peers, size, now) }

// Tick implements udp.SharedState. It passes a new observation to the node and
// returns the payloads that are due, including the delayed grants whose advice the
// router applies.
func (l *Link) Tick(now int64) []udp.Payload {
	if observed := l.takeObservation(); observed != nil {
		l.node.Observe(*observed)
	}
	ready := l.node.Tick(now)
	if len(ready.Events) > 0 || now-l.advisedAt >= adviceIntervalMs {
		l.renewAdvice(now)
	}
	l.logEvents(ready.Events)
	return append(l.encode(ready.Messages), l.dueGrants()...)
}

// takeObservation returns the observation not yet passed to the node and clears
// it. It returns nil if there is none.
func (l *Link) takeObservation() *fleetstate.Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	observed := l.observed
	l.observed = nil
	return observed
}

// dueGrants removes and returns the delayed grants whose advice the router
// applies.
func (l *Link) dueGrants() (due []udp.Payload) {
	for len(l.grants) > 0 && l.grants[0].seq <= l.applied.Load() {
		due = append(due, l.grants[0].Payload)
		l.grants = l.grants[1:]
	}
	return due
}

// Receive implements udp.SharedState. It counts and drops malformed messages. It
// always returns nil: the only answers to a message are grants, which Tick sends
// once the router has applied its reduced quota.
func (l *Link) Receive(from string, payload []byte, now int64) []udp.Payload {
	message, err := l.codec.Decode(payload)
	if err != nil {
		l.Malformed.Add(1)
		return nil
	}
	l.Received.Add(1)
	ready := l.node.Receive(from, message, now)
	if len(ready.Events) > 0 {
		l.renewAdvice(now)
	}
	l.logEvents(ready.Events)
	for _, grant := range l.encode(ready.Messages) {
		if len(l.grants) < maxDelayedGrants {
			l.grants = append(l.grants, delayedGrant{seq: l.seq, Payload: grant})
		}
	}
	return nil
}

// renewAdvice computes new advice and a new status page.
func (l *Link) renewAdvice(now int64) {
	l.advisedAt = now
	advice := l.node.Advice(now)
	page := l.node.StatusPage(now)
	l.mu.Lock()
	l.page = page
	l.mu.Unlock()
	select { // discard advice that the router has not received
	case <-l.advice:
	default:
	}
	l.seq++
	l.advice <- Advice{Advice: advice, Seq: l.seq} // cannot block: the membership loop is the only sender
}

// encode returns the payloads of messages. A message that cannot be encoded is
// logged and dropped.
func (l *Link) encode(messages []fleetstate.Envelope) (payloads []udp.Payload) {
	for _, envelope := range messages {
		encoded, err := l.codec.Encode(envelope.Message)
		if err != nil {
			l.log.Error("message encoding failed", "error", err)
			continue
		}
		l.Sent.Add(1)
		l.Bytes.Add(uint64(len(encoded)))
		payloads = append(payloads, udp.Payload{To: envelope.To, Bytes: encoded})
	}
	return payloads
}
