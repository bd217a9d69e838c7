package membership

import "slices"

const (
	// refutationsPerSuspector is how many pings to one suspector have the
	// refutation with them: at 20% loss all are lost once in 600.
	refutationsPerSuspector = 4
	// maxSuspectors bounds the suspectors that are notified at a time; gossip
	// reaches the others.
	maxSuspectors = 16
)

// suspector is a member that suspects this one and is sent the refutation.
type suspector struct {
	name      string
	remaining int // pings that will have the refutation with them
}

// refutations are the suspectors still to be notified.
type refutations struct {
	suspectors []suspector
}

// add schedules the notification of a suspector; it reports whether it was not
// scheduled already and the bound allowed it.
func (r *refutations) add(name string) bool {
	if len(r.suspectors) >= maxSuspectors || r.scheduled(name) {
		return false
	}
	r.suspectors = append(r.suspectors, suspector{name: name, remaining: refutationsPerSuspector})
	return true
}

// scheduled reports whether a suspector is being notified.
func (r *refutations) scheduled(name string) bool {
	return slices.ContainsFunc(r.suspectors, func(s suspector) bool { return s.name == name })
}

// dropNotified removes the suspectors that have had all of their pings.
func (r *refutations) dropNotified() {
	r.suspectors = slices.DeleteFunc(r.suspectors, func(s suspector) bool { return s.remaining <= 0 })
}

// applyToSelf takes an update under this member's own name: it refutes what
// concerns this instance, and reports another one.
func (n *Node) applyToSelf(update Update, now int64) {
	otherInstance := update.Start != n.self.Start || update.Addr != n.self.Addr
	switch {
	case otherInstance && (update.Start < n.self.Start || update.State >= Dead):
		n.queue.add(n.self) // an earlier instance's record, which this one supersedes
	case otherInstance:
		n.recordNameConflict(update, now)
	case n.leaving || n.nameConflict || n.faults.SkipsRefutation():
	case update.State != Alive:
		n.refute(update, now)
	}
}

// recordNameConflict takes note of another live instance under this member's
// name. The newer instance keeps the name: the older stops refuting.
func (n *Node) recordNameConflict(update Update, now int64) {
	n.stats.Conflicts++
	conflict := Change{Kind: Conflict, Member: update, Previous: n.self.State, At: now}
	n.out.Changes = append(n.out.Changes, conflict)
	if update.Start > n.self.Start || update.Addr > n.self.Addr {
		n.nameConflict = true
	}
}

// refute answers a suspicion or death of this member with a higher incarnation,
// unless it has one already.
func (n *Node) refute(update Update, now int64) {
	if update.Incarnation >= n.self.Incarnation {
		n.self.Incarnation = update.Incarnation + 1
		n.stats.Refuted++
		n.queue.add(n.self)
		n.health.worsen() // Lifeguard: a suspected member may itself be the slow one
	}
	n.notifySuspector(update.Suspector, now)
}

// notifySuspector sends the refutation to a suspector at once, and again in the
// next periods. Mere gossip, or one packet that was lost, left suspectors whose
// confirmed suspicion ended in a death of a running member. It also answers one
// that repeats a suspicion already refuted, as a second suspector does. The
// refutations cost at most maxSuspectors probe packets a period.
func (n *Node) notifySuspector(name string, now int64) {
	if known := n.members[name]; known == nil || !known.reachable() {
		return
	}
	if n.refutations.add(name) {
		n.sendRefutations(len(n.refutations.suspectors)-1, now)
	}
}

// sendRefutations sends the refutation to the scheduled suspectors from the
// given index on.
func (n *Node) sendRefutations(from int, now int64) {
	for i := from; i < len(n.refutations.suspectors); i++ {
		scheduled := &n.refutations.suspectors[i]
		if receiver := n.members[scheduled.name]; receiver != nil {
			ping := Message{Kind: Ping, Target: receiver.Name, Updates: []Update{n.self}}
			n.sendProbe(receiver.Addr, ping, now)
		}
		scheduled.remaining--
	}
}
