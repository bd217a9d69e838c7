package membership

import "slices"

// A push-pull sends one page of the view, as many updates as fit into a packet, to
// one member, which replies with its own page of the same names. Successive pages
// cycle through the sorted names, so that after about as many rounds as the view
// has pages, all of it was sent. Every page also contains the sender's own update
// and what the sender believes of the receiver: after a partition, each side
// learns at once that the other declared it dead, and refutes it.

const (
	// behindIntervals is the number of push-pull intervals for which a member
	// requests pages at the probe interval, after a peer reported a larger view.
	behindIntervals = 3
	// minReplyDivisor limits how far a low byte budget shortens a reply: to a third
	// of the largest packet.
	minReplyDivisor = 3
)

// pushPullCursor is the progress of the push-pull through the names of the view.
type pushPullCursor struct {
	nextAt       int64  // ms, when the next push-pull starts
	rounds       int    // push-pulls started
	sendAfter    string // the next page sent contains the names after this one
	behindUntil  int64  // ms, until when a peer is assumed to know more members
	requestAfter string // the next page requested while behind has the names after this one
}

// startPushPull sends the next page to a peer. A member that is behind has little
// to send: it requests a page at every probe interval instead, each from where the
// last reply ended.
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
		n.pushPull.sendAfter = n.sendPage(to, n.pushPull.sendAfter, now)
		return
	}
	request := Message{
		Kind:    Sync,
		After:   n.pushPull.requestAfter,
		Count:   len(n.members),
		Updates: []Update{n.self},
	}
	n.sendBudgeted(to, request, now)
}

// pushPullPeer returns the address of the peer for the next push-pull, "" if there
// is none: a random member that is alive, or a seed if no member is alive. Every
// ReconnectEvery-th round it is a dead member, if there is one, so that the two
// sides of a healed partition find each other.
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

// deadAddresses returns the addresses of the dead members.
func (n *Node) deadAddresses() []string {
	var addresses []string
	for _, name := range n.watched {
		if known := n.members[name]; known != nil && known.State == Dead {
			addresses = append(addresses, known.Addr)
		}
	}
	return addresses
}

// mergePage applies the updates of a page. As in HashiCorp's memberlist library,
// the death of another member is applied as a suspicion by the sender: the page may
// come from the other side of a healed partition, and the member then has the
// duration of a suspicion to refute, instead of being declared dead at once on its
// own side.
func (n *Node) mergePage(m Message, now int64) {
	for _, update := range m.Updates {
		if update.State == Dead && update.Name != n.self.Name {
			update.State = Suspect
			update.Suspector = m.From
		}
		// Pages disseminate the joins that they contain, so those are not gossiped.
		// The sender's own update is, because the sender may be new to the fleet.
		source := fromPage
		if update.Name == m.From {
			source = fromGossip
		}
		n.apply(update, source, now)
	}
}

// compareViewSizes marks this member as behind for behindIntervals push-pull
// intervals if the sender of a page knows more members. After a SyncReply it also
// stores where the next requested page starts.
func (n *Node) compareViewSizes(m Message, now int64) {
	if m.Count > len(n.members) {
		n.pushPull.behindUntil = now + behindIntervals*n.cfg.PushPullIntervalMs
	}
	if m.Kind != SyncReply {
		return
	}
	n.pushPull.requestAfter = ""
	if count := len(m.Updates); count > 0 && m.Updates[count-1].Name > m.After {
		n.pushPull.requestAfter = m.Updates[count-1].Name
	}
}

// sendPage sends a page that contains the names greater than after. It returns the
// name after which the next page starts, "" for the first page once all names were
// sent. The byte budget may drop the page, which is then sent in the next cycle.
func (n *Node) sendPage(to, after string, now int64) string {
	m := Message{Kind: Sync, After: after, Count: len(n.members)}
	last := n.fillPage(&m, to, n.cfg.MaxPacketBytes)
	n.sendBudgeted(to, m, now)
	return last
}

// replyToPage replies to a page with this member's page of the same names. A peer
// that knows no other member receives a page from a random position, because all
// joining members would otherwise contact the same first few names. A low byte
// budget shortens the page instead of preventing it, so that each of many members
// that join through one seed learns of a few others.
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

// fillPage adds to a message this member's own update, the updates of members at
// the receiver's address, and those of the names after m.After, up to limit bytes
// in total. It returns the last name added in order, m.After if none fitted, and
// "" if the page reached the end of the names.
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
