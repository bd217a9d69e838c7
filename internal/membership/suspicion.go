package membership

import (
	"math"
	"slices"
)

// suspicion is Lifeguard's dynamic suspicion: it lasts from max down to min
// as independent members confirm it, by log(c+1)/log(k+1) of the way for c
// of the k confirmations expected.
type suspicion struct {
	from, min, max int64
	k              int
	by             map[string]bool // bounded by the members: one a name
	called         int64           // when the last call went out, 0 for not yet
}

// newSuspicion starts a suspicion that by raised now. With n members the
// shortest lasts SuspicionMult x max(1, log10 n) periods, so that a rumor
// has reached most of the fleet before a death is declared.
func (n *Node) newSuspicion(by string, now int64) *suspicion {
	size := float64(len(n.members) + 1)
	least := int64(n.cfg.SuspicionMult * math.Max(1, math.Log10(size)) * float64(n.cfg.ProbeIntervalMs))
	k := int(n.cfg.SuspicionMult) - 2
	k = max(0, min(k, len(n.members)-1))
	return &suspicion{from: now, min: least, max: int64(n.cfg.SuspicionMaxMult * float64(least)), k: k,
		by: map[string]bool{by: true}}
}

// confirm counts another member's suspicion; it reports whether it was new.
func (s *suspicion) confirm(by string) bool {
	if s.by[by] || len(s.by) > s.k {
		return false
	}
	s.by[by] = true
	return true
}

// ends is when the suspicion becomes a death.
func (s *suspicion) ends() int64 {
	c := len(s.by) - 1
	if s.k < 1 || c < 1 {
		return s.from + s.max
	}
	frac := math.Log(float64(c)+1) / math.Log(float64(s.k)+1)
	d := float64(s.max) - frac*float64(s.max-s.min)
	return s.from + int64(math.Max(float64(s.min), d))
}

// expire declares suspects dead whose time is up, and forgets members dead
// or left for ReclaimMs. Only the watched names are looked at, in the order
// they came, so one seed gives one order of changes.
func (n *Node) expire(now int64) {
	watch := n.watch
	n.watch = nil
	for _, name := range watch {
		e := n.members[name]
		switch {
		case e == nil || e.State == Alive:
			continue // refuted or forgotten: the timer ends
		case e.State == Suspect && e.susp != nil && now >= e.susp.ends() && e.susp.called == 0:
			// The last call: whoever would declare a death asks the member
			// itself once more, so that a refutation that got lost on the way
			// here, or came by gossip's chance alone, still arrives.
			e.susp.called = now
			n.send(e.Addr, Message{Kind: Ping, Target: name, Updates: []Update{e.Update}}, now, true)
		case e.State == Suspect && e.susp != nil && now >= e.susp.ends() && now >= e.susp.called+2*n.cfg.ProbeTimeoutMs:
			n.stats.DeclaredDead++
			r := e.Update
			r.State, r.Suspector = Dead, n.self.Name
			n.apply(r, now)
		case e.State >= Dead && now-e.since >= n.cfg.ReclaimMs:
			delete(n.members, name)
			if i, found := slices.BinarySearch(n.names, name); found {
				n.names = slices.Delete(n.names, i, i+1)
			}
			n.queue.drop(name)
			n.changed(Change{Kind: Forgotten, Member: e.Update, Previous: e.State, At: now})
			continue
		}
		if !slices.Contains(n.watch, name) {
			n.watch = append(n.watch, name)
		}
	}
}
