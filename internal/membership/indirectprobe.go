package membership

import (
	"maps"
	"slices"
)

// indirectProbe is a ping that this member sends on behalf of another one, the
// originator of a ping-req.
type indirectProbe struct {
	originator         string // address
	originatorSequence uint64 // sequence number of the ping-req
	target             string // name
	deadline           int64  // ms, when a nack is sent unless an ack arrived
}

// startIndirectProbe pings the target of a ping-req. At most as many indirect probes
// are in flight as there are members, this one included. A ping-req beyond that
// bound, or without the target's address, is dropped and counted. The nack is due
// after 80% of the probe timeout, as in Lifeguard.
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
	n.sendProbeMessage(m.TargetAddr, Message{Kind: Ping, Seq: sequence, Target: m.Target}, now)
}

// finishIndirectProbe sends an ack to the originator of the indirect probe with
// this sequence number. Unknown sequence numbers are ignored.
func (n *Node) finishIndirectProbe(sequence uint64, now int64) {
	if acked := n.indirectProbes[sequence]; acked != nil {
		n.sendBudgeted(acked.originator, acked.reply(Ack), now)
		delete(n.indirectProbes, sequence)
	}
}

// expireIndirectProbes sends a nack to the originator of each indirect probe whose
// deadline has passed. It visits them by sequence number, because the order of a
// map would make the packets differ between runs with the same seed.
func (n *Node) expireIndirectProbes(now int64) {
	for _, sequence := range slices.Sorted(maps.Keys(n.indirectProbes)) {
		if expired := n.indirectProbes[sequence]; now >= expired.deadline {
			n.sendBudgeted(expired.originator, expired.reply(Nack), now)
			delete(n.indirectProbes, sequence)
		}
	}
}

// reply returns the ack or nack that reports the result to the originator.
func (p *indirectProbe) reply(kind Kind) Message {
	return Message{Kind: kind, Seq: p.originatorSequence, Target: p.target}
}
