package membership

import "slices"

// The push-pull sends a page of the view, as much as a packet holds, to one
// member a round, which answers with its own page of the same names. The pages
// go round the names, so that the views of two members are exchanged whole in
// about n/page rounds. Every page also has the sender's update of itself and its
// belief of the receiver: after a partition each side learns at once that the
// other one took it for dead, and refutes.

const (
	// behindIntervals is for how many push-pull intervals a member requests pages
	// quickly after it met one that knows more members.
	behindIntervals = 3
	// minReplyDivisor: a reply has at least this part of the largest packet.
	minReplyDivisor = 3
)

// pushPullCursor is the progress of the push-pull.
type pushPullCursor struct {
	nextAt      int64 // ms, when the next push-pull starts
	rounds      int
	after       string // the next page sent has the names after this one
	behindUntil int64  // ms: until then this member knows less than some peer
	replyAfter  string // while behind, the next page requested has the names after this one
}

// startPushPull sends the next page. A member that is behind has little to
// report: it requests page after page instead, from where the last reply ended.
func (n *Node) startPushPull(now int64) {
	behind := now < n.pushPull.behindUntil
	n.pushPull.nextAt = now + n.cfg.PushPullIntervalMs
	if behind {
		n.pushPull.nextAt = now + n.cfg.ProbeIntervalMs
	}
	n.pushPull.rounds++
	to := n.pushPullPeer()
	if to == "" {
		return
	}
	if !behind {
		n.pushPull.after = n.sendPage(to, n.pushPull.after, now)
		return
	}
	request := Message{
		Kind:    Sync,
		After:   n.pushPull.replyAfter,
		Count:   len(n.members),
		Updates: []Update{n.self},
	}
	n.sendBudgeted(to, request, now)
}

// pushPullPeer chooses the address for a push-pull: a random alive member, every
// ReconnectEvery-th time a dead one (so that the sides of a healed partition find
// each other), and a seed while nobody is known. It is "" if there is none.
func (n *Node) pushPullPeer() string {
	if n.pushPull.rounds%n.cfg.ReconnectEvery == 0 {
		if dead := n.deadAddresses(); len(dead) > 0 {
			if to := dead[n.rng.IntN(len(dead))]; to != "" {
				return to
			}
		}
	}
	if alive := n.randomAlive(1, ""); len(alive) > 0 {
		return n.members[alive[0]].Addr
	}
	if len(n.seeds) > 0 {
		return n.seeds[n.pushPull.rounds%len(n.seeds)]
	}
	return ""
}

// deadAddresses are the addresses of the members declared dead.
func (n *Node) deadAddresses() []string {
	var addresses []string
	for _, name := range n.watched {
		if known := n.members[name]; known != nil && known.State == Dead {
			addresses = append(addresses, known.Addr)
		}
	}
	return addresses
}

// mergePage applies a push-pull's page. A death in it becomes a suspicion by the
// sender, as in memberlist: a page is a whole view, often from the far side of a
// healed partition, and the member gets the time of a suspicion to refute
// instead of being declared dead by its own side at once.
func (n *Node) mergePage(m Message, now int64) {
	for _, update := range m.Updates {
		if update.State == Dead && update.Name != n.self.Name {
			update.State = Suspect
			update.Suspector = m.From
		}
		// Another member's page need not be gossiped: pages disseminate it. The
		// sender itself may be new.
		by := byPage
		if update.Name == m.From {
			by = byGossip
		}
		n.apply(update, by, now)
	}
}

// compareViewSizes marks this member as behind for a while if the sender of a
// page knows more members, and notes where the next page requested starts.
func (n *Node) compareViewSizes(m Message, now int64) {
	if m.Count > len(n.members) {
		n.pushPull.behindUntil = now + behindIntervals*n.cfg.PushPullIntervalMs
	}
	if m.Kind != SyncReply {
		return
	}
	n.pushPull.replyAfter = ""
	if count := len(m.Updates); count > 0 && m.Updates[count-1].Name > m.After {
		n.pushPull.replyAfter = m.Updates[count-1].Name
	}
}

// sendPage sends the page of the names after after; it returns where the next
// page starts ("" once the names were all sent).
func (n *Node) sendPage(to, after string, now int64) string {
	m := Message{Kind: Sync, After: after, Count: len(n.members)}
	last := n.fillPage(&m, to, n.cfg.MaxPacketBytes)
	n.sendBudgeted(to, m, now)
	return last
}

// replyToPage answers a page with this member's page of the same names. A
// member that knows nobody gets names from a random place, as all newcomers
// would otherwise turn to the first few. A low budget makes a shorter page rather
// than none: of many that join through one seed each learns of a few members.
func (n *Node) replyToPage(from string, request Message, now int64) {
	if n.leaving {
		return
	}
	reply := Message{Kind: SyncReply, After: request.After, Count: len(n.members)}
	if request.Count == 0 && len(n.names) > 0 {
		reply.After = n.names[n.rng.IntN(len(n.names))]
	}
	n.budget.refill(now)
	affordable := max(n.cfg.MaxPacketBytes/minReplyDivisor, n.budget.available()/2)
	n.fillPage(&reply, from, min(n.cfg.MaxPacketBytes, affordable))
	n.sendBudgeted(from, reply, now)
}

// fillPage fills a message with this member's own update, its belief of the
// receiver's address, and the names after m.After, within limit bytes; it returns
// the last name added, or "" if the page reached the end of the names.
func (n *Node) fillPage(m *Message, receiver string, limit int) string {
	m.Updates = append(m.Updates, n.self)
	free := limit - m.size()
	for _, name := range n.probes.order {
		if known := n.members[name]; known != nil && known.Addr == receiver && known.size() <= free {
			m.Updates = append(m.Updates, known.Update)
			free -= known.size()
		}
	}
	next, found := slices.BinarySearch(n.names, m.After)
	if found {
		next++
	}
	last := m.After
	for _, name := range n.names[next:] {
		update := n.members[name].Update
		if update.size() > free {
			return last
		}
		m.Updates = append(m.Updates, update)
		free -= update.size()
		last = name
	}
	return ""
}
