package membership

import "slices"

// Receive handles a decoded packet from an address. What is malformed, stale or
// from an unknown sender is dropped and counted in Stats.
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

// learnSeed adds a sender to the seeds while no member is known: one that knows
// of this member already is as good a seed as one that may be busy.
func (n *Node) learnSeed(from string) {
	if len(n.members) == 0 && len(n.seeds) < maxLearnedSeeds && !slices.Contains(n.seeds, from) {
		n.seeds = append(n.seeds, from)
	}
}

// receivePing acknowledges a ping. The ack of a ping that reports a suspicion
// of this member has the refutation with it.
func (n *Node) receivePing(from string, m Message, now int64) {
	if m.Target != "" && m.Target != n.self.Name {
		n.stats.Misdirected++ // meant for an earlier member at this address
		return
	}
	ack := Message{Kind: Ack, Seq: m.Seq, Target: n.self.Name}
	if slices.ContainsFunc(m.Updates, n.suspectsSelf) && !n.faults.SkipsRefutation() {
		ack.Updates = append(ack.Updates, n.self)
	}
	n.sendProbe(from, ack, now)
}

// suspectsSelf reports whether an update denies that this member is alive.
func (n *Node) suspectsSelf(update Update) bool {
	return update.Name == n.self.Name && update.State != Alive
}

// receiveUserData hands a payload to the caller if its sender is a member of
// the view and sent it from its own address.
func (n *Node) receiveUserData(from string, m Message) {
	sender := n.members[m.From]
	if sender == nil || sender.Addr != from || !sender.reachable() {
		n.stats.UnknownSenders++
		return
	}
	n.out.UserData = m.Payload
	n.out.From = m.From
}

// applyAll applies updates in the order in which they arrived.
func (n *Node) applyAll(updates []Update, now int64) {
	for _, update := range updates {
		n.apply(update, byGossip, now)
	}
}
