package membership

import "slices"

// maxShuffledMembers is the largest view that is shuffled to choose random
// members. A larger view is sampled.
const maxShuffledMembers = 64

// member is the state of another member as this one believes it to be.
type member struct {
	Update
	since     int64      // ms, when State was last set here
	suspicion *suspicion // nil unless State is Suspect
}

// reachable reports whether the member is alive or suspect, so that packets are
// sent to it.
func (m *member) reachable() bool { return m.State <= Suspect }

// updateSource is the way by which an update reached this member.
type updateSource int

const (
	fromGossip updateSource = iota // piggybacked on a packet, or this member's own observation
	fromPage                       // in a page of another member's view
)

// apply processes an update of any member, including this one. An update that
// supersedes the known state changes the view and is disseminated further.
func (n *Node) apply(update Update, source updateSource, now int64) {
	if update.Name == "" || update.State > Left {
		n.stats.Malformed++
		return
	}
	if update.Name == n.self.Name {
		n.applyToSelf(update, now)
		return
	}
	known := n.members[update.Name]
	switch {
	case known == nil:
		n.addMember(update, source, now)
	case known.confirms(update):
		if known.suspicion != nil && known.suspicion.confirm(update.Suspector) {
			n.queue.add(update) // Lifeguard: new confirmations are disseminated
		}
	case !update.supersedes(known.Update):
		n.stats.Stale++
	default:
		n.replaceMember(known, update, now)
	}
}

// confirms reports whether an update is a suspicion of the same instance and
// incarnation as the current suspicion of the member.
func (m *member) confirms(update Update) bool {
	return update.State == Suspect && m.State == Suspect &&
		update.Start == m.Start && update.Incarnation == m.Incarnation
}

// addMember adds the member of an update to the view if it is alive or suspect.
func (n *Node) addMember(update Update, source updateSource, now int64) {
	if update.State != Alive && update.State != Suspect {
		return // an unknown member that is dead or left would never be probed
	}
	if len(n.members) >= n.cfg.MaxMembers {
		n.stats.Dropped++ // a peer that sends made-up names must not use unbounded memory
		return
	}
	added := &member{Update: update, since: now}
	n.members[update.Name] = added
	position, _ := slices.BinarySearch(n.names, update.Name)
	n.names = slices.Insert(n.names, position, update.Name)
	n.probes.insert(update.Name, n.rng)
	if update.State == Suspect {
		added.suspicion = n.newSuspicion(update.Suspector, now)
		n.watched = append(n.watched, update.Name)
	}
	n.recordChange(Change{Kind: Joined, Member: update, Previous: update.State, At: now})
	// A new member learned from a page is already disseminated by pages, so its
	// join is not gossiped.
	if source != fromPage || update.State != Alive {
		n.queue.add(update)
	}
}

// replaceMember replaces the state of a known member by a newer update.
func (n *Node) replaceMember(known *member, update Update, now int64) {
	change := Change{Kind: Changed, Member: update, Previous: known.State, At: now}
	if update.Start != known.Start {
		change.Kind = Joined // a restarted process
	}
	known.Update = update
	known.since = now
	known.suspicion = nil
	if update.State == Suspect {
		known.suspicion = n.newSuspicion(update.Suspector, now)
	}
	if update.State != Alive && !slices.Contains(n.watched, update.Name) {
		n.watched = append(n.watched, update.Name)
	}
	n.recordChange(change)
	n.queue.add(update)
}

// advanceMemberTimers declares suspects dead whose suspicion has ended, and
// forgets members that have been dead or left for ReclaimMs. It visits only the
// watched members, in the order in which they were added, so that runs with the
// same seed produce the same order of changes.
func (n *Node) advanceMemberTimers(now int64) {
	watched := n.watched
	n.watched = nil
	for _, name := range watched {
		if n.advanceMemberTimer(n.members[name], now) && !slices.Contains(n.watched, name) {
			n.watched = append(n.watched, name)
		}
	}
}

// advanceMemberTimer advances the timer of a member and reports whether the timer
// is still running. The member is nil if it was forgotten.
func (n *Node) advanceMemberTimer(watched *member, now int64) bool {
	switch {
	case watched == nil || watched.State == Alive:
		return false
	case watched.State == Suspect:
		n.advanceSuspicion(watched, now)
	case now-watched.since >= n.cfg.ReclaimMs:
		n.forget(watched, now)
		return false
	}
	return true
}

// forget removes a dead or left member from the view.
func (n *Node) forget(gone *member, now int64) {
	delete(n.members, gone.Name)
	if position, found := slices.BinarySearch(n.names, gone.Name); found {
		n.names = slices.Delete(n.names, position, position+1)
	}
	n.queue.drop(gone.Name)
	n.recordChange(Change{Kind: Forgotten, Member: gone.Update, Previous: gone.State, At: now})
}

// randomAlive returns the names of up to count distinct random members that are
// alive, without except. A view of up to maxShuffledMembers is shuffled. From a
// larger view a limited number of random names is drawn, so that the cost depends
// on count and not on the size of the view; fewer than count may be found.
func (n *Node) randomAlive(count int, except string) []string {
	order := n.probes.order
	var drawn []string
	if len(order) <= maxShuffledMembers {
		for _, name := range order {
			if n.isOtherAlive(name, except) {
				drawn = append(drawn, name)
			}
		}
		n.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
		return drawn[:min(count, len(drawn))]
	}
	for range 8*count + 16 {
		if len(drawn) == count {
			break
		}
		name := order[n.rng.IntN(len(order))]
		if n.isOtherAlive(name, except) && !slices.Contains(drawn, name) {
			drawn = append(drawn, name)
		}
	}
	return drawn
}

// isOtherAlive reports whether name is a known member that is alive, and is not
// except.
func (n *Node) isOtherAlive(name, except string) bool {
	candidate := n.members[name]
	return candidate != nil && name != except && candidate.State == Alive
}
