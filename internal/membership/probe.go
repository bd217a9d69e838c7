package membership

import (
	"math/rand/v2"
	"slices"
)

// probe is a probe in flight: a direct ping and, if its ack does not arrive in
// time, indirect pings through other members until the probe interval ends.
type probe struct {
	target         string // name
	sequence       uint64
	ackDeadline    int64 // ms, when indirect probes are requested unless an ack arrived
	endsAt         int64 // ms, when the target becomes suspect unless an ack arrived
	indirect       bool  // whether indirect probes were requested
	nacksExpected  int   // number of members requested to ping the target
	nacksCollected int
}

// probeSchedule is the order in which members are probed, and the probe in
// flight.
type probeSchedule struct {
	order    []string // names in random order, reshuffled after each round
	position int      // index in order of the next target
	current  *probe   // nil for none
	nextAt   int64    // ms, earliest start of the next probe
}

// insert adds a new member at a random position among those still to be probed in
// this round.
func (s *probeSchedule) insert(name string, rng *rand.Rand) {
	s.order = append(s.order, name)
	if last := len(s.order) - 1; last > 0 {
		place := s.position + rng.IntN(len(s.order)-s.position)
		s.order[place], s.order[last] = s.order[last], s.order[place]
	}
}

// reshuffle starts a new round in random order with the names that keep accepts.
func (s *probeSchedule) reshuffle(keep func(name string) bool, rng *rand.Rand) {
	s.order = slices.DeleteFunc(s.order, func(name string) bool { return !keep(name) })
	s.position = 0
	rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

// localHealth is Lifeguard's local health multiplier. A member that misses nacks
// for its own probes, or is suspected by others, may be slow itself, so it probes
// at longer intervals.
type localHealth struct {
	score int // 0 (healthy) to max
	max   int
}

func (h *localHealth) improve() { h.score = max(0, h.score-1) }

func (h *localHealth) worsen() { h.score = min(h.max, h.score+1) }

// scale multiplies a duration by the local health multiplier, score + 1.
func (h *localHealth) scale(ms int64) int64 { return ms * int64(h.score+1) }

// advanceProbe advances the probe in flight and starts the next one when due.
func (n *Node) advanceProbe(now int64) {
	if current := n.probes.current; current != nil {
		if !current.indirect && now >= current.ackDeadline {
			n.requestIndirectProbes(current, now)
		}
		if now >= current.endsAt {
			n.failProbe(current, now)
		}
	}
	if n.probes.current == nil && now >= n.probes.nextAt {
		n.startProbe(now)
	}
}

// startProbe pings the next member in the probe order. A ping to a suspect carries
// the suspicion (Lifeguard's buddy system), so that the suspect refutes it at once.
func (n *Node) startProbe(now int64) {
	n.probes.nextAt = now + n.health.scale(n.cfg.ProbeIntervalMs)
	n.refutations.dropNotified()
	n.sendRefutations(0, now)
	target := n.nextProbeTarget()
	if target == nil {
		return
	}
	n.probes.current = &probe{
		target:      target.Name,
		sequence:    n.nextSequence(),
		ackDeadline: now + n.health.scale(n.cfg.ProbeTimeoutMs),
		endsAt:      n.probes.nextAt,
	}
	ping := Message{Kind: Ping, Seq: n.probes.current.sequence, Target: target.Name}
	if target.State == Suspect {
		ping.Updates = append(ping.Updates, target.Update)
	}
	n.sendProbeMessage(target.Addr, ping, now)
}

// nextProbeTarget returns the next reachable member in the probe order, nil if
// there is none. The order is reshuffled after each round, so that each of the n
// members is probed at least once in 2n probes.
func (n *Node) nextProbeTarget() *member {
	for range 2 {
		for n.probes.position < len(n.probes.order) {
			candidate := n.members[n.probes.order[n.probes.position]]
			n.probes.position++
			if candidate != nil && candidate.reachable() {
				return candidate
			}
		}
		n.probes.reshuffle(func(name string) bool { return n.members[name] != nil }, n.rng)
	}
	return nil
}

// requestIndirectProbes sends a ping-req for the target of a probe to random
// members.
func (n *Node) requestIndirectProbes(current *probe, now int64) {
	current.indirect = true
	target := n.members[current.target]
	if target == nil {
		return
	}
	request := Message{Kind: PingReq, Seq: current.sequence, Target: current.target, TargetAddr: target.Addr}
	for _, name := range n.randomAlive(n.cfg.IndirectProbes, current.target) {
		n.sendProbeMessage(n.members[name].Addr, request, now)
		current.nacksExpected++
	}
}

// failProbe ends a probe that received no ack: its target becomes suspect. Missing
// nacks worsen the local health, because they suggest that this member itself is
// slow or its network faulty.
func (n *Node) failProbe(failed *probe, now int64) {
	n.probes.current = nil
	if failed.nacksCollected < failed.nacksExpected {
		n.health.worsen()
	}
	target := n.members[failed.target]
	if target == nil || target.State != Alive {
		return
	}
	n.stats.Suspected++
	update := target.Update
	update.State = Suspect
	update.Suspector = n.self.Name
	if n.faults.SkipsSuspicion() {
		update.State = Dead
	}
	n.apply(update, fromGossip, now)
}

// receiveAck handles the ack of the probe in flight, or forwards the ack of an
// indirect probe to its originator.
func (n *Node) receiveAck(m Message, now int64) {
	current := n.probes.current
	if current != nil && current.sequence == m.Seq && current.target == m.Target {
		n.probes.current = nil
		n.health.improve()
		return
	}
	n.finishIndirectProbe(m.Seq, now)
}

// receiveNack counts a nack for the probe in flight and ignores any other.
func (n *Node) receiveNack(m Message) {
	if current := n.probes.current; current != nil && current.sequence == m.Seq {
		current.nacksCollected++
	}
}
