package membership

import (
	"maps"
	"slices"
)

// indirectProbe is a ping that this member sends on a ping-req of another one.
type indirectProbe struct {
	originator         string // its address
	originatorSequence uint64
	target             string
	deadline           int64 // ms: without an ack by then a nack is returned
}

// startIndirectProbe pings a member for another one. The indirect probes are
// bounded by the number of members: a ping-req beyond that is dropped and
// counted.
func (n *Node) startIndirectProbe(from string, m Message, now int64) {
	if m.TargetAddr == "" || len(n.indirectProbes) > len(n.members) {
		n.stats.Dropped++
		return
	}
	sequence := n.nextSequence()
	n.indirectProbes[sequence] = &indirectProbe{
		originator:         from,
		originatorSequence: m.Seq,
		target:             m.Target,
		deadline:           now + n.cfg.ProbeTimeoutMs*4/5,
	}
	n.sendProbe(m.TargetAddr, Message{Kind: Ping, Seq: sequence, Target: m.Target}, now)
}

// finishIndirectProbe returns an ack to the originator of an indirect probe.
func (n *Node) finishIndirectProbe(sequence uint64, now int64) {
	if acked := n.indirectProbes[sequence]; acked != nil {
		n.sendBudgeted(acked.originator, acked.reply(Ack), now)
		delete(n.indirectProbes, sequence)
	}
}

// expireIndirectProbes returns a nack for each indirect probe whose deadline has
// passed, in the order of their numbers, so that one seed gives one order.
func (n *Node) expireIndirectProbes(now int64) {
	for _, sequence := range slices.Sorted(maps.Keys(n.indirectProbes)) {
		if expired := n.indirectProbes[sequence]; now >= expired.deadline {
			n.sendBudgeted(expired.originator, expired.reply(Nack), now)
			delete(n.indirectProbes, sequence)
		}
	}
}

// reply is the message that reports the outcome to the originator.
func (p *indirectProbe) reply(kind Kind) Message {
	return Message{Kind: kind, Seq: p.originatorSequence, Target: p.target}
}
