package membership

import "slices"

const (
	// refutationsPerSuspector is the number of pings that carry the refutation to
	// one suspector. At 20% packet loss, all of them are lost in one of 600 cases.
	refutationsPerSuspector = 4
	// maxSuspectors bounds the number of suspectors that are notified at a time.
	// The others receive the refutation by gossip.
	maxSuspectors = 16
)

// suspector is a member that suspects this one and is sent the refutation.
type suspector struct {
	name      string
	remaining int // number of pings still to carry the refutation
}

// refutations holds the suspectors that are still to be notified.
type refutations struct {
	suspectors []suspector
}

// add schedules the notification of a suspector. It returns false if the suspector
// is scheduled already or maxSuspectors are.
func (r *refutations) add(name string) bool {
	if len(r.suspectors) >= maxSuspectors || r.scheduled(name) {
		return false
	}
	r.suspectors = append(r.suspectors, suspector{name: name, remaining: refutationsPerSuspector})
	return true
}

// scheduled reports whether the notification of a suspector is scheduled.
func (r *refutations) scheduled(name string) bool {
	return slices.ContainsFunc(r.suspectors, func(s suspector) bool { return s.name == name })
}

// dropNotified removes the suspectors to which all pings were sent.
func (r *refutations) dropNotified() {
	r.suspectors = slices.DeleteFunc(r.suspectors, func(s suspector) bool { return s.remaining <= 0 })
}

// applyToSelf processes an update under this member's own name. It refutes a
// suspicion, death or leave of this instance and reports another live instance.
func (n *Node) applyToSelf(update Update, now int64) {
	otherInstance := update.Start != n.self.Start || update.Addr != n.self.Addr
	switch {
	case otherInstance && (update.Start < n.self.Start || update.State >= Dead):
		n.queue.add(n.self) // the other instance is older, dead or left: announce this one
	case otherInstance:
		n.recordNameConflict(update, now)
	case n.leaving || n.nameConflict || n.faults.SkipsRefutation():
	case update.State != Alive:
		n.refute(update, now)
	}
}

// recordNameConflict counts and reports another live instance under this member's
// name. The instance with the later Start, or for equal Starts the one with the
// greater address, keeps the name; the other one stops refuting.
func (n *Node) recordNameConflict(update Update, now int64) {
	n.stats.Conflicts++
	conflict := Change{Kind: Conflict, Member: update, Previous: n.self.State, At: now}
	n.out.Changes = append(n.out.Changes, conflict)
	if update.Start > n.self.Start || update.Addr > n.self.Addr {
		n.nameConflict = true
	}
}

// refute refutes a suspicion or death of this member by raising the incarnation
// above that of the update, unless it is above already.
func (n *Node) refute(update Update, now int64) {
	if update.Incarnation >= n.self.Incarnation {
		n.self.Incarnation = update.Incarnation + 1
		n.stats.Refuted++
		n.queue.add(n.self)
		n.health.worsen() // Lifeguard: this member may be suspected because it is slow
	}
	n.notifySuspector(update.Suspector, now)
}

// notifySuspector sends the refutation to a suspector at once, and again in the
// next probe intervals. By gossip alone, or by a single ping that may be lost, the
// refutation can reach the suspector too late: a confirmed suspicion is short, and
// the suspector declares a running member dead when it ends. A suspicion that was
// already refuted, such as that of a second suspector, is answered too. The cost is
// at most maxSuspectors pings per probe interval.
func (n *Node) notifySuspector(name string, now int64) {
	if known := n.members[name]; known == nil || !known.reachable() {
		return
	}
	if n.refutations.add(name) {
		n.sendRefutations(len(n.refutations.suspectors)-1, now)
	}
}

// sendRefutations sends a ping with the refutation to each scheduled suspector
// whose index is from or higher.
func (n *Node) sendRefutations(from int, now int64) {
	for i := from; i < len(n.refutations.suspectors); i++ {
		scheduled := &n.refutations.suspectors[i]
		if receiver := n.members[scheduled.name]; receiver != nil {
			ping := Message{Kind: Ping, Target: receiver.Name, Updates: []Update{n.self}}
			n.sendProbeMessage(receiver.Addr, ping, now)
		}
		scheduled.remaining--
	}
}
