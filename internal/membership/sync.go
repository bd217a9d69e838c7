package membership

import "slices"

// The push-pull: a page of the view, as much as a packet holds, to one member
// a round; it answers with its page of the same names. The pages go round
// the names, so that two members' views meet whole in about n/page rounds.
// Every page also says what the sender holds of itself and of the receiver:
// after a partition each side learns at once that the other took it for
// dead, and refutes.

// pushPull sends the next page: to a random live member, every
// ReconnectEvery-th time to a dead one (so that the two sides of a healed
// partition find each other), and to a seed while nobody is known.
func (n *Node) pushPull(now int64) {
	n.nextSync = now + n.cfg.SyncMs
	n.syncs++
	to := ""
	if n.syncs%n.cfg.ReconnectEvery == 0 {
		var dead []string
		for _, name := range n.watch {
			if e := n.members[name]; e != nil && e.State == Dead {
				dead = append(dead, e.Addr)
			}
		}
		if len(dead) > 0 {
			to = dead[n.rng.IntN(len(dead))]
		}
	}
	if to == "" {
		if live := n.pick(1, "", false); len(live) > 0 {
			to = n.members[live[0]].Addr
		} else if len(n.seeds) > 0 {
			to = n.seeds[n.syncs%len(n.seeds)]
		}
	}
	if to == "" {
		return
	}
	n.cursor = n.sendSync(to, n.cursor, now)
}

// sendSync sends the page of names after after; it returns where the next
// page starts ("" once the names came round).
func (n *Node) sendSync(to, after string, now int64) string {
	m := Message{Kind: Sync, After: after}
	last := n.page(&m, to, after)
	n.send(to, m, now, false)
	return last
}

func (n *Node) replySync(from string, in Message, now int64) {
	if n.leaving {
		return
	}
	m := Message{Kind: SyncReply, After: in.After}
	n.page(&m, from, in.After)
	n.send(from, m, now, false)
}

// page fills m with this member's own rumor, what it holds of the member at
// addr, and the names after after, as many as fit; it returns the last name
// put in, or "" if the page reached the end.
func (n *Node) page(m *Message, addr, after string) string {
	m.Rumors = append(m.Rumors, n.self)
	room := n.cfg.MaxPacket - m.size()
	for _, name := range n.order {
		if e := n.members[name]; e != nil && e.Addr == addr {
			m.Rumors = append(m.Rumors, e.Rumor)
			room -= e.Rumor.size()
		}
	}
	i, found := slices.BinarySearch(n.names, after)
	if found {
		i++
	}
	last := after
	for _, name := range n.names[i:] {
		r := n.members[name].Rumor
		if r.size() > room {
			return last
		}
		m.Rumors = append(m.Rumors, r)
		room -= r.size()
		last = name
	}
	return ""
}
