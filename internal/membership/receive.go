package membership

import "slices"

// Receive handles a message from the address from. Updates and messages that are
// malformed, stale or from an unknown sender are dropped and counted in Stats.
func (n *Node) Receive(from string, m Message, now int64) Ready {
	n.stats.PacketsIn++
	if !m.isPage() {
		n.applyAll(m.Updates, now)
	}
	n.learnSeed(from)
	switch m.Kind {
	case Ping:
		n.receivePing(from, m, now)
	case PingReq:
		n.startIndirectProbe(from, m, now)
	case Ack:
		n.receiveAck(m, now)
	case Nack:
		n.receiveNack(m)
	case Sync:
		n.mergePage(m, now)
		n.compareViewSizes(m, now)
		n.replyToPage(from, m, now)
	case SyncReply:
		n.mergePage(m, now)
		n.compareViewSizes(m, now)
	case UserData:
		n.receiveUserData(from, m)
	default:
		n.stats.Malformed++
	}
	return n.takeReady()
}

// learnSeed adds the sender of a packet to the seeds while no other member is
// known. The configured seeds may be too busy to reply, and a sender that already
// knows this member's address serves as well.
func (n *Node) learnSeed(from string) {
	if len(n.members) == 0 && len(n.seeds) < maxLearnedSeeds && !slices.Contains(n.seeds, from) {
		n.seeds = append(n.seeds, from)
	}
}

// receivePing replies to a ping with an ack. If the ping carries a suspicion or
// death of this member, the ack carries the refutation.
func (n *Node) receivePing(from string, m Message, now int64) {
	if m.Target != "" && m.Target != n.self.Name {
		n.stats.Misdirected++ // sent to an earlier member at this address
		return
	}
	ack := Message{Kind: Ack, Seq: m.Seq, Target: n.self.Name}
	if slices.ContainsFunc(m.Updates, n.suspectsSelf) && !n.faults.SkipsRefutation() {
		ack.Updates = append(ack.Updates, n.self)
	}
	n.sendProbeMessage(from, ack, now)
}

// suspectsSelf reports whether an update states that this member is not alive.
func (n *Node) suspectsSelf(update Update) bool {
	return update.Name == n.self.Name && update.State != Alive
}

// receiveUserData passes a payload to the caller if its sender is an alive or
// suspect member of the view and sent it from the address in the view.
func (n *Node) receiveUserData(from string, m Message) {
	sender := n.members[m.From]
	if sender == nil || sender.Addr != from || !sender.reachable() {
		n.stats.UnknownSenders++
		return
	}
	n.out.UserData = m.Payload
	n.out.From = m.From
}

// applyAll applies the gossip of a packet in order.
func (n *Node) applyAll(updates []Update, now int64) {
	for _, update := range updates {
		n.apply(update, fromGossip, now)
	}
}
