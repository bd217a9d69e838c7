package fleetstate

import "slices"

const (
	// urgentFanOutFactor multiplies FanOut in the first message on a new fault,
	// so that more peers learn of it at once. Later reports use FanOut.
	urgentFanOutFactor = 3
	// drawsPerPeer is the number of random draws for each peer wanted. One draw
	// may not be enough because a peer can be drawn twice.
	drawsPerPeer = 4
)

// outbox collects one message for each peer.
type outbox struct {
	messages map[string]*Message // by peer
	order    []string            // peers in the order in which their messages were created
}

// messageTo returns the message to a peer. It creates one if there is none yet.
func (o *outbox) messageTo(peer string) *Message {
	if o.messages[peer] == nil {
		o.messages[peer] = &Message{}
		o.order = append(o.order, peer)
	}
	return o.messages[peer]
}

// envelopes returns the messages that are not empty.
func (o *outbox) envelopes() (envelopes []Envelope) {
	for _, peer := range o.order {
		message := o.messages[peer]
		if len(message.Counters)+len(message.HealthReports)+len(message.LeaseRequests) > 0 {
			envelopes = append(envelopes, Envelope{To: peer, Message: *message})
		}
	}
	return envelopes
}

// gossip builds this tick's messages: reports to FanOut peers, requests to
// LendersPerTick peers for each budget of which this router needs more, and
// counters to one peer. If urgent, reports go to more peers.
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

// drawPeers draws up to count distinct peers at random. It may return fewer even
// if there are enough peers.
func (n *Node) drawPeers(count int) (drawn []string) {
	for range drawsPerPeer * count {
		peer := n.peers[n.rng.IntN(len(n.peers))]
		if len(drawn) < min(count, len(n.peers)) && !slices.Contains(drawn, peer) {
			drawn = append(drawn, peer)
		}
	}
	return drawn
}

// sendReports adds this router's health reports to the messages of drawn peers.
// Each tick starts at another report, so that every report of a list too long for
// one message is sent in turn.
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
		message := out.messageTo(peer)
		for i := range reports {
			report := reports[(i+n.rounds)%len(reports)]
			if message.Size()+report.size() > n.cfg.MaxMessageBytes {
				break
			}
			message.HealthReports = append(message.HealthReports, report)
		}
	}
}

// sendLeaseRequests requests leases on the budgets of which this router needs
// more.
func (n *Node) sendLeaseRequests(out *outbox, now int64) {
	for _, key := range n.shortBudgets() {
		stake, _ := n.stake(key)
		for _, peer := range n.drawPeers(n.cfg.LendersPerTick) {
			message := out.messageTo(peer)
			if message.Size()+leaseSize(key) > n.cfg.MaxMessageBytes {
				continue
			}
			if request, ok := n.leases.request(key, peer, stake, now); ok {
				message.LeaseRequests = append(message.LeaseRequests, request)
			}
		}
	}
}

// shortBudgets returns the keys of the budgets of which this router needs more.
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

// sendCounters sends a page of counters to one peer every CounterIntervalMs.
func (n *Node) sendCounters(out *outbox, now int64) {
	if now < n.nextCounters {
		return
	}
	n.nextCounters = now + n.cfg.CounterIntervalMs
	for _, peer := range n.drawPeers(1) {
		message := out.messageTo(peer)
		message.Counters = n.counters.page(n.cfg.MaxMessageBytes - message.Size())
	}
}
