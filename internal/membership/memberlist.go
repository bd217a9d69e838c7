package membership

import "slices"

// sampleAbove is the size of view above which members are sampled instead of
// shuffled.
const sampleAbove = 64

// member is what this member believes of another.
type member struct {
	Update
	since     int64      // ms, when its state was set here
	suspicion *suspicion // while State is Suspect
}

// reachable reports whether packets to the member make sense: it is alive, or
// suspect.
func (m *member) reachable() bool { return m.State <= Suspect }

// origin is the way on which an update came.
type origin int

const (
	byGossip origin = iota // piggy-backed, or this member's own observation
	byPage                 // in another member's page of its view
)

// apply takes an update of any member: it changes the view if it is newer than
// what is believed, and is disseminated further.
func (n *Node) apply(update Update, by origin, now int64) {
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
		n.addMember(update, by, now)
	case known.confirms(update):
		if known.suspicion != nil && known.suspicion.confirm(update.Suspector) {
			n.queue.add(update) // a new confirmation is disseminated, as in Lifeguard
		}
	case !update.supersedes(known.Update):
		n.stats.Stale++
	default:
		n.replaceMember(known, update, now)
	}
}

// confirms reports whether an update suspects the member as it is suspected
// already.
func (m *member) confirms(update Update) bool {
	return update.State == Suspect && m.State == Suspect &&
		update.Start == m.Start && update.Incarnation == m.Incarnation
}

// addMember takes an update of a name that is not in the view.
func (n *Node) addMember(update Update, by origin, now int64) {
	if update.State != Alive && update.State != Suspect {
		return // the death of an unknown member is of no use: there is nothing to probe
	}
	if len(n.members) >= n.cfg.MaxMembers {
		n.stats.Dropped++ // a peer that invents names must not grow the view without end
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
	// The peer whose page names a new member disseminates it itself.
	if by != byPage || update.State != Alive {
		n.queue.add(update)
	}
}

// replaceMember takes a newer update of a member in the view.
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
// forgets members that were dead or left for ReclaimMs. Only the watched names
// are visited, in the order in which they were added, so that one seed gives
// one order of changes.
func (n *Node) advanceMemberTimers(now int64) {
	watched := n.watched
	n.watched = nil
	for _, name := range watched {
		if n.advanceMemberTimer(n.members[name], now) && !slices.Contains(n.watched, name) {
			n.watched = append(n.watched, name)
		}
	}
}

// advanceMemberTimer reports whether the member, nil if it was forgotten, still
// has a timer.
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

// randomAlive draws up to count distinct members that are alive, other than
// except. A small view is shuffled whole; of a large one a bounded number of
// draws is made, so that the cost grows with count and not with the view.
func (n *Node) randomAlive(count int, except string) []string {
	order := n.probes.order
	var drawn []string
	if len(order) <= sampleAbove {
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

// isOtherAlive reports whether a name is that of an alive member other than
// except.
func (n *Node) isOtherAlive(name, except string) bool {
	candidate := n.members[name]
	return candidate != nil && name != except && candidate.State == Alive
}
