package fleetstate

import (
	"math/rand/v2"
	"slices"
)

// Node is one router's part of the shared state. It is not safe for concurrent
// use.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	leases   *leaseTable
	counters *counterStore
	outliers *outlierDetector

	configuredRouters int
	routers           int   // size of the fleet: the largest of the configured size and the recent views
	routersAt         int64 // when a view last confirmed or set routers, ms
	peers             []string
	retryBudget       RetryBudget
	nextTick          int64  // when reports and lease requests are due, ms
	nextCounters      int64  // when counters are due, ms
	rounds            int    // number of gossip rounds so far
	advice            Advice // latest
	unknownSenders    uint64 // number of messages from routers outside the view
}

// Ready holds the messages that the caller must send and the events that it
// should log.
type Ready struct {
	Messages []Envelope
	Events   []Event
}

// New returns a node for a configuration that Config.Check accepts. routers is the
// configured size of the fleet, now the time in ms.
func New(cfg Config, routers int, now int64) *Node {
	n := &Node{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5eed)),
		leases:            newLeaseTable(cfg, now),
		counters:          newCounterStore(cfg, now),
		outliers:          newOutlierDetector(cfg, now),
		configuredRouters: max(routers, 1),
		routers:           max(routers, 1),
		routersAt:         now,
		nextTick:          now,
	}
	n.advice.Routers = n.routers
	return n
}

// SetView sets the membership view: the names of the live peers, and the number
// of routers that may exist, including this one (alive, suspect or dead, but not
// left). The fleet's size, from which stakes are computed, grows at once but
// shrinks only after no view had the larger size for CounterRetentionMs, because
// a router that cannot be reached may be partitioned and still sending requests.
// It never falls below the configured size.
func (n *Node) SetView(peers []string, size int, now int64) {
	n.peers = peers
	size = max(size, n.configuredRouters)
	if size >= n.routers || now-n.routersAt >= n.cfg.CounterRetentionMs {
		n.routers = size
		n.routersAt = now
	}
}

// Observe adds the counts of an observation to the counters, and replaces the
// health of the endpoints and the state of the retry budget.
func (n *Node) Observe(observed Observation) {
	n.counters.record(observed.Counters)
	n.outliers.observe(observed.Endpoints)
	n.retryBudget = observed.RetryBudget
}

// endpointStake returns this router's stake in a warming endpoint's budget, as a
// fraction.
func (n *Node) endpointStake() float64 { return 1 / float64(n.routers) }

// stake returns this router's stake in a budget, and whether the router needs it
// itself and so lends nothing.
func (n *Node) stake(key string) (stake float64, needed bool) {
	if key == RetryBudgetKey {
		return n.retryBudget.EarnedPerSecond, !n.retryBudget.Surplus
	}
	endpoint := n.outliers.endpoint(key)
	return n.endpointStake(), endpoint != nil && endpoint.RequestsQueued
}

// Tick advances the time to now, in ms. Call it at least every TickMs.
func (n *Node) Tick(now int64) Ready {
	var ready Ready
	ready.Events = n.leases.expire(now)
	urgent := n.outliers.hasUnreportedFault(now) // a new fault is not delayed until the next tick
	if now >= n.nextTick || urgent {
		n.nextTick = now + n.cfg.TickMs
		n.counters.tick(now)
		ready.Messages = n.gossip(now, urgent)
	}
	ready.Events = append(ready.Events, n.outliers.events...)
	n.outliers.events = nil
	return ready
}

// Receive handles a message of a peer at now, in ms. The caller must have checked
// that it came from that member's address. Messages of routers outside the view
// are counted and dropped.
func (n *Node) Receive(peer string, message Message, now int64) Ready {
	if !slices.Contains(n.peers, peer) {
		n.unknownSenders++
		return Ready{}
	}
	n.counters.lastReceivedAt = now
	for _, entry := range message.Counters {
		n.counters.merge(entry, now)
	}
	for _, report := range message.HealthReports {
		n.outliers.receive(peer, report, now)
	}
	ready := n.answerRequests(peer, message.LeaseRequests, now)
	ready.Events = append(ready.Events, n.acceptGrants(peer, message.LeaseGrants, now)...)
	return ready
}

// answerRequests grants a peer's lease requests, as many as fit into one message.
// A lease whose grant does not fit is not announced to the peer, but counts as
// lent until it expires. Requests for endpoints that this router does not know are
// ignored.
func (n *Node) answerRequests(peer string, requests []LeaseRequest, now int64) (ready Ready) {
	var answer Message
	for _, request := range requests {
		if request.Key != RetryBudgetKey && n.outliers.endpoint(request.Key) == nil {
			continue
		}
		stake, needed := n.stake(request.Key)
		grant, ok := n.leases.grant(peer, request, stake, needed, now)
		if !ok || answer.Size()+leaseSize(grant.Key) > n.cfg.MaxMessageBytes {
			continue
		}
		answer.LeaseGrants = append(answer.LeaseGrants, grant)
		ready.Events = append(ready.Events, Event{
			Kind:   LeaseGranted,
			Key:    grant.Key,
			Peer:   peer,
			Amount: grant.Amount,
		})
	}
	if len(answer.LeaseGrants) > 0 {
		ready.Messages = append(ready.Messages, Envelope{To: peer, Message: answer})
	}
	return ready
}

// acceptGrants accepts the leases that a peer granted.
func (n *Node) acceptGrants(peer string, grants []LeaseGrant, now int64) (events []Event) {
	for _, grant := range grants {
		stake, _ := n.stake(grant.Key)
		borrowed, ok := n.leases.accept(peer, grant, stake, now)
		if !ok {
			continue
		}
		events = append(events, Event{
			Kind:   LeaseBorrowed,
			Key:    grant.Key,
			Peer:   peer,
			Amount: borrowed.amount,
		})
	}
	return events
}

// Totals returns the sum of all routers' counters, as far as this router has
// received them.
func (n *Node) Totals() Counters { return n.counters.total() }
