package membership

import (
	"maps"
	"slices"
)

// probe is the one probe in flight: a ping, then if no ack comes in time,
// pings through IndirectK others, until the period ends.
type probe struct {
	target   string
	seq      uint64
	deadline int64 // direct answer expected by then
	end      int64 // the period's end: no ack by then, and the target is suspect
	indirect bool
	asked    int // members asked to probe for us: as many nacks are expected
	nacks    int
	acked    bool
}

// relayed is a ping that we carry for another member.
type relayed struct {
	origin    string // its address
	originSeq uint64
	target    string
	deadline  int64 // a nack goes back then, if no ack came
}

// Tick moves the protocol to now: timers of probes, relays, suspicions and
// the push-pull. Call it at least every tenth of a period.
func (n *Node) Tick(now int64) Ready {
	n.fill(now)
	for _, seq := range slices.Sorted(maps.Keys(n.relay)) { // each relay ends by one ack or one nack; sorted, so one seed gives one order
		if r := n.relay[seq]; now >= r.deadline {
			n.send(r.origin, Message{Kind: Nack, Seq: r.originSeq, Target: r.target}, now, false)
			delete(n.relay, seq)
		}
	}
	n.expire(now)
	if n.leaving {
		return n.take()
	}
	if p := n.probe; p != nil {
		if !p.acked && !p.indirect && now >= p.deadline {
			n.askOthers(p, now)
		}
		if now >= p.end {
			n.finish(p, now)
		}
	}
	if n.probe == nil && now >= n.next {
		n.start(now)
	}
	if now >= n.nextSync && n.cfg.Sabotage != "no-pushpull" {
		n.pushPull(now)
	}
	return n.take()
}

// scale is how much slower this member probes while it doubts itself.
func (n *Node) scale(ms int64) int64 { return ms * int64(n.aware+1) }

func (n *Node) doubt(by int) {
	n.aware = max(0, min(n.cfg.MaxAwareness, n.aware+by))
}

// start probes the next member in the shuffled order; the order is drawn
// anew once used up, so each member is probed within 2n periods.
func (n *Node) start(now int64) {
	n.next = now + n.scale(n.cfg.ProbeIntervalMs)
	n.tell = slices.DeleteFunc(n.tell, func(a accuser) bool { return a.left <= 0 })
	n.retell(0, now)
	for range 2 {
		for n.pos < len(n.order) {
			name := n.order[n.pos]
			n.pos++
			e := n.members[name]
			if e == nil || e.State >= Dead {
				continue
			}
			n.seq++
			n.probe = &probe{target: name, seq: n.seq,
				deadline: now + n.scale(n.cfg.ProbeTimeoutMs), end: n.next}
			m := Message{Kind: Ping, Seq: n.seq, Target: name}
			if e.State == Suspect { // Lifeguard's buddy: tell it first, so it refutes at once
				m.Updates = append(m.Updates, e.Update)
			}
			n.send(e.Addr, m, now, true)
			return
		}
		n.reorder()
	}
}

// reorder drops forgotten names and shuffles the probe order.
func (n *Node) reorder() {
	kept := n.order[:0]
	for _, name := range n.order {
		if n.members[name] != nil {
			kept = append(kept, name)
		}
	}
	n.order, n.pos = kept, 0
	n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
}

func (n *Node) askOthers(p *probe, now int64) {
	p.indirect = true
	e := n.members[p.target]
	if e == nil {
		return
	}
	for _, name := range n.pick(n.cfg.IndirectProbes, p.target, false) {
		n.send(n.members[name].Addr, Message{Kind: PingReq, Seq: p.seq, Target: p.target, TargetAddr: e.Addr}, now, true)
		p.asked++
	}
}

// finish ends a probe: an ack makes this member trust itself a little more;
// none makes the target suspect, and missing nacks make this member doubt
// itself (its own links may be the bad ones).
func (n *Node) finish(p *probe, now int64) {
	n.probe = nil
	if p.acked {
		n.doubt(-1)
		return
	}
	if p.nacks < p.asked {
		n.doubt(+1)
	}
	e := n.members[p.target]
	if e == nil || e.State != Alive {
		return
	}
	n.stats.Suspected++
	r := Update{Name: e.Name, Addr: e.Addr, Zone: e.Zone, Start: e.Start, Incarnation: e.Incarnation, State: Suspect, Suspector: n.self.Name}
	if n.cfg.Sabotage == "no-suspicion" {
		r.State = Dead
	}
	n.apply(r, now)
}

// acked takes an ack: of our probe, or of one we carry for another.
func (n *Node) acked(m Message, now int64) {
	if p := n.probe; p != nil && p.seq == m.Seq && m.Target == p.target {
		p.acked = true
		n.probe = nil
		n.doubt(-1)
		return
	}
	if r := n.relay[m.Seq]; r != nil {
		n.send(r.origin, Message{Kind: Ack, Seq: r.originSeq, Target: r.target}, now, false)
		delete(n.relay, m.Seq)
	}
}

// carry probes a member for another. Relays are bounded by the number of
// members: a PingReq beyond that is dropped and counted.
func (n *Node) carry(from string, m Message, now int64) {
	if m.TargetAddr == "" || len(n.relay) > len(n.members) {
		n.stats.Dropped++
		return
	}
	n.seq++
	n.relay[n.seq] = &relayed{origin: from, originSeq: m.Seq, target: m.Target,
		deadline: now + n.cfg.ProbeTimeoutMs*4/5}
	n.send(m.TargetAddr, Message{Kind: Ping, Seq: n.seq, Target: m.Target}, now, true)
}
