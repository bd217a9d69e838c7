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
	n.nextSync = now + n.cfg.PushPullIntervalMs
	if now < n.behind {
		n.nextSync = now + n.cfg.ProbeIntervalMs
	}
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
	if now < n.behind { // it asks, and has little to tell: its answers go on where the last ended
		n.send(to, Message{Kind: Sync, After: n.pull, Count: len(n.members), Updates: []Update{n.self}}, now, false)
		return
	}
	n.cursor = n.sendSync(to, n.cursor, now)
}

// compared takes what a peer's page tells of how much its sender knows: a
// member that knows less asks page after page, every period instead of every
// SyncMs, until for a while it has met nobody who knows more.
func (n *Node) compared(m Message, now int64) {
	if m.Count > len(n.members) {
		n.behind = now + 3*n.cfg.PushPullIntervalMs
	}
	if m.Kind != SyncReply {
		return
	}
	n.pull = ""
	if k := len(m.Updates); k > 0 && m.Updates[k-1].Name > m.After {
		n.pull = m.Updates[k-1].Name
	}
}

// sendSync sends the page of names after after; it returns where the next
// page starts ("" once the names came round).
func (n *Node) sendSync(to, after string, now int64) string {
	m := Message{Kind: Sync, After: after, Count: len(n.members)}
	last := n.page(&m, to, after, n.cfg.MaxPacketBytes)
	n.send(to, m, now, false)
	return last
}

func (n *Node) replySync(from string, in Message, now int64) {
	if n.leaving {
		return
	}
	m := Message{Kind: SyncReply, After: in.After, Count: len(n.members)}
	if in.Count == 0 && len(n.names) > 0 { // names drawn anywhere, or all newcomers would ask the first few
		m.After = n.names[n.rng.IntN(len(n.names))]
	}
	// What the budget leaves makes a shorter page rather than none: of many
	// that join through one seed each hears of a few members, and asks those.
	n.fill(now)
	n.page(&m, from, m.After, min(n.cfg.MaxPacketBytes, max(n.cfg.MaxPacketBytes/3, int(n.tokens)/2)))
	n.send(from, m, now, false)
}

// page fills m with this member's own rumor, what it holds of the member at
// addr, and the names after after, as many as fit; it returns the last name
// put in, or "" if the page reached the end.
func (n *Node) page(m *Message, addr, after string, most int) string {
	m.Updates = append(m.Updates, n.self)
	room := most - m.size()
	for _, name := range n.order {
		if e := n.members[name]; e != nil && e.Addr == addr && e.Update.size() <= room {
			m.Updates = append(m.Updates, e.Update)
			room -= e.Update.size()
		}
	}
	i, found := slices.BinarySearch(n.names, after)
	if found {
		i++
	}
	last := after
	for _, name := range n.names[i:] {
		r := n.members[name].Update
		if r.size() > room {
			return last
		}
		m.Updates = append(m.Updates, r)
		room -= r.size()
		last = name
	}
	return ""
}
