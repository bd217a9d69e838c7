package fleetstate

import "slices"

const (
	// urgentFanOutFactor is how many times FanOut peers a fault is reported to
	// when it was just found: the first moments count, and what follows comes at
	// FanOut's pace.
	urgentFanOutFactor = 3
	// drawsPerPeer bounds the draws for each peer wanted, as peers may be drawn
	// twice.
	drawsPerPeer = 4
)

// outbox collects one message for each peer.
type outbox struct {
	messages map[string]*Message
	order    []string // of the peers
}

// to returns the message to a peer.
func (o *outbox) to(peer string) *Message {
	if o.messages[peer] == nil {
		o.messages[peer] = &Message{}
		o.order = append(o.order, peer)
	}
	return o.messages[peer]
}

// envelopes are the messages that are not empty.
func (o *outbox) envelopes() (envelopes []Envelope) {
	for _, peer := range o.order {
		message := o.messages[peer]
		if len(message.Counters)+len(message.HealthReports)+len(message.LeaseRequests) > 0 {
			envelopes = append(envelopes, Envelope{To: peer, Message: *message})
		}
	}
	return envelopes
}

// gossip makes this tick's messages: reports to FanOut peers, lease requests to
// LendersPerTick peers for each budget that is short, counters to one peer.
func (n *Node) gossip(now int64, urgent bool) []Envelope {
	if len(n.peers) == 0 {
		return nil
	}
	n.rounds++
	out := &outbox{messages: map[string]*Message{}}
	n.sendReports(out, urgent, now)
	n.sendLeaseRequests(out, now)
	n.sendCounters(out, now)
	return out.envelopes()
}

// drawPeers draws up to count different peers.
func (n *Node) drawPeers(count int) (drawn []string) {
	for range drawsPerPeer * count {
		peer := n.peers[n.rng.IntN(len(n.peers))]
		if len(drawn) < min(count, len(n.peers)) && !slices.Contains(drawn, peer) {
			drawn = append(drawn, peer)
		}
	}
	return drawn
}

// sendReports sends this router's health reports. Each peer's message begins at
// another report, so that all of a long list get sent.
func (n *Node) sendReports(out *outbox, urgent bool, now int64) {
	reports := n.outliers.ownReports(now)
	if len(reports) == 0 {
		return
	}
	fanOut := n.cfg.FanOut
	if urgent {
		fanOut *= urgentFanOutFactor
	}
	for _, peer := range n.drawPeers(fanOut) {
		message := out.to(peer)
		for i := range reports {
			report := reports[(i+n.rounds)%len(reports)]
			if message.Size()+report.size() > n.cfg.MaxMessageBytes {
				break
			}
			message.HealthReports = append(message.HealthReports, report)
		}
	}
}

// sendLeaseRequests requests parts of the budgets that are short.
func (n *Node) sendLeaseRequests(out *outbox, now int64) {
	for _, key := range n.shortBudgets() {
		stake, _ := n.stake(key)
		for _, peer := range n.drawPeers(n.cfg.LendersPerTick) {
			message := out.to(peer)
			if message.Size()+leaseSize(key) > n.cfg.MaxMessageBytes {
				continue
			}
			if request, ok := n.leases.request(key, peer, stake, now); ok {
				message.LeaseRequests = append(message.LeaseRequests, request)
			}
		}
	}
}

// shortBudgets are the budgets of which this router would use more.
func (n *Node) shortBudgets() (keys []string) {
	for i := range n.outliers.endpoints {
		endpoint := &n.outliers.endpoints[i]
		if endpoint.WarmingUp && endpoint.RequestsQueued {
			keys = append(keys, endpoint.Name)
		}
	}
	if n.retryBudget.Depleted {
		keys = append(keys, RetryBudgetKey)
	}
	return keys
}

// sendCounters sends a page of counters to one peer, where it is due.
func (n *Node) sendCounters(out *outbox, now int64) {
	if now < n.nextCounters {
		return
	}
	n.nextCounters = now + n.cfg.CounterIntervalMs
	for _, peer := range n.drawPeers(1) {
		message := out.to(peer)
		message.Counters = n.counters.page(n.cfg.MaxMessageBytes - message.Size())
	}
}
